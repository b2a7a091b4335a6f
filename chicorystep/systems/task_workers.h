#ifndef CHICORYSTEP_SYSTEMS_TASK_WORKERS_H_
#define CHICORYSTEP_SYSTEMS_TASK_WORKERS_H_

#include <string_view>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Keeps the holder's table of workers as the platform lists them.
void ApplyWorkerListings(WorkflowWorld& world,
                         const WorkflowInbox& inbox,
                         const WorkflowTime& time);

// Every task there has surely ended: the worker's process is another one, or
// its leases have lapsed.
void LoseTasks(WorkflowWorld& world,
               const WorkerId& id,
               std::string_view why,
               TimePoint now);

// The worker's process has started anew: it holds and knows nothing.
void BeginLife(WorkflowWorld& world,
               const WorkerId& id,
               WorkerLife life,
               TimePoint now);

// Returns the tasks of workers whose leases have surely lapsed, and forgets
// workers that have left.
void ExpireWorkers(WorkflowWorld& world, const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_WORKERS_H_
