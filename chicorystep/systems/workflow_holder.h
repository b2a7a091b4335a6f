#ifndef CHICORYSTEP_SYSTEMS_WORKFLOW_HOLDER_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOW_HOLDER_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The holder sends orders only while the store has confirmed its claim within
// this time. Longer than the outages of the store that were seen, so that work
// survives them; a successor waits for it before it starts anew what a worker
// that it cannot reach may still run.
inline constexpr Duration kConfirmationBound = std::chrono::seconds(11);

// Claims the holder's place when nobody fills it, takes it up when the claim
// is read back and the predecessor's progress is loaded, and gives it up when
// another has claimed it.
void KeepHolding(WorkflowWorld& world, const WorkflowTime& time);

// Gives the holder's place up at once and forgets what only a holder keeps.
void StopHolding(WorkflowWorld& world, std::string_view why, TimePoint now);

[[nodiscard]] TimePoint NextHolderDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOW_HOLDER_H_
