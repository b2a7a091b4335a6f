#include "chicorystep/systems/task_worker_clock.h"

namespace chicorystep {

WorkerClock SlowestClock(const TaskWorker& worker, TimePoint now) {
  return worker.clock + WorkerClock(WholeMillis(now - worker.clock_read) *
                                    (1000 - kClockSlowness) / 1000);
}

WorkerClock LeaseEnd(const TaskWorker& worker, Duration lease, TimePoint now) {
  return SlowestClock(worker, now) + WorkerClock(WholeMillis(lease));
}

bool LeasesSurelyLapsed(const TaskWorker& worker, TimePoint now) {
  if (worker.fenced) {
    return SlowestClock(worker, now) > worker.leased_until;
  }
  return now > worker.inherited_lapse;
}

}  // namespace chicorystep
