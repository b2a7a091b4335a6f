#include "chicorystep/systems/workflows/task_worker_clock.h"

#include <algorithm>
#include <chrono>

#include "chicorystep/core/logging.h"

namespace chicorystep {

Duration ScaleForSlowClocks(Duration time) {
  return time * (1000 + 2 * kMaxClockSlownessPermille) / 1000;
}

WorkerClock EarliestWorkerClock(const TaskWorker& worker, TimePoint now) {
  const std::int64_t elapsed = WholeMillis(now - worker.clock_read);
  if (now < worker.clock_read) {
    // A clock that doesn't run slow was the furthest behind. Subtract 1 ms
    // because both readings are rounded.
    return worker.clock + WorkerClock(elapsed - 1);
  }
  return worker.clock +
         WorkerClock(elapsed * (1000 - kMaxClockSlownessPermille) / 1000);
}

WorkerClock ComputeLeaseExpiry(const TaskWorker& worker,
                               Duration lease,
                               TimePoint now) {
  return EarliestWorkerClock(worker, now) + WorkerClock(WholeMillis(lease));
}

Duration TimeUntilLeasesExpire(const TaskWorker& worker, TimePoint now) {
  const Duration unidentified =
      std::max(Duration(), worker.unidentified_lease_expiry - now);
  if (!worker.fenced) {
    return std::max(unidentified, worker.inherited_lease_expiry - now);
  }
  const WorkerClock left =
      worker.leased_until - EarliestWorkerClock(worker, now);
  // Add 1 ms because the division rounds down.
  const std::int64_t millis =
      left.value * 1000 / (1000 - kMaxClockSlownessPermille) + 1;
  return std::max(unidentified, Duration(std::chrono::milliseconds(millis)));
}

void NoteUnansweredOrder(TaskWorker& worker,
                         const OrderResult& order,
                         Duration longest_lease) {
  if (order.outcome != OrderOutcome::kUnknown || !order.leases ||
      order.connected <= worker.identified) {
    return;
  }
  const bool counts_already = worker.unidentified_lease_expiry > order.answered;
  // The order is sent once its connection is open.
  const TimePoint sent = std::max(order.sent, order.connected);
  worker.unidentified_order = std::max(worker.unidentified_order, sent);
  worker.unidentified_lease_expiry =
      std::max(worker.unidentified_lease_expiry,
               sent + kMaxOrderDelay + ScaleForSlowClocks(longest_lease));
  // A hold names no run, so it is only worth a line if it begins the wait.
  if (order.kind == OrderKind::kHold && counts_already) {
    return;
  }
  Log(LogLevel::kWarn, "order_unanswered",
      {{"worker", order.worker.value},
       {"incarnation", worker.listing.incarnation.value},
       {"kind", EnumName(order.kind)},
       {"workflow", order.task.workflow.value},
       {"step", order.task.step.value},
       {"task", order.task.task.value},
       {"run", order.run.value},
       {"connected_ms",
        WholeMillis(std::max(Duration(), order.sent - order.connected))},
       {"leases_expire_ms",
        WholeMillis(worker.unidentified_lease_expiry - order.answered)}});
}

void NoteIdentified(TaskWorker& worker, const OrderResult& hold) {
  worker.identified = std::max(worker.identified, hold.sent);
  if (worker.identified > worker.unidentified_order) {
    if (worker.unidentified_lease_expiry > hold.answered) {
      Log(LogLevel::kInfo, "unanswered_orders_settled",
          {{"worker", worker.listing.id.value},
           {"incarnation", worker.listing.incarnation.value},
           {"waited_ms",
            WholeMillis(hold.answered - worker.unidentified_order)},
           {"leases_expire_ms",
            WholeMillis(worker.unidentified_lease_expiry - hold.answered)}});
    }
    worker.unidentified_lease_expiry = kDistantPast;
  }
}

WorkerIncarnation IncarnationToRecord(const TaskWorker& worker,
                                      Duration lease,
                                      TimePoint now) {
  return !worker.before_restart.empty() &&
                 TimeUntilLeasesExpire(worker, now) > ScaleForSlowClocks(lease)
             ? worker.before_restart
             : worker.listing.incarnation;
}

bool HaveLeasesExpired(const TaskWorker& worker, TimePoint now) {
  return TimeUntilLeasesExpire(worker, now) == Duration();
}

}  // namespace chicorystep
