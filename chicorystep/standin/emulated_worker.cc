#include "chicorystep/standin/emulated_worker.h"

#include <algorithm>
#include <chrono>

namespace chicorystep {
namespace {

void ExtendLease(EmulatedWorker& worker,
                 const std::optional<WorkerClock>& until,
                 Duration longest_lease,
                 TimePoint now) {
  if (until) {
    const WorkerClock limit =
        ReadWorkerClock(worker, now) + WorkerClock(WholeMillis(longest_lease));
    worker.leased_until =
        std::max(worker.leased_until, std::min(*until, limit));
  }
}

OrderOutcome Start(EmulatedWorker& worker,
                   const WorkerOrder& order,
                   const EmulatedRun& run,
                   TimePoint now) {
  if (const auto present = worker.running.find(order.task);
      present != worker.running.end() && present->second.run == order.run) {
    return OrderOutcome::kDone;
  }
  if (const auto barred = worker.barred.find(order.task);
      worker.running.contains(order.task) ||
      (barred != worker.barred.end() && order.run <= barred->second)) {
    return OrderOutcome::kOldRun;
  }
  if (!order.until || *order.until <= ReadWorkerClock(worker, now)) {
    return OrderOutcome::kTooLate;
  }
  if (worker.enforces_capacity && !HasFreeCapacity(worker, run.need)) {
    return OrderOutcome::kNoCapacity;
  }
  worker.running[order.task] = run;
  return OrderOutcome::kDone;
}

void Stop(EmulatedWorker& worker,
          const WorkerOrder& order,
          Duration grace,
          TimePoint now) {
  RunNumber& barred = worker.barred[order.task];
  barred = std::max(barred, order.run);
  if (const auto present = worker.running.find(order.task);
      present != worker.running.end() && present->second.run <= order.run) {
    present->second.stops_at = std::min(present->second.stops_at, now + grace);
  }
}

}  // namespace

bool HasFreeCapacity(const EmulatedWorker& worker, const Capacity& need) {
  Capacity used = need;
  for (const auto& [key, run] : worker.running) {
    used = used + run.need;
  }
  return Holds(worker.listing.capacity, used);
}

WorkerClock ReadWorkerClock(const EmulatedWorker& worker, TimePoint now) {
  return WorkerClock(static_cast<std::int64_t>(
      static_cast<double>(WholeMillis(now - worker.started)) *
      worker.clock_rate));
}

EndNumber AcknowledgedEnds(const EmulatedWorker& worker,
                           const WorkerOrder& hold) {
  return worker.keeps_acknowledgements
             ? std::max(worker.acknowledged, hold.acknowledged)
             : hold.acknowledged;
}

OrderResult ExecuteOrder(EmulatedWorker& worker,
                         const WorkerOrder& order,
                         const EmulatedRun& run,
                         Duration stop_grace,
                         Duration longest_lease,
                         TimePoint now) {
  OrderResult ended{.kind = order.kind,
                    .worker = order.worker,
                    .fence = order.fence,
                    .task = order.task,
                    .run = order.run,
                    .acknowledged = order.acknowledged,
                    .outcome = OrderOutcome::kDone,
                    .clock = ReadWorkerClock(worker, now)};
  if (order.worker != worker.listing.id) {
    ended.outcome = OrderOutcome::kOtherIncarnation;
    return ended;
  }
  if (order.fence < worker.fence) {
    ended.outcome = OrderOutcome::kFenced;
    return ended;
  }
  worker.fence = order.fence;
  ExtendLease(worker, order.until, longest_lease, now);
  switch (order.kind) {
    case OrderKind::kStart:
      ended.outcome = Start(worker, order, run, now);
      break;
    case OrderKind::kStop:
      Stop(worker, order, stop_grace, now);
      break;
    case OrderKind::kHold:
      ended.incarnation = worker.listing.incarnation;
      worker.acknowledged = AcknowledgedEnds(worker, order);
      std::erase_if(worker.ended, [&](const EndReport& end) {
        return end.number <= worker.acknowledged;
      });
      for (const auto& [key, present] : worker.running) {
        const auto used = static_cast<std::int64_t>(
            worker.speed * present.speed_beside * present.use *
            static_cast<double>(present.need.processors.value));
        ended.running.push_back(RunningReport{
            .task = key, .run = present.run, .in_use = Millicores(used)});
      }
      ended.ends_complete = worker.ended.size() < kEndsPerReport;
      ended.ended.assign(
          worker.ended.begin(),
          worker.ended.begin() + std::min(std::ssize(worker.ended),
                                          std::ptrdiff_t{kEndsPerReport}));
      if (worker.lists_newest_first) {
        std::reverse(ended.ended.begin(), ended.ended.end());
      }
      break;
  }
  return ended;
}

void EndRun(EmulatedWorker& worker, const TaskKey& task, RunEnd how) {
  const auto present = worker.running.find(task);
  if (present == worker.running.end()) {
    return;
  }
  RunNumber& barred = worker.barred[task];
  barred = std::max(barred, present->second.run);
  worker.ended.push_back(EndReport{.number = EndNumber(++worker.last_end.value),
                                   .task = task,
                                   .run = present->second.run,
                                   .end = how});
  worker.running.erase(present);
}

void Restart(EmulatedWorker& worker, TimePoint now) {
  worker.up = true;
  worker.started = now;
  worker.fence = Fence();
  worker.leased_until = WorkerClock();
  worker.running.clear();
  worker.barred.clear();
  worker.ended.clear();
  worker.last_end = worker.acknowledged = EndNumber();
  ++worker.listing.incarnation.value;
}

}  // namespace chicorystep
