#include "chicorystep/systems/workflows/workflow_progress.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

// How often ended workflows are checked for eviction.
constexpr Duration kEvictionPeriod = std::chrono::seconds(2);
// Early cancels that are removed in one period, so that the append stays small.
constexpr std::size_t kMaxCancelRemovals = 300;
// A submission may be repeated seconds after its answer, and the clocks of
// entries differ. The id is therefore kept longer than callers can query it.
constexpr Duration kEvictionMargin = std::chrono::seconds(30);

// Due occurrences begin as long as no more tasks than this wait for a worker
// over all schedules, so that rows, ticks and appends follow what can start
// rather than what is due. A placement pass places as many.
constexpr std::size_t kMaxStartableTasks = 256;
// Rows of the open occurrences of all schedules, in addition to a number for
// each task that is placed. It bounds occurrences with many steps.
constexpr std::size_t kMaxOccurrenceRows = 2000;
constexpr std::size_t kOccurrenceRowsPerPlacedTask = 64;

std::uint32_t OccurrenceCount(const WorkflowSpec& spec) {
  return std::max<std::uint32_t>(1, spec.occurrences);
}

// Drops the occurrences that have ended, but for the newest, which tells the
// next holder how many have begun.
void DropEndedOccurrences(Workflow& workflow) {
  if (workflow.runs.empty()) {
    return;
  }
  std::vector<StepRun>& runs = workflow.runs;
  const Occurrence newest = runs.back().occurrence;
  auto kept = runs.begin();
  for (auto begin = runs.begin(); begin != runs.end();) {
    const auto end = std::find_if(begin, runs.end(), [&](const StepRun& run) {
      return run.occurrence != begin->occurrence;
    });
    const bool ended =
        begin->occurrence != newest && std::all_of(begin, end, IsDone);
    if (!ended) {
      kept = kept == begin ? end : std::move(begin, end, kept);
    }
    begin = end;
  }
  runs.erase(kept, runs.end());
}

// What the open occurrences of a workflow, or one that may begin, amount to.
struct OccurrenceLoad {
  // Step runs and tasks, whether these have a row of their own or not.
  std::size_t rows = 0;
  std::size_t placed_tasks = 0;
  // Tasks that wait for a worker and for nothing else.
  std::size_t startable_tasks = 0;
  // Step runs with tasks that have not succeeded.
  std::size_t open_runs = 0;
};

OccurrenceLoad CountOpenOccurrences(const Workflow& workflow) {
  OccurrenceLoad open;
  for (const StepRun& run : workflow.runs) {
    open.rows += 1 + CountTasks(run);
    if (IsDone(run)) {
      continue;
    }
    ++open.open_runs;
    const auto placed = static_cast<std::size_t>(std::count_if(
        run.tasks.begin(), run.tasks.end(),
        [](const Task& task) { return HoldsCapacity(task.state); }));
    open.placed_tasks += placed;
    if (DependenciesMet(workflow, run)) {
      open.startable_tasks += CountTasks(run) - run.done - placed;
    }
  }
  return open;
}

// What one occurrence amounts to when it begins.
OccurrenceLoad CountNewOccurrence(const WorkflowSpec& spec) {
  OccurrenceLoad one{.open_runs = spec.steps.size()};
  for (const StepSpec& step : spec.steps) {
    one.rows += 1 + step.count;
    one.startable_tasks += step.depends_on.empty() ? step.count : 0;
  }
  return one;
}

// Whether an occurrence may begin beside the open ones of its schedule.
// `sharing` schedules share what may begin over all of them. Each may have one
// occurrence that waits for workers, whatever the others have.
bool HasRoomForOccurrence(const OccurrenceLoad& open,
                          const OccurrenceLoad& one,
                          std::size_t sharing) {
  if (open.open_runs == 0) {
    return true;
  }
  const bool may_wait =
      open.startable_tasks == 0 || open.startable_tasks + one.startable_tasks <=
                                       kMaxStartableTasks / sharing;
  return may_wait && open.rows + one.rows <=
                         kMaxOccurrenceRows / sharing +
                             kOccurrenceRowsPerPlacedTask * open.placed_tasks;
}

