#include "chicorystep/systems/task_placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// Placement runs at most this often: it looks at all that waits.
constexpr Duration kPlacementSpacing = milliseconds(10);
// Without any event, placement is tried again after this: exclusions end.
constexpr Duration kPlacementPeriod = milliseconds(250);
// A gang that runs slower across racks waits this long for one rack.
constexpr Duration kRackPatience = std::chrono::seconds(10);
// The platform prices an accelerator's time like that of this many cores.
constexpr std::int64_t kAcceleratorCores = 8;
// A task that goes on from its checkpoint loses about this.
constexpr std::int64_t kRestoreMillis = 300;
// Each stop costs calls and a start, so that fewer victims are better.
constexpr std::int64_t kStopLoss = 2000;
// The least urgent work that may have other work stopped for it.
constexpr std::uint32_t kUrgentPriority = 0;

// What one placing pass may still give away on a worker.
struct Room {
  TaskWorker* worker = nullptr;
  // What is free now, and what will be when all stop orders are carried out.
  Capacity now;
  Capacity soon;
  bool usable = false;
};

// Tasks of one step that are placed together: a whole gang, or one task.
struct Unit {
  WorkflowId id;
  Workflow* workflow = nullptr;
  StepRun* run = nullptr;
  std::vector<TaskIndex> tasks;
  // Lateness: 0 can end within its objective, 1 within three times of it, 2
  // not any more.
  int lateness = 0;
  bool guaranteed = false;
  std::int64_t deadline = 0;
};

TimePoint WaitingSince(const Unit& unit) {
  return std::max(unit.run->ready_since,
                  unit.run->tasks[unit.tasks.front().value].since);
}

auto UnitOrder(const Unit& unit) {
  return std::tuple(!unit.guaranteed, unit.workflow->terms.priority,
                    unit.lateness, unit.deadline, unit.id, unit.run->occurrence,
                    unit.run->step, unit.tasks.front());
}

bool Fits(const Capacity& need, const Capacity& room) {
  return need.accelerators <= room.accelerators &&
         need.processors <= room.processors && need.memory <= room.memory;
}

void Take(Capacity& room, const Capacity& need) {
  room.accelerators -= need.accelerators;
  room.processors -= need.processors;
  room.memory -= need.memory;
}

void Give(Capacity& room, const Capacity& need) {
  room.accelerators += need.accelerators;
  room.processors += need.processors;
  room.memory += need.memory;
}

Capacity Least(const Capacity& a, const Capacity& b) {
  return Capacity{.accelerators = std::min(a.accelerators, b.accelerators),
                  .processors = std::min(a.processors, b.processors),
                  .memory = std::min(a.memory, b.memory)};
}

// One placing pass.
struct Pass {
  WorkflowWorld* world = nullptr;
  WorkflowTime time;
  std::vector<Room> rooms;
  std::map<Rack, std::vector<std::size_t>> racks;
};

bool HasLabel(const TaskWorker& worker, const std::string& label) {
  return label.empty() ||
         std::find(worker.listing.labels.begin(), worker.listing.labels.end(),
                   label) != worker.listing.labels.end();
}

bool IsUsable(const TaskWorker& worker, TimePoint now) {
  return worker.fenced && worker.listed && !worker.listing.draining &&
         worker.silent_holds == 0 && now >= worker.excluded_until;
}

Pass BeginPass(WorkflowWorld& world, const WorkflowTime& time) {
  Pass pass{.world = &world, .time = time};
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    Room room{.worker = &worker,
              .now = worker.free,
              .soon = worker.free,
              .usable = IsUsable(worker, time.now)};
    for (const auto& [key, run] : worker.tasks) {
      if (const TaskPlace place = FindTask(world, key);
          place && place.task->state == TaskState::kStopping) {
        Give(room.soon, place.spec->need);
      }
    }
    pass.racks[worker.rack].push_back(pass.rooms.size());
    pass.rooms.push_back(room);
  }
  return pass;
}

// Tasks of the unit's step that are on `worker` already.
std::uint32_t CountOnWorker(const Unit& unit, const WorkerId& worker) {
  return static_cast<std::uint32_t>(std::count_if(
      unit.run->tasks.begin(), unit.run->tasks.end(), [&](const Task& task) {
        return HoldsRoom(task.state) && task.worker == worker;
      }));
}

bool Allows(const Unit& unit, const StepSpec& spec, const Room& room) {
  return room.usable &&
         room.worker->listing.service == unit.workflow->terms.service &&
         HasLabel(*room.worker, spec.required_label);
}

