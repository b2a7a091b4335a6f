#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_UNRESPONSIVE_WORKERS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_UNRESPONSIVE_WORKERS_H_

#include "chicorystep/core/units.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Whether a record of the unresponsive workers must be written: the set differs
// from the newest record, or that record is due for renewal.
[[nodiscard]] bool NeedsUnresponsiveRecord(const WorkflowWorld& world,
                                           TimePoint now);

// Builds the record of the workers that are unresponsive now. From here on they
// are given no lease, because the record may be durable at any moment.
[[nodiscard]] UnresponsiveWorkersRecord RecordUnresponsiveWorkers(
    WorkflowWorld& world,
    TimePoint now);

// Called when the record is written: workers that it omits may be given leases
// again.
void ApplyUnresponsiveRecordWritten(WorkflowWorld& world,
                                    const UnresponsiveWorkersRecord& record);

// Stores a holder's record, read from the journal, for use if this process
// becomes the next holder.
void ApplyUnresponsiveRecord(Holding& holding,
                             const UnresponsiveWorkersRecord& record,
                             TimePoint now);

// By when every lease on a worker that is seen to restart at `now` has expired.
// An order to an earlier incarnation bears a lease expiry on that incarnation's
// clock, so the present one may grant its longest lease. Previous holders may
// order until their last orders end.
[[nodiscard]] TimePoint RestartedLeaseExpiry(const WorkflowWorld& world,
                                             TimePoint now);

// By when every lease of previous holders on the worker has expired, if it has
// not restarted.
[[nodiscard]] TimePoint InheritedLeaseExpiry(const WorkflowWorld& world,
                                             const WorkerId& id);

// Whether the worker may be given a lease: it answers, and no record lists it
// as unresponsive.
[[nodiscard]] bool MayGrantLease(const TaskWorker& worker) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_UNRESPONSIVE_WORKERS_H_