void BeginOccurrences(WorkflowWorld& world,
                      const WorkflowId& id,
                      Workflow& workflow,
                      std::size_t sharing,
                      const WorkflowTime& time) {
  if (workflow.spec.occurrences > 0) {
    DropEndedOccurrences(workflow);
  }
  if (!IsOccurrenceDue(workflow, time.wall)) {
    return;
  }
  OccurrenceLoad open = CountOpenOccurrences(workflow);
  const OccurrenceLoad one = CountNewOccurrence(workflow.spec);
  while (IsOccurrenceDue(workflow, time.wall) &&
         HasRoomForOccurrence(open, one, sharing)) {
    const Occurrence occurrence = AddStepRuns(workflow);
    open.rows += one.rows;
    open.startable_tasks += one.startable_tasks;
    open.open_runs += one.open_runs;
    world.scheduling.placement_due = true;
    if (workflow.spec.occurrences > 0) {
      Log(LogLevel::kInfo, "occurrence_due",
          {{"workflow", id.value}, {"occurrence", occurrence.value}});
    }
  }
}

bool HasExhaustedAttempts(const Workflow& workflow) {
  return std::any_of(
      workflow.runs.begin(), workflow.runs.end(), [&](const StepRun& run) {
        return !workflow.spec.steps[run.step.value].long_running &&
               std::any_of(
                   run.tasks.begin(), run.tasks.end(), [&](const Task& task) {
                     return task.failures >= workflow.terms.max_attempts;
                   });
      });
}

bool AnyHoldsCapacity(const Workflow& workflow) {
  return std::any_of(
      workflow.runs.begin(), workflow.runs.end(), [](const StepRun& run) {
        return std::any_of(
            run.tasks.begin(), run.tasks.end(),
            [](const Task& t) { return HoldsCapacity(t.state); });
      });
}

bool AllDone(const Workflow& workflow) {
  return workflow.occurrences_begun == OccurrenceCount(workflow.spec) &&
         std::all_of(workflow.runs.begin(), workflow.runs.end(), IsDone);
}

void End(WorkflowWorld& world,
         const WorkflowId& id,
         Workflow& workflow,
         WorkflowState state,
         const WorkflowTime& time) {
  workflow.state = state;
  workflow.ended_at = time.wall;
  MarkDirty(world, id, workflow);
  Log(LogLevel::kInfo, "workflow_ended",
      {{"workflow", id.value},
       {"state", std::string(EnumName(state))},
       {"route", workflow.terms.route.value},
       {"workspace", workflow.terms.workspace.value},
       {"took_ms", time.wall.value - workflow.accepted.value}});
}

void Advance(WorkflowWorld& world,
             const WorkflowId& id,
             Workflow& workflow,
             std::size_t sharing,
             const WorkflowTime& time) {
  workflow.attempts_exhausted = HasExhaustedAttempts(workflow);
  if (workflow.cancel_requested || workflow.attempts_exhausted) {
    for (StepRun& run : workflow.runs) {
      StopStepRun(world, id, workflow, run, time.now);
    }
    if (!AnyHoldsCapacity(workflow)) {
      End(world, id, workflow,
          workflow.cancel_requested ? WorkflowState::kCancelled
                                    : WorkflowState::kFailed,
          time);
    }
    return;
  }
  BeginOccurrences(world, id, workflow, sharing, time);
  if (AllDone(workflow)) {
    End(world, id, workflow, WorkflowState::kSucceeded, time);
  }
}

// Queues the workflows with an occurrence that has become due.
void QueueDueOccurrences(WorkflowWorld& world, const WorkflowTime& time) {
  Scheduling& scheduling = world.scheduling;
  while (!scheduling.scheduled.empty() &&
         scheduling.scheduled.begin()->first <= time.wall) {
    const auto next =
        scheduling.scheduled.extract(scheduling.scheduled.begin());
    const WorkflowId& id = next.value().second;
    if (Workflow* workflow = world.workflows.find(id);
        workflow != nullptr && scheduling.open.contains(id)) {
      scheduling.deferred.insert(id);
      QueueAdvance(world, id, *workflow);
    }
  }
}

// Notes which of the workflows to be advanced have occurrences that are due, so
// that they share what may begin.
void NoteDueOccurrences(WorkflowWorld& world, const WorkflowTime& time) {
  Scheduling& scheduling = world.scheduling;
  for (const WorkflowId& id : scheduling.to_advance) {
    const Workflow* workflow = world.workflows.find(id);
    if (workflow != nullptr && workflow->spec.occurrences > 0 &&
        scheduling.open.contains(id) && IsOccurrenceDue(*workflow, time.wall)) {
      scheduling.deferred.insert(id);
    }
  }
}

