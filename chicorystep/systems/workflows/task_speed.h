#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_SPEED_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_SPEED_H_

#include <vector>

#include "chicorystep/systems/workflows/workflow_tables.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Updates the run's measured speed; returns false if the report does not allow
// a measurement.
[[nodiscard]] bool UpdateSpeed(const WorkflowWorld& world,
                               const TaskRef& ref,
                               const RunningReport& report,
                               TimePoint now);

// If all `measured` tasks run slowly on the worker, excludes it from placement
// and moves tasks off it that are urgent or save their progress.
void CheckWorkerSpeed(WorkflowWorld& world,
                      const WorkerId& id,
                      const std::vector<TaskKey>& measured,
                      TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_SPEED_H_
