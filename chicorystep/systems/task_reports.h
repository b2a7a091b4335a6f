#ifndef CHICORYSTEP_SYSTEMS_TASK_REPORTS_H_
#define CHICORYSTEP_SYSTEMS_TASK_REPORTS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Applies what workers answered: ends, what runs, clocks, and a higher fence.
void ApplyOrdersEnded(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_REPORTS_H_
