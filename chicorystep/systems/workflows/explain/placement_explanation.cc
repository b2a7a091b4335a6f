#include "chicorystep/systems/workflows/explain/placement_explanation.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "chicorystep/systems/workflows/preemption/unit_reservations.h"
#include "chicorystep/systems/workflows/task_candidates.h"
#include "chicorystep/systems/workflows/task_placement.h"
#include "chicorystep/systems/workflows/task_status.h"
#include "chicorystep/systems/workflows/workflow_calls.h"
#include "chicorystep/systems/workflows/workflow_progress.h"

namespace chicorystep {
namespace {

// Stands for the id of a workflow without one. It comes last among units with
// equal deadlines.
constexpr std::string_view kUnnamedId = "ffffffffffffffff";

// The members of a worker that placement reads; neither its orders nor its
// tasks.
TaskWorker CopyWorker(const TaskWorker& worker) {
  return TaskWorker{.listing = worker.listing,
                    .listed = worker.listed,
                    .listing_outdated = worker.listing_outdated,
                    .rack = worker.rack,
                    .free = worker.free,
                    .fenced = worker.fenced,
                    .order_time = worker.order_time,
                    .answer_deadline = worker.answer_deadline,
                    .unanswered_holds = worker.unanswered_holds,
                    .recorded_unresponsive = worker.recorded_unresponsive,
                    .orphaned_runs = worker.orphaned_runs,
                    .excluded_until = worker.excluded_until};
}

// The members of a workflow that placement reads. Payloads may be large.
Workflow CopyWorkflow(const Workflow& workflow) {
  return Workflow{.spec = {.steps = workflow.spec.steps,
                           .occurrences = workflow.spec.occurrences},
                  .terms = workflow.terms,
                  .accepted = workflow.accepted,
                  .cancel_requested = workflow.cancel_requested,
                  .runs = workflow.runs,
                  .attempts_exhausted = workflow.attempts_exhausted,
                  .critical_path = workflow.critical_path};
}

// A world with copies of the rows that a placement pass reads and changes.
WorkflowWorld CopyForPlacement(const WorkflowWorld& world) {
  WorkflowWorld copy{
      .self = world.self,
      .config = WorkflowConfig{.version = world.config->version,
                               .services = world.config->services,
                               .workspaces = world.config->workspaces},
      .evacuations = world.evacuations};
  copy.holding.state = world.holding.state;
  for (const WorkflowId& id : world.scheduling.open) {
    copy.workflows.insert(id, CopyWorkflow(*world.workflows.find(id)));
  }
  copy.scheduling.open = world.scheduling.open;
  copy.scheduling.reservations = world.scheduling.reservations;
  if (!world.scheduling.interference.judged.empty()) {
    copy.scheduling.interference = world.scheduling.interference;
  }
  const auto& workers = world.scheduling.workers;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    copy.scheduling.workers.insert(workers.keys[i],
                                   CopyWorker(workers.rows[i]));
  }
  return copy;
}

// Counts the workers by what the unit meets there at its turn in the pass.
WorkerCounts CountWorkers(const TaskPlacementPass& pass,
                          const PlacementUnit& unit) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  WorkerCounts counts;
  for (const CandidateWorker& candidate : pass.candidates) {
    const TaskWorker& worker = *candidate.worker;
    const WorkerRejection rejection =
        FindRejection(*pass.world, worker, pass.time.now);
    if (worker.listing.service != unit.workflow->terms.service) {
      ++counts.other_service;
    } else if (!MeetsRequirements(worker.listing, *unit.workflow, spec)) {
      ++counts.without_label;
    } else if (rejection != WorkerRejection::kNone) {
      ++counts.rejected[static_cast<std::size_t>(rejection)];
    } else if (!Holds(worker.listing.capacity, spec.need)) {
      ++counts.too_small;
    } else if (!Holds(Min(candidate.free_now, candidate.free_after_stops),
                      spec.need)) {
      ++counts.without_room;
    } else {
      ++counts.candidates;
    }
  }
  return counts;
}

// Places the unit in the copied tables, as far as it fits, or reserves capacity
// that stop orders will free for it.
void PlaceInCopy(TaskPlacementPass& pass, PlacementUnit& unit) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  const auto kept = TakeReservation(pass, unit);
  if (const auto chosen = SelectCandidates(pass, unit, false)) {
    for (std::size_t i = 0; i < chosen->size(); ++i) {
      Task& task = AddTaskRow(*unit.run, unit.tasks[i]);
      task.state = TaskState::kPlaced;
      task.worker = pass.candidates[(*chosen)[i]].worker->listing.id;
      AllocateCapacity(pass, (*chosen)[i], spec.need);
    }
    unit.tasks.erase(
        unit.tasks.begin(),
        unit.tasks.begin() + static_cast<std::ptrdiff_t>(chosen->size()));
  }
  if (unit.tasks.empty() || (kept && ReserveAgain(pass, unit, *kept))) {
    return;
  }
  if (const auto reserved = SelectCandidates(pass, unit, true)) {
    for (const std::size_t candidate : *reserved) {
      ReserveCapacity(pass, candidate, spec.need);
    }
  }
}

