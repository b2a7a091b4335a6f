#include "chicorystep/systems/workflows/preemption/task_preemption.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/preemption/unit_reservations.h"
#include "chicorystep/systems/workflows/preemption/victim_selection.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// The platform prices one accelerator like this many processor cores.
constexpr std::int64_t kAcceleratorCores = 8;
// Approximate work that a task loses when it resumes from its checkpoint.
constexpr std::int64_t kRestoreMillis = 300;
// Time from the end of a stop to the start of a run, and from the end of a run
// to its report.
constexpr Duration kStartAndReportTime = milliseconds(300);
// Added to the cost of each stopped task: a stop costs calls and another start,
// so fewer victims are better.
constexpr CoreMillis kStopCost{2000};
// Added to the cost of urgent work, which is stopped only when stopping all
// less urgent work does not suffice.
constexpr CoreMillis kUrgentCost{1'000'000'000'000};

// Work that can be stopped for more urgent work: a single task or a whole gang.
struct Victim {
  std::vector<TaskKey> tasks;
  // The index of the candidate that runs each task, and the capacity that
  // stopping one task frees there.
  std::vector<std::size_t> candidates;
  Capacity need;
  // Work that would have to be repeated, with accelerators counted as
  // `kAcceleratorCores` cores.
  CoreMillis loss;
  // The workspace of urgent work; empty for other work.
  std::optional<Workspace> urgent_of;
};

// Computes the work that is lost if the task is stopped now. A task that saves
// its progress does so when it is stopped, and loses only the restore time.
CoreMillis ComputeLoss(const TaskPlacementPass& pass,
                       const StepSpec& spec,
                       const Task& task) {
  const std::int64_t ran = WholeMillis(pass.time.now - task.since);
  const std::int64_t weight = kAcceleratorCores * spec.need.accelerators.value +
                              spec.need.processors.value / 1000;
  const std::int64_t repeated =
      spec.saves_progress ? std::min<std::int64_t>(ran, kRestoreMillis) : ran;
  return CoreMillis(weight * repeated);
}

// Whether running work may be stopped for the unit, apart from the guarantee of
// its own workspace.
bool MayYield(const Workflow& workflow, const PlacementUnit& unit) {
  const WorkflowTerms& terms = workflow.terms;
  const WorkflowTerms& urgent = unit.workflow->terms;
  return terms.priority > urgent.priority ||
         (unit.guaranteed && terms.priority == urgent.priority &&
          terms.workspace != urgent.workspace);
}

// Removes the urgent work that the guarantees of its workspaces cover. Of each
// workspace the work that would lose most is covered first.
void SpareGuaranteed(const TaskPlacementPass& pass,
                     std::vector<Victim>& victims) {
  std::stable_sort(
      victims.begin(), victims.end(),
      [](const Victim& a, const Victim& b) { return a.loss > b.loss; });
  const auto& workspaces = pass.world->config->workspaces;
  std::map<Workspace, Accelerators> covered;
  std::erase_if(victims, [&](const Victim& victim) {
    if (!victim.urgent_of) {
      return false;
    }
    const auto workspace = workspaces.find(*victim.urgent_of);
    const Accelerators wanted = victim.need.accelerators * victim.tasks.size();
    Accelerators& used = covered[*victim.urgent_of];
    if (workspace == workspaces.end() ||
        used + wanted > workspace->second.guaranteed) {
      return false;
    }
    used += wanted;
    return true;
  });
}

// Finds the work that may be stopped for the unit.
std::vector<Victim> FindVictims(const TaskPlacementPass& pass,
                                const PlacementUnit& unit) {
  // Candidates have the order of the workers' rows.
  const auto& candidate_by_worker = pass.world->scheduling.workers.index;
  std::vector<Victim> victims;
  for (const WorkflowId& id : pass.world->scheduling.open) {
    Workflow& workflow = *pass.world->workflows.find(id);
    if (!MayYield(workflow, unit)) {
      continue;
    }
    // A victim of this workflow without tasks.
    Victim blank;
    if (workflow.terms.priority == unit.workflow->terms.priority) {
      blank.urgent_of = workflow.terms.workspace;
    }
    for (StepRun& run : workflow.runs) {
      const StepSpec& spec = workflow.spec.steps[run.step.value];
      blank.need = spec.need;
      Victim gang = blank;
      for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
        const Task& task = run.tasks[i];
        if (task.state != TaskState::kStarting &&
            task.state != TaskState::kRunning) {
          continue;
        }
        const auto candidate = candidate_by_worker.find(task.worker);
        if (candidate == candidate_by_worker.end()) {
          continue;
        }
        gang.tasks.push_back(
            TaskKey{id, run.occurrence, run.step, TaskIndex(i)});
        gang.candidates.push_back(candidate->second);
        gang.loss += ComputeLoss(pass, spec, task);
        if (!spec.gang) {
          victims.push_back(std::exchange(gang, blank));
        }
      }
      if (!gang.tasks.empty()) {
        victims.push_back(std::move(gang));
      }
    }
  }
  if (unit.guaranteed) {
    SpareGuaranteed(pass, victims);
  }
  return victims;
}

// A plan's field with the candidate of each of its workers, and the index of
// each of its victims among all.
struct FieldOfCandidates {
  PreemptionField field;
  std::vector<std::size_t> candidates;
  std::vector<std::size_t> victims;
};

