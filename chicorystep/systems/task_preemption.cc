#include "chicorystep/systems/task_preemption.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

// The platform prices an accelerator's time like that of this many cores.
constexpr std::int64_t kAcceleratorCores = 8;
// A task that goes on from its checkpoint loses about this.
constexpr std::int64_t kRestoreMillis = 300;
// Each stop costs calls and a start, so that fewer victims are better.
constexpr std::int64_t kStopLoss = 2000;

// Work that can be stopped for more urgent work: one task, or a whole gang.
struct Victim {
  std::vector<TaskKey> tasks;
  // The room of each task, and what it gives back there.
  std::vector<std::size_t> rooms;
  Capacity need;
  // Accelerator-milliseconds of work that would be done again.
  std::int64_t loss = 0;
};

// What stopping the task now throws away. A task that saves its progress does
// so at a stop, and only has to be restored.
std::int64_t LossOf(const Pass& pass, const StepSpec& spec, const Task& task) {
  const std::int64_t ran = WholeMillis(pass.time.now - task.since);
  const std::int64_t weight = kAcceleratorCores * spec.need.accelerators.value +
                              spec.need.processors.value / 1000;
  const std::int64_t again =
      spec.saves_progress ? std::min<std::int64_t>(ran, kRestoreMillis) : ran;
  return kStopLoss + weight * again;
}

std::vector<Victim> FindVictims(const Pass& pass, const Unit& unit) {
  std::map<WorkerId, std::size_t> room_of;
  for (std::size_t i = 0; i < pass.rooms.size(); ++i) {
    room_of[pass.rooms[i].worker->listing.id] = i;
  }
  std::vector<Victim> victims;
  for (const WorkflowId& id : pass.world->scheduling.open) {
    Workflow& workflow = *pass.world->workflows.find(id);
    if (workflow.terms.priority <= unit.workflow->terms.priority) {
      continue;
    }
    for (StepRun& run : workflow.runs) {
      const StepSpec& spec = workflow.spec.steps[run.step.value];
      Victim gang{.need = spec.need};
      for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
        const Task& task = run.tasks[i];
        const auto room = room_of.find(task.worker);
        if ((task.state != TaskState::kStarting &&
             task.state != TaskState::kRunning) ||
            room == room_of.end()) {
          continue;
        }
        gang.tasks.push_back(
            TaskKey{id, run.occurrence, run.step, TaskIndex(i)});
        gang.rooms.push_back(room->second);
        gang.loss += LossOf(pass, spec, task);
        if (!spec.gang) {
          victims.push_back(std::exchange(gang, Victim{.need = spec.need}));
        }
      }
      if (!gang.tasks.empty()) {
        victims.push_back(std::move(gang));
      }
    }
  }
  std::stable_sort(
      victims.begin(), victims.end(),
      [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
  return victims;
}

// Rooms for a unit and the victims that have to go for it.
struct PreemptionPlan {
  std::vector<std::size_t> rooms;
  std::set<std::size_t> victims;
  std::int64_t loss = 0;
};

// The cheapest victims that let one task of `need` into the room, beside those
// that go anyway; empty when even all would not do.
std::optional<std::vector<std::size_t>> VictimsFor(
    const std::vector<Victim>& victims,
    const std::vector<std::vector<std::size_t>>& by_room,
    const std::set<std::size_t>& going,
    std::size_t room,
    Capacity free,
    const Capacity& need) {
  std::vector<std::size_t> chosen;
  for (const std::size_t index : by_room[room]) {
    if (Holds(free, need)) {
      break;
    }
    if (going.contains(index)) {
      continue;
    }
    for (const std::size_t of : victims[index].rooms) {
      if (of == room) {
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

// Plans the unit into `candidates`, one task after the other where that costs
// least.
std::optional<PreemptionPlan> PlanPreemption(
    const Pass& pass,
    const Unit& unit,
    const std::vector<Victim>& victims,
    const std::vector<std::vector<std::size_t>>& by_room,
    const std::vector<std::size_t>& candidates) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  PreemptionPlan plan;
  std::map<std::size_t, Capacity> soon;
  std::map<std::size_t, std::uint32_t> placed;
  for (const std::size_t index : candidates) {
    if (Allows(unit, spec, pass.rooms[index])) {
      soon[index] = pass.rooms[index].soon;
    }
  }
  for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
    std::optional<std::size_t> best;
    std::vector<std::size_t> best_victims;
    std::int64_t best_loss = 0;
    for (const auto& [index, free] : soon) {
      if (spec.max_per_worker > 0 &&
          placed[index] +
                  CountOnWorker(unit, pass.rooms[index].worker->listing.id) >=
              spec.max_per_worker) {
        continue;
      }
      auto chosen =
          VictimsFor(victims, by_room, plan.victims, index, free, spec.need);
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
      for (const std::size_t room : victims[victim].rooms) {
        if (const auto found = soon.find(room); found != soon.end()) {
          found->second = found->second + victims[victim].need;
        }
      }
    }
    plan.loss += best_loss;
    plan.rooms.push_back(*best);
    soon[*best] = soon[*best] - spec.need;
    ++placed[*best];
  }
  return plan;
}

}  // namespace

void Preempt(Pass& pass, const Unit& unit) {
  const std::vector<Victim> victims = FindVictims(pass, unit);
  std::vector<std::vector<std::size_t>> by_room(pass.rooms.size());
  for (std::size_t i = 0; i < victims.size(); ++i) {
    for (const std::size_t room : victims[i].rooms) {
      if (by_room[room].empty() || by_room[room].back() != i) {
        by_room[room].push_back(i);
      }
    }
  }
  std::optional<PreemptionPlan> best;
  if (NeedsOneRack(pass, unit)) {
    for (const auto& [rack, members] : pass.racks) {
      auto plan = PlanPreemption(pass, unit, victims, by_room, members);
      if (plan && (!best || plan->loss < best->loss)) {
        best = std::move(plan);
      }
    }
  } else {
    best = PlanPreemption(pass, unit, victims, by_room, AllRooms(pass));
  }
  if (!best) {
    return;
  }
  std::size_t stopped = 0;
  for (const std::size_t index : best->victims) {
    const Victim& victim = victims[index];
    for (std::size_t i = 0; i < victim.tasks.size(); ++i) {
      GiveSoon(pass, victim.rooms[i], victim.need);
      StopTask(*pass.world, victim.tasks[i],
               FindTask(*pass.world, victim.tasks[i]), pass.time.now);
      ++stopped;
    }
  }
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  for (const std::size_t index : best->rooms) {
    TakeSoon(pass, index, spec.need);
  }
  Log(LogLevel::kInfo, "preempted",
      {{"for", unit.id.value},
       {"tasks_stopped", stopped},
       {"tasks_wanted", unit.tasks.size()},
       {"loss", best->loss}});
}

}  // namespace chicorystep
