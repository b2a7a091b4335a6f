#include "chicorystep/systems/workflows/workflow_tables.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chicorystep {

TaskRef FindTask(WorkflowWorld& world, const TaskKey& key) {
  Workflow* workflow = world.workflows.find(key.workflow);
  if (workflow == nullptr || key.step.value >= workflow->spec.steps.size()) {
    return {};
  }
  StepRun* run = FindStepRun(*workflow, key.occurrence, key.step);
  if (run == nullptr || key.task.value >= run->tasks.size()) {
    return {};
  }
  return TaskRef{.workflow = workflow,
                 .spec = &workflow->spec.steps[key.step.value],
                 .run = run,
                 .task = &run->tasks[key.task.value]};
}

const StepRun* FindStepRun(const Workflow& workflow,
                           Occurrence occurrence,
                           StepIndex step) {
  const auto run = std::lower_bound(
      workflow.runs.begin(), workflow.runs.end(), std::pair(occurrence, step),
      [](const StepRun& row, const std::pair<Occurrence, StepIndex>& wanted) {
        return std::pair(row.occurrence, row.step) < wanted;
      });
  return run != workflow.runs.end() && run->occurrence == occurrence &&
                 run->step == step
             ? &*run
             : nullptr;
}

StepRun* FindStepRun(Workflow& workflow,
                     Occurrence occurrence,
                     StepIndex step) {
  return const_cast<StepRun*>(  // NOLINT(cppcoreguidelines-pro-type-const-cast)
      FindStepRun(std::as_const(workflow), occurrence, step));
}

void QueueAdvance(WorkflowWorld& world,
                  const WorkflowId& id,
                  Workflow& workflow) {
  if (!std::exchange(workflow.advance_queued, true)) {
    world.scheduling.to_advance.push_back(id);
  }
}

void MarkDirty(WorkflowWorld& world, const WorkflowId& id, Workflow& workflow) {
  QueueAdvance(world, id, workflow);
  if (!std::exchange(workflow.dirty, true)) {
    world.scheduling.dirty.push_back(id);
    ++world.scheduling.changes_queued.value;
  }
}

void MarkBegun(WorkflowWorld& world, const WorkflowId& id, Workflow& workflow) {
  if (workflow.state != WorkflowState::kQueued) {
    return;
  }
  workflow.state = workflow.announced = WorkflowState::kRunning;
  world.scheduling.to_announce.push_back(StateRecord{
      .id = id, .epoch = world.holding.own_epoch, .state = workflow.state});
}

void ReleaseCapacity(WorkflowWorld& world,
                     const TaskKey& key,
                     const StepSpec& spec,
                     const Task& task) {
  TaskWorker* worker = world.scheduling.workers.find(task.worker);
  if (worker == nullptr) {
    return;
  }
  if (const auto held = worker->tasks.find(key);
      held != worker->tasks.end() && held->second == task.run) {
    worker->tasks.erase(held);
    worker->free = worker->free + spec.need;
    world.scheduling.placement_due = true;
  }
}

void ReturnToWaiting(WorkflowWorld& world,
                     const TaskKey& key,
                     const TaskRef& ref,
                     TimePoint now) {
  ReleaseCapacity(world, key, *ref.spec, *ref.task);
  ref.task->state = TaskState::kWaiting;
  ref.task->since = now;
  ref.task->order_pending = false;
  MarkDirty(world, key.workflow, *ref.workflow);
  world.scheduling.placement_due = true;
}

void StopTask(WorkflowWorld& world,
              const TaskKey& key,
              const TaskRef& ref,
              TimePoint now) {
  Task& task = *ref.task;
  if (task.state == TaskState::kPlaced) {
    ReturnToWaiting(world, key, ref, now);
    return;
  }
  if (task.state != TaskState::kStarting && task.state != TaskState::kRunning) {
    return;
  }
  TaskWorker* worker = world.scheduling.workers.find(task.worker);
  // A start order that is still queued is dropped.
  const std::size_t dropped =
      worker == nullptr
          ? 0
          : std::erase_if(worker->orders, [&](const WorkerOrder& order) {
              return order.task == key && order.run == task.run;
            });
  if (dropped > 0 && task.state == TaskState::kStarting &&
      !task.start_unconfirmed) {
    // It has never been sent.
    ReturnToWaiting(world, key, ref, now);
    return;
  }
  task.state = TaskState::kStopping;
  task.since = now;
  task.order_pending = true;
  if (worker != nullptr) {
    worker->orders.push_back(WorkerOrder{.kind = OrderKind::kStop,
                                         .worker = task.worker,
                                         .task = key,
                                         .run = task.run});
  }
}

void StopStepRun(WorkflowWorld& world,
                 const WorkflowId& id,
                 Workflow& workflow,
                 StepRun& run,
                 TimePoint now) {
  const StepSpec& spec = workflow.spec.steps[run.step.value];
  for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
    StopTask(world, TaskKey{id, run.occurrence, run.step, TaskIndex(i)},
             TaskRef{&workflow, &spec, &run, &run.tasks[i]}, now);
  }
}

void StopRun(WorkflowWorld& world,
             const TaskKey& key,
             const TaskRef& ref,
             TimePoint now) {
  if (ref.spec->gang) {
    StopStepRun(world, key.workflow, *ref.workflow, *ref.run, now);
  } else {
    StopTask(world, key, ref, now);
  }
}

void HandleUnreportedEnd(WorkflowWorld& world,
                         const TaskKey& key,
                         const TaskRef& ref,
                         TimePoint now) {
  ReturnToWaiting(world, key, ref, now);
  if (ref.spec->gang) {
    StopStepRun(world, key.workflow, *ref.workflow, *ref.run, now);
  }
}

bool DependenciesMet(const Workflow& workflow, const StepRun& run) {
  const StepSpec& spec = workflow.spec.steps[run.step.value];
  return std::all_of(
      spec.depends_on.begin(), spec.depends_on.end(), [&](StepIndex needed) {
        const StepRun* other = FindStepRun(workflow, run.occurrence, needed);
        return other != nullptr && IsDone(*other);
      });
}

Duration CriticalPathLength(const WorkflowSpec& spec) {
  std::vector<Duration> ends(spec.steps.size());
  Duration longest{};
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    Duration begin{};
    for (const StepIndex needed : spec.steps[i].depends_on) {
      if (needed.value < i) {
        begin = std::max(begin, ends[needed.value]);
      }
    }
    ends[i] = begin + spec.steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

}  // namespace chicorystep
