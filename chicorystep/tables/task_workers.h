#ifndef CHICORYSTEP_TABLES_TASK_WORKERS_H_
#define CHICORYSTEP_TABLES_TASK_WORKERS_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/workflows.h"

namespace chicorystep {

// A live worker as listed by the platform.
struct WorkerListing {
  WorkerId id;
  Service service;
  Address address;
  Zone zone;
  Capacity capacity;
  std::vector<std::string> labels;
  // The worker takes no new work and is about to leave.
  bool draining = false;
  // Time left until a draining worker leaves, if the platform reports it.
  std::optional<Duration> remaining;
  WorkerIncarnation incarnation;
};

// How a run on a worker ended, as the worker reports it.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  // The worker ended the run because its lease had expired.
  kLeaseExpired,
  // The run was ended because another member of its gang had ended or was lost
  // with its worker.
  kGangBroken,
  // The worker ended the run because the other members of its gang did not
  // start in time.
  kGangIncomplete,
  // The worker gave a reason that this version does not recognise.
  kUnrecognised,
};
template <>
inline constexpr std::array kEnumNames<RunEnd> = {
    std::string_view("done"),         std::string_view("failed"),
    std::string_view("stopped"),      std::string_view("lapsed"),
    std::string_view("broken"),       std::string_view("alone"),
    std::string_view("unrecognised"),
};

// A run that a worker reports as in progress.
struct RunningReport {
  TaskKey task;
  RunNumber run;
  std::string checkpoint;
  // Processor use averaged over the last half second; approximate, and absent
  // if the worker does not report it.
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

// Orders the senders of orders to one worker. A worker does nothing for an
// order with a lower fence than it has seen in its present incarnation.
using Fence = Id<struct FenceTag, std::uint64_t>;

// Each holder may raise its fences this often.
inline constexpr std::uint64_t kFencesPerEpoch = std::uint64_t{1} << 20;

// The fence of a holder's orders to a worker after it has raised its fences
// `raises` times. A holder raises it for a worker that restarts, so that the
// new incarnation ignores orders to the earlier ones that arrive late.
[[nodiscard]] constexpr Fence MakeFence(Epoch epoch, std::uint32_t raises) {
  return Fence(epoch.value * kFencesPerEpoch +
               std::min<std::uint64_t>(raises, kFencesPerEpoch - 1));
}
[[nodiscard]] constexpr Epoch EpochOf(Fence fence) {
  return Epoch(fence.value / kFencesPerEpoch);
}

enum class OrderKind : std::uint8_t { kStart, kStop, kHold };
template <>
inline constexpr std::array kEnumNames<OrderKind> = {
    std::string_view("start"),
    std::string_view("stop"),
    std::string_view("hold"),
};

// An order to a worker. A hold renews all leases on the worker, acknowledges
// ended runs and requests the lists of running and ended runs.
struct WorkerOrder {
  OrderKind kind = OrderKind::kHold;
  WorkerId worker;
  Address address;
  Fence fence;
  TaskKey task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  // Lease expiry on the worker's clock; if absent, the leases keep their
  // expiry.
  std::optional<WorkerClock> until;
  // The worker may delete its records of ends up to this number.
  EndNumber acknowledged;
  // How long the worker may wait for a run to end before it answers.
  Duration wait{};
};

enum class OrderOutcome : std::uint8_t {
  kDone,
  // The worker has accepted an order with a higher fence.
  kFenced,
  // The worker has already stopped or ended this run or a newer one of the
  // task.
  kOldRun,
  // The lease in the order had expired when the order arrived.
  kTooLate,
  kNoCapacity,
  // Another worker, or another incarnation of this one, answers at the address.
  kOtherIncarnation,
  // The worker is unhealthy and did not carry out the order.
  kUnhealthy,
  kRejected,
  // No connection could be made: the order is not carried out.
  kNotSent,
  // No answer: the order may have been carried out, or may still be.
  kUnknown,
};
template <>
inline constexpr std::array kEnumNames<OrderOutcome> = {
    std::string_view("done"),      std::string_view("fenced"),
    std::string_view("old_run"),   std::string_view("too_late"),
    std::string_view("no_room"),   std::string_view("other_life"),
    std::string_view("unhealthy"), std::string_view("rejected"),
    std::string_view("not_sent"),  std::string_view("unknown"),
};

// The result of an order.
struct OrderResult {
  OrderKind kind = OrderKind::kHold;
  WorkerId worker;
  Fence fence;
  TaskKey task;
  RunNumber run;
  // The ends that the order acknowledges.
  EndNumber acknowledged;
  OrderOutcome outcome = OrderOutcome::kUnknown;
  // Whether the order bears a lease expiry.
  bool leases = false;
  // When the connection was opened that carried the order.
  TimePoint connected = kDistantPast;
  TimePoint sent{};
  TimePoint answered{};
  // As reported in the answer; absent when there was none.
  std::optional<WorkerClock> clock;
  std::optional<WorkerIncarnation> incarnation;
  // The worker's runs; set only for holds.
  std::vector<RunningReport> running;
  std::vector<EndReport> ended;
  // Whether `ended` holds all ends that are not acknowledged. A worker lists
  // them in parts, so a run that is in neither list may have ended.
  bool ends_complete = true;
};

// A row of the holder's table of workers.
struct TaskWorker {
  WorkerListing listing;
  // Whether the platform still lists the worker.
  bool listed = true;
  // The listing is that of an earlier incarnation, and the present one may have
  // another capacity, other labels and another service; or another process
  // answers at the listed address. Until the platform lists the worker again.
  bool listing_outdated = false;
  Rack rack;
  // Capacity that no placed task occupies. Negative only if the worker does not
  // enforce its capacity.
  Capacity free;
  // Tasks that occupy capacity on the worker, with their runs.
  std::map<TaskKey, RunNumber> tasks;

