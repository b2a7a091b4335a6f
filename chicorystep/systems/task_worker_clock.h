#ifndef CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_
#define CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_

#include "chicorystep/core/units.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// A worker's clock may run this much slower than ours, in thousandths; the
// platform states 2%.
inline constexpr std::int64_t kClockSlowness = 20;

// Readings whose answer took longer are left out. A hold may wait for 1.8 s and
// is given up 1.6 s after that, and an answer that has come by then may take a
// little more to be read.
inline constexpr Duration kOldestReading = std::chrono::milliseconds(3600);

// The earliest and the latest that the worker's clock can read now.
[[nodiscard]] WorkerClock SlowestClock(const TaskWorker& worker, TimePoint now);
[[nodiscard]] WorkerClock FastestClock(const TaskWorker& worker, TimePoint now);

// How long at most, by the worker's clock, a lease that the previous holder
// gave can last from when the worker first obeys this one. The previous holder
// added its lease to the latest that the clock could read, which may have been
// ahead by the age of its reading.
[[nodiscard]] Duration LongestInheritedLease(const WorkflowSelf& self);

// Whether every lease on the worker has surely run out.
[[nodiscard]] bool LeasesSurelyLapsed(const TaskWorker& worker, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_
