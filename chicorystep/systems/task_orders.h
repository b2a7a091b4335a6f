#ifndef CHICORYSTEP_SYSTEMS_TASK_ORDERS_H_
#define CHICORYSTEP_SYSTEMS_TASK_ORDERS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Sends queued orders, with a bounded number in flight per worker, and the
// holds that are due.
void SendOrders(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox);

[[nodiscard]] TimePoint NextOrderDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_ORDERS_H_
