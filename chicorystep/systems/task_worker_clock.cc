#include "chicorystep/systems/task_worker_clock.h"

#include <algorithm>

namespace chicorystep {

WorkerClock SlowestClock(const TaskWorker& worker, TimePoint now) {
  return worker.clock + WorkerClock(WholeMillis(now - worker.clock_read) *
                                    (1000 - kClockSlowness) / 1000);
}

WorkerClock FastestClock(const TaskWorker& worker, TimePoint now) {
  return worker.clock + WorkerClock(WholeMillis(now - worker.clock_sent));
}

Duration LongestInheritedLease(const WorkflowSelf& self) {
  const Duration given =
      self.lease * (1000 + 2 * kClockSlowness) / 1000 + kOldestReading;
  return std::min(given, self.longest_lease);
}

bool LeasesSurelyLapsed(const TaskWorker& worker, TimePoint now) {
  if (worker.fenced) {
    return SlowestClock(worker, now) > worker.leased_until;
  }
  return now > worker.inherited_lapse;
}

}  // namespace chicorystep
