#ifndef CHICORYSTEP_SYSTEMS_WORKFLOW_PROGRESS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOW_PROGRESS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Begins occurrences that are due, stops what is cancelled or has failed, and
// ends workflows of which nothing is left to run.
void AdvanceWorkflows(WorkflowWorld& world, const WorkflowTime& time);

// Marks ended workflows for removal from the journal once callers may no longer
// ask for them.
void ForgetEnded(WorkflowWorld& world, const WorkflowTime& time);

// When the next occurrence is due, on the clock of ticks.
[[nodiscard]] TimePoint NextOccurrenceDue(const WorkflowWorld& world,
                                          const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOW_PROGRESS_H_
