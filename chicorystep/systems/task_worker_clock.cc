#include "chicorystep/systems/task_worker_clock.h"

#include <algorithm>
#include <chrono>

namespace chicorystep {

Duration OnSlowClocks(Duration time) {
  return time * (1000 + 2 * kClockSlowness) / 1000;
}

WorkerClock SlowestClock(const TaskWorker& worker, TimePoint now) {
  return worker.clock + WorkerClock(WholeMillis(now - worker.clock_read) *
                                    (1000 - kClockSlowness) / 1000);
}

WorkerClock LeaseEnd(const TaskWorker& worker, Duration lease, TimePoint now) {
  return SlowestClock(worker, now) + WorkerClock(WholeMillis(lease));
}

Duration LeasesLapseIn(const TaskWorker& worker, TimePoint now) {
  if (!worker.fenced) {
    return std::max(Duration(), worker.inherited_lapse - now);
  }
  const WorkerClock left = worker.leased_until - SlowestClock(worker, now);
  // One more, as division rounds down.
  const std::int64_t millis = left.value * 1000 / (1000 - kClockSlowness) + 1;
  return std::max(Duration(), Duration(std::chrono::milliseconds(millis)));
}

bool LeasesSurelyLapsed(const TaskWorker& worker, TimePoint now) {
  return LeasesLapseIn(worker, now) == Duration();
}

}  // namespace chicorystep
