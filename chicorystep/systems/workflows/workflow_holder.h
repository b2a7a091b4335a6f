#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_HOLDER_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_HOLDER_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The holder sends orders only while the store has confirmed its claim within
// this time. It exceeds the outages of the store that have been observed, so
// that work survives them. The next holder waits for it before it restarts
// tasks that an unreachable worker may still run.
inline constexpr Duration kConfirmationBound = std::chrono::seconds(11);

// Advances the election of the holder. Claims the holder role when it is
// vacant, takes over when the claim has been read back and the previous
// holder's progress is loaded, and stops when another entry has claimed the
// role.
void UpdateHolding(WorkflowWorld& world, const WorkflowTime& time);

// Stops claiming or holding the holder role at once and discards the state that
// only a holder keeps. `why` goes to the log.
void StopHolding(WorkflowWorld& world, std::string_view why, TimePoint now);

[[nodiscard]] TimePoint NextHolderDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_HOLDER_H_
