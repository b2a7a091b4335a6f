#include "chicorystep/systems/workflows/task_status.h"

#include <algorithm>
#include <array>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/task_candidates.h"
#include "chicorystep/systems/workflows/task_orders.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

constexpr Duration kObservationPeriod = std::chrono::seconds(1);
// A workflow of which nothing runs is logged after this time, and again when
// the reason changes or the time has doubled.
constexpr Duration kMinLoggedWait = std::chrono::seconds(1);
// Holds are answered at least this often, so a run that was reported longer ago
// may have ended.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(2500);
// Lines in one observation, longest wait first.
constexpr std::size_t kMaxLinesPerObservation = 20;

// What the workers of a service offer to tasks of one size.
struct WorkerSurvey {
  // Listed workers with the label that do not drain, and those of them that
  // could run a task if they were empty.
  std::size_t suitable = 0;
  std::size_t large_enough = 0;
  // Tasks for which usable workers have room, and for which others have it.
  std::size_t room = 0;
  std::size_t unusable_room = 0;
  // Members of one gang that can start on usable workers in time.
  std::size_t gang_starts = 0;
  // Workers with room on which nothing is placed now, by the reason.
  std::array<std::size_t, kEnumNames<WorkerRejection>.size()> rejected{};
};

// The number of tasks of size `need` that fit in `free`, up to `most`.
std::size_t CountFits(const Capacity& free,
                      const Capacity& need,
                      std::size_t most) {
  const auto limit = [&](std::int64_t available, std::int64_t each) {
    if (each > 0) {
      most = std::min(most, static_cast<std::size_t>(
                                std::max<std::int64_t>(0, available / each)));
    }
  };
  limit(free.accelerators.value, need.accelerators.value);
  limit(free.processors.value, need.processors.value);
  limit(free.memory.value, need.memory.value);
  return Holds(free, need) ? most : 0;
}

// The surveys of one observation. Steps with the same requirements share one,
// since each visits every worker.
using WorkerSurveys = std::vector<std::pair<FitRequirements, WorkerSurvey>>;

const WorkerSurvey& SurveyWorkers(WorkerSurveys& surveys,
                                  const WorkflowWorld& world,
                                  const Workflow& workflow,
                                  const StepSpec& step,
                                  TimePoint now) {
  const FitRequirements requirements{.service = workflow.terms.service,
                                     .label = step.required_label,
                                     .need = step.need};
  if (const auto known = std::find_if(
          surveys.begin(), surveys.end(),
          [&](const auto& row) { return row.first == requirements; });
      known != surveys.end()) {
    return known->second;
  }
  WorkerSurvey& survey =
      surveys.emplace_back(requirements, WorkerSurvey{}).second;
  for (const TaskWorker& worker : world.scheduling.workers.rows) {
    if (!worker.listed || worker.listing.draining ||
        !MeetsRequirements(worker.listing, workflow, step)) {
      continue;
    }
    ++survey.suitable;
    if (!Holds(worker.listing.capacity, step.need)) {
      continue;
    }
    ++survey.large_enough;
    const std::size_t fits =
        CountFits(worker.free, step.need, std::max(step.count, 1U));
    if (fits == 0) {
      continue;
    }
    const WorkerRejection rejection = FindRejection(world, worker, now);
    if (rejection == WorkerRejection::kNone) {
      survey.room += fits;
      survey.gang_starts += std::min(fits, CountGangStarts(world.self, worker));
    } else {
      survey.unusable_room += fits;
      ++survey.rejected[static_cast<std::size_t>(rejection)];
    }
  }
  return survey;
}

// Why the waiting tasks of a step whose dependencies are met are not placed.
WaitReason FindPlacementReason(const WorkerSurvey& survey,
                               const StepSpec& step) {
  const std::size_t wanted = step.gang ? step.count : 1;
  if (survey.suitable == 0) {
    return WaitReason::kSuitableWorker;
  }
  if (survey.large_enough == 0) {
    return WaitReason::kLargerWorker;
  }
  if (survey.room < wanted) {
    return survey.room + survey.unusable_room >= wanted
               ? WaitReason::kUsableWorker
               : WaitReason::kFreeCapacity;
  }
  if (step.gang && survey.gang_starts < wanted) {
    return WaitReason::kGangStarts;
  }
  if (step.max_per_worker > 0) {
    return WaitReason::kSpread;
  }
  return step.gang && step.same_rack && step.count > 1
             ? WaitReason::kOneRack
             : WaitReason::kReservation;
}

