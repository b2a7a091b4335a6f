#ifndef CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_
#define CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_

#include "chicorystep/core/units.h"
#include "chicorystep/tables/task_workers.h"

namespace chicorystep {

// A worker's clock may run this much slower than ours, in thousandths; the
// platform states 2%.
inline constexpr std::int64_t kClockSlowness = 20;

// The earliest and the latest that the worker's clock can read now.
[[nodiscard]] WorkerClock SlowestClock(const TaskWorker& worker, TimePoint now);
[[nodiscard]] WorkerClock FastestClock(const TaskWorker& worker, TimePoint now);

// Whether every lease on the worker has surely run out.
[[nodiscard]] bool LeasesSurelyLapsed(const TaskWorker& worker, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_
