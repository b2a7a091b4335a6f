#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_EVACUATION_TASK_EVACUATION_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_EVACUATION_TASK_EVACUATION_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Applies the changes of evacuated zones in a successful read of the operator's
// stream. A read of the newest records replaces the whole set.
void ApplyEvacuations(WorkflowWorld& world,
                      const StreamRead& read,
                      TimePoint now);

// Withdraws the tasks that are placed in evacuated zones and whose start is not
// in flight: the start has not been sent, or has got no answer. Gangs are
// withdrawn as a whole. Tasks that run there are left alone.
void WithdrawEvacuatedStarts(WorkflowWorld& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_EVACUATION_TASK_EVACUATION_H_
