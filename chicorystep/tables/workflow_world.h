#ifndef CHICORYSTEP_TABLES_WORKFLOW_WORLD_H_
#define CHICORYSTEP_TABLES_WORKFLOW_WORLD_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/outcome.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/evacuations.h"
#include "chicorystep/tables/task_interference.h"
#include "chicorystep/tables/task_workers.h"
#include "chicorystep/tables/workflow_config.h"
#include "chicorystep/tables/workflows.h"

namespace chicorystep {

// Identity of this process and the limits that the deployment sets.
struct WorkflowSelf {
  EntryId id;
  Incarnation incarnation;
  Zone zone;
  // Where this process serves callers.
  Address address;
  // Duration of a task's lease; at most `longest_lease`.
  Duration lease = std::chrono::milliseconds(5000);
  // The longest lease that a worker grants, whatever an order requests.
  Duration longest_lease = std::chrono::milliseconds(10'000);
  // Upper bound on how long an API key is honoured after its removal.
  Duration revoke_bound = std::chrono::milliseconds(5000);
  // Upper bound on the time until an accepted workflow is visible to every
  // entry.
  Duration visible_bound = std::chrono::milliseconds(3000);
  // How long callers can query the state of a workflow after its end.
  Duration status_retention = std::chrono::seconds(120);
  // Time that a run has to end after a stop order.
  Duration stop_grace = std::chrono::milliseconds(900);
  // How long a worker keeps a member of a gang that waits for the others.
  Duration gang_timeout = std::chrono::milliseconds(3000);
  // Upper bound on the time that a process takes to shut down.
  Duration stop_timeout = std::chrono::seconds(6);
  // Processor cores that this process may use; below 1 for a part of one core.
  double processor_share = 1.0;
};

// Streams of the platform's log that an entry reads.
enum class FollowedStream : std::uint8_t {
  // Written by the operator: the configuration and the evacuated zones.
  kConfig,
  // Holds what every entry needs of each workflow, and the claims to the holder
  // role.
  kJournal,
  // The platform's list of workers. Only the holder reads it.
  kWorkers,
  // The state of each task. An entry loads it once, before it becomes holder.
  kProgress,
};
template <>
inline constexpr std::array kEnumNames<FollowedStream> = {
    std::string_view("config"),
    std::string_view("journal"),
    std::string_view("workers"),
    std::string_view("progress"),
};

// The reader's position in one stream, and the health of its reads.
struct StreamPosition {
  // The next record to read; empty until the newest record of each key has been
  // loaded.
  std::optional<Offset> next;
  bool read_in_flight = false;
  // The result of the read in flight is dropped, because the read was requested
  // before the stream was set to be reloaded.
  bool discard_read = false;
  TimePoint next_read{};
  // Begin of the newest read that reached the end of the stream. Every record
  // written before this time has been read.
  TimePoint fresh_as_of = kDistantPast;
  // When a read last succeeded, and since when all reads have succeeded.
  TimePoint last_success = kDistantPast;
  TimePoint reachable_since = kNever;
  std::uint32_t failures = 0;
  // Shortest duration of a read that does not wait for a record.
  Duration round_trip = std::chrono::milliseconds(200);
  // Running average of the same duration.
  Duration read_time{};
  // The newest read was allowed to wait for a record, so its duration does not
  // count as a round trip.
  bool waited = false;
};

enum class CallKind : std::uint8_t { kSubmit, kGet, kCancel, kCount };
template <>
inline constexpr std::array kEnumNames<CallKind> = {
    std::string_view("submit"),
    std::string_view("get"),
    std::string_view("cancel"),
    std::string_view("count"),
};

// A caller's request about a workflow, before it is matched to a route.
struct WorkflowCall {
  ExchangeId exchange;
  CallKind kind = CallKind::kGet;
  std::string host;
  std::string path;
  ApiKey key;
  // How long the caller waits for the answer.
  Duration caller_timeout = std::chrono::seconds(3);
  // Set only for submissions: the parsed spec, or why the body could not be
  // parsed.
  std::optional<WorkflowSpec> spec;
  std::string malformed;
};

enum class CallResult : std::uint8_t {
  kOk,
  kMalformed,
  kUnauthorised,
  kNoRoute,
  kNoWorkflow,
  // The request has had no effect and never will; the caller may repeat it.
  // Never the answer to a submission or a cancel, since an earlier attempt at
  // another entry may still take effect.
  kRefused,
  // The outcome is unknown: this request, or an earlier one that it repeats,
  // may or may not take effect.
  kUnknown,
};
template <>
inline constexpr std::array kEnumNames<CallResult> = {
    std::string_view("ok"),           std::string_view("malformed"),
    std::string_view("unauthorised"), std::string_view("no_route"),
    std::string_view("no_workflow"),  std::string_view("refused"),
    std::string_view("unknown"),
};

struct CallAnswer {
  ExchangeId exchange;
  CallResult result = CallResult::kOk;
  std::string detail;
  Duration retry_after{};
  // Set only for kGet.
  std::optional<WorkflowState> state;
  // Set only for kCount.
  std::optional<std::int64_t> waiting;
};

// The result of a read of a stream.
struct StreamRead {
  FollowedStream stream = FollowedStream::kConfig;
  bool ok = false;
  // Why the read failed, when `ok` is false.
  std::string failure;
  // Bytes received from the store, including those of failed reads.
  Bytes received;
  // The requested records have been removed by compaction, so the newest record
  // of each key must be loaded instead.
  bool compacted = false;
  // The read reached the end of the stream. A page has a maximum size, so a
  // read may end earlier.
  bool at_end = true;
  TimePoint began{};
  Offset next;
  // Records of the journal or of the progress stream.
  std::vector<std::pair<Offset, JournalRecord>> journal;
  // The newest configuration among the records, if any.
  std::optional<WorkflowConfig> config;
  // Changes of evacuated zones in the order of the stream.
  std::vector<EvacuationChange> evacuations;
  // `evacuations` contains every evacuated zone, not only the changes.
  bool evacuations_complete = false;
  // Worker listings in the order of the stream; an empty listing means that the
  // worker has left.
  std::vector<std::pair<WorkerId, std::optional<WorkerListing>>> workers;
  // `workers` contains every listed worker, not only the changes.
  bool workers_complete = false;
};

// A request to read one stream. When `from` is empty, the newest record of each
// key is read.
// Time-out of a request to read, in addition to its own wait. A slow store
// takes a few hundred milliseconds; a longer gap usually means that the
// connection is dead.
inline constexpr Duration kReadTimeout = std::chrono::milliseconds(1200);

struct ReadStream {
  FollowedStream stream = FollowedStream::kConfig;
  std::optional<Offset> from;
  // How long the platform may hold the read until a record is written.
  Duration wait{};
  // Time-out of each of its requests in addition to `wait`, from the moment
  // that a connection to the store is open until the answer begins.
  Duration answer_timeout = kReadTimeout;
};

// The kinds of append that a process writes. Each has its own lane.
enum class AppendLane : std::uint8_t {
  // Acceptances and cancels, written to the journal by any entry.
  kCallers,
  // Claims and workflow states, written to the journal by the holder and fenced
  // by its epoch.
  kHolder,
  // Progress, written by the holder to a separate stream and fenced by the same
  // epoch.
  kProgress,
};
template <>
inline constexpr std::array kEnumNames<AppendLane> = {
    std::string_view("callers"),
    std::string_view("holder"),
    std::string_view("progress"),
};

// How fast the store answers one lane's appends.
struct AppendLatency {
  // Running average of the time until an append is answered.
  Duration average = std::chrono::milliseconds(30);
  // Number of sends of the append in flight that may still be answered, and
  // when the newest was made.
  std::uint32_t unanswered_sends = 0;
  TimePoint last_sent{};
};

// Of all answered calls to the store, the one that began last.
struct StoreAnswer {
  TimePoint began = kDistantPast;
  Duration took{};
};

// A request to append records to the lane's stream. The append is atomic.
struct AppendJournal {
  AppendLane lane = AppendLane::kCallers;
  std::uint64_t batch = 0;
  std::vector<JournalRecord> records;
  // Set only in the holder's lanes.
  Epoch epoch;
  std::uint64_t sequence = 0;
};

enum class AppendOutcome : std::uint8_t {
  kWritten,
  // Guaranteed not to be written.
  kRejected,
  // Not written, because a higher epoch has written to the stream.
  kFenced,
  // Not written, because the store expects another sequence number.
  kOutOfSequence,
  // No answer: the append may have been written, or may be written later.
  kUnknown,
};
template <>
inline constexpr std::array kEnumNames<AppendOutcome> = {
    std::string_view("written"), std::string_view("rejected"),
    std::string_view("fenced"),  std::string_view("out_of_sequence"),
    std::string_view("unknown"),
};

// The outcome of one send of an append.
struct JournalAppended {
  AppendLane lane = AppendLane::kCallers;
  Epoch epoch;
  std::uint64_t batch = 0;
  AppendOutcome outcome = AppendOutcome::kUnknown;
  Bytes sent;
  Offset first;
  std::uint64_t expected_sequence = 0;
  TimePoint began{};
};

// A call that waits for an append or a read.
struct PendingCall {
  WorkflowCall call;
  WorkflowId workflow;
  // Whose key the call carries; empty on an open route.
  Workspace workspace;
  TimePoint arrived{};
  TimePoint deadline{};
  // The configuration that the call was checked against, and how long before
  // the call it was last confirmed to be current.
  ConfigVersion config_version;
  Duration config_age{};
  // The record to append for the call; empty when the call waits for a read.
  std::optional<JournalRecord> record;
  // An append of the record got no answer, so it may still be written.
  bool unconfirmed = false;
  bool answered = false;
};

// The callers' lane of appends, with at most one append in flight.
struct CallerLane {
  std::uint64_t last_batch = 0;
  bool in_flight = false;
  std::vector<PendingCall> writing;
  std::vector<PendingCall> queued;
  // A record of this process itself, and the one in the append in flight.
  std::optional<OrdersEndedRecord> orders_ended;
  std::optional<OrdersEndedRecord> writing_orders_ended;
  TimePoint next_send{};
  AppendLatency latency;
  // Since when appends have got no answer; kNever while they are answered.
  TimePoint unanswered_since = kNever;
};

enum class HoldingState : std::uint8_t {
  kFollowing,
  // A claim to the holder role is being written or read back.
  kClaiming,
  kHolding,
};
template <>
inline constexpr std::array kEnumNames<HoldingState> = {
    std::string_view("following"),
    std::string_view("claiming"),
    std::string_view("holding"),
};

// Workers that were unresponsive to the holder of `epoch`, with the time by
// which every lease there has expired.
struct UnresponsiveWorkers {
  Epoch epoch;
  std::map<WorkerId, TimePoint> expiry;
};

// A holder that another has superseded, and when it sent its last order at the
// latest.
struct PreviousHolder {
  EntryAddress entry;
  TimePoint orders_end{};
};
// The newest record of an entry that it sends no orders under its claims up to
// `epoch`.
struct OrdersEnded {
  Epoch epoch;
  TimePoint read{};
};

// One of the holder's two lanes of appends, with at most one append in flight.
struct HolderLane {
  AppendLane lane = AppendLane::kHolder;
  // The number of the next append.
  std::uint64_t sequence = 0;
  // The append in flight, which is repeated until its outcome is known.
  std::optional<AppendJournal> in_flight;
  // `in_flight` has been sent and its outcome is awaited.
  bool sent = false;
  // Some send of `in_flight` has got no answer, so it may still be written.
  bool unconfirmed = false;
  TimePoint next_send{};
  TimePoint last_written = kDistantPast;
  AppendLatency latency;
};

// The current holder, and this process's own claim to the holder role.
struct Holding {
  HoldingState state = HoldingState::kFollowing;
  // The newest claim in the journal.
  Epoch epoch;
  EntryId holder;
  Incarnation holder_incarnation;
  bool released = false;
  Address holder_address;
  // The holder whom the newest claim superseded.
  EntryAddress holder_before;
  // When a record of the newest claim's epoch was last read.
  TimePoint last_seen = kDistantPast;
  // Superseded holders that may still send orders, by epoch.
  std::map<Epoch, PreviousHolder> previous;
  std::map<EntryAddress, OrdersEnded> orders_ended;
  // When holders whose claims this process has not read have sent their last
  // order.
  TimePoint unknown_orders_end = kDistantPast;
  // As last recorded by the holders of even and of odd epochs. A new holder's
  // records therefore never overwrite those of the previous holder.
  std::array<UnresponsiveWorkers, 2> unresponsive;

