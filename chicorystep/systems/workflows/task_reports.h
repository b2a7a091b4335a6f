#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_REPORTS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_REPORTS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Applies the results of orders: ended runs, running runs and worker clocks.
// Gives up the holder role if a worker has accepted a higher fence.
void ApplyOrderResults(WorkflowWorld& world,
                       const WorkflowInbox& inbox,
                       const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_REPORTS_H_