// Why a task for which a worker is chosen does not run.
WaitReason FindOrderReason(const WorkflowWorld& world,
                           const TaskKey& key,
                           const Task& task) {
  if (task.state == TaskState::kPlaced) {
    return WaitReason::kRecord;
  }
  if (task.state == TaskState::kRunning) {
    return WaitReason::kReport;
  }
  if (task.state == TaskState::kStopping) {
    return WaitReason::kStopConfirmed;
  }
  const auto row = world.scheduling.workers.index.find(task.worker);
  const bool queued =
      row != world.scheduling.workers.index.end() &&
      std::any_of(world.scheduling.workers.rows[row->second].orders.begin(),
                  world.scheduling.workers.rows[row->second].orders.end(),
                  [&](const WorkerOrder& order) { return order.task == key; });
  return queued ? WaitReason::kStartSent : WaitReason::kStartConfirmed;
}

// A ready task without a run: of the tasks of its step run that wait for the
// same, the one that has done so for longest.
struct StepWait {
  TaskKey key;
  WaitReason reason = WaitReason::kNothing;
  const Task* task = nullptr;
  Duration waited{};
  WorkerSurvey survey;
};

bool IsKnownToRun(const Task& task, TimePoint now) {
  return task.state == TaskState::kRunning &&
         now - task.last_running <= kMaxReportAge;
}

// Finds what a step run whose dependencies are met waits for; nothing if all
// its tasks run or are done. Waiting tasks come before those that are placed,
// and the reverse in a gang, whose members are placed together.
std::optional<StepWait> FindStepWait(WorkerSurveys& surveys,
                                     const WorkflowWorld& world,
                                     const WorkflowId& id,
                                     const Workflow& workflow,
                                     const StepRun& run,
                                     TimePoint now) {
  const StepSpec& step = workflow.spec.steps[run.step.value];
  const auto order = [&](const Task& task) {
    const bool waiting = task.state == TaskState::kWaiting;
    return std::tuple(waiting == step.gang, task.last_running);
  };
  // Stands for the tasks that have never been placed.
  static const Task untouched;
  const Task* longest = run.untouched > 0 ? &untouched : nullptr;
  std::size_t index = run.tasks.size();
  for (std::size_t i = 0; i < run.tasks.size(); ++i) {
    const Task& task = run.tasks[i];
    if (task.state != TaskState::kDone && !IsKnownToRun(task, now) &&
        (longest == nullptr || order(task) < order(*longest))) {
      longest = &task;
      index = i;
    }
  }
  if (longest == nullptr) {
    return std::nullopt;
  }
  StepWait wait{.key = TaskKey{id, run.occurrence, run.step,
                               TaskIndex(static_cast<std::uint32_t>(index))},
                .task = longest,
                .waited = now - std::max(std::min(run.ready_since, now),
                                         longest->last_running)};
  if (longest->state != TaskState::kWaiting) {
    wait.reason = FindOrderReason(world, wait.key, *longest);
    return wait;
  }
  if (step.gang &&
      std::any_of(run.tasks.begin(), run.tasks.end(), [](const Task& task) {
        return task.state != TaskState::kWaiting;
      })) {
    wait.reason = WaitReason::kGangMembers;
    return wait;
  }
  wait.survey = SurveyWorkers(surveys, world, workflow, step, now);
  wait.reason = FindPlacementReason(wait.survey, step);
  return wait;
}

bool IsAnyTaskRunning(const Workflow& workflow, TimePoint now) {
  return std::any_of(
      workflow.runs.begin(), workflow.runs.end(), [&](const StepRun& run) {
        return std::any_of(
            run.tasks.begin(), run.tasks.end(),
            [&](const Task& task) { return IsKnownToRun(task, now); });
      });
}

