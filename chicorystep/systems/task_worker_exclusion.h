#ifndef CHICORYSTEP_SYSTEMS_TASK_WORKER_EXCLUSION_H_
#define CHICORYSTEP_SYSTEMS_TASK_WORKER_EXCLUSION_H_

#include <string_view>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Places nothing on the worker for a while, twice as long as the last time.
void ExcludeWorker(TaskWorker& worker, std::string_view why, TimePoint now);

// The same after a failed run or a slow one, which tell more of a worker than
// a rejected start.
void ExcludeFaultyWorker(TaskWorker& worker,
                         std::string_view why,
                         TimePoint now);

// Whether signs that may be wrong have left out few enough workers so far.
[[nodiscard]] bool MayExcludeMore(const WorkflowWorld& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_WORKER_EXCLUSION_H_
