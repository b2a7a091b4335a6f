#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_STATUS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_STATUS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Returns what the first step with a task without a run waits for, of those
// whose dependencies are met; if there is none, whether the waiting tasks
// depend on earlier steps.
[[nodiscard]] WaitReason FindWaitReason(const WorkflowWorld& world,
                                        const WorkflowId& id,
                                        const Workflow& workflow,
                                        TimePoint now);

// Updates the ages of the oldest ready tasks without a run, and logs workflows
// of which nothing has run for a while although a task is ready. Only the
// holder does so, once a second.
void ObserveWaits(WorkflowWorld& world, const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_STATUS_H_