  // When this holder learned of the incarnation in `listing`, and the one that
  // the platform listed last.
  TimePoint incarnation_since = kDistantPast;
  WorkerIncarnation listed_incarnation;
  // How often the holder had raised its fences when it last raised that of this
  // worker.
  std::uint32_t fence_raises = 0;
  // The holder has seen it restart, and the incarnation before that.
  bool restarted = false;
  WorkerIncarnation before_restart;
  // Whether its current incarnation has accepted this holder's current fence.
  bool fenced = false;
  bool hold_in_flight = false;
  // Start and stop orders in flight; at most one per task.
  std::map<TaskKey, OrderKind> orders_in_flight;
  // Orders that have not been sent yet.
  std::deque<WorkerOrder> orders;
  // Running average of the time from an order to its answer, without the wait
  // of a hold; zero as long as no answer has come.
  Duration order_time{};
  TimePoint next_hold{};
  // When the newest hold was sent.
  TimePoint hold_sent = kDistantPast;
  // The answer to the hold in flight is expected before this time.
  TimePoint answer_deadline = kNever;
  // Consecutive holds without a report: the worker did not answer, or rejected
  // them. Either way they may not have renewed its leases.
  std::uint32_t unanswered_holds = 0;
  // The journal may list the worker as unresponsive. It is given no lease then,
  // because the next holder would not wait for that lease to expire.
  bool recorded_unresponsive = false;
  // Orphaned runs in the last report: runs that the tables do not place on this
  // worker.
  std::uint32_t orphaned_runs = 0;

  // The worker's clock as last reported, and this process's time when the
  // report arrived.
  WorkerClock clock;
  TimePoint clock_read = kDistantPast;
  // The latest lease expiry that any order of this holder may have set.
  WorkerClock leased_until;
  // By this time every lease of previous holders is certain to have expired.
  TimePoint inherited_lease_expiry = kDistantPast;
  // When the newest hold was sent that the incarnation in `listing` has
  // answered. Connections that were open then do not lead to a later one.
  TimePoint identified = kDistantPast;
  // When the newest order was sent that bears a lease, got no answer, and may
  // have reached a later incarnation; and by when every lease that such an
  // incarnation grants for it is certain to have expired. A lease expiry is a
  // time on the clock of one incarnation, so another may grant its longest
  // lease.
  TimePoint unidentified_order = kDistantPast;
  TimePoint unidentified_lease_expiry = kDistantPast;

  // Ends up to this number are recorded in the progress stream.
  EndNumber recorded_ends;
  // Ends up to these numbers have been applied to the tables, and have been
  // acknowledged to the worker in a hold that was not left unanswered.
  EndNumber applied_ends;
  EndNumber acknowledged_ends;
  // The newest end that the tables do not place on the worker and whose
  // acknowledgement has not been answered; for the log.
  EndNumber unplaced_end;

  // No task is placed on the worker before this time.
  TimePoint excluded_until = kDistantPast;
  // Length of the latest exclusion; zero after a successful run.
  Duration exclusion{};
  std::uint32_t consecutive_failures = 0;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_TASK_WORKERS_H_