// Makes the field of the candidates at `indices`. Of a gang that also runs
// elsewhere, the whole cost counts.
FieldOfCandidates MakeField(const TaskPlacementPass& pass,
                            const PlacementUnit& unit,
                            const std::vector<Victim>& victims,
                            const std::vector<std::vector<std::size_t>>& there,
                            const std::vector<std::size_t>& indices) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  FieldOfCandidates made;
  // Parts by victim.
  std::map<std::size_t, std::vector<VictimPart>> parts;
  for (const std::size_t index : indices) {
    const CandidateWorker& candidate = pass.candidates[index];
    if (!IsEligible(unit, spec, candidate)) {
      continue;
    }
    WorkerRoom room{.free = candidate.free_after_stops,
                    .max_tasks = static_cast<std::uint32_t>(unit.tasks.size())};
    if (spec.max_per_worker > 0) {
      const std::uint32_t placed =
          CountTasksOnWorker(unit, candidate.worker->listing.id);
      room.max_tasks =
          std::min(room.max_tasks,
                   spec.max_per_worker - std::min(placed, spec.max_per_worker));
    }
    // A gang with several tasks there is listed several times in a row.
    for (const std::size_t victim : there[index]) {
      std::vector<VictimPart>& of_victim = parts[victim];
      if (of_victim.empty() ||
          of_victim.back().worker != made.candidates.size()) {
        of_victim.push_back(VictimPart{.worker = made.candidates.size()});
      }
      of_victim.back().frees = of_victim.back().frees + victims[victim].need;
    }
    made.field.workers.push_back(room);
    made.candidates.push_back(index);
  }
  for (auto& [index, of_victim] : parts) {
    const Victim& victim = victims[index];
    CoreMillis cost = victim.loss + kStopCost * victim.tasks.size();
    if (victim.urgent_of) {
      cost += kUrgentCost;
    }
    made.field.victims.push_back(
        PreemptionVictim{.parts = std::move(of_victim), .cost = cost});
    made.victims.push_back(index);
  }
  return made;
}

// Chooses victims for the unit, with the candidates for its tasks in `workers`.
std::optional<PreemptionChoice> ChooseForUnit(
    const TaskPlacementPass& pass,
    const PlacementUnit& unit,
    const std::vector<Victim>& victims,
    bool one_rack) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  const PreemptionWant want{.need = spec.need, .tasks = unit.tasks.size()};
  std::vector<std::vector<std::size_t>> there(pass.candidates.size());
  for (std::size_t i = 0; i < victims.size(); ++i) {
    for (const std::size_t candidate : victims[i].candidates) {
      there[candidate].push_back(i);
    }
  }
  std::optional<PreemptionChoice> best;
  const auto consider = [&](const std::vector<std::size_t>& indices) {
    const FieldOfCandidates made =
        MakeField(pass, unit, victims, there, indices);
    auto choice = ChooseVictims(made.field, want);
    if (!choice || (best && best->cost <= choice->cost)) {
      return;
    }
    for (std::size_t& victim : choice->victims) {
      victim = made.victims[victim];
    }
    for (std::size_t& worker : choice->workers) {
      worker = made.candidates[worker];
    }
    best = std::move(choice);
  };
  if (one_rack) {
    for (const auto& [rack, members] : pass.racks) {
      consider(members);
    }
  } else {
    consider(ListAllCandidates(pass));
  }
  return best;
}

}  // namespace

bool PreemptForUnit(TaskPlacementPass& pass, const PlacementUnit& unit) {
  if (unit.lateness == Lateness::kInfeasible && !unit.guaranteed) {
    return true;
  }
  const bool one_rack = NeedsOneRack(pass, unit);
  const FitRequirements requirements =
      MakeRequirements(unit, one_rack, AvailableCapacity::kFreeAfterPreemption);
  if (IsKnownMisfit(pass, requirements, unit.tasks.size())) {
    return true;
  }
  if (pass.preemptions_left == 0) {
    pass.world->scheduling.placement_due = true;
    return true;
  }
  --pass.preemptions_left;
  const std::vector<Victim> victims = FindVictims(pass, unit);
  const auto choice = ChooseForUnit(pass, unit, victims, one_rack);
  if (!choice) {
    RecordMisfit(pass, unit, requirements);
    return false;
  }
  std::size_t stopped = 0;
  Accelerators accelerators_stopped;
  CoreMillis loss;
  for (const std::size_t index : choice->victims) {
    const Victim& victim = victims[index];
    for (std::size_t i = 0; i < victim.tasks.size(); ++i) {
      AddReclaimableCapacity(pass, victim.candidates[i], victim.need);
      StopTask(*pass.world, victim.tasks[i],
               FindTask(*pass.world, victim.tasks[i]), pass.time.now);
    }
    stopped += victim.tasks.size();
    accelerators_stopped += victim.need.accelerators * victim.tasks.size();
    loss += victim.loss;
  }
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  for (const std::size_t index : choice->workers) {
    ReserveCapacity(pass, index, spec.need);
  }
  if (choice->victims.empty()) {
    return true;
  }
  KeepReservation(pass, unit, choice->workers);
  PreemptionTotals& totals = pass.world->preempted;
  totals.tasks_stopped += stopped;
  totals.tasks_wanted += unit.tasks.size();
  totals.loss += loss;
  Log(LogLevel::kInfo, "preempted",
      {{"for", unit.id.value},
       {"tasks_stopped", stopped},
       {"tasks_wanted", unit.tasks.size()},
       {"accelerators_stopped", accelerators_stopped.value},
       {"accelerators_wanted",
        (spec.need.accelerators * unit.tasks.size()).value},
       {"loss_core_ms", loss.value}});
  return true;
}

}  // namespace chicorystep
