#ifndef CHICORYSTEP_TABLES_WORKFLOW_WORLD_H_
#define CHICORYSTEP_TABLES_WORKFLOW_WORLD_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/outcome.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/task_workers.h"
#include "chicorystep/tables/workflow_config.h"
#include "chicorystep/tables/workflows.h"

namespace chicorystep {

// Who this process is, and the bounds that the deployment sets.
struct WorkflowSelf {
  EntryId id;
  Incarnation incarnation;
  Zone zone;
  // How long a lease of a task lasts, at most what a worker grants.
  Duration lease = std::chrono::milliseconds(5000);
  // The longest lease that a worker grants, whatever an order asks for.
  Duration longest_lease = std::chrono::milliseconds(10'000);
  // A revoked key must not be honoured longer than this after its removal.
  Duration revoke_bound = std::chrono::milliseconds(5000);
  // An accepted workflow must be visible everywhere after this.
  Duration visible_bound = std::chrono::milliseconds(3000);
  // How long an ended workflow's state can be asked for.
  Duration status_kept = std::chrono::seconds(120);
  // How long a run may take to end after a stop order.
  Duration stop_grace = std::chrono::milliseconds(900);
  // How long a stopping process may go on.
  Duration stop_time = std::chrono::seconds(6);
  // The part of a processor core that this process may use.
  double processor_share = 1.0;
};

// The streams of the platform's log that an entry reads.
enum class FollowedStream : std::uint8_t {
  kConfig,
  // What every entry must know of each workflow, and who holds the place.
  kJournal,
  // Of the holder alone.
  kWorkers,
  // Where each task is; loaded once, by who takes up the holder's place.
  kProgress,
};
template <>
inline constexpr std::array kEnumNames<FollowedStream> = {
    std::string_view("config"),
    std::string_view("journal"),
    std::string_view("workers"),
    std::string_view("progress"),
};

// How far one stream has been read.
struct StreamPosition {
  // The next record to read; none until the newest records have been loaded.
  std::optional<Offset> next;
  bool read_under_way = false;
  // The read under way was asked for before the stream was to be loaded anew.
  bool discard_read = false;
  TimePoint next_read{};
  // When the newest read that reached the end began: all that was written
  // before is known.
  TimePoint fresh = kLongAgo;
  // When a read last succeeded, and since when all have.
  TimePoint succeeded = kLongAgo;
  TimePoint reachable_since = kNever;
  std::uint32_t failures = 0;
  // The shortest time that a read without waiting took.
  Duration round_trip = std::chrono::milliseconds(200);
  // A running average of the same.
  Duration read_time{};
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

// A caller's request about a workflow, before its route is known.
struct WorkflowCall {
  ExchangeId exchange;
  CallKind kind = CallKind::kGet;
  std::string host;
  std::string path;
  ApiKey key;
  // How long the caller waits for the answer.
  Duration patience = std::chrono::seconds(3);
  // Only of a submission: the spec, or why the body holds none.
  std::optional<WorkflowSpec> spec;
  std::string malformed;
};

enum class CallResult : std::uint8_t {
  kOk,
  kMalformed,
  kUnauthorised,
  kNoRoute,
  kNoWorkflow,
  // Not done and never will be; the caller may try again.
  kRefused,
  // It may or may not be done.
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
  // Of kGet.
  std::optional<WorkflowState> state;
  // Of kCount.
  std::optional<std::int64_t> waiting;
};

// What a read of a stream brought.
struct StreamRead {
  FollowedStream stream = FollowedStream::kConfig;
  bool ok = false;
  // Why it is not.
  std::string failure;
  // What came from the store, also when that was of no use.
  Bytes received;
  // The records asked for are gone; the newest of each key must be loaded.
  bool compacted = false;
  // The read brought all there was; a page has a largest size.
  bool at_end = true;
  TimePoint began{};
  Offset next;
  std::vector<std::pair<Offset, JournalRecord>> journal;
  // The newest configuration among the records, if there was one.
  std::optional<WorkflowConfig> config;
  // Listings in their order; one without a value has left.
  std::vector<std::pair<WorkerId, std::optional<WorkerListing>>> workers;
  // Whether `workers` holds all that are listed.
  bool whole = false;
};

// Reads one stream: all newest records when `from` is empty.
struct ReadStream {
  FollowedStream stream = FollowedStream::kConfig;
  std::optional<Offset> from;
  // How long the platform may hold the read until a record comes.
  Duration wait{};
};

// Which of the kinds of append a process writes.
enum class AppendLane : std::uint8_t {
  // Acceptances and cancels, by any entry, to the journal.
  kCallers,
  // Claims and states, to the journal, fenced by the holder's epoch.
  kHolder,
  // Progress, to a stream of its own, fenced by the same epoch.
  kProgress,
};
template <>
inline constexpr std::array kEnumNames<AppendLane> = {
    std::string_view("callers"),
    std::string_view("holder"),
    std::string_view("progress"),
};

// How the answers to one lane's appends come.
struct AppendPace {
  // How long they take, a running average.
  Duration usual = std::chrono::milliseconds(30);
  // Sendings of the append under way that may still be answered, and when the
  // newest began.
  std::uint32_t sendings = 0;
  TimePoint sent{};
};

// The newest call to the store that has been answered, by its begin.
struct StoreAnswer {
  TimePoint began = kLongAgo;
  Duration took{};
};

// Appends records to the lane's stream, all or none.
struct AppendJournal {
  AppendLane lane = AppendLane::kCallers;
  std::uint64_t batch = 0;
  std::vector<JournalRecord> records;
  // Only in the holder's lanes.
  Epoch epoch;
  std::uint64_t sequence = 0;
};

enum class AppendOutcome : std::uint8_t {
  kWritten,
  // Surely not written.
  kRejected,
  // A higher epoch has written; not written.
  kFenced,
  // Another sequence number is expected.
  kOutOfSequence,
  // It may be written now or later.
  kUnknown,
};
template <>
inline constexpr std::array kEnumNames<AppendOutcome> = {
    std::string_view("written"), std::string_view("rejected"),
    std::string_view("fenced"),  std::string_view("out_of_sequence"),
    std::string_view("unknown"),
};

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

// A caller that waits for an append or a read.
struct PendingCall {
  WorkflowCall call;
  WorkflowId workflow;
  TimePoint arrived{};
  TimePoint deadline{};
  // What it was judged by: the configuration, and how long before the call
  // that was last confirmed.
  ConfigVersion config_version;
  Duration config_age{};
  // What is to be appended for it; empty when it waits for a read.
  std::optional<JournalRecord> record;
  // Some append of it got no answer, so it may yet be written.
  bool doubtful = false;
  bool answered = false;
};

// The callers' lane: at most one append under way.
struct CallerLane {
  std::uint64_t last_batch = 0;
  bool under_way = false;
  std::vector<PendingCall> writing;
  std::vector<PendingCall> queued;
  TimePoint next_try{};
  AppendPace pace;
  // Since when appends have got no answer; kNever while they do.
  TimePoint silent_since = kNever;
};

enum class HoldingState : std::uint8_t {
  kFollowing,
  // A claim is being written or read back.
  kClaiming,
  kHolding,
};
template <>
inline constexpr std::array kEnumNames<HoldingState> = {
    std::string_view("following"),
    std::string_view("claiming"),
    std::string_view("holding"),
};

// Workers that were silent to a holder, with the time by which every lease
// there has lapsed.
struct SilentWorkers {
  Epoch epoch;
  std::map<WorkerId, TimePoint> lapse;
};

// One of the holder's two streams of appends; at most one is under way.
struct HolderLane {
  AppendLane lane = AppendLane::kHolder;
  // The number of the next append.
  std::uint64_t sequence = 0;
  // The append under way, repeated until its outcome is known.
  std::optional<AppendJournal> under_way;
  bool sent = false;
  TimePoint next_try{};
  TimePoint last_written = kLongAgo;
  AppendPace pace;
};

// Who places workflows, and this process's own part in it.
struct Holding {
  HoldingState state = HoldingState::kFollowing;
  // The newest claim in the journal.
  Epoch epoch;
  EntryId holder;
  Incarnation holder_incarnation;
  bool released = false;
  // When a record of the newest claim was last read.
  TimePoint heard = kLongAgo;
  // As last noted by the holders of even and of odd epochs: a claim never
  // hides what its predecessor noted.
  std::array<SilentWorkers, 2> silent;

