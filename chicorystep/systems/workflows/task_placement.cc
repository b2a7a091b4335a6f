#include "chicorystep/systems/workflows/task_placement.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/preemption/task_preemption.h"
#include "chicorystep/systems/workflows/preemption/unit_reservations.h"
#include "chicorystep/systems/workflows/task_candidates.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/workflow_progress.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// Minimum time between placement passes, because each pass examines all waiting
// tasks.
constexpr Duration kPlacementSpacing = milliseconds(10);
// Without any event, a pass runs after this time, because exclusions end.
constexpr Duration kPlacementPeriod = milliseconds(250);
// A pass that has placed this many tasks leaves the rest to the next one, so
// that a backlog does not delay the records and starts of what is placed.
constexpr std::size_t kMaxTasksPlacedPerPass = 256;
// A worker without tasks is asked for its next report when a start is answered,
// or after this time without an answer: an earlier one could say nothing. A
// start is usually answered within 100 ms.
constexpr Duration kFirstReportDelay = milliseconds(250);

bool IsPlacedBefore(const PlacementUnit& a, const PlacementUnit& b) {
  const auto order = [](const PlacementUnit& unit) {
    return std::tuple(!unit.guaranteed, unit.workflow->terms.priority,
                      unit.lateness, unit.deadline,
                      std::string_view(unit.id.value), unit.run->occurrence,
                      unit.run->step, unit.tasks.front());
  };
  return order(a) < order(b);
}

void PlaceUnit(TaskPlacementPass& pass,
               const PlacementUnit& unit,
               const std::vector<std::size_t>& candidates) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  // All members of a gang get the same run number.
  std::uint32_t newest = 0;
  for (const TaskIndex index : unit.tasks) {
    if (index.value < unit.run->tasks.size()) {
      newest = std::max(newest, unit.run->tasks[index.value].run.value);
    }
  }
  MarkDirty(*pass.world, unit.id, *unit.workflow);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    CandidateWorker& candidate = pass.candidates[candidates[i]];
    Task& task = AddTaskRow(*unit.run, unit.tasks[i]);
    task.state = TaskState::kPlaced;
    task.run = RunNumber((unit.divisible ? task.run.value : newest) + 1);
    task.worker = candidate.worker->listing.id;
    task.incarnation = IncarnationToRecord(
        *candidate.worker, pass.world->self.lease, pass.time.now);
    task.since = pass.time.now;
    task.order_pending = false;
    task.start_unconfirmed = false;
    task.reported = false;
    task.reported_by = WorkerIncarnation();
    task.start_until.reset();
    const TaskKey key{unit.id, unit.run->occurrence, unit.run->step,
                      unit.tasks[i]};
    if (candidate.worker->tasks.empty()) {
      candidate.worker->next_hold = std::max(candidate.worker->next_hold,
                                             pass.time.now + kFirstReportDelay);
    }
    candidate.worker->tasks[key] = task.run;
    AllocateCapacity(pass, candidates[i], spec.need);
    candidate.kinds.push_back(unit.run->kind);
    pass.world->scheduling.starts_to_record.push_back(
        AwaitedStart{.task = key,
                     .run = task.run,
                     .change = pass.world->scheduling.changes_queued});
  }
  Log(LogLevel::kInfo, "placed",
      {{"workflow", unit.id.value},
       {"step", unit.run->step.value},
       {"occurrence", unit.run->occurrence.value},
       {"tasks", candidates.size()},
       {"run", newest + 1},
       {"accepted_by", unit.workflow->accepted_by.value},
       {"priority", unit.workflow->terms.priority},
       {"lateness", std::string(EnumName(unit.lateness))}});
}

