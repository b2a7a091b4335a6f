#ifndef CHICORYSTEP_CONTROL_WORKFLOW_TICK_H_
#define CHICORYSTEP_CONTROL_WORKFLOW_TICK_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Runs every system of the workflow scheduler once, in a fixed order. It reads
// no clock and does no I/O.
[[nodiscard]] WorkflowOutbox WorkflowTick(WorkflowWorld& world,
                                          const WorkflowInbox& inbox,
                                          const WorkflowTime& time);

// Returns when the next tick is due if no event arrives before.
[[nodiscard]] TimePoint NextWorkflowDue(const WorkflowWorld& world,
                                        const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_WORKFLOW_TICK_H_
