#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKER_CLOCK_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKER_CLOCK_H_

#include "chicorystep/core/units.h"
#include "chicorystep/tables/task_workers.h"

namespace chicorystep {

// How much slower than ours a worker's clock may run, in thousandths; the
// platform specifies 2%.
inline constexpr std::int64_t kMaxClockSlownessPermille = 20;

// How long after its sending an unanswered order may still be carried out. The
// platform's pages speak of seconds, without a bound.
inline constexpr Duration kMaxOrderDelay = std::chrono::seconds(12);

// Upper bound of how long `time` lasts if our clock and a worker's both run
// slow at the allowed rate.
[[nodiscard]] Duration ScaleForSlowClocks(Duration time);

// The earliest reading that the worker's clock can have at `now`, which may be
// before its last reading. Leases are granted
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

// Notes that the order got no answer, if a later incarnation of the worker may
// carry it out and grant its longest lease for it.
void NoteUnansweredOrder(TaskWorker& worker,
                         const OrderResult& order,
                         Duration longest_lease);

// Notes that the incarnation in the table has answered the hold, so that it has
// also received all that was sent before.
void NoteIdentified(TaskWorker& worker, const OrderResult& hold);

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

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKER_CLOCK_H_
