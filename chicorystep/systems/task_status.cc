#include "chicorystep/systems/task_status.h"

#include <algorithm>
#include <vector>

#include "chicorystep/systems/task_candidates.h"
#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

bool HasWaitingTask(const StepRun& run) {
  return std::any_of(run.tasks.begin(), run.tasks.end(), [](const Task& task) {
    return task.state == TaskState::kWaiting;
  });
}

// Returns the workers in use that meet the requirements of the step.
std::vector<const TaskWorker*> FindSuitableWorkers(const WorkflowWorld& world,
                                                   const Workflow& workflow,
                                                   const StepSpec& step) {
  std::vector<const TaskWorker*> suitable;
  for (const TaskWorker& worker : world.scheduling.workers.rows) {
    if (worker.listed && worker.fenced && !worker.listing.draining &&
        MeetsRequirements(worker.listing, workflow, step)) {
      suitable.push_back(&worker);
    }
  }
  return suitable;
}

}  // namespace

WaitReason FindWaitReason(const WorkflowWorld& world,
                          const Workflow& workflow) {
  if (IsTerminal(workflow.shown)) {
    return WaitReason::kNothing;
  }
  if (world.holding.state != HoldingState::kHolding) {
    return WaitReason::kHolder;
  }
  if (workflow.runs.empty()) {
    return WaitReason::kDueTime;
  }
  WaitReason reason = WaitReason::kNothing;
  for (const StepRun& run : workflow.runs) {
    if (!HasWaitingTask(run)) {
      continue;
    }
    if (!DependenciesMet(workflow, run)) {
      reason = WaitReason::kEarlierSteps;
      continue;
    }
    const StepSpec& step = workflow.spec.steps[run.step.value];
    const auto suitable = FindSuitableWorkers(world, workflow, step);
    if (suitable.empty()) {
      return WaitReason::kSuitableWorker;
    }
    const bool fits = std::any_of(
        suitable.begin(), suitable.end(), [&](const TaskWorker* worker) {
          return Holds(worker->listing.capacity, step.need);
        });
    return fits ? WaitReason::kFreeCapacity : WaitReason::kLargerWorker;
  }
  return reason;
}

}  // namespace chicorystep