// Notes when the workflow's next occurrence begins: when it is due, or, if it
// is due already, as earlier ones go on.
void ScheduleNextOccurrence(Scheduling& scheduling,
                            const WorkflowId& id,
                            const Workflow& workflow,
                            const WorkflowTime& time) {
  scheduling.deferred.erase(id);
  if (workflow.spec.occurrences == 0 ||
      workflow.occurrences_begun == workflow.spec.occurrences) {
    return;
  }
  if (IsOccurrenceDue(workflow, time.wall)) {
    scheduling.deferred.insert(id);
  } else {
    scheduling.scheduled.emplace(
        DueAt(workflow.spec, Occurrence(workflow.occurrences_begun)), id);
  }
}

// Forgets the next occurrence of a workflow that ends.
void CancelNextOccurrence(Scheduling& scheduling,
                          const WorkflowId& id,
                          const Workflow& workflow) {
  scheduling.deferred.erase(id);
  scheduling.scheduled.erase(
      {DueAt(workflow.spec, Occurrence(workflow.occurrences_begun)), id});
}

}  // namespace

UnixMillis DueAt(const WorkflowSpec& spec, Occurrence occurrence) {
  return spec.occurrences == 0
             ? UnixMillis()
             : spec.first_due +
                   UnixMillis(WholeMillis(spec.interval) * occurrence.value);
}

Occurrence AddStepRuns(Workflow& workflow) {
  const Occurrence occurrence(workflow.occurrences_begun++);
  for (std::uint32_t i = 0; i < workflow.spec.steps.size(); ++i) {
    workflow.runs.push_back(
        MakeStepRun(occurrence, StepIndex(i), workflow.spec.steps[i].count));
  }
  return occurrence;
}

bool IsOccurrenceDue(const Workflow& workflow, UnixMillis now) {
  return workflow.occurrences_begun < OccurrenceCount(workflow.spec) &&
         DueAt(workflow.spec, Occurrence(workflow.occurrences_begun)) <= now;
}

void AdvanceWorkflows(WorkflowWorld& world, const WorkflowTime& time) {
  if (world.holding.state != HoldingState::kHolding) {
    return;
  }
  Scheduling& scheduling = world.scheduling;
  QueueDueOccurrences(world, time);
  NoteDueOccurrences(world, time);
  const std::size_t sharing =
      std::max<std::size_t>(1, scheduling.deferred.size());
  for (const WorkflowId& id : std::exchange(scheduling.to_advance, {})) {
    Workflow* workflow = world.workflows.find(id);
    if (workflow == nullptr) {
      continue;
    }
    workflow->advance_queued = false;
    if (!scheduling.open.contains(id)) {
      continue;
    }
    Advance(world, id, *workflow, sharing, time);
    if (IsTerminal(workflow->state)) {
      scheduling.open.erase(id);
      CancelNextOccurrence(scheduling, id, *workflow);
    } else {
      ScheduleNextOccurrence(scheduling, id, *workflow, time);
    }
  }
}

void EvictEndedWorkflows(WorkflowWorld& world, const WorkflowTime& time) {
  Scheduling& scheduling = world.scheduling;
  if (world.holding.state != HoldingState::kHolding ||
      time.now < scheduling.next_eviction) {
    return;
  }
  scheduling.next_eviction = time.now + kEvictionPeriod;
  const Duration retention = world.self.status_retention + kEvictionMargin;
  const std::int64_t before = time.wall.value - WholeMillis(retention);
  for (std::size_t i = 0; i < world.workflows.size(); ++i) {
    const Workflow& workflow = world.workflows.rows[i];
    if (IsTerminal(workflow.shown) && !workflow.dirty &&
        workflow.ended_at.value < before) {
      scheduling.to_evict.push_back(world.workflows.keys[i]);
    }
  }
  for (const WorkflowId& id : scheduling.to_evict) {
    world.workflows.erase(id);
  }
  // The cancels leave the table when their removal is read back.
  scheduling.cancels_to_remove.clear();
  for (const auto& [id, cancel] : world.early_cancels) {
    if (cancel.read < time.now - retention &&
        scheduling.cancels_to_remove.size() < kMaxCancelRemovals) {
      scheduling.cancels_to_remove.push_back(id);
    }
  }
}

TimePoint NextOccurrenceDue(const WorkflowWorld& world,
                            const WorkflowTime& time) {
  if (!world.scheduling.to_advance.empty()) {
    return time.now;
  }
  const auto& scheduled = world.scheduling.scheduled;
  return scheduled.empty()
             ? kNever
             : time.now + std::chrono::milliseconds(
                              scheduled.begin()->first.value - time.wall.value);
}

}  // namespace chicorystep
