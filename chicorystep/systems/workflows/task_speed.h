#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_SPEED_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_SPEED_H_

#include <vector>

#include "chicorystep/systems/workflows/workflow_tables.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Updates the run's measured speed, compared with tasks of its kind on other
// workers, or with its request if none has been measured there; returns false
// if the report does not allow a measurement.
[[nodiscard]] bool UpdateSpeed(WorkflowWorld& world,
                               const TaskRef& ref,
                               const RunningReport& report,
                               TimePoint now);

// If all `measured` tasks run slowly on the worker, excludes it from placement
// and moves tasks off it that are urgent or save their progress. Each task is
// moved a few times at most.
void CheckWorkerSpeed(WorkflowWorld& world,
                      const WorkerId& id,
                      const std::vector<TaskKey>& measured,
                      TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_SPEED_H_
