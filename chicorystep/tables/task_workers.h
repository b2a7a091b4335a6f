#ifndef CHICORYSTEP_TABLES_TASK_WORKERS_H_
#define CHICORYSTEP_TABLES_TASK_WORKERS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/workflows.h"

namespace chicorystep {

// One live worker as the platform lists it.
struct WorkerListing {
  WorkerId id;
  Service service;
  Address address;
  Zone zone;
  Capacity capacity;
  std::vector<std::string> labels;
  // Takes no new work and leaves soon.
  bool draining = false;
  // How much longer it stays, when it is draining and says so.
  std::optional<Duration> remaining;
  WorkerLife life;
};

// How a run on a worker ended.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  // Another member of the gang ended.
  kBroken,
  // The other members of the gang did not come.
  kAlone,
  kUnrecognised,
};
template <>
inline constexpr std::array kEnumNames<RunEnd> = {
    std::string_view("done"),         std::string_view("failed"),
    std::string_view("stopped"),      std::string_view("lapsed"),
    std::string_view("broken"),       std::string_view("alone"),
    std::string_view("unrecognised"),
};

// A run that a worker reports as present.
struct RunningReport {
  TaskKey task;
  RunNumber run;
  std::string checkpoint;
  // What it used over the last half second; a rough figure, and none from a
  // worker that does not say.
  std::optional<Millicores> in_use;
};
// A run that a worker reports as ended.
struct EndReport {
  EndNumber number;
  TaskKey task;
  RunNumber run;
  RunEnd end = RunEnd::kUnrecognised;
  std::string checkpoint;
};

enum class OrderKind : std::uint8_t { kStart, kStop, kHold };
template <>
inline constexpr std::array kEnumNames<OrderKind> = {
    std::string_view("start"),
    std::string_view("stop"),
    std::string_view("hold"),
};

// An order to a worker. A hold renews every lease there, acknowledges ends and
// asks for what runs and what has ended.
struct WorkerOrder {
  OrderKind kind = OrderKind::kHold;
  WorkerId worker;
  Address address;
  Epoch fence;
  TaskKey task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  // When the leases end, on the worker's clock; none leaves them as they are.
  std::optional<WorkerClock> until;
  EndNumber acknowledged;
  // How long the worker may wait for an end before it answers.
  Duration wait{};
};

enum class OrderOutcome : std::uint8_t {
  kDone,
  // The worker has obeyed a higher fence.
  kFenced,
  // The run is not newer than one that was stopped or ended there.
  kOldRun,
  // The lease in the order had already passed.
  kTooLate,
  kNoRoom,
  // Another life or another worker answers at the address.
  kOtherLife,
  // The worker is unhealthy and did nothing.
  kUnhealthy,
  kRejected,
  // No answer; it may have been carried out or may be later.
  kUnknown,
};
template <>
inline constexpr std::array kEnumNames<OrderOutcome> = {
    std::string_view("done"),      std::string_view("fenced"),
    std::string_view("old_run"),   std::string_view("too_late"),
    std::string_view("no_room"),   std::string_view("other_life"),
    std::string_view("unhealthy"), std::string_view("rejected"),
    std::string_view("unknown"),
};

// What became of an order.
struct OrderEnded {
  OrderKind kind = OrderKind::kHold;
  WorkerId worker;
  Epoch fence;
  TaskKey task;
  RunNumber run;
  OrderOutcome outcome = OrderOutcome::kUnknown;
  TimePoint sent{};
  TimePoint answered{};
  std::optional<WorkerClock> clock;
  std::optional<WorkerLife> life;
  // Only of a hold.
  std::vector<RunningReport> running;
  std::vector<EndReport> ended;
};

// A worker in the holder's table.
struct TaskWorker {
  WorkerListing listing;
  // The platform still lists it.
  bool listed = true;
  Rack rack;
  // What no placed task takes; negative never, unless capacity is not guarded.
  Capacity free;
  // Tasks that hold room here.
  std::map<TaskKey, RunNumber> tasks;

  // It has obeyed this holder's fence in its present life.
  bool fenced = false;
  bool hold_under_way = false;
  // Tasks with a start or stop order under way, one order each.
  std::set<TaskKey> ordering;
  std::deque<WorkerOrder> orders;
  TimePoint next_hold{};
  // When the answer to the hold under way is overdue.
  TimePoint overdue = kNever;
  std::uint32_t silent_holds = 0;
  // The journal may say that it is silent, so it gets no lease.
  bool noted_silent = false;
  // Runs there, as last reported, that the tables do not place there.
  std::uint32_t strays = 0;

  // Its clock as last read, not later than `clock_read` of ours.
  WorkerClock clock;
  TimePoint clock_read = kLongAgo;
  // The latest end of lease that any order of ours may have set.
  WorkerClock leased_until;
  // When every lease that the previous holder gave has surely lapsed.
  TimePoint inherited_lapse = kLongAgo;

  // Ends up to here are written to the journal.
  EndNumber acknowledged;
  // Ends that have been applied, and those the worker has been told of.
  EndNumber applied;
  EndNumber told;

  // Until then nothing is placed here.
  TimePoint excluded_until = kLongAgo;
  Duration exclusion{};
  std::uint32_t failures_in_row = 0;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_TASK_WORKERS_H_
