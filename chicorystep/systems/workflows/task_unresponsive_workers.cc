#include "chicorystep/systems/workflows/task_unresponsive_workers.h"

#include <algorithm>
#include <optional>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/workflow_previous_holders.h"

namespace chicorystep {
namespace {

// Consecutive unanswered holds after which a worker that has answered this
// holder is recorded as unresponsive. Most workers that miss one hold answer
// the next, and would lose their leases if the store failed in between. A
// worker that has never answered has no lease from this holder and is recorded
// after the first.
constexpr std::uint32_t kMaxUnansweredHolds = 2;

// A worker without an address is not listed and cannot answer. The next holder
// does not know of an order that a later incarnation may carry out.
bool IsUnresponsive(const TaskWorker& worker, TimePoint now) {
  return !worker.tasks.empty() &&
         (worker.listing.address.empty() ||
          worker.unidentified_lease_expiry > now ||
          worker.unanswered_holds >= (worker.fenced ? kMaxUnansweredHolds : 1));
}

// The next holder counts the times in a record from when it reads it, which may
// be as late as its own start. The record is therefore renewed at this
// interval, about the shortest takeover time, while any worker is unresponsive.
constexpr Duration kRecordRenewalInterval = std::chrono::seconds(1);

bool IsRecordOutdated(const WorkflowWorld& world, TimePoint now) {
  const auto& rows = world.scheduling.workers.rows;
  return std::any_of(rows.begin(), rows.end(), [&](const TaskWorker& worker) {
    return IsUnresponsive(worker, now) != worker.recorded_unresponsive;
  });
}

// By when every lease on the worker has expired, as the holder of `epoch`
// recorded it; nothing if it did not.
std::optional<TimePoint> FindRecordedLeaseExpiry(const Holding& holding,
                                                 Epoch epoch,
                                                 const WorkerId& id) {
  const UnresponsiveWorkers& recorded = holding.unresponsive[epoch.value % 2];
  if (recorded.epoch != epoch) {
    return std::nullopt;
  }
  const auto row = recorded.expiry.find(id);
  return row == recorded.expiry.end() ? std::nullopt
                                      : std::optional(row->second);
}

}  // namespace

bool NeedsUnresponsiveRecord(const WorkflowWorld& world, TimePoint now) {
  const auto& rows = world.scheduling.workers.rows;
  const bool any_recorded = std::any_of(
      rows.begin(), rows.end(),
      [](const TaskWorker& worker) { return worker.recorded_unresponsive; });
  return IsRecordOutdated(world, now) ||
         (any_recorded && now - world.scheduling.unresponsive_recorded_at >=
                              kRecordRenewalInterval);
}

UnresponsiveWorkersRecord RecordUnresponsiveWorkers(WorkflowWorld& world,
                                                    TimePoint now) {
  const bool changed = IsRecordOutdated(world, now);
  world.scheduling.unresponsive_recorded_at = now;
  UnresponsiveWorkersRecord record{.epoch = world.holding.own_epoch};
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    if (IsUnresponsive(worker, now)) {
      worker.recorded_unresponsive = true;
      record.workers.push_back(
          UnresponsiveWorker{.id = worker.listing.id,
                             .leased = TimeUntilLeasesExpire(worker, now)});
    }
  }
  if (changed) {
    Log(LogLevel::kInfo, "unresponsive_workers_recorded",
        {{"epoch", record.epoch.value}, {"workers", record.workers.size()}});
  }
  return record;
}

void ApplyUnresponsiveRecordWritten(WorkflowWorld& world,
                                    const UnresponsiveWorkersRecord& record) {
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    worker.recorded_unresponsive =
        std::any_of(record.workers.begin(), record.workers.end(),
                    [&](const UnresponsiveWorker& unresponsive) {
                      return unresponsive.id == worker.listing.id;
                    });
  }
}

void ApplyUnresponsiveRecord(Holding& holding,
                             const UnresponsiveWorkersRecord& record,
                             TimePoint now) {
  if (record.epoch == holding.epoch) {
    holding.last_seen = now;
  }
  UnresponsiveWorkers& recorded = holding.unresponsive[record.epoch.value % 2];
  recorded.epoch = record.epoch;
  recorded.expiry.clear();
  for (const auto& [id, leased] : record.workers) {
    recorded.expiry[id] = now + ScaleForSlowClocks(leased);
  }
}

TimePoint RestartedLeaseExpiry(const WorkflowWorld& world, TimePoint now) {
  return std::max(now, PreviousOrdersEnd(world.holding)) +
         ScaleForSlowClocks(world.self.longest_lease);
}

TimePoint InheritedLeaseExpiry(const WorkflowWorld& world, const WorkerId& id) {
  const Holding& holding = world.holding;
  const Epoch previous(holding.own_epoch.value - 1);
  if (const auto expiry = FindRecordedLeaseExpiry(holding, previous, id)) {
    return *expiry;
  }
  const TimePoint expiry =
      PreviousOrdersEnd(holding) + ScaleForSlowClocks(world.self.lease);
  // A record of the holder before does not cover the leases of the previous
  // one, which may have ended before it recorded the longer ones that it knew.
  const Epoch before(previous.value - 1);
  return std::max(
      expiry,
      FindRecordedLeaseExpiry(holding, before, id).value_or(kDistantPast));
}

bool MayGrantLease(const TaskWorker& worker) noexcept {
  return worker.unanswered_holds == 0 && !worker.recorded_unresponsive;
}

}  // namespace chicorystep
