#include "chicorystep/systems/workflows/task_preemption.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

// The platform prices one accelerator like this many processor cores.
constexpr std::int64_t kAcceleratorCores = 8;
// Approximate work that a task loses when it resumes from its checkpoint.
constexpr std::int64_t kRestoreMillis = 300;
// Core-milliseconds added to the loss of each stopped task: a stop costs calls
// and another start, so fewer victims are better.
constexpr std::int64_t kStopCost = 2000;
// Added to the loss of urgent work, which is stopped only when stopping all
// less urgent work does not suffice.
constexpr std::int64_t kUrgentLoss = 1'000'000'000'000;

// Work that can be stopped for more urgent work: a single task or a whole gang.
struct Victim {
  std::vector<TaskKey> tasks;
  // The index of the candidate that runs each task, and the capacity that
  // stopping one task frees there.
  std::vector<std::size_t> candidates;
  Capacity need;
  // Core-milliseconds of work that would have to be repeated, with accelerators
  // counted as `kAcceleratorCores` cores, and the cost of the stops.
  std::int64_t loss = 0;
  // The workspace of urgent work; empty for other work.
  std::optional<Workspace> urgent_of;
};

// Computes the work that is lost if the task is stopped now. A task that saves
// its progress does so when it is stopped, and loses only the restore time.
std::int64_t ComputeLoss(const TaskPlacementPass& pass,
                         const StepSpec& spec,
                         const Task& task) {
  const std::int64_t ran = WholeMillis(pass.time.now - task.since);
  const std::int64_t weight = kAcceleratorCores * spec.need.accelerators.value +
                              spec.need.processors.value / 1000;
  const std::int64_t repeated =
      spec.saves_progress ? std::min<std::int64_t>(ran, kRestoreMillis) : ran;
  return kStopCost + weight * repeated;
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
      blank.loss = kUrgentLoss;
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
  std::stable_sort(
      victims.begin(), victims.end(),
      [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
  return victims;
}

// Candidates for the tasks of a unit, and the victims to stop for it.
struct PreemptionPlan {
  std::vector<std::size_t> candidates;
  std::set<std::size_t> victims;
  std::int64_t loss = 0;
};

// Selects the victims with the least loss, in addition to those chosen before,
// so that one task of size `need` fits on the candidate. Returns nothing if
// stopping all of them would not suffice.
std::optional<std::vector<std::size_t>> SelectVictims(
    const std::vector<Victim>& victims,
    const std::vector<std::vector<std::size_t>>& by_candidate,
    const std::set<std::size_t>& chosen_before,
    std::size_t candidate,
    Capacity free,
    const Capacity& need) {
  std::vector<std::size_t> chosen;
  for (const std::size_t index : by_candidate[candidate]) {
    if (Holds(free, need)) {
      break;
    }
    if (chosen_before.contains(index)) {
      continue;
    }
    for (const std::size_t victim_candidate : victims[index].candidates) {
      if (victim_candidate == candidate) {
        free = free + victims[index].need;
      }
    }
    chosen.push_back(index);
  }
  if (!Holds(free, need)) {
    return std::nullopt;
  }
  return chosen;
}

// Plans the unit onto the candidates at `indices`, placing one task after
// another where the loss is least.
std::optional<PreemptionPlan> PlanPreemption(
    const TaskPlacementPass& pass,
    const PlacementUnit& unit,
    const std::vector<Victim>& victims,
    const std::vector<std::vector<std::size_t>>& by_candidate,
    const std::vector<std::size_t>& indices) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  PreemptionPlan plan;
  std::map<std::size_t, Capacity> free_after_stops;
  std::map<std::size_t, std::uint32_t> placed;
  for (const std::size_t index : indices) {
    if (IsEligible(unit, spec, pass.candidates[index])) {
      free_after_stops[index] = pass.candidates[index].free_after_stops;
    }
  }
  for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
    std::optional<std::size_t> best;
    std::vector<std::size_t> best_victims;
    std::int64_t best_loss = 0;
    for (const auto& [index, free] : free_after_stops) {
      if (spec.max_per_worker > 0 &&
          placed[index] +
                  CountTasksOnWorker(
                      unit, pass.candidates[index].worker->listing.id) >=
              spec.max_per_worker) {
        continue;
      }
      auto chosen = SelectVictims(victims, by_candidate, plan.victims, index,
                                  free, spec.need);
      if (!chosen) {
        continue;
      }
      std::int64_t loss = 0;
      for (const std::size_t victim : *chosen) {
        loss += victims[victim].loss;
      }
      if (!best || loss < best_loss) {
        best = index;
        best_loss = loss;
        best_victims = std::move(*chosen);
      }
    }
    if (!best) {
      return std::nullopt;
    }
    for (const std::size_t victim : best_victims) {
      plan.victims.insert(victim);
      for (const std::size_t candidate : victims[victim].candidates) {
        if (const auto found = free_after_stops.find(candidate);
            found != free_after_stops.end()) {
          found->second = found->second + victims[victim].need;
        }
      }
    }
    plan.loss += best_loss;
    plan.candidates.push_back(*best);
    free_after_stops[*best] = free_after_stops[*best] - spec.need;
    ++placed[*best];
  }
  return plan;
}

}  // namespace

void PreemptForUnit(TaskPlacementPass& pass, const PlacementUnit& unit) {
  const bool one_rack = NeedsOneRack(pass, unit);
  const FitRequirements requirements =
      MakeRequirements(unit, one_rack, AvailableCapacity::kFreeAfterPreemption);
  if (IsKnownMisfit(pass, requirements, unit.tasks.size())) {
    return;
  }
  if (pass.preemptions_left == 0) {
    pass.world->scheduling.placement_due = true;
    return;
  }
  --pass.preemptions_left;
  const std::vector<Victim> victims = FindVictims(pass, unit);
  if (victims.empty()) {
    RecordMisfit(pass, unit, requirements);
    return;
  }
  std::vector<std::vector<std::size_t>> by_candidate(pass.candidates.size());
  for (std::size_t i = 0; i < victims.size(); ++i) {
    for (const std::size_t candidate : victims[i].candidates) {
      if (by_candidate[candidate].empty() ||
          by_candidate[candidate].back() != i) {
        by_candidate[candidate].push_back(i);
      }
    }
  }
  std::optional<PreemptionPlan> best;
  if (one_rack) {
    for (const auto& [rack, members] : pass.racks) {
      auto plan = PlanPreemption(pass, unit, victims, by_candidate, members);
      if (plan && (!best || plan->loss < best->loss)) {
        best = std::move(plan);
      }
    }
  } else {
    best = PlanPreemption(pass, unit, victims, by_candidate,
                          ListAllCandidates(pass));
  }
  if (!best) {
    RecordMisfit(pass, unit, requirements);
    return;
  }
  std::size_t stopped = 0;
  for (const std::size_t index : best->victims) {
    const Victim& victim = victims[index];
    for (std::size_t i = 0; i < victim.tasks.size(); ++i) {
      AddReclaimableCapacity(pass, victim.candidates[i], victim.need);
      StopTask(*pass.world, victim.tasks[i],
               FindTask(*pass.world, victim.tasks[i]), pass.time.now);
      ++stopped;
    }
  }
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  for (const std::size_t index : best->candidates) {
    ReserveCapacity(pass, index, spec.need);
  }
  Log(LogLevel::kInfo, "preempted",
      {{"for", unit.id.value},
       {"tasks_stopped", stopped},
       {"tasks_wanted", unit.tasks.size()},
       {"loss", best->loss}});
}

}  // namespace chicorystep
