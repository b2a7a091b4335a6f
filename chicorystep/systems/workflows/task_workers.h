#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKERS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKERS_H_

#include <string_view>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Updates the holder's table of workers from the platform's listings.
void ApplyWorkerListings(WorkflowWorld& world,
                         const WorkflowInbox& inbox,
                         const WorkflowTime& time);

// Logs why a run whose end no worker has reported counts as ended, and what was
// known of it. Called before the task returns to waiting.
void LogRunGivenUp(const TaskWorker& worker,
                   const TaskKey& key,
                   const Task& task,
                   std::string_view why,
                   TimePoint now);

// Returns the worker's tasks to waiting. Called only when every run there is
// certain to have ended: another process answers at the address, or the leases
// have expired.
void ReleaseLostTasks(WorkflowWorld& world,
                      const WorkerId& id,
                      std::string_view why,
                      TimePoint now);

// Handles a new incarnation of the worker, which has no runs, leases or fence.
// `shown_by` says for the log what has shown it.
void ApplyWorkerRestart(WorkflowWorld& world,
                        const WorkerId& id,
                        WorkerIncarnation incarnation,
                        std::string_view shown_by,
                        TimePoint now);

// Asks a worker at once for a report, after an answer that did not say which
// incarnation gave it but read an earlier time on the worker's clock than this
// one can. Until then nothing is known of what the worker runs.
void AskForIncarnation(WorkflowWorld& world, TaskWorker& worker, TimePoint now);

// Returns to waiting the tasks of workers whose leases are certain to have
// expired, and removes workers that have left.
void ExpireWorkers(WorkflowWorld& world, const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_WORKERS_H_
