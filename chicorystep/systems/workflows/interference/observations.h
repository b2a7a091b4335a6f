#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_OBSERVATIONS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_OBSERVATIONS_H_

#include <vector>

#include "chicorystep/systems/workflows/workflow_tables.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Notes which kinds of task one worker's report shows beside each other.
// `running` are the tasks in the report; of those in `measured`, which are in
// the same order, the report has updated `Task::use`.
void ObserveReport(WorkflowWorld& world,
                   const std::vector<TaskKey>& running,
                   const std::vector<TaskKey>& measured,
                   TimePoint now);

// Adds the run that ends to the samples of its kind. Must be called before the
// end changes the task.
void ObserveEnd(WorkflowWorld& world,
                const TaskKey& key,
                const TaskRef& ref,
                RunEnd end,
                TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_OBSERVATIONS_H_
