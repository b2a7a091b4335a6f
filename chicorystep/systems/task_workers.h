#ifndef CHICORYSTEP_SYSTEMS_TASK_WORKERS_H_
#define CHICORYSTEP_SYSTEMS_TASK_WORKERS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Keeps the holder's table of workers as the platform lists them.
void ApplyWorkerListings(WorkflowWorld& world,
                         const WorkflowInbox& inbox,
                         const WorkflowTime& time);

// Applies what workers answered: ends, what runs, clocks, and a higher fence.
void ApplyOrdersEnded(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time);

// Returns the tasks of workers whose leases have surely lapsed, and forgets
// workers that have left.
void ExpireWorkers(WorkflowWorld& world, const WorkflowTime& time);

// Sends the queued orders, one at a time to each worker, and the holds that
// are due.
void SendOrders(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox);

[[nodiscard]] TimePoint NextOrderDue(const WorkflowWorld& world);

// The earliest that the worker's clock can read now.
[[nodiscard]] WorkerClock SlowestClock(const TaskWorker& worker, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_WORKERS_H_
