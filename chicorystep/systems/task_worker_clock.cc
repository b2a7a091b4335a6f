#include "chicorystep/systems/task_worker_clock.h"

#include <algorithm>
#include <chrono>

namespace chicorystep {

Duration ScaleForSlowClocks(Duration time) {
  return time * (1000 + 2 * kMaxClockSlownessPermille) / 1000;
}

WorkerClock EarliestWorkerClock(const TaskWorker& worker, TimePoint now) {
  return worker.clock + WorkerClock(WholeMillis(now - worker.clock_read) *
                                    (1000 - kMaxClockSlownessPermille) / 1000);
}

WorkerClock ComputeLeaseExpiry(const TaskWorker& worker,
                               Duration lease,
                               TimePoint now) {
  return EarliestWorkerClock(worker, now) + WorkerClock(WholeMillis(lease));
}

Duration TimeUntilLeasesExpire(const TaskWorker& worker, TimePoint now) {
  if (!worker.fenced) {
    return std::max(Duration(), worker.inherited_lease_expiry - now);
  }
  const WorkerClock left =
      worker.leased_until - EarliestWorkerClock(worker, now);
  // Add 1 ms because the division rounds down.
  const std::int64_t millis =
      left.value * 1000 / (1000 - kMaxClockSlownessPermille) + 1;
  return std::max(Duration(), Duration(std::chrono::milliseconds(millis)));
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
