#ifndef CHICORYSTEP_TABLES_WORKFLOWS_H_
#define CHICORYSTEP_TABLES_WORKFLOWS_H_

#include <algorithm>
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
#include "chicorystep/tables/task_waits.h"

namespace chicorystep {

// Identifier that the caller chooses for a workflow.
using WorkflowId = Id<struct WorkflowIdTag, std::string>;
// Index of a step within its workflow, from 0.
using StepIndex = Id<struct StepIndexTag, std::uint32_t>;
// Number of a run of a scheduled workflow, from 0.
using Occurrence = Id<struct OccurrenceTag, std::uint32_t>;
// Index of a task within its step, from 0.
using TaskIndex = Id<struct TaskIndexTag, std::uint32_t>;
// Counts the starts of one task, from 1. All members of a gang have the same
// number.
using RunNumber = Id<struct RunNumberTag, std::uint32_t>;
// Name by which accepted workflows refer to their route.
using RouteName = Id<struct RouteNameTag, std::string>;
// Number that this process gives a kind of task, from 1; not recorded.
using KindNumber = Id<struct KindNumberTag, std::uint32_t>;
// Start time of a worker's process in Unix milliseconds, which identifies its
// incarnation.
using WorkerIncarnation = Id<struct WorkerIncarnationTag, std::uint64_t>;
// Number of an end in a worker's list, from 1 in each incarnation.
using EndNumber = Id<struct EndNumberTag, std::uint64_t>;

// A time on one worker's own clock, which may run 2% slow.
using WorkerClock = Quantity<struct WorkerClockTag, std::int64_t>;
// Milliseconds of Unix time.
using UnixMillis = Quantity<struct UnixMillisTag, std::int64_t>;

// A caller's specification of one step: `count` tasks of the same size.
struct StepSpec {
  std::uint32_t count = 0;
  // Capacity that one task takes on a worker.
  Capacity need;
  // The caller's estimate of a task's run time. Correctness does not depend on
  // it.
  Duration estimate{};
  // Steps whose tasks must all have succeeded before this step begins.
  std::vector<StepIndex> depends_on;
  // The tasks start and end together, or not at all.
  bool gang = false;
  // The gang runs slower when its workers are in different racks.
  bool same_rack = false;
  // A stopped task saves a checkpoint, from which its next run resumes.
  bool saves_progress = false;
  // Several copies of one task may run; the first success counts.
  bool speculative = false;
  // Runs until it is cancelled, and is restarted whatever the result of a run.
  bool long_running = false;
  // Uses only processor time that other tasks leave idle.
  bool fills_idle = false;
  // What the tasks run, as the caller names it; tasks of one program behave
  // alike. Empty if the caller names none.
  std::string program;
  // A label that the worker must have; empty accepts any worker.
  std::string required_label;
  // The rack that holds the step's data; empty for no preference.
  Rack data_rack;
  // Maximum number of tasks of the step on one worker; 0 is no limit.
  std::uint32_t max_per_worker = 0;
};

struct WorkflowSpec {
  // Passed to every task unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  // How many times all steps run on a schedule; 0 means once and at once.
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

[[nodiscard]] constexpr bool IsTerminal(WorkflowState state) noexcept {
  return state >= WorkflowState::kSucceeded;
}

enum class TaskState : std::uint8_t {
  kWaiting,
  // A worker is chosen; the placement is not yet written to the progress
  // stream.
  kPlaced,
  // The placement is durable; the start order may be carried out.
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

// Whether the task takes capacity on a worker, which may run it now or later.
[[nodiscard]] constexpr bool HoldsCapacity(TaskState state) noexcept {
  return state >= TaskState::kPlaced && state <= TaskState::kStopping;
}

struct Task {
  TaskState state = TaskState::kWaiting;
  // The newest start; 0 before the first one.
  RunNumber run;
  // Number of runs that ended as failed, and the newest run that is counted.
  // The members of a gang share both, so that a run that several of them report
  // as failed counts once.
  std::uint32_t failures = 0;
  RunNumber failed_run;
  // Where the newest run was placed, and the incarnation that its start was
  // addressed to, or an earlier one (`IncarnationToRecord`). A later one may
  // have carried out the start.
  WorkerId worker;
  WorkerIncarnation incarnation;
  std::string checkpoint;
  // When this process set `state`; not recorded.
  TimePoint since{};
  // When this process last knew that a run of the task was in progress; not
  // recorded.
  TimePoint last_running = kDistantPast;
  // Whether the order for the current state is queued or in flight.
  bool order_pending = false;
  // A start order for the newest run got no answer, so it may have been carried
  // out, or may still be. Also set for runs that a previous holder has started.
  bool start_unconfirmed = false;
  // The worker has reported the newest run to this process, or confirmed its
  // start; not recorded.
  bool reported = false;
  // The incarnation of the worker that has reported the newest run to this
  // process; empty if none has. The answer to a start does not say which
  // incarnation carried it out. Not recorded.
  WorkerIncarnation reported_by;
  // The lease expiry in the start order of the newest run. Repeats carry the
  // same one, so that they do not prolong the wait for it.
  std::optional<WorkerClock> start_until;
  // The share of the requested processors that the run uses, and its speed
  // relative to a healthy worker, judged by how much tasks of its kind use
  // elsewhere; with the time of the newest report and the work done until then.
  double use = 1.0;
  double speed = 1.0;
  TimePoint measured{};
  Duration worked{};
  // Whether `speed` is relative to tasks of its kind on other workers, and how
  // often this process has moved the task off a slow worker.
  bool compared = false;
  std::uint32_t moves = 0;
};

// One run of one step for one occurrence.
struct StepRun {
  Occurrence occurrence;
  StepIndex step;
  // The first tasks of the step. A task of a wide step gets its row when it is
  // placed, so that the rows follow what runs rather than what was accepted.
  std::vector<Task> tasks;
  // The number of tasks after these, none of which has been placed yet.
  std::uint32_t untouched = 0;
  std::uint32_t done = 0;
  // The kind that its tasks belong to, once it was needed; not recorded.
  KindNumber kind;
  // Since when this process has considered its tasks ready to run; not
  // recorded.
  TimePoint ready_since = kNever;
  // What the newest log line about its tasks without a run said; not recorded.
  WaitReason logged_wait = WaitReason::kNothing;
  Duration logged_waited{};
};

// Tasks of a step run that have a row from the begin.
inline constexpr std::uint32_t kInitialTaskRows = 64;

// Returns the run of a step of `tasks` tasks, none of which has been placed.
[[nodiscard]] inline StepRun MakeStepRun(Occurrence occurrence,
                                         StepIndex step,
                                         std::uint32_t tasks) {
  const std::uint32_t rows = std::min(tasks, kInitialTaskRows);
  return StepRun{.occurrence = occurrence,
                 .step = step,
                 .tasks = std::vector<Task>(rows),
                 .untouched = tasks - rows};
}

// The number of tasks of the step, with or without a row.
[[nodiscard]] inline std::uint32_t CountTasks(const StepRun& run) noexcept {
  return static_cast<std::uint32_t>(run.tasks.size()) + run.untouched;
}

[[nodiscard]] inline bool IsDone(const StepRun& run) noexcept {
  return run.done == CountTasks(run);
}

// Returns the task's row, which is added if it has none. `index` must be less
// than CountTasks(run).
inline Task& AddTaskRow(StepRun& run, TaskIndex index) {
  if (const std::size_t rows = std::size_t{index.value} + 1;
      rows > run.tasks.size()) {
    run.untouched -= static_cast<std::uint32_t>(rows - run.tasks.size());
    run.tasks.resize(rows);
  }
  return run.tasks[index.value];
}

// The terms that a workflow takes from its route. They are recorded with its
// acceptance, so that a later change or removal of the route does not affect
// it.
struct WorkflowTerms {
  RouteName route;
  Workspace workspace;
  Service service;
  // 0 is the most urgent and may preempt the others.
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  // The route's allowance in addition to `stretch` times the workflow's own
  // length.
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

// One accepted workflow, as every entry process keeps it.
struct Workflow {
  WorkflowSpec spec;
  WorkflowTerms terms;
  UnixMillis accepted;
  // The entry that wrote the acceptance.
  EntryId accepted_by;
  // The state recorded in the journal, which callers see.
  WorkflowState shown = WorkflowState::kQueued;
  bool cancel_requested = false;
  UnixMillis ended_at;

