#ifndef CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_
#define CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_

#include "chicorystep/core/units.h"
#include "chicorystep/tables/task_workers.h"

namespace chicorystep {

// How much slower than ours a worker's clock may run, in thousandths; the
// platform specifies 2%.
inline constexpr std::int64_t kMaxClockSlownessPermille = 20;

// Upper bound of how long `time` lasts if our clock and a worker's both run
// slow at the allowed rate.
[[nodiscard]] Duration ScaleForSlowClocks(Duration time);

// The earliest reading that the worker's clock can have now. Leases are granted
// relative to it so that none outlasts its intended duration: the next holder
// does not know the individual leases and relies on this bound.
[[nodiscard]] WorkerClock EarliestWorkerClock(const TaskWorker& worker,
                                              TimePoint now);

// Expiry, on the worker's clock, of a lease that is granted now.
[[nodiscard]] WorkerClock ComputeLeaseExpiry(const TaskWorker& worker,
                                             Duration lease,
                                             TimePoint now);

// Upper bound of the time until every lease on the worker has expired; never
// negative.
[[nodiscard]] Duration TimeUntilLeasesExpire(const TaskWorker& worker,
                                             TimePoint now);

// The incarnation that a placement on the worker is recorded with. A restarted
// worker may have granted its longest lease to a start that was addressed to
// the earlier incarnation. Until no lease is longer than `lease`, which this
// holder grants, that incarnation is recorded, so that a next holder allows for
// the longest lease.
[[nodiscard]] WorkerIncarnation IncarnationToRecord(const TaskWorker& worker,
                                                    Duration lease,
                                                    TimePoint now);

// Whether every lease on the worker is certain to have expired.
[[nodiscard]] bool HaveLeasesExpired(const TaskWorker& worker, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_WORKER_CLOCK_H_
