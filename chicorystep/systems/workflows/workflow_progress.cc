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

// Occurrences begin only while the rows of those that have begun stay within
// this number, so that neither a tick nor an append grows with the schedule.
// One occurrence at a time may be larger.
constexpr std::size_t kMaxOccurrenceRows = 2000;

std::uint32_t OccurrenceCount(const WorkflowSpec& spec) {
  return std::max<std::uint32_t>(1, spec.occurrences);
}

// When occurrence `index` may begin; workflows without a schedule may begin at
// once.
UnixMillis DueAt(const WorkflowSpec& spec, std::uint32_t index) {
  if (spec.occurrences == 0) {
    return UnixMillis();
  }
  return spec.first_due + UnixMillis(WholeMillis(spec.interval) * index);
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
    const bool ended = begin->occurrence != newest &&
                       std::all_of(begin, end, [](const StepRun& run) {
                         return run.done == run.tasks.size();
                       });
    if (!ended) {
      kept = kept == begin ? end : std::move(begin, end, kept);
    }
    begin = end;
  }
  runs.erase(kept, runs.end());
}

// Whether another occurrence may begin beside those that have not ended.
bool HasRoomForOccurrence(const Workflow& workflow) {
  std::size_t one = 0;
  for (const StepSpec& step : workflow.spec.steps) {
    one += 1 + step.count;
  }
  std::size_t open = 0;
  bool any_open = false;
  for (const StepRun& run : workflow.runs) {
    open += 1 + run.tasks.size();
    any_open = any_open || run.done < run.tasks.size();
  }
  return !any_open || open + one <= kMaxOccurrenceRows;
}

void BeginOccurrences(WorkflowWorld& world,
                      const WorkflowId& id,
                      Workflow& workflow,
                      const WorkflowTime& time) {
  if (workflow.spec.occurrences > 0) {
    DropEndedOccurrences(workflow);
  }
  workflow.occurrences_deferred = false;
  while (IsOccurrenceDue(workflow, time.wall)) {
    if (!HasRoomForOccurrence(workflow)) {
      workflow.occurrences_deferred = true;
      return;
    }
    const Occurrence occurrence = AddStepRuns(workflow);
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
         std::all_of(
             workflow.runs.begin(), workflow.runs.end(),
             [](const StepRun& run) { return run.done == run.tasks.size(); });
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
  BeginOccurrences(world, id, workflow, time);
  if (AllDone(workflow)) {
    End(world, id, workflow, WorkflowState::kSucceeded, time);
  }
}

// Queues the workflows with an occurrence that has become due.
void QueueDueOccurrences(WorkflowWorld& world, const WorkflowTime& time) {
  for (const WorkflowId& id : world.scheduling.scheduled) {
    Workflow* workflow = world.workflows.find(id);
    if (!workflow->occurrences_deferred &&
        DueAt(workflow->spec, workflow->occurrences_begun) <= time.wall) {
      QueueAdvance(world, id, *workflow);
    }
  }
}

}  // namespace

Occurrence AddStepRuns(Workflow& workflow) {
  const Occurrence occurrence(workflow.occurrences_begun++);
  for (std::uint32_t i = 0; i < workflow.spec.steps.size(); ++i) {
    StepRun run{.occurrence = occurrence, .step = StepIndex(i)};
    run.tasks.resize(workflow.spec.steps[i].count);
    workflow.runs.push_back(std::move(run));
  }
  return occurrence;
}

bool IsOccurrenceDue(const Workflow& workflow, UnixMillis now) {
  return workflow.occurrences_begun < OccurrenceCount(workflow.spec) &&
         DueAt(workflow.spec, workflow.occurrences_begun) <= now;
}

void AdvanceWorkflows(WorkflowWorld& world, const WorkflowTime& time) {
  if (world.holding.state != HoldingState::kHolding) {
    return;
  }
  Scheduling& scheduling = world.scheduling;
  QueueDueOccurrences(world, time);
  for (const WorkflowId& id : std::exchange(scheduling.to_advance, {})) {
    Workflow* workflow = world.workflows.find(id);
    if (workflow == nullptr) {
      continue;
    }
    workflow->advance_queued = false;
    if (!scheduling.open.contains(id)) {
      continue;
    }
    Advance(world, id, *workflow, time);
    if (IsTerminal(workflow->state)) {
      scheduling.open.erase(id);
      scheduling.scheduled.erase(id);
    } else if (workflow->occurrences_begun < OccurrenceCount(workflow->spec)) {
      scheduling.scheduled.insert(id);
    } else {
      scheduling.scheduled.erase(id);
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
  TimePoint due = kNever;
  if (!world.scheduling.to_advance.empty()) {
    return time.now;
  }
  for (const WorkflowId& id : world.scheduling.scheduled) {
    const Workflow* workflow = world.workflows.find(id);
    if (workflow->occurrences_deferred) {
      continue;
    }
    const UnixMillis at = DueAt(workflow->spec, workflow->occurrences_begun);
    due = std::min(
        due, time.now + std::chrono::milliseconds(at.value - time.wall.value));
  }
  return due;
}

}  // namespace chicorystep