  // This process's claim.
  Epoch own_epoch;
  HolderLane journal{.lane = AppendLane::kHolder};
  HolderLane progress{.lane = AppendLane::kProgress};
  TimePoint claim_due = kLongAgo;
  TimePoint claimed{};
  // When the newest answer of the store that confirms the claim was asked for.
  TimePoint confirmed = kLongAgo;
  // Orders may be sent: the claim was confirmed not long ago.
  bool may_order = false;
  bool release_wanted = false;
  // While claiming: the predecessor can write no more progress, and what it
  // wrote is being loaded, or has been.
  bool progress_fenced = false;
  TimePoint load_began = kNever;
  bool progress_loaded = false;
  // Loaded progress of workflows that are over.
  std::vector<WorkflowId> progress_left_over;
};

// One placement that waits for its record.
struct AwaitedStart {
  TaskKey task;
  RunNumber run;
};
// Ends of a worker that count as recorded once the batch is written.
struct AwaitedEnds {
  WorkerId worker;
  WorkerLife life;
  EndNumber applied;
};

// The holder's own tables.
struct Scheduling {
  Table<WorkerId, TaskWorker> workers;
  // Workflows that are not over.
  std::unordered_set<WorkflowId> open;
  // Workflows whose progress must be written.
  std::vector<WorkflowId> dirty;
  // States to tell callers, of progress that is written.
  std::vector<StateRecord> to_announce;
  // Workflows that callers are told are over, whose progress goes with the next
  // batch of it.
  std::vector<WorkflowId> to_drop;
  // Placements in the batch under way, and in the one to come.
  std::vector<AwaitedStart> recording;
  std::vector<AwaitedStart> to_record;
  std::vector<AwaitedEnds> recording_ends;
  // Ended workflows whose records go with the journal's next batch.
  std::vector<WorkflowId> to_forget;
  TimePoint next_forget{};
  // All workers have been read since the place was taken up.
  bool workers_loaded = false;
  // When silent workers were last noted.
  TimePoint silence_noted = kLongAgo;
  // Something may be placed that could not before.
  bool placement_due = false;
  TimePoint next_placement{};
};

// All control state of the workflow scheduler in one entry process.
struct WorkflowWorld {
  WorkflowSelf self;
  std::optional<WorkflowConfig> config;
  std::map<FollowedStream, StreamPosition> streams;
  Table<WorkflowId, Workflow> workflows;
  Holding holding;
  Scheduling scheduling;
  CallerLane callers;
  StoreAnswer store_answer;
  // Callers that wait until the journal has been read again.
  std::vector<PendingCall> awaiting_read;
  bool stopping = false;
  TimePoint stop_by = kNever;
};

// What came in since the last tick.
struct WorkflowInbox {
  std::vector<WorkflowCall> calls;
  std::vector<StreamRead> reads;
  std::vector<JournalAppended> appended;
  std::vector<OrderEnded> orders_ended;
  // New bounds, after a change of the settings.
  std::optional<WorkflowSelf> self;
  bool stop = false;
};

// What a tick decided.
struct WorkflowOutbox {
  std::vector<CallAnswer> answers;
  std::vector<ReadStream> reads;
  std::vector<AppendJournal> appends;
  std::vector<WorkerOrder> orders;
};

// The two clocks that a tick is given.
struct WorkflowTime {
  // Counts time in which the instance was suspended, too.
  TimePoint now{};
  UnixMillis wall;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_WORKFLOW_WORLD_H_
