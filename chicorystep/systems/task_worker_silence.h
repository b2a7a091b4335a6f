#ifndef CHICORYSTEP_SYSTEMS_TASK_WORKER_SILENCE_H_
#define CHICORYSTEP_SYSTEMS_TASK_WORKER_SILENCE_H_

#include "chicorystep/core/units.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Whether a record is to be written: other workers are silent than the newest
// record says, or that is old.
[[nodiscard]] bool WantsSilenceNote(const WorkflowWorld& world, TimePoint now);

// Makes the record of the workers that are silent now. From here on they get no
// lease, as the record may last at any moment.
[[nodiscard]] SilentWorkersRecord NoteSilence(WorkflowWorld& world,
                                              TimePoint now);

// The record lasts: the workers that it leaves out may get leases again.
void ApplySilenceWritten(WorkflowWorld& world,
                         const SilentWorkersRecord& record);

// Keeps what a holder noted, for its successor.
void ApplySilentWorkers(Holding& holding,
                        const SilentWorkersRecord& record,
                        TimePoint now);

// Sets when every lease of earlier holders on a worker that is new to this one
// has surely lapsed.
void InheritLapse(const WorkflowWorld& world, TaskWorker& worker);

// Whether the worker may get a lease: it answers, and no record says otherwise.
[[nodiscard]] bool MayLease(const TaskWorker& worker) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_WORKER_SILENCE_H_
