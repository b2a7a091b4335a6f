#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_TABLES_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_TABLES_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// A task with the step run, the step and the workflow that it belongs to. All
// pointers are null when the workflow or the run is unknown.
struct TaskRef {
  Workflow* workflow = nullptr;
  const StepSpec* spec = nullptr;
  StepRun* run = nullptr;
  Task* task = nullptr;

  [[nodiscard]] explicit operator bool() const noexcept {
    return this->task != nullptr;
  }
};
[[nodiscard]] TaskRef FindTask(WorkflowWorld& world, const TaskKey& key);

// Queues the workflow to be advanced in the next pass over changed workflows.
void QueueAdvance(WorkflowWorld& world,
                  const WorkflowId& id,
                  Workflow& workflow);

// Marks the workflow's progress record as out of date, so that it is written
// again, and queues the workflow to be advanced.
void MarkDirty(WorkflowWorld& world, const WorkflowId& id, Workflow& workflow);

// Shows the workflow as running once a worker has confirmed the start of one of
// its tasks. A start that is only placed or rejected does not count.
void MarkBegun(WorkflowWorld& world, const WorkflowId& id, Workflow& workflow);

// Releases the capacity that a task holds on its worker.
void ReleaseCapacity(WorkflowWorld& world,
                     const TaskKey& key,
                     const StepSpec& spec,
                     const Task& task);

// Returns a task to kWaiting and releases its capacity. The task's run must
// have ended or be unable to begin.
void ReturnToWaiting(WorkflowWorld& world,
                     const TaskKey& key,
                     const TaskRef& ref,
                     TimePoint now);

// Stops one task: at once when its start has not been ordered, otherwise by a
// stop order.
void StopTask(WorkflowWorld& world,
              const TaskKey& key,
              const TaskRef& ref,
              TimePoint now);

// Stops every task of one step run that holds capacity.
void StopStepRun(WorkflowWorld& world,
                 const WorkflowId& id,
                 Workflow& workflow,
                 StepRun& run,
                 TimePoint now);

// Stops the task, and the rest of its gang if it belongs to one.
void StopRun(WorkflowWorld& world,
             const TaskKey& key,
             const TaskRef& ref,
             TimePoint now);

// Handles a run that has ended or can never begin although its worker reported
// no end: the task waits again, and the rest of its gang is stopped.
void HandleUnreportedEnd(WorkflowWorld& world,
                         const TaskKey& key,
                         const TaskRef& ref,
                         TimePoint now);

// Returns the run of one step for one occurrence; null if it has not begun or
// has been dropped with its occurrence. The runs are in the order of
// occurrences, and of steps within each.
[[nodiscard]] StepRun* FindStepRun(Workflow& workflow,
                                   Occurrence occurrence,
                                   StepIndex step);
[[nodiscard]] const StepRun* FindStepRun(const Workflow& workflow,
                                         Occurrence occurrence,
                                         StepIndex step);

// Whether every step that `run` depends on has succeeded in the same
// occurrence.
[[nodiscard]] bool DependenciesMet(const Workflow& workflow,
                                   const StepRun& run);

// Returns the length of the critical path: the longest chain of estimated run
// times through the steps.
[[nodiscard]] Duration CriticalPathLength(const WorkflowSpec& spec);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_TABLES_H_
