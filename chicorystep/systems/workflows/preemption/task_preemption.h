#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_TASK_PREEMPTION_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_TASK_PREEMPTION_H_

#include "chicorystep/systems/workflows/task_candidates.h"

namespace chicorystep {

// Stops less urgent work with the least loss, also if it is about to end by
// itself, and reserves its capacity for the unit. A unit within its workspace's
// guarantee may also stop equally urgent work that exceeds the guarantees of
// other workspaces; no other unit stops anything once it cannot be of worth.
// Returns false, and does nothing, if it turns out that stopping all of it
// would not free enough capacity.
bool PreemptForUnit(TaskPlacementPass& pass, const PlacementUnit& unit);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_TASK_PREEMPTION_H_
