#ifndef CHICORYSTEP_SYSTEMS_WORKFLOW_TABLES_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOW_TABLES_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The step and the run of it that a task belongs to; null when the workflow
// or the run is not known.
struct TaskPlace {
  Workflow* workflow = nullptr;
  const StepSpec* spec = nullptr;
  StepRun* run = nullptr;
  Task* task = nullptr;

  [[nodiscard]] explicit operator bool() const noexcept {
    return this->task != nullptr;
  }
};
[[nodiscard]] TaskPlace FindTask(WorkflowWorld& world, const TaskKey& key);

// Marks the workflow's record as out of date.
void MarkDirty(WorkflowWorld& world, const WorkflowId& id, Workflow& workflow);

// Gives back the room that a task holds on its worker.
void ReleaseRoom(WorkflowWorld& world,
                 const TaskKey& key,
                 const StepSpec& spec,
                 const Task& task);

// Puts a task back among the waiting. Its room must be free: the run has ended
// or can never begin.
void ReturnToWaiting(WorkflowWorld& world,
                     const TaskKey& key,
                     const TaskPlace& place,
                     TimePoint now);

// Stops one task: at once when it was never ordered, else by a stop order.
void StopTask(WorkflowWorld& world,
              const TaskKey& key,
              const TaskPlace& place,
              TimePoint now);

// Stops every task of one run of a step that holds room.
void StopStepRun(WorkflowWorld& world,
                 const WorkflowId& id,
                 Workflow& workflow,
                 StepRun& run,
                 TimePoint now);

// Stops the task's run: the task alone, or its whole gang.
void StopRun(WorkflowWorld& world,
             const TaskKey& key,
             const TaskPlace& place,
             TimePoint now);

// A run is over or can never begin, though no end of it was listed: the task
// waits again, and the rest of its gang is stopped.
void EndWithoutReport(WorkflowWorld& world,
                      const TaskKey& key,
                      const TaskPlace& place,
                      TimePoint now);

// Whether every step that `run` depends on has ended well in its occurrence.
[[nodiscard]] bool DependenciesMet(const Workflow& workflow,
                                   const StepRun& run);

// The longest chain of declared run times through the steps.
[[nodiscard]] Duration LongestChain(const WorkflowSpec& spec);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOW_TABLES_H_
