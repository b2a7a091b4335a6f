#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_PLACEMENT_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_PLACEMENT_H_

#include <cstdint>
#include <vector>

#include "chicorystep/systems/workflows/task_candidates.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Only work of this priority may preempt other work.
inline constexpr std::uint32_t kUrgentPriority = 0;

// Collects the units whose tasks wait to be placed, in the order in which a
// placement pass takes them. They refer to rows of `world`.
[[nodiscard]] std::vector<PlacementUnit> CollectUnitsInOrder(
    WorkflowWorld& world,
    const WorkflowTime& time);

// Places waiting tasks on workers: guaranteed work first, then by priority,
// lateness and deadline. A gang is placed as a whole or not at all. Urgent work
// that does not fit preempts less urgent work at the least loss.
void PlaceTasks(WorkflowWorld& world, const WorkflowTime& time);

[[nodiscard]] TimePoint NextPlacementDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_PLACEMENT_H_
