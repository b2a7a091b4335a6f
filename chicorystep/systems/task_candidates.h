#ifndef CHICORYSTEP_SYSTEMS_TASK_CANDIDATES_H_
#define CHICORYSTEP_SYSTEMS_TASK_CANDIDATES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// A worker considered in a placement pass, with the capacity that the pass may
// still use.
struct CandidateWorker {
  TaskWorker* worker = nullptr;
  Capacity free_now;
  // Free capacity once all stop orders are carried out, less what this pass has
  // reserved.
  Capacity free_after_stops;
  bool usable = false;
};

// Whether a unit that is placed now can end within its objective, within three
// times the objective, which still counts in part, or in neither.
enum class Lateness : std::uint8_t { kInTime, kLate, kInfeasible };
template <>
inline constexpr std::array kEnumNames<Lateness> = {
    std::string_view("in_time"),
    std::string_view("late"),
    std::string_view("hopeless"),
};

// Tasks of one step that are placed together: a whole gang or a single task.
struct PlacementUnit {
  WorkflowId id;
  Workflow* workflow = nullptr;
  StepRun* run = nullptr;
  std::vector<TaskIndex> tasks;
  Lateness lateness = Lateness::kInTime;
  bool guaranteed = false;
  // A unit that ends by this time meets its objective.
  UnixMillis deadline;
};

// Number of tasks of one size for which the usable candidates have accelerators
// now, and after all stop orders are carried out. Other resources are ignored.
struct TaskFitCount {
  std::int64_t now = 0;
  std::int64_t after_stops = 0;
};

// State of one placement pass.
struct TaskPlacementPass {
  WorkflowWorld* world = nullptr;
  WorkflowTime time;
  std::vector<CandidateWorker> candidates;
  std::map<Rack, std::vector<std::size_t>> racks;
  // Keyed by the accelerators of a task. A count is computed on first use and
  // dropped when the free capacity changes.
  std::map<Accelerators, TaskFitCount> fit_counts;
};

// Takes capacity of a candidate for tasks that are placed now.
void AllocateCapacity(TaskPlacementPass& pass,
                      std::size_t candidate,
                      const Capacity& need);
// Reserves capacity that becomes free when stop orders are carried out.
void ReserveCapacity(TaskPlacementPass& pass,
                     std::size_t candidate,
                     const Capacity& need);
// Adds capacity that a new stop order will free.
void AddReclaimableCapacity(TaskPlacementPass& pass,
                            std::size_t candidate,
                            const Capacity& need);

// Starts a pass over all workers of the holder, with their free capacity.
[[nodiscard]] TaskPlacementPass BeginPass(WorkflowWorld& world,
                                          const WorkflowTime& time);

// Number of tasks of the unit's step run that already occupy `worker`.
[[nodiscard]] std::uint32_t CountTasksOnWorker(const PlacementUnit& unit,
                                               const WorkerId& worker);

// Whether the worker belongs to the workflow's service and has the label that
// the step requires.
[[nodiscard]] bool MeetsRequirements(const WorkerListing& listing,
                                     const Workflow& workflow,
                                     const StepSpec& step);

// Whether tasks of the step may be placed on the candidate in this pass,
// regardless of free capacity.
[[nodiscard]] bool IsEligible(const PlacementUnit& unit,
                              const StepSpec& spec,
                              const CandidateWorker& candidate);

// Whether the unit must be placed within one rack, because it runs several
// times longer across racks. A unit that has waited too long is placed across
// racks.
[[nodiscard]] bool NeedsOneRack(const TaskPlacementPass& pass,
                                const PlacementUnit& unit);

[[nodiscard]] std::vector<std::size_t> ListAllCandidates(
    const TaskPlacementPass& pass);

// Selects a candidate for each task of the unit and returns their indices, or
// nothing if the tasks do not all fit. With `include_stopping`, capacity that
// stop orders will free counts as free.
[[nodiscard]] std::optional<std::vector<std::size_t>> SelectCandidates(
    TaskPlacementPass& pass,
    const PlacementUnit& unit,
    bool include_stopping);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_CANDIDATES_H_
