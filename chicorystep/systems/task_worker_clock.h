#ifndef CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_
#define CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_

#include "chicorystep/core/units.h"
#include "chicorystep/tables/task_workers.h"

namespace chicorystep {

// A worker's clock may run this much slower than ours, in thousandths; the
// platform states 2%.
inline constexpr std::int64_t kClockSlowness = 20;

// How long `time` takes at most when both our clock and a worker's are slow.
[[nodiscard]] Duration OnSlowClocks(Duration time);

// The earliest that the worker's clock can read now. Leases are given from it
// on, so that none outlasts the time it is meant for: a successor that knows
// nothing of them can rely on that.
[[nodiscard]] WorkerClock SlowestClock(const TaskWorker& worker, TimePoint now);

// When a lease that is given now ends.
[[nodiscard]] WorkerClock LeaseEnd(const TaskWorker& worker,
                                   Duration lease,
                                   TimePoint now);

// How long it takes at most from now until every lease on the worker has run
// out; not negative.
[[nodiscard]] Duration LeasesLapseIn(const TaskWorker& worker, TimePoint now);

// Whether every lease on the worker has surely run out.
[[nodiscard]] bool LeasesSurelyLapsed(const TaskWorker& worker, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_
