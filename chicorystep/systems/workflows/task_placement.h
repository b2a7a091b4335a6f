#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_PLACEMENT_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_PLACEMENT_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Places waiting tasks on workers: guaranteed work first, then by priority,
// lateness and deadline. A gang is placed as a whole or not at all. Urgent work
// that does not fit preempts less urgent work at the least loss.
void PlaceTasks(WorkflowWorld& world, const WorkflowTime& time);

[[nodiscard]] TimePoint NextPlacementDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_PLACEMENT_H_
