#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_CANDIDATES_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_CANDIDATES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
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
  // The kinds of the tasks there, as long as some pair of kinds is judged to
  // slow each other down.
  std::vector<KindNumber> kinds;
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

// Tasks of one step that are placed together: a whole gang, one urgent task, or
// the waiting tasks of a step of independent ones.
struct PlacementUnit {
  WorkflowId id;
  Workflow* workflow = nullptr;
  StepRun* run = nullptr;
  std::vector<TaskIndex> tasks;
  Lateness lateness = Lateness::kInTime;
  bool guaranteed = false;
  // The tasks need not start together, so any number of them may be placed.
  bool divisible = false;
  // A unit that ends by this time meets its objective.
  UnixMillis deadline;
};

// Which capacity counts as available to a unit.
enum class AvailableCapacity : std::uint8_t {
  kFreeNow,
  kFreeAfterStops,
  kFreeAfterPreemption,
};

// What decides whether tasks fit, apart from their number. Units with equal
// requirements fit alike unless they limit the tasks on one worker.
struct FitRequirements {
  Service service;
  std::string label;
  Capacity need;
  // The tasks must fit within one rack.
  bool one_rack = false;
  // Workers take no more members of a gang than can start there in time.
  bool limited_starts = false;
  AvailableCapacity available = AvailableCapacity::kFreeNow;
  // Set for work within its workspace's guarantee when capacity is freed by
  // preemption: it may then also stop urgent work of other workspaces.
  std::optional<Workspace> reclaiming;

  friend bool operator==(const FitRequirements&,
                         const FitRequirements&) = default;
};

// The smallest number of tasks known not to fit.
struct KnownMisfit {
  FitRequirements requirements;
  std::size_t tasks = 0;
};

// Whether some empty rack could run a gang of `tasks`.
struct RackFit {
  FitRequirements requirements;
  std::size_t tasks = 0;
  bool fits = false;
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
  // Capacity only shrinks during a pass, so what did not fit once is not tried
  // again until a preemption adds capacity.
  std::vector<KnownMisfit> misfits;
  std::vector<RackFit> rack_fits;
  // Services of which much is in use, as of the begin of the pass.
  std::map<Service, bool> busy_services;
  // Units whose reservations are taken from the candidates' free capacity.
  std::set<TaskKey> reservations_applied;
  // Number of preemptions that the pass may still plan.
  std::size_t preemptions_left = 0;
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

// Why no task may be placed on the worker now; kNone if one may.
[[nodiscard]] WorkerRejection FindRejection(const WorkflowWorld& world,
                                            const TaskWorker& worker,
                                            TimePoint now);

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
[[nodiscard]] bool NeedsOneRack(TaskPlacementPass& pass,
                                const PlacementUnit& unit);

[[nodiscard]] FitRequirements MakeRequirements(const PlacementUnit& unit,
                                               bool one_rack,
                                               AvailableCapacity available);
// Whether as many tasks, or fewer, are known not to fit in this pass.
[[nodiscard]] bool IsKnownMisfit(const TaskPlacementPass& pass,
                                 const FitRequirements& requirements,
                                 std::size_t tasks);
// Records that the unit's tasks do not fit.
void RecordMisfit(TaskPlacementPass& pass,
                  const PlacementUnit& unit,
                  const FitRequirements& requirements);

[[nodiscard]] std::vector<std::size_t> ListAllCandidates(
    const TaskPlacementPass& pass);

// Selects a candidate for each task of the unit and returns their indices. If
// the tasks do not all fit, returns nothing, or the candidates of those that
// fit if the unit is divisible and any does. With `include_stopping`, capacity
// that stop orders will free counts as free.
[[nodiscard]] std::optional<std::vector<std::size_t>> SelectCandidates(
    TaskPlacementPass& pass,
    const PlacementUnit& unit,
    bool include_stopping);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_TASK_CANDIDATES_H_
