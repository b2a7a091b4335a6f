#ifndef CHICORYSTEP_SYSTEMS_TASK_ROOMS_H_
#define CHICORYSTEP_SYSTEMS_TASK_ROOMS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
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

// Whether a unit that is placed now can end within its objective, within three
// times of it, which still counts a little, or not any more.
enum class Lateness : std::uint8_t { kInTime, kLate, kHopeless };
template <>
inline constexpr std::array kEnumNames<Lateness> = {
    std::string_view("in_time"),
    std::string_view("late"),
    std::string_view("hopeless"),
};

// Tasks of one step that are placed together: a whole gang, or one task.
struct Unit {
  WorkflowId id;
  Workflow* workflow = nullptr;
  StepRun* run = nullptr;
  std::vector<TaskIndex> tasks;
  Lateness lateness = Lateness::kInTime;
  bool guaranteed = false;
  // Until when it meets its objective.
  UnixMillis deadline;
};

// How many tasks of one size the usable rooms hold, by accelerators alone: by
// what is free now and by what will be.
struct Places {
  std::int64_t now = 0;
  std::int64_t soon = 0;
};

// One placing pass.
struct Pass {
  WorkflowWorld* world = nullptr;
  WorkflowTime time;
  std::vector<Room> rooms;
  std::map<Rack, std::vector<std::size_t>> racks;
  // By the accelerators of a task; counted when first asked for after a change.
  std::map<Accelerators, Places> places;
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

// Whether the worker is of the workflow's service and has the label that the
// step asks for.
[[nodiscard]] bool Suits(const WorkerListing& listing,
                         const Workflow& workflow,
                         const StepSpec& step);

// Whether the step may run on the worker now.
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