// Reserves capacity that stop orders will free for the unit; otherwise, if it
// is urgent, preempts other work. Returns false if that does not suffice
// either.
bool ReserveOrPreempt(TaskPlacementPass& pass, const PlacementUnit& unit) {
  if (const auto candidates = SelectCandidates(pass, unit, true)) {
    const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
    for (const std::size_t index : *candidates) {
      ReserveCapacity(pass, index, spec.need);
    }
    return true;
  }
  return unit.workflow->terms.priority != kUrgentPriority ||
         PreemptForUnit(pass, unit);
}

// Places the unit, or as much of it as fits; otherwise makes room for it, if
// need be at the expense of the reservations of units after it. Returns the
// number of tasks placed.
std::size_t PlaceOrReserve(TaskPlacementPass& pass, PlacementUnit& unit) {
  std::size_t placed = 0;
  const auto reserved = TakeReservation(pass, unit);
  if (const auto candidates = SelectCandidates(pass, unit, false)) {
    placed = candidates->size();
    PlaceUnit(pass, unit, *candidates);
    if (placed == unit.tasks.size()) {
      return placed;
    }
    unit.tasks.erase(unit.tasks.begin(),
                     unit.tasks.begin() + static_cast<std::ptrdiff_t>(placed));
  }
  if ((reserved && ReserveAgain(pass, unit, *reserved)) ||
      ReserveOrPreempt(pass, unit) || pass.reservations_applied.empty()) {
    return placed;
  }
  if (const auto given_up = GiveUpReservations(pass);
      !ReserveOrPreempt(pass, unit)) {
    RestoreReservations(pass, given_up);
  }
  return placed;
}

// Lists the tasks of the step run that wait for a worker, up to `most`.
std::vector<TaskIndex> ListWaitingTasks(const StepRun& run, std::size_t most) {
  std::vector<TaskIndex> waiting;
  for (std::uint32_t i = 0; i < CountTasks(run) && waiting.size() < most; ++i) {
    if (i >= run.tasks.size() || run.tasks[i].state == TaskState::kWaiting) {
      waiting.push_back(TaskIndex(i));
    }
  }
  return waiting;
}

void AddUnits(const WorkflowId& id,
              Workflow& workflow,
              StepRun& run,
              const WorkflowTime& time,
              std::vector<PlacementUnit>& units) {
  const StepSpec& spec = workflow.spec.steps[run.step.value];
  PlacementUnit unit{.id = id, .workflow = &workflow, .run = &run};
  if (workflow.critical_path == Duration()) {
    workflow.critical_path = CriticalPathLength(workflow.spec);
  }
  const std::int64_t allowance =
      WholeMillis(workflow.terms.target +
                  Duration(static_cast<Duration::rep>(
                      workflow.terms.stretch *
                      static_cast<double>(workflow.critical_path.count()))));
  const UnixMillis begin = workflow.spec.occurrences == 0
                               ? workflow.accepted
                               : DueAt(workflow.spec, run.occurrence);
  unit.deadline = begin + UnixMillis(allowance);
  const UnixMillis end = time.wall + UnixMillis(WholeMillis(spec.estimate));
  if (end > unit.deadline) {
    unit.lateness = end > unit.deadline + UnixMillis(2 * allowance)
                        ? Lateness::kInfeasible
                        : Lateness::kLate;
  }
  unit.tasks = ListWaitingTasks(
      run, spec.gang ? CountTasks(run) : kMaxTasksPlacedPerPass);
  if (spec.gang) {
    if (unit.tasks.size() == CountTasks(run)) {
      units.push_back(std::move(unit));
    }
    return;
  }
  if (unit.tasks.empty()) {
    return;
  }
  if (workflow.terms.priority != kUrgentPriority) {
    unit.divisible = true;
    units.push_back(std::move(unit));
    return;
  }
  // Urgent tasks are counted against the guarantee one by one.
  // The copies are made without the list of all tasks.
  for (const TaskIndex task : std::exchange(unit.tasks, {})) {
    PlacementUnit single = unit;
    single.tasks = {task};
    units.push_back(std::move(single));
  }
}