  // This process's claim.
  Epoch own_epoch;
  HolderLane journal{.lane = AppendLane::kHolder};
  HolderLane progress{.lane = AppendLane::kProgress};
  // When this process claims the role; kNever or kDistantPast when it does not
  // intend to.
  TimePoint claim_due = kDistantPast;
  TimePoint claimed{};
  // When this process last lost the role or could not complete a claim; not
  // when another entry claimed first.
  TimePoint failed_to_hold = kDistantPast;
  // Begin of the newest request to the store whose answer confirmed the claim.
  TimePoint confirmed = kDistantPast;
  // Orders may be sent: the claim was confirmed within `kConfirmationBound`.
  bool may_order = false;
  bool release_wanted = false;
  // Used while claiming: whether the previous holder is fenced from writing
  // progress, when loading its progress began, and whether it is loaded.
  bool progress_fenced = false;
  TimePoint load_began = kNever;
  bool progress_loaded = false;
  // Progress that was still in the loaded stream of workflows that have ended.
  std::vector<ProgressRemovalRecord> progress_left_over;
};

// A position in the sequence of changed workflows: the number of changes queued
// so far. A change is recorded once as many have been written.
using ChangeNumber = Id<struct ChangeNumberTag, std::uint64_t>;

// A placement that must be recorded before its task is started.
struct AwaitedStart {
  TaskKey task;
  RunNumber run;
  ChangeNumber change;
};
// Ends reported by a worker, up to the number `applied`, that are acknowledged
// to it once the change that they caused is recorded.
struct AwaitedEnds {
  WorkerId worker;
  WorkerIncarnation incarnation;
  EndNumber applied;
  ChangeNumber change;
};

// A request for a report to every worker of a service that has not been asked
// since.
struct IdleSweep {
  Service service;
  TimePoint began = kDistantPast;
};

// The workers on which an urgent unit is to run once the work that was stopped
// for it has ended, one for each of its tasks.
struct UnitReservation {
  std::vector<WorkerId> workers;
  Capacity need;
  TimePoint since{};
};

// Tables that only the holder maintains.
struct Scheduling {
  Table<WorkerId, TaskWorker> workers;
  Interference interference;
  // How often this holder has raised its fence for a worker. It counts over all
  // workers, so that one that is removed and added again gets no lower fence.
  std::uint32_t fence_raises = 0;
  // Workflows that have not ended.
  std::unordered_set<WorkflowId> open;
  // Open workflows with an occurrence that is not due yet, by its due time.
  std::set<std::pair<UnixMillis, WorkflowId>> scheduled;
  // Open workflows with occurrences that are due and wait for earlier ones.
  std::unordered_set<WorkflowId> deferred;
  // Open workflows that were accepted, cancelled or changed since they were
  // last advanced.
  std::vector<WorkflowId> to_advance;
  // Workflows whose progress must be written, oldest change first.
  std::deque<WorkflowId> dirty;
  // Changes queued in `dirty` so far, and those of them that have been taken
  // into an append.
  ChangeNumber changes_queued;
  ChangeNumber changes_taken;
  // State records to append to the journal, each of progress that is written.
  std::vector<StateRecord> to_announce;
  // Progress that the next batch removes, as the end of its workflow is
  // recorded in the journal.
  std::vector<ProgressRemovalRecord> progress_to_remove;
  // Placements and ends that are not recorded yet, oldest change first.
  std::deque<AwaitedStart> starts_to_record;
  std::deque<AwaitedEnds> ends_to_record;
  // The next append of progress is not sent before this time.
  TimePoint next_progress{};
  // Ended workflows whose records the next journal batch removes.
  std::vector<WorkflowId> to_evict;
  // Cancels without an acceptance whose records the next journal batch removes.
  std::vector<WorkflowId> cancels_to_remove;
  TimePoint next_eviction{};
  // The complete list of workers has been read since this process became
  // holder.
  bool workers_loaded = false;
  // When the unresponsive workers were last recorded in the journal.
  TimePoint unresponsive_recorded_at = kDistantPast;
  // A change may allow a placement that was not possible before.
  bool placement_due = false;
  TimePoint next_placement{};
  // Keyed by the first task of the unit; kept from the preemption until the
  // unit is placed.
  std::map<TaskKey, UnitReservation> reservations;
  // Position in `workers` at which the next tick begins to send orders. Set
  // when a tick has sent as many orders as one tick may.
  std::size_t next_worker = 0;
  bool orders_deferred = false;
  // The newest sweep, made because some worker has not answered a start.
  IdleSweep sweep;
  // How long the oldest ready task without a run has waited, by what it waits
  // for, as observed last.
  std::map<WaitReason, Duration> oldest_waits;
  TimePoint next_wait_observation{};
};

// A cancel of a workflow that is not in the table. It applies when an
// acceptance of the same workspace follows, which was appended late.
struct EarlyCancel {
  Workspace workspace;
  // When this entry read the record.
  TimePoint read{};
};

// What this process has preempted since its start.
struct PreemptionTotals {
  std::uint64_t tasks_stopped = 0;
  std::uint64_t tasks_wanted = 0;
  // Work that was stopped and is not saved.
  CoreMillis loss;
};

// All control state of the workflow scheduler in one entry process.
struct WorkflowWorld {
  WorkflowSelf self;
  std::optional<WorkflowConfig> config;
  Evacuations evacuations;
  std::map<FollowedStream, StreamPosition> streams;
  Table<WorkflowId, Workflow> workflows;
  std::map<WorkflowId, EarlyCancel> early_cancels;
  Holding holding;
  Scheduling scheduling;
  PreemptionTotals preempted;
  CallerLane callers;
  StoreAnswer store_answer;
  // Calls that wait until the journal has been read again.
  std::vector<PendingCall> awaiting_read;
  bool stopping = false;
  TimePoint stop_deadline = kNever;
};

// Events since the last tick.
struct WorkflowInbox {
  std::vector<WorkflowCall> calls;
  std::vector<StreamRead> reads;
  std::vector<JournalAppended> appended;
  std::vector<OrderResult> order_results;
  // The new limits, after a change of the settings.
  std::optional<WorkflowSelf> self;
  bool stop = false;
};

// Actions that a tick has decided on.
struct WorkflowOutbox {
  std::vector<CallAnswer> answers;
  std::vector<ReadStream> reads;
  std::vector<AppendJournal> appends;
  std::vector<WorkerOrder> orders;
};

// The times on two clocks that a tick is given.
struct WorkflowTime {
  // Time since boot, including time in which the instance was suspended.
  TimePoint now{};
  // Wall-clock time.
  UnixMillis wall;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_WORKFLOW_WORLD_H_
