#include "chicorystep/systems/task_placement.h"

#include <algorithm>
#include <map>
#include <optional>
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
constexpr Duration kRackPatience = milliseconds(1500);
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

std::optional<std::vector<std::size_t>> ChooseRooms(const Pass& pass,
                                                    const Unit& unit,
                                                    bool soon) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  if (spec.gang && spec.same_rack && unit.tasks.size() > 1) {
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
    if (best || pass.time.now - unit.run->tasks.front().since < kRackPatience) {
      // Workflows without a rack that could ever hold them do not wait.
      if (best || soon) {
        return best;
      }
    }
  }
  std::vector<std::size_t> all(pass.rooms.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i] = i;
  }
  return Pack(pass, unit, all, soon);
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

// A running step that may be stopped for more urgent work.
struct Victim {
  TaskKey key;
  std::size_t room;
  // Accelerator-milliseconds of work that would be lost.
  std::int64_t loss = 0;
};

// Running tasks that yield to `unit`, those that lose least first.
std::vector<Victim> FindVictims(const Pass& pass, const Unit& unit) {
  std::vector<Victim> victims;
  WorkflowWorld& world = *pass.world;
  for (std::size_t i = 0; i < pass.rooms.size(); ++i) {
    if (!pass.rooms[i].usable) {
      continue;
    }
    for (const auto& [key, run] : pass.rooms[i].worker->tasks) {
      const TaskPlace place = FindTask(world, key);
      if (!place ||
          place.workflow->terms.priority <= unit.workflow->terms.priority ||
          (place.task->state != TaskState::kRunning &&
           place.task->state != TaskState::kStarting)) {
        continue;
      }
      const auto ran = std::chrono::duration_cast<milliseconds>(
                           pass.time.now - place.task->since)
                           .count();
      std::int64_t loss = ran;
      if (place.spec->saves_progress) {
        // A checkpoint keeps most of it.
        loss /= 4;
      }
      if (place.spec->gang) {
        loss *= static_cast<std::int64_t>(place.run->tasks.size());
      }
      // The least urgent goes first.
      loss -=
          1'000'000 * static_cast<std::int64_t>(place.workflow->terms.priority);
      victims.push_back(Victim{.key = key, .room = i, .loss = loss});
    }
  }
  std::stable_sort(
      victims.begin(), victims.end(),
      [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
  return victims;
}

// Stops as many less urgent tasks as the unit needs, and reserves their room
// for it; false when even all of them would not do.
bool Preempt(Pass& pass, const Unit& unit) {
  WorkflowWorld& world = *pass.world;
  Pass trial = pass;
  std::vector<TaskKey> stopped;
  std::optional<std::vector<std::size_t>> rooms;
  for (const Victim& victim : FindVictims(pass, unit)) {
    const TaskPlace place = FindTask(world, victim.key);
    if (std::find(stopped.begin(), stopped.end(), victim.key) !=
        stopped.end()) {
      continue;
    }
    // A gang goes as a whole.
    for (std::uint32_t i = 0; i < place.run->tasks.size(); ++i) {
      const Task& member = place.run->tasks[i];
      TaskKey key = victim.key;
      key.task = TaskIndex(i);
      if (!place.spec->gang && key != victim.key) {
        continue;
      }
      if (!HoldsRoom(member.state) || member.state == TaskState::kStopping) {
        continue;
      }
      for (Room& room : trial.rooms) {
        if (room.worker->listing.id == member.worker) {
          Give(room.soon, place.spec->need);
        }
      }
      stopped.push_back(key);
    }
    rooms = ChooseRooms(trial, unit, true);
    if (rooms) {
      break;
    }
  }
  if (!rooms) {
    return false;
  }
  // Victims whose room is not part of the choice keep running.
  std::vector<WorkerId> needed;
  for (const std::size_t index : *rooms) {
    needed.push_back(trial.rooms[index].worker->listing.id);
  }
  std::size_t stops = 0;
  for (const TaskKey& key : stopped) {
    const TaskPlace place = FindTask(world, key);
    const bool helps =
        place.spec->gang
            ? std::any_of(place.run->tasks.begin(), place.run->tasks.end(),
                          [&](const Task& member) {
                            return std::find(needed.begin(), needed.end(),
                                             member.worker) != needed.end();
                          })
            : std::find(needed.begin(), needed.end(), place.task->worker) !=
                  needed.end();
    if (helps) {
      ++stops;
      for (Room& room : pass.rooms) {
        if (room.worker->listing.id == place.task->worker) {
          Give(room.soon, place.spec->need);
        }
      }
      StopTask(world, key, place, pass.time.now);
    }
  }
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  for (const std::size_t index : *rooms) {
    Take(pass.rooms[index].soon, spec.need);
  }
  Log(LogLevel::kInfo, "preempted",
      {{"for", unit.id.value},
       {"tasks_stopped", stops},
       {"tasks_wanted", unit.tasks.size()}});
  return true;
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
    (void)Preempt(pass, unit);
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
