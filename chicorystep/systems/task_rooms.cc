#include "chicorystep/systems/task_rooms.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

// A gang that runs slower across racks waits this long for one rack.
constexpr Duration kRackPatience = std::chrono::seconds(10);

TimePoint WaitingSince(const Unit& unit) {
  return std::max(unit.run->ready_since,
                  unit.run->tasks[unit.tasks.front().value].since);
}

// Whether the worker rejects what does not fit. Where it does not, runs that
// the tables know nothing of take room that only the worker can count.
bool GuardsCapacity(const WorkflowWorld& world, const TaskWorker& worker) {
  const auto service = world.config->services.find(worker.listing.service);
  return service == world.config->services.end() ||
         service->second.enforces_capacity;
}

bool IsUsable(const WorkflowWorld& world,
              const TaskWorker& worker,
              TimePoint now) {
  return worker.fenced && worker.listed && !worker.listing.draining &&
         worker.silent_holds == 0 && now < worker.overdue &&
         now >= worker.excluded_until &&
         (worker.strays == 0 || GuardsCapacity(world, worker));
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
    const Capacity free = soon ? room.soon : Min(room.now, room.soon);
    if (most > 0 && Holds(free, spec.need)) {
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
           Holds(candidate.free, spec.need)) {
      candidate.free = candidate.free - spec.need;
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
                 Holds(left, spec.need)) {
            left = left - spec.need;
            ++places;
          }
        }
        return places >= unit.tasks.size();
      });
}

// Whether the accelerators alone leave places enough. Most of what waits is
// ruled out by this, without a look at each worker.
bool MayHold(Pass& pass, const Unit& unit, bool soon) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  const Accelerators each = spec.need.accelerators;
  if (each <= Accelerators{0}) {
    return true;
  }
  const auto [row, added] = pass.places.try_emplace(each);
  if (added) {
    for (const Room& room : pass.rooms) {
      if (room.usable) {
        const Accelerators now = Min(room.now, room.soon).accelerators;
        row->second.now += std::max<std::int64_t>(0, now.value / each.value);
        row->second.soon += std::max<std::int64_t>(
            0, room.soon.accelerators.value / each.value);
      }
    }
  }
  const std::int64_t places = soon ? row->second.soon : row->second.now;
  return places >= std::ssize(unit.tasks);
}

}  // namespace

void TakeNow(Pass& pass, std::size_t room, const Capacity& need) {
  Room& row = pass.rooms[room];
  row.worker->free = row.worker->free - need;
  row.now = row.now - need;
  TakeSoon(pass, room, need);
}

void TakeSoon(Pass& pass, std::size_t room, const Capacity& need) {
  pass.rooms[room].soon = pass.rooms[room].soon - need;
  pass.places.clear();
}

void GiveSoon(Pass& pass, std::size_t room, const Capacity& need) {
  pass.rooms[room].soon = pass.rooms[room].soon + need;
  pass.places.clear();
}

Pass BeginPass(WorkflowWorld& world, const WorkflowTime& time) {
  Pass pass{.world = &world, .time = time};
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    Room room{.worker = &worker,
              .now = worker.free,
              .soon = worker.free,
              .usable = IsUsable(world, worker, time.now)};
    for (const auto& [key, run] : worker.tasks) {
      if (const TaskPlace place = FindTask(world, key);
          place && place.task->state == TaskState::kStopping) {
        room.soon = room.soon + place.spec->need;
      }
    }
    pass.racks[worker.rack].push_back(pass.rooms.size());
    pass.rooms.push_back(room);
  }
  return pass;
}

std::uint32_t CountOnWorker(const Unit& unit, const WorkerId& worker) {
  return static_cast<std::uint32_t>(std::count_if(
      unit.run->tasks.begin(), unit.run->tasks.end(), [&](const Task& task) {
        return HoldsRoom(task.state) && task.worker == worker;
      }));
}

bool Suits(const WorkerListing& listing,
           const Workflow& workflow,
           const StepSpec& step) {
  return listing.service == workflow.terms.service &&
         (step.required_label.empty() ||
          std::find(listing.labels.begin(), listing.labels.end(),
                    step.required_label) != listing.labels.end());
}

bool Allows(const Unit& unit, const StepSpec& spec, const Room& room) {
  return room.usable && Suits(room.worker->listing, *unit.workflow, spec);
}

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

std::optional<std::vector<std::size_t>> ChooseRooms(Pass& pass,
                                                    const Unit& unit,
                                                    bool soon) {
  if (!MayHold(pass, unit, soon)) {
    return std::nullopt;
  }
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

}  // namespace chicorystep
