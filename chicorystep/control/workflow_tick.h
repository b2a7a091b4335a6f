#ifndef CHICORYSTEP_CONTROL_WORKFLOW_TICK_H_
#define CHICORYSTEP_CONTROL_WORKFLOW_TICK_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Runs every system of the workflow scheduler once, in a fixed order. It reads
// no clock and does no I/O.
[[nodiscard]] WorkflowOutbox WorkflowTick(WorkflowWorld& world,
                                          const WorkflowInbox& inbox,
                                          const WorkflowTime& time);

// Makes the world usable after a tick that threw an exception and may have
// applied only part of its inbox: gives up the holder role and reads all
// streams from the start. Calls whose message was lost time out at their
// caller.
void RecoverFromFailedTick(WorkflowWorld& world,
                           const WorkflowInbox& inbox,
                           TimePoint now);

// Returns when the next tick is due if no event arrives before.
[[nodiscard]] TimePoint NextWorkflowDue(const WorkflowWorld& world,
                                        const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_WORKFLOW_TICK_H_
