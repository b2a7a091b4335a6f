#ifndef CHICORYSTEP_SYSTEMS_TASK_ROOMS_H_
#define CHICORYSTEP_SYSTEMS_TASK_ROOMS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

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

// One placing pass.
struct Pass {
  WorkflowWorld* world = nullptr;
  WorkflowTime time;
  std::vector<Room> rooms;
  std::map<Rack, std::vector<std::size_t>> racks;
  // How many tasks of so many accelerators the usable rooms hold, by what is
  // free now and by what will be; counted when first asked for after a change.
  std::map<Accelerators, std::array<std::int64_t, 2>> places;
};

// Changes what a room may still give away.
void TakeNow(Pass& pass, std::size_t room, const Capacity& need);
void TakeSoon(Pass& pass, std::size_t room, const Capacity& need);
void GiveSoon(Pass& pass, std::size_t room, const Capacity& need);

// What each worker has to give away.
[[nodiscard]] Pass BeginPass(WorkflowWorld& world, const WorkflowTime& time);

// Tasks of the unit's step that are on `worker` already.
[[nodiscard]] std::uint32_t CountOnWorker(const Unit& unit,
                                          const WorkerId& worker);

// Whether the step may run on the worker at all.
[[nodiscard]] bool Allows(const Unit& unit,
                          const StepSpec& spec,
                          const Room& room);

// Whether the unit has to stay within one rack, outside of which it runs some
// times longer. One that waits for long goes where it can.
[[nodiscard]] bool NeedsOneRack(const Pass& pass, const Unit& unit);

[[nodiscard]] std::vector<std::size_t> AllRooms(const Pass& pass);

// A room for each task of the unit, by what is free now or, with `soon`, by
// what will be; nothing when they do not all fit.
[[nodiscard]] std::optional<std::vector<std::size_t>>
ChooseRooms(Pass& pass, const Unit& unit, bool soon);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_ROOMS_H_