  // The members below are used only by the holder.

  // The steps that have begun or may begin, in the order of occurrences and of
  // steps. Occurrences that have ended are dropped once a later one has begun.
  std::vector<StepRun> runs;

  // The state that the next progress record carries.
  WorkflowState state = WorkflowState::kQueued;
  bool dirty = false;
  // Whether the workflow is queued to be advanced.
  bool advance_queued = false;
  // Some task has used all its attempts, so no further task is placed.
  bool attempts_exhausted = false;
  // Length of the critical path; zero until it is first needed.
  Duration critical_path{};
  // The newest state that was queued for the journal, whether it is written or
  // not.
  WorkflowState announced = WorkflowState::kQueued;
  // Occurrences whose steps have been added to `runs`.
  std::uint32_t occurrences_begun = 0;
  // The number of parts of its progress that the stream may hold.
  std::uint32_t progress_parts = 0;
};

// The records of the journal and of the progress stream.
struct AcceptedRecord {
  WorkflowId id;
  WorkflowSpec spec;
  WorkflowTerms terms;
  UnixMillis accepted;
  // The entry that wrote the record; empty in records of earlier builds.
  EntryId entry;
};
struct CancelRecord {
  WorkflowId id;
  // Whose caller cancelled the workflow; empty on an open route, and in records
  // of earlier builds.
  Workspace workspace;
};
// Whether a caller with a key of `caller` may cancel a workflow of `owner`.
// Calls on open routes have no workspace.
[[nodiscard]] inline bool MayCancel(const Workspace& caller,
                                    const Workspace& owner) {
  return caller.empty() || owner.empty() || caller == owner;
}
// Removes a cancel that no acceptance has followed.
struct CancelRemovalRecord {
  WorkflowId id;
};
// The state of a workflow that callers see. It is written only after the
// progress that it summarises.
struct StateRecord {
  WorkflowId id;
  Epoch epoch;
  WorkflowState state = WorkflowState::kQueued;
  UnixMillis ended_at;
};
// All that the next holder needs of a workflow that has not ended. It changes
// with each task, so an entry reads it only when it becomes holder. A workflow
// with many tasks is stored in several parts, which one append writes together.
struct ProgressRecord {
  WorkflowId id;
  Epoch epoch;
  WorkflowState state = WorkflowState::kQueued;
  UnixMillis ended_at;
  std::vector<StepRun> runs;
  // Set when a part is read: its number, from 0. The runs of a part hold the
  // tasks that are stored in it.
  std::uint32_t part = 0;
};

// The longest checkpoint that is kept. Those of the platform have 16 bytes.
inline constexpr std::size_t kMaxCheckpointLength = 128;

// Tasks and step runs in one part of a workflow's progress. A task takes up to
// 230 bytes with the longest checkpoint, and the platform's records hold 256
// KB.
inline constexpr std::size_t kRowsPerProgressPart = 1000;

// The number of parts in which the progress of `runs` is stored. It depends on
// the number of rows alone. An append replaces all earlier parts or removes
// them, as parts of an older state must not remain in the stream.
[[nodiscard]] inline std::uint32_t CountProgressParts(
    const std::vector<StepRun>& runs) {
  std::size_t rows = 0;
  for (const StepRun& run : runs) {
    rows += 1 + run.tasks.size();
  }
  return static_cast<std::uint32_t>(std::max<std::size_t>(
      1, (rows + kRowsPerProgressPart - 1) / kRowsPerProgressPart));
}
// An entry at the address where it serves callers, which is empty in records of
// earlier builds. No two processes of an entry serve one address at once.
struct EntryAddress {
  EntryId id;
  Address address;