// Lists the rejections of workers with room as reason:count.
std::string ListRejections(const WorkerSurvey& survey) {
  std::string list;
  for (std::size_t i = 0; i < survey.rejected.size(); ++i) {
    if (survey.rejected[i] > 0) {
      list += fmt::format("{}{}:{}", list.empty() ? "" : ",",
                          EnumName(static_cast<WorkerRejection>(i)),
                          survey.rejected[i]);
    }
  }
  return list;
}

void LogWait(const Workflow& workflow, const StepWait& wait, TimePoint now) {
  const bool placed = wait.task->state != TaskState::kWaiting;
  Log(LogLevel::kWarn, "workflow_stands_still",
      {{"workflow", wait.key.workflow.value},
       {"step", wait.key.step.value},
       {"occurrence", wait.key.occurrence.value},
       {"task", wait.key.task.value},
       {"waits_for", EnumName(wait.reason)},
       {"waited_ms", WholeMillis(wait.waited)},
       {"workspace", workflow.terms.workspace.value},
       {"state", EnumName(wait.task->state)},
       {"state_ms", WholeMillis(now - wait.task->since)},
       {"run", wait.task->run.value},
       {"worker", placed ? wait.task->worker.value : ""},
       {"room", wait.survey.room},
       {"rejected", ListRejections(wait.survey)}});
}

}  // namespace

WaitReason FindWaitReason(const WorkflowWorld& world,
                          const WorkflowId& id,
                          const Workflow& workflow,
                          TimePoint now) {
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
  WorkerSurveys surveys;
  for (const StepRun& run : workflow.runs) {
    if (!DependenciesMet(workflow, run)) {
      reason = WaitReason::kEarlierSteps;
    } else if (const auto wait =
                   FindStepWait(surveys, world, id, workflow, run, now)) {
      return wait->reason;
    }
  }
  return reason;
}

void ObserveWaits(WorkflowWorld& world, const WorkflowTime& time) {
  Scheduling& scheduling = world.scheduling;
  if (world.holding.state != HoldingState::kHolding ||
      time.now < scheduling.next_wait_observation) {
    return;
  }
  scheduling.next_wait_observation = time.now + kObservationPeriod;
  scheduling.oldest_waits.clear();
  struct Standing {
    Workflow* workflow;
    StepRun* run;
    StepWait wait;
  };
  std::vector<Standing> standing;
  WorkerSurveys surveys;
  for (const WorkflowId& id : scheduling.open) {
    Workflow& workflow = *world.workflows.find(id);
    if (workflow.cancel_requested || workflow.attempts_exhausted) {
      continue;
    }
    const bool stands = !IsAnyTaskRunning(workflow, time.now);
    for (StepRun& run : workflow.runs) {
      if (IsDone(run) || !DependenciesMet(workflow, run)) {
        continue;
      }
      auto wait = FindStepWait(surveys, world, id, workflow, run, time.now);
      if (!wait) {
        continue;
      }
      Duration& oldest = scheduling.oldest_waits[wait->reason];
      oldest = std::max(oldest, wait->waited);
      const bool logged = run.logged_wait == wait->reason &&
                          wait->waited < 2 * run.logged_waited;
      if (stands && wait->waited >= kMinLoggedWait && !logged) {
        standing.push_back(Standing{&workflow, &run, std::move(*wait)});
      }
    }
  }
  std::sort(standing.begin(), standing.end(),
            [](const Standing& a, const Standing& b) {
              return std::tuple(b.wait.waited, a.wait.key) <
                     std::tuple(a.wait.waited, b.wait.key);
            });
  standing.resize(std::min(standing.size(), kMaxLinesPerObservation));
  for (const Standing& row : standing) {
    row.run->logged_wait = row.wait.reason;
    row.run->logged_waited = row.wait.waited;
    LogWait(*row.workflow, row.wait, time.now);
  }
}

}  // namespace chicorystep