// Chooses a room for each task of the unit among `candidates`, filling the
// fullest rooms first so that whole workers stay free for wide tasks. Looks at
// what is free now, or with `soon` at what will be.
std::optional<std::vector<std::size_t>> Pack(
    const Pass& pass,
    const Unit& unit,
    const std::vector<std::size_t>& candidates,
    bool soon) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  struct Candidate {
    std::size_t room;
    Capacity free;
    std::uint32_t most;
    bool near;
  };
  std::vector<Candidate> usable;
  for (const std::size_t index : candidates) {
    const Room& room = pass.rooms[index];
    if (!Allows(unit, spec, room)) {
      continue;
    }
    std::uint32_t most = static_cast<std::uint32_t>(unit.tasks.size());
    if (spec.max_per_worker > 0) {
      const std::uint32_t there = CountOnWorker(unit, room.worker->listing.id);
      most = std::min(
          most, spec.max_per_worker - std::min(there, spec.max_per_worker));
    }
    const Capacity free = soon ? room.soon : Least(room.now, room.soon);
    if (most > 0 && Fits(spec.need, free)) {
      usable.push_back(Candidate{.room = index,
                                 .free = free,
                                 .most = most,
                                 .near = spec.data_rack.empty() ||
                                         room.worker->rack == spec.data_rack});
    }
  }
  std::stable_sort(
      usable.begin(), usable.end(), [](const Candidate& a, const Candidate& b) {
        return std::tuple(!a.near, a.free.accelerators, a.free.memory) <
               std::tuple(!b.near, b.free.accelerators, b.free.memory);
      });
  std::vector<std::size_t> chosen;
  for (Candidate& candidate : usable) {
    while (candidate.most > 0 && chosen.size() < unit.tasks.size() &&
           Fits(spec.need, candidate.free)) {
      Take(candidate.free, spec.need);
      --candidate.most;
      chosen.push_back(candidate.room);
    }
  }
  if (chosen.size() < unit.tasks.size()) {
    return std::nullopt;
  }
  return chosen;
}

// Whether one rack could hold the whole gang if nothing else ran there.
bool FitsOneRack(const Pass& pass, const Unit& unit) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  return std::any_of(
      pass.racks.begin(), pass.racks.end(), [&](const auto& rack) {
        std::size_t places = 0;
        for (const std::size_t index : rack.second) {
          const Room& room = pass.rooms[index];
          Capacity left = room.worker->listing.capacity;
          while (Allows(unit, spec, room) && places < unit.tasks.size() &&
                 Fits(spec.need, left)) {
            Take(left, spec.need);
            ++places;
          }
        }
        return places >= unit.tasks.size();
      });
}

// Whether the unit has to stay within one rack, outside of which it runs some
// times longer. One that waits for long goes where it can.
bool NeedsOneRack(const Pass& pass, const Unit& unit) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  return spec.gang && spec.same_rack && unit.tasks.size() > 1 &&
         pass.time.now - WaitingSince(unit) < kRackPatience &&
         FitsOneRack(pass, unit);
}

std::vector<std::size_t> AllRooms(const Pass& pass) {
  std::vector<std::size_t> all(pass.rooms.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i] = i;
  }
  return all;
}

std::optional<std::vector<std::size_t>> ChooseRooms(const Pass& pass,
                                                    const Unit& unit,
                                                    bool soon) {
  if (!NeedsOneRack(pass, unit)) {
    return Pack(pass, unit, AllRooms(pass), soon);
  }
  std::optional<std::vector<std::size_t>> best;
  Accelerators best_left{};
  for (const auto& [rack, members] : pass.racks) {
    if (auto chosen = Pack(pass, unit, members, soon)) {
      Accelerators left{};
      for (const std::size_t index : members) {
        left += pass.rooms[index].now.accelerators;
      }
      if (!best || left < best_left) {
        best = std::move(chosen);
        best_left = left;
      }
    }
  }
  return best;
}

void Place(Pass& pass,
           const Unit& unit,
           const std::vector<std::size_t>& rooms) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  std::uint32_t newest = 0;
  for (const TaskIndex index : unit.tasks) {
    newest = std::max(newest, unit.run->tasks[index.value].run.value);
  }
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    Room& room = pass.rooms[rooms[i]];
    Task& task = unit.run->tasks[unit.tasks[i].value];
    task.state = TaskState::kPlaced;
    task.run = RunNumber(newest + 1);
    task.worker = room.worker->listing.id;
    task.life = room.worker->listing.life;
    task.since = pass.time.now;
    task.ordered = false;
    const TaskKey key{unit.id, unit.run->occurrence, unit.run->step,
                      unit.tasks[i]};
    room.worker->tasks[key] = task.run;
    Take(room.worker->free, spec.need);
    Take(room.now, spec.need);
    Take(room.soon, spec.need);
    pass.world->scheduling.to_record.push_back(
        AwaitedStart{.task = key, .run = task.run});
  }
  unit.workflow->state = WorkflowState::kRunning;
  MarkDirty(*pass.world, unit.id, *unit.workflow);
  Log(LogLevel::kInfo, "placed",
      {{"workflow", unit.id.value},
       {"step", unit.run->step.value},
       {"occurrence", unit.run->occurrence.value},
       {"tasks", rooms.size()},
       {"run", newest + 1},
       {"priority", unit.workflow->terms.priority},
       {"lateness", unit.lateness}});
}

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
  const auto ran =
      std::chrono::duration_cast<milliseconds>(pass.time.now - task.since)
          .count();
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
    if (Fits(need, free)) {
      break;
    }
    if (going.contains(index)) {
      continue;
    }
    for (const std::size_t of : victims[index].rooms) {
      if (of == room) {
        Give(free, victims[index].need);
      }
    }
    chosen.push_back(index);
  }
  if (!Fits(need, free)) {
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
          Give(found->second, victims[victim].need);
        }
      }
    }
    plan.loss += best_loss;
    plan.rooms.push_back(*best);
    Take(soon[*best], spec.need);
    ++placed[*best];
  }
  return plan;
}