  friend auto operator<=>(const EntryAddress&, const EntryAddress&) = default;
};
// A claim to the holder role, repeated as the holder's heartbeat.
struct HolderRecord {
  Epoch epoch;
  EntryId holder;
  Incarnation incarnation;
  // The holder gives up its role.
  bool released = false;
  Address address;
  // The holder whom this one superseded.
  EntryAddress previous;
  // How long earlier holders may still send orders, counted from the record; if
  // absent, as long as any holder may after the next claim.
  std::optional<Duration> earlier_orders;
};
// No process of the entry at this address sends orders under its claims up to
// `epoch` any more.
struct OrdersEndedRecord {
  EntryAddress entry;
  Epoch epoch;

  friend bool operator==(const OrdersEndedRecord&,
                         const OrdersEndedRecord&) = default;
};
// A worker with tasks that does not answer the holder. It gets no lease until a
// later record omits it.
struct UnresponsiveWorker {
  WorkerId id;
  // How long the leases there may still last, counted from the record.
  Duration leased{};

  friend bool operator==(const UnresponsiveWorker&,
                         const UnresponsiveWorker&) = default;
};
// All workers that are unresponsive to one holder. With it the next holder need
// not restart the wait for their leases to expire.
struct UnresponsiveWorkersRecord {
  Epoch epoch;
  std::vector<UnresponsiveWorker> workers;
};
// Removes all records of a workflow from the journal. Its progress has been
// removed before.
struct EvictionRecord {
  WorkflowId id;
};
// Removes one part of the progress of a workflow whose end is recorded in the
// journal.
struct ProgressRemovalRecord {
  WorkflowId id;
  std::uint32_t part = 0;
};
using JournalRecord = std::variant<AcceptedRecord,
                                   CancelRecord,
                                   CancelRemovalRecord,
                                   StateRecord,
                                   ProgressRecord,
                                   ProgressRemovalRecord,
                                   HolderRecord,
                                   OrdersEndedRecord,
                                   UnresponsiveWorkersRecord,
                                   EvictionRecord>;

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_WORKFLOWS_H_
