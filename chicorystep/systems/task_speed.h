#ifndef CHICORYSTEP_SYSTEMS_TASK_SPEED_H_
#define CHICORYSTEP_SYSTEMS_TASK_SPEED_H_

#include <vector>

#include "chicorystep/systems/workflow_tables.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Notes how fast a run goes; false when the report does not tell.
[[nodiscard]] bool MeasureSpeed(const WorkflowWorld& world,
                                const TaskPlace& place,
                                const RunningReport& report,
                                TimePoint now);

// Leaves out a worker on which all of `measured` goes slowly, and moves urgent
// work off it.
void JudgeSpeed(WorkflowWorld& world,
                const WorkerId& id,
                const std::vector<TaskKey>& measured,
                TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_SPEED_H_
