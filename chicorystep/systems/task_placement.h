#ifndef CHICORYSTEP_SYSTEMS_TASK_PLACEMENT_H_
#define CHICORYSTEP_SYSTEMS_TASK_PLACEMENT_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Chooses workers for waiting tasks, in the order of `UnitOrder`; a gang gets
// all its workers at once or none. Urgent work that does not fit has the least
// costly less urgent work stopped.
void PlaceTasks(WorkflowWorld& world, const WorkflowTime& time);

[[nodiscard]] TimePoint NextPlacementDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_PLACEMENT_H_
