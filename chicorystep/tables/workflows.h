#ifndef CHICORYSTEP_TABLES_WORKFLOWS_H_
#define CHICORYSTEP_TABLES_WORKFLOWS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// The caller's own name for a workflow.
using WorkflowId = Id<struct WorkflowIdTag, std::string>;
// The position of a step within its workflow, from 0.
using StepIndex = Id<struct StepIndexTag, std::uint32_t>;
// Which of a timed workflow's runs a step belongs to, from 0.
using Occurrence = Id<struct OccurrenceTag, std::uint32_t>;
// The position of a task within its step, from 0.
using TaskIndex = Id<struct TaskIndexTag, std::uint32_t>;
// Counts the starts of one task, from 1; all members of a gang share it.
using RunNumber = Id<struct RunNumberTag, std::uint32_t>;
// The name of a route, by which accepted workflows refer to it.
using RouteName = Id<struct RouteNameTag, std::string>;
// When a worker's process started, in Unix milliseconds; tells its lives apart.
using WorkerLife = Id<struct WorkerLifeTag, std::uint64_t>;
// The number of an end in a worker's list, from 1 in each life.
using EndNumber = Id<struct EndNumberTag, std::uint64_t>;

// A time on one worker's own clock, which may run 2% slow.
using WorkerClock = Quantity<struct WorkerClockTag, std::int64_t>;
// Milliseconds of Unix time.
using UnixMillis = Quantity<struct UnixMillisTag, std::int64_t>;

// What a caller wants of one step: `count` tasks of the same size.
struct StepSpec {
  std::uint32_t count = 0;
  // What one task takes of a worker.
  Capacity need;
  // The caller's estimate of a task's run time; nothing correct rests on it.
  Duration estimate{};
  // Steps of which every task must have ended well before.
  std::vector<StepIndex> depends_on;
  // The tasks start and end together, or not at all.
  bool gang = false;
  // The gang runs slower when it spans racks.
  bool same_rack = false;
  bool saves_progress = false;
  // Copies of one task may run; the first that ends well counts.
  bool speculative = false;
  // Runs until it is cancelled and is restarted however it ends.
  bool long_running = false;
  // Takes only processors that others leave unused.
  bool fills_idle = false;
  // A label that the worker must have; empty is any.
  std::string required_label;
  // The rack that holds the step's data; empty is none.
  Rack data_rack;
  // Most tasks of the step on one worker; 0 is no limit.
  std::uint32_t max_per_worker = 0;
};

struct WorkflowSpec {
  // Passed to every task as it is.
  std::string payload;
  std::vector<StepSpec> steps;
  // How often all steps run; 0 is once and at once.
  std::uint32_t occurrences = 0;
  UnixMillis first_due;
  Duration interval{};
};

enum class WorkflowState : std::uint8_t {
  kQueued,
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled,
};
template <>
inline constexpr std::array kEnumNames<WorkflowState> = {
    std::string_view("queued"),    std::string_view("running"),
    std::string_view("succeeded"), std::string_view("failed"),
    std::string_view("cancelled"),
};

[[nodiscard]] constexpr bool IsOver(WorkflowState state) noexcept {
  return state >= WorkflowState::kSucceeded;
}

enum class TaskState : std::uint8_t {
  kWaiting,
  // A worker is chosen; the placement is being written to the journal.
  kPlaced,
  // The placement lasts; the start order may be carried out.
  kStarting,
  kRunning,
  // A stop order may be carried out.
  kStopping,
  kDone,
};
template <>
inline constexpr std::array kEnumNames<TaskState> = {
    std::string_view("waiting"),  std::string_view("placed"),
    std::string_view("starting"), std::string_view("running"),
    std::string_view("stopping"), std::string_view("done"),
};

// Whether a worker may run the task now or later.
[[nodiscard]] constexpr bool HoldsRoom(TaskState state) noexcept {
  return state >= TaskState::kPlaced && state <= TaskState::kStopping;
}

