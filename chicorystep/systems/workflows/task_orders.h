#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_ORDERS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_ORDERS_H_

#include <cstddef>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// How many members of one gang may be placed on the worker now, so that all of
// them can be started before the first ones give up waiting for the others.
// Orders that are queued already come first.
[[nodiscard]] std::size_t CountGangStarts(const WorkflowSelf& self,
                                          const TaskWorker& worker);

// Sends queued orders, with a bounded number in flight per worker, and the
// holds that are due. The orders of one tick are bounded; the rest follows in
// the next ticks.
void SendOrders(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox);

[[nodiscard]] TimePoint NextOrderDue(const WorkflowWorld& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_ORDERS_H_