// Stops the less urgent work whose loss is least, and reserves its room for
// the unit; does nothing when even all of it would not make room.
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
      Give(pass.rooms[victim.rooms[i]].soon, victim.need);
      StopTask(*pass.world, victim.tasks[i],
               FindTask(*pass.world, victim.tasks[i]), pass.time.now);
      ++stopped;
    }
  }
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  for (const std::size_t index : best->rooms) {
    Take(pass.rooms[index].soon, spec.need);
  }
  Log(LogLevel::kInfo, "preempted",
      {{"for", unit.id.value},
       {"tasks_stopped", stopped},
       {"tasks_wanted", unit.tasks.size()},
       {"loss", best->loss}});
}

// Places the unit, or reserves for it what is about to become free.
void TryUnit(Pass& pass, const Unit& unit) {
  if (const auto rooms = ChooseRooms(pass, unit, false)) {
    Place(pass, unit, *rooms);
    return;
  }
  if (const auto rooms = ChooseRooms(pass, unit, true)) {
    const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
    for (const std::size_t index : *rooms) {
      Take(pass.rooms[index].soon, spec.need);
    }
    return;
  }
  if (unit.workflow->terms.priority == kUrgentPriority) {
    Preempt(pass, unit);
  }
}

void AddUnits(const WorkflowId& id,
              Workflow& workflow,
              StepRun& run,
              const WorkflowTime& time,
              std::vector<Unit>& units) {
  const StepSpec& spec = workflow.spec.steps[run.step.value];
  Unit unit{.id = id, .workflow = &workflow, .run = &run};
  const auto allowance = std::chrono::duration_cast<milliseconds>(
      workflow.terms.target +
      Duration(static_cast<Duration::rep>(
          workflow.terms.stretch *
          static_cast<double>(LongestChain(workflow.spec).count()))));
  unit.deadline = workflow.accepted.value + allowance.count();
  const std::int64_t end =
      time.wall.value +
      std::chrono::duration_cast<milliseconds>(spec.estimate).count();
  if (end > unit.deadline) {
    unit.lateness = end > unit.deadline + 2 * allowance.count() ? 2 : 1;
  }
  for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
    if (run.tasks[i].state == TaskState::kWaiting) {
      unit.tasks.push_back(TaskIndex(i));
    }
  }
  if (spec.gang) {
    if (unit.tasks.size() == run.tasks.size()) {
      units.push_back(std::move(unit));
    }
    return;
  }
  for (const TaskIndex task : unit.tasks) {
    Unit single = unit;
    single.tasks = {task};
    units.push_back(std::move(single));
  }
}

std::vector<Unit> CollectUnits(WorkflowWorld& world, const WorkflowTime& time) {
  std::vector<Unit> units;
  for (const WorkflowId& id : world.scheduling.open) {
    Workflow& workflow = *world.workflows.find(id);
    if (workflow.cancel_requested) {
      continue;
    }
    for (StepRun& run : workflow.runs) {
      if (run.done < run.tasks.size() && DependenciesMet(workflow, run)) {
        if (run.ready_since == kNever) {
          run.ready_since = time.now;
        }
        AddUnits(id, workflow, run, time, units);
      }
    }
  }
  return units;
}

// Marks urgent units that their workspace's guarantee covers beside what it
// has in use.
void MarkGuaranteed(WorkflowWorld& world, std::vector<Unit>& units) {
  std::map<Workspace, Accelerators> in_use;
  for (const WorkflowId& id : world.scheduling.open) {
    const Workflow& workflow = *world.workflows.find(id);
    if (workflow.terms.priority != kUrgentPriority) {
      continue;
    }
    for (const StepRun& run : workflow.runs) {
      for (const Task& task : run.tasks) {
        if (HoldsRoom(task.state)) {
          in_use[workflow.terms.workspace] +=
              workflow.spec.steps[run.step.value].need.accelerators;
        }
      }
    }
  }
  std::stable_sort(
      units.begin(), units.end(),
      [](const Unit& a, const Unit& b) { return UnitOrder(a) < UnitOrder(b); });
  for (Unit& unit : units) {
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
  std::vector<Unit> units = CollectUnits(world, time);
  if (units.empty()) {
    return;
  }
  MarkGuaranteed(world, units);
  std::stable_sort(
      units.begin(), units.end(),
      [](const Unit& a, const Unit& b) { return UnitOrder(a) < UnitOrder(b); });
  Pass pass = BeginPass(world, time);
  for (const Unit& unit : units) {
    TryUnit(pass, unit);
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
