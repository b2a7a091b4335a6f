#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_PROGRESS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_PROGRESS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// When an occurrence may begin; workflows without a schedule may begin at once.
[[nodiscard]] UnixMillis DueAt(const WorkflowSpec& spec, Occurrence occurrence);

// Adds the runs of all steps for the workflow's next occurrence, which begins.
// Returns its number.
Occurrence AddStepRuns(Workflow& workflow);

// Whether the workflow's next occurrence exists and is due at `now`.
[[nodiscard]] bool IsOccurrenceDue(const Workflow& workflow, UnixMillis now);

// Begins occurrences that are due, stops the tasks of workflows that are
// cancelled or have failed, and ends workflows that have nothing left to run.
void AdvanceWorkflows(WorkflowWorld& world, const WorkflowTime& time);

// Removes ended workflows whose retention has elapsed from the table, and
// queues their removal from the journal.
void EvictEndedWorkflows(WorkflowWorld& world, const WorkflowTime& time);

// Returns when the next occurrence is due, on the clock of `time.now`.
[[nodiscard]] TimePoint NextOccurrenceDue(const WorkflowWorld& world,
                                          const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_PROGRESS_H_