std::vector<PlacementUnit> CollectUnits(WorkflowWorld& world,
                                        const WorkflowTime& time) {
  std::vector<PlacementUnit> units;
  for (const WorkflowId& id : world.scheduling.open) {
    Workflow& workflow = *world.workflows.find(id);
    if (workflow.cancel_requested || workflow.attempts_exhausted) {
      continue;
    }
    for (StepRun& run : workflow.runs) {
      if (!IsDone(run) && DependenciesMet(workflow, run)) {
        if (run.ready_since == kNever) {
          run.ready_since = time.now;
        }
        AddUnits(id, workflow, run, time, units);
      }
    }
  }
  return units;
}

// Marks urgent units that their workspace's guarantee covers in addition to the
// accelerators that its urgent work already uses.
void MarkGuaranteed(WorkflowWorld& world, std::vector<PlacementUnit>& units) {
  std::map<Workspace, Accelerators> in_use;
  for (const WorkflowId& id : world.scheduling.open) {
    const Workflow& workflow = *world.workflows.find(id);
    if (workflow.terms.priority != kUrgentPriority) {
      continue;
    }
    Accelerators& used = in_use[workflow.terms.workspace];
    for (const StepRun& run : workflow.runs) {
      for (const Task& task : run.tasks) {
        if (HoldsCapacity(task.state)) {
          used += workflow.spec.steps[run.step.value].need.accelerators;
        }
      }
    }
  }
  std::stable_sort(units.begin(), units.end(), IsPlacedBefore);
  for (PlacementUnit& unit : units) {
    const auto& terms = unit.workflow->terms;
    const auto workspace = world.config->workspaces.find(terms.workspace);
    if (terms.priority != kUrgentPriority ||
        workspace == world.config->workspaces.end()) {
      continue;
    }
    const Accelerators wanted =
        unit.workflow->spec.steps[unit.run->step.value].need.accelerators *
        unit.tasks.size();
    Accelerators& used = in_use[terms.workspace];
    if (used + wanted <= workspace->second.guaranteed) {
      used += wanted;
      unit.guaranteed = true;
    }
  }
}

}  // namespace

std::vector<PlacementUnit> CollectUnitsInOrder(WorkflowWorld& world,
                                               const WorkflowTime& time) {
  std::vector<PlacementUnit> units = CollectUnits(world, time);
  MarkGuaranteed(world, units);
  std::stable_sort(units.begin(), units.end(), IsPlacedBefore);
  return units;
}

void PlaceTasks(WorkflowWorld& world, const WorkflowTime& time) {
  Scheduling& scheduling = world.scheduling;
  if (world.holding.state != HoldingState::kHolding || !world.config ||
      world.stopping) {
    return;
  }
  const bool periodic =
      time.now >= scheduling.next_placement + kPlacementPeriod;
  if (time.now < scheduling.next_placement ||
      (!scheduling.placement_due && !periodic)) {
    return;
  }
  scheduling.placement_due = false;
  scheduling.next_placement = time.now + kPlacementSpacing;
  std::vector<PlacementUnit> units = CollectUnitsInOrder(world, time);
  if (units.empty()) {
    return;
  }
  TaskPlacementPass pass = BeginPass(world, time);
  ApplyReservations(pass, units);
  std::size_t placed = 0;
  for (PlacementUnit& unit : units) {
    placed += PlaceOrReserve(pass, unit);
    if (placed >= kMaxTasksPlacedPerPass) {
      scheduling.placement_due = true;
      break;
    }
  }
}

TimePoint NextPlacementDue(const WorkflowWorld& world) {
  if (world.holding.state != HoldingState::kHolding ||
      world.scheduling.open.empty()) {
    return kNever;
  }
  return world.scheduling.placement_due
             ? world.scheduling.next_placement
             : world.scheduling.next_placement + kPlacementPeriod;
}

}  // namespace chicorystep
