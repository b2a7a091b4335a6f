#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKER_EXCLUSION_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKER_EXCLUSION_H_

#include <string_view>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Excludes the worker from placement, for twice as long as the last time.
void ExcludeWorker(TaskWorker& worker, std::string_view why, TimePoint now);

// Excludes the worker after a failed or slow run, for longer than after a
// rejected start because these are stronger signs of a faulty worker.
void ExcludeFaultyWorker(TaskWorker& worker,
                         std::string_view why,
                         TimePoint now);

// Whether another worker may be excluded on signs that can be wrong. Limits the
// share of excluded workers.
[[nodiscard]] bool MayExcludeAnother(const WorkflowWorld& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKER_EXCLUSION_H_
