#ifndef CHICORYSTEP_SYSTEMS_TASK_ORDERS_H_
#define CHICORYSTEP_SYSTEMS_TASK_ORDERS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Sends the queued orders, a few at a time to each worker, and the holds that
// are due.
void SendOrders(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox);

[[nodiscard]] TimePoint NextOrderDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_ORDERS_H_