void ListPlacedTasks(const WorkflowWorld& world,
                     const StepRun& run,
                     StepExplanation& explanation) {
  for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
    if (run.tasks[i].state != TaskState::kPlaced) {
      continue;
    }
    const TaskWorker& worker =
        *world.scheduling.workers.find(run.tasks[i].worker);
    explanation.placed.push_back(ExplainedTask{.task = TaskIndex(i),
                                               .worker = worker.listing.id,
                                               .rack = worker.rack,
                                               .zone = worker.listing.zone});
  }
}

// Runs a placement pass over the copied tables until all tasks of the first
// ready step of `id` had their turn. Returns nothing if no step is ready.
std::optional<StepExplanation> ExplainFirstStep(WorkflowWorld& copy,
                                                const WorkflowId& id,
                                                const WorkflowTime& time) {
  std::vector<PlacementUnit> units = CollectUnitsInOrder(copy, time);
  const auto first =
      std::find_if(units.begin(), units.end(),
                   [&](const PlacementUnit& unit) { return unit.id == id; });
  if (first == units.end()) {
    return std::nullopt;
  }
  StepRun& run = *first->run;
  TaskPlacementPass pass = BeginPass(copy, time);
  ApplyReservations(pass, units);
  for (auto unit = units.begin(); unit != first; ++unit) {
    PlaceInCopy(pass, *unit);
  }
  StepExplanation explanation{
      .step = run.step,
      .tasks = CountTasks(run),
      .workers = CountWorkers(pass, *first),
      .units_before = static_cast<std::size_t>(first - units.begin()),
      .needs_one_rack = NeedsOneRack(pass, *first)};
  // The tasks of an urgent step are separate units, and those that exceed the
  // guarantee may come after other work.
  const auto last =
      std::find_if(units.rbegin(), units.rend(),
                   [&](const PlacementUnit& unit) { return unit.run == &run; });
  for (auto unit = first; unit != last.base(); ++unit) {
    PlaceInCopy(pass, *unit);
  }
  ListPlacedTasks(copy, run, explanation);
  return explanation;
}

// Explains where the tasks of an accepted workflow would go.
void ExplainTasks(const WorkflowWorld& world,
                  AcceptedRecord acceptance,
                  const WorkflowTime& time,
                  PlacementExplanation& explanation) {
  if (world.holding.state != HoldingState::kHolding || world.stopping) {
    explanation.waits_for = WaitReason::kHolder;
    return;
  }
  WorkflowWorld copy = CopyForPlacement(world);
  const WorkflowId id = acceptance.id;
  Workflow& workflow =
      copy.workflows.insert(id, Workflow{.spec = std::move(acceptance.spec),
                                         .terms = std::move(acceptance.terms),
                                         .accepted = acceptance.accepted});
  copy.scheduling.open.insert(id);
  if (IsOccurrenceDue(workflow, time.wall)) {
    (void)AddStepRuns(workflow);
  }
  explanation.step = ExplainFirstStep(copy, id, time);
  if (!explanation.step ||
      explanation.step->placed.size() < explanation.step->tasks) {
    explanation.waits_for = FindWaitReason(copy, id, workflow, time.now);
    explanation.may_preempt =
        explanation.step && workflow.terms.priority == kUrgentPriority;
  }
}

}  // namespace

PlacementExplanation ExplainPlacement(const WorkflowWorld& world,
                                      const PlacementQuestion& question,
                                      const WorkflowTime& time) {
  PlacementExplanation explanation{.holder = world.holding.holder};
  if (world.config) {
    explanation.config_version = world.config->version;
    if (const Bytes limit = world.config->limits.max_body;
        question.body > limit) {
      explanation.answer = {
          .result = CallResult::kMalformed,
          .detail =
              fmt::format("larger than the limit of {} bytes", limit.value)};
      return explanation;
    }
  }
  WorkflowCall call = question.call;
  if (call.path.ends_with('/')) {
    call.path += kUnnamedId;
  }
  const RoutedCall routed = RouteCall(world, call, time.now);
  if (routed.route == nullptr) {
    explanation.answer = routed.refusal;
    return explanation;
  }
  SubmissionCheck check =
      CheckSubmission(world, call, *routed.route, question.workspace, time);
  explanation.answer = std::move(check.answer);
  explanation.accepted = check.acceptance.has_value();
  if (check.acceptance) {
    explanation.terms = check.acceptance->terms;
    ExplainTasks(world, std::move(*check.acceptance), time, explanation);
  }
  return explanation;
}

}  // namespace chicorystep