struct Task {
  TaskState state = TaskState::kWaiting;
  // The newest start; 0 is none.
  RunNumber run;
  // Runs that ended as failed.
  std::uint32_t failures = 0;
  // Where the newest run was placed.
  WorkerId worker;
  WorkerLife life;
  std::string checkpoint;
  // When the state was entered, in this process; not in the journal.
  TimePoint since{};
  // Whether the order for the current state is queued or under way.
  bool ordered = false;
  // A start of the newest run got no answer, so it may have been carried out.
  bool start_doubtful = false;
  // How fast the run goes compared with a sound worker, by the processors that
  // it uses, when that was last said, and the work done until then.
  double speed = 1.0;
  TimePoint measured{};
  Duration worked{};
};

// One run of one step for one occurrence.
struct StepRun {
  Occurrence occurrence;
  StepIndex step;
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  // Since when its tasks may run, as this process has seen; not in the journal.
  TimePoint ready_since = kNever;
};

// What a workflow has from its route, kept with its acceptance so that it does
// not change when the route is dropped.
struct WorkflowTerms {
  RouteName route;
  Workspace workspace;
  Service service;
  // 0 is the most urgent and may preempt the others.
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  // The route's allowance beyond `stretch` times the workflow's own length.
  Duration target{};
  double stretch = 1.0;
};

struct TaskKey {
  WorkflowId workflow;
  Occurrence occurrence;
  StepIndex step;
  TaskIndex task;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

// One accepted workflow, in every entry process.
struct Workflow {
  WorkflowSpec spec;
  WorkflowTerms terms;
  UnixMillis accepted;
  // What the journal says, and callers are told.
  WorkflowState shown = WorkflowState::kQueued;
  bool cancel_requested = false;
  UnixMillis over_since;

  // Below: only the holder's.

  // The steps that have begun or may begin.
  std::vector<StepRun> runs;

  // What the next record of its progress will say.
  WorkflowState state = WorkflowState::kQueued;
  bool dirty = false;
  // The newest state that was handed to the journal; written already, or about
  // to be.
  WorkflowState announced = WorkflowState::kQueued;
  // Occurrences whose steps have been added to `runs`.
  std::uint32_t occurrences_begun = 0;
};

// The records of the journal.
struct AcceptedRecord {
  WorkflowId id;
  WorkflowSpec spec;
  WorkflowTerms terms;
  UnixMillis accepted;
};
struct CancelRecord {
  WorkflowId id;
};
// What callers are told of a workflow; follows the progress that it sums up.
struct StateRecord {
  WorkflowId id;
  Epoch epoch;
  WorkflowState state = WorkflowState::kQueued;
  UnixMillis over_since;
};
// All that a successor has to know of a workflow that is not over. It changes
// with each task, so only who takes up the holder's place reads it.
struct ProgressRecord {
  WorkflowId id;
  Epoch epoch;
  WorkflowState state = WorkflowState::kQueued;
  UnixMillis over_since;
  std::vector<StepRun> runs;
};
// A claim of the holder's place, and its heartbeat afterwards.
struct HolderRecord {
  Epoch epoch;
  EntryId holder;
  Incarnation incarnation;
  // The holder gives its place up.
  bool released = false;
};
// A worker with tasks that does not answer the holder. It is given no lease
// until a later record leaves it out.
struct SilentWorker {
  WorkerId id;
  // How long the leases there may still last, counted from the record.
  Duration leased{};

  friend bool operator==(const SilentWorker&, const SilentWorker&) = default;
};
// All workers that are silent to one holder, so that its successor need not
// begin anew to wait for their leases.
struct SilentWorkersRecord {
  Epoch epoch;
  std::vector<SilentWorker> workers;
};
// Removes everything that the journal holds on a workflow. Its progress has
// been dropped before.
struct ForgetRecord {
  WorkflowId id;
};
// Removes the progress of a workflow that callers are told is over.
struct ProgressDroppedRecord {
  WorkflowId id;
};
using JournalRecord = std::variant<AcceptedRecord,
                                   CancelRecord,
                                   StateRecord,
                                   ProgressRecord,
                                   ProgressDroppedRecord,
                                   HolderRecord,
                                   SilentWorkersRecord,
                                   ForgetRecord>;

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_WORKFLOWS_H_
