#ifndef CHICORYSTEP_TABLES_JOBS_H_
#define CHICORYSTEP_TABLES_JOBS_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/outcome.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/capacity.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/instances.h"

namespace chicorystep {

enum class JobState : std::uint8_t {
  // Accepted and waiting for capacity.
  kWaiting,
  // The pieces are placed; borrowers on their workers are being stopped.
  kReclaiming,
  // Leases are being taken for all pieces.
  kReserving,
  // All leases are held, and the start is being recorded in the cell's stream.
  kRecording,
  // The pieces are being started.
  kStarting,
  kRunning,
  // The pieces are writing checkpoints and are stopped afterwards.
  kCheckpointing,
  // Pieces are being stopped and leases released.
  kStopping,
  // The end is being recorded in the cell's stream.
  kEnding,
  kDone,
  kFailed,
  kCancelled,
  // The job may have run; it is not idempotent and so was not restarted.
  kUnknown,
};
template <>
inline constexpr std::array kEnumNames<JobState> = {
    std::string_view("waiting"),       std::string_view("reclaiming"),
    std::string_view("reserving"),     std::string_view("recording"),
    std::string_view("starting"),      std::string_view("running"),
    std::string_view("checkpointing"), std::string_view("stopping"),
    std::string_view("ending"),        std::string_view("done"),
    std::string_view("failed"),        std::string_view("cancelled"),
    std::string_view("unknown"),
};

// A caller's description of a gang.
struct JobSpec {
  JobId id;
  RequestId request_id;
  Workspace workspace;
  Kind kind;
  Shape shape;
  std::string command;
  // The run time that the caller expects; correctness does not depend on it.
  Duration declared_run_time{};
  // Whether the job may be restarted after it may have run. Taken from the
  // route; a value from the caller is ignored.
  bool idempotent = false;
  // Whether its tasks can write a checkpoint and resume from it.
  bool checkpointable = false;
};

// Upper bounds on what a job may request.
struct JobLimits {
  std::int64_t max_pieces = 1024;
  Bytes max_command{64 << 10};
};

enum class PieceState : std::uint8_t {
  kNone,
  kReserving,
  kReserved,
  kStarting,
  kRunning,
  kDone,
  kFailed,
  kStopping,
  kReleased,
  kCheckpointed,
};
template <>
inline constexpr std::array kEnumNames<PieceState> = {
    std::string_view("none"),     std::string_view("reserving"),
    std::string_view("reserved"), std::string_view("starting"),
    std::string_view("running"),  std::string_view("done"),
    std::string_view("failed"),   std::string_view("stopping"),
    std::string_view("released"), std::string_view("checkpointed"),
};

// One piece of a gang, and the lease under which it runs.
struct Piece {
  PieceIndex index;
  WorkerId worker;
  LeaseId lease;
  PieceState state = PieceState::kNone;
};

// Identifies one attempt to place and run a gang. Lease ids contain it, so that
// leases of different attempts are distinguishable.
struct GangAttempt {
  Epoch epoch;
  std::uint32_t number = 0;

  friend auto operator<=>(const GangAttempt&, const GangAttempt&) = default;
};

struct Job {
  JobSpec spec;
  PoolName pool;
  Priority priority = Priority::kNormal;
  JobState state = JobState::kWaiting;
  // The state that the job enters once every lease is released.
  JobState end_state = JobState::kDone;
  std::string end_detail;
  // The offset of the acceptance record; orders waiting jobs.
  Offset accepted_offset;
  GangAttempt last_attempt;
  // The newest attempt whose start is recorded in the cell's stream.
  GangAttempt recorded_attempt;
  bool cancel_requested = false;
  // Whether any piece may have been started in any attempt.
  bool may_have_run = false;
  // Whether the pieces run within the workspace's guarantees.
  bool guaranteed = false;
  std::vector<Piece> pieces;
  // When the pieces were placed, and when all of them had started; kNever while
  // they are not placed or do not run.
  TimePoint placed_at = kNever;
  TimePoint running_since = kNever;
  // When checkpointing pieces are stopped even if checkpoints are missing.
  TimePoint grace_until = kNever;
  // Total run time over all attempts that have ended.
  Duration attained_service{};
  // Workers on which a piece failed.
  std::set<WorkerId> failed_workers;
};

// The state of one lease as reported by its worker.
struct LeaseReport {
  LeaseId lease;
  JobId job;
  PieceIndex piece;
  PieceState state = PieceState::kNone;
};

// A piece that is placed on a worker.
struct PieceRef {
  JobId job;
  PieceIndex piece;
};

// Capacity of a worker that is reserved for one pool of one workspace.
struct Reservation {
  PoolKey pool;
  Capacity reserved;
  // The part of `reserved` that the workspace's guaranteed gangs use now.
  Capacity used;
};

// A worker of a cell that this process holds.
struct Worker {
  ListedWorker listed;
  // The index of its rack among the cell's racks.
  std::size_t rack = 0;
  // Capacity not taken by placed pieces; negative while borrowers are being
  // stopped.
  Capacity free;
  std::vector<Reservation> reservations;
  // The pieces placed on this worker, and the leases in its last report.
  std::vector<PieceRef> pieces;
  std::vector<LeaseReport> reported_leases;
  // Send time of the newest message that the worker answered.
  TimePoint last_answered_send = TimePoint::min();
  // Send time of the newest message that may have renewed its leases.
  TimePoint last_renewal_send = TimePoint::min();
  TimePoint last_send = TimePoint::min();
  MessageSequence sequence;
  TimePoint next_poll{};
  bool exchange_in_flight = false;
  // Leases that the message in flight requests.
  std::vector<LeaseId> requested_leases;
  // Jobs that had a piece fail on this worker since a task last succeeded on
  // it.
  std::set<JobId> failed_jobs;
  // Until this time nothing is placed on the worker; afterwards one gang at a
  // time, until a task succeeds. TimePoint::min() when it is not excluded.
  TimePoint excluded_until = TimePoint::min();
  // Length of the newest exclusion; the next one is twice as long.
  Duration exclusion{};
};

// One guaranteed shape of a workspace and the workers reserved for it. The list
// of workers is empty when the cell cannot hold the shape beside the others.
struct GuaranteeSlot {
  PoolKey pool;
  // The zone in which the shape is guaranteed.
  Zone zone;
  Shape shape;
  std::vector<WorkerId> workers;
};

// An operation on a job, requested by a caller or a peer.
enum class JobOperationKind : std::uint8_t { kSubmit, kGet, kCancel };
template <>
inline constexpr std::array kEnumNames<JobOperationKind> = {
    std::string_view("submit"),
    std::string_view("get"),
    std::string_view("cancel"),
};

struct JobOperation {
  ExchangeId exchange;
  JobOperationKind kind = JobOperationKind::kGet;
  // For kGet and kCancel only the id and the workspace are used.
  JobSpec spec;
  // Whether a peer forwarded the operation; it is not forwarded again.
  bool forwarded = false;
};

// A caller that waits until a record of the cell's stream is read back.
struct PendingAnswer {
  ExchangeId exchange;
  JobId job;
  // Whether the record accepts the job.
  bool accepts = false;
};

// A job of which this process appends acceptances. It is known once one of them
// is read back.
struct JobUnderAcceptance {
  Workspace workspace;
  // Acceptances whose append has not ended.
  std::size_t appends = 0;
  // Cancellations that wait until the job is known.
  std::vector<JobOperation> cancels;
};

// A record that is appended again until it is read back.
struct UnconfirmedRecord {
  std::string data;
  // When the next append is due; kNever while one is in flight.
  TimePoint next_append = kNever;
};

// A queue holds the waiting jobs of one pool and priority, ordered by least
// attained service.
struct QueueKey {
  Priority priority = Priority::kNormal;
  PoolKey pool;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};
struct QueueEntry {
  // Rises with the service that the job has attained.
  std::int64_t level = 0;
  Offset accepted_offset;
  JobId job;

  friend auto operator<=>(const QueueEntry&, const QueueEntry&) = default;
};

// Workers set aside for a large waiting gang: other work is placed on them only
// if it may be stopped for that gang.
struct GangHold {
  JobId job;
  std::set<WorkerId> workers;
  TimePoint since{};
};

struct EndedJob {
  JobId job;
  TimePoint at{};
};

struct JobRewrite {
  JobId job;
  TimePoint due{};
};

// A placement cell: the workers of a set of zones and the jobs placed on them.
struct Cell {
  CellName name;
  // The epoch under which this process holds the cell; zero until it has read
  // back its own claim.
  Epoch epoch;
  // The epoch of the newest claim read. Starts and ends recorded under an
  // earlier epoch are ignored.
  Epoch newest_claim_epoch;
  RecordId newest_claim_id;
  // The record id of this process's own claim; empty when it has none.
  RecordId own_claim_id;
  Offset next_offset;
  bool caught_up = false;
  // Another process is the preferred holder, or this process is stopping; no
  // new work is accepted.
  bool leaving = false;
  // When a claim may be written; after a loss of the cell it is delayed until
  // the newer claim has settled.
  TimePoint claim_due{};
  // Nothing is placed while the workers are queried for what they run; this is
  // the latest time at which that recovery ends.
  TimePoint recovery_deadline = kNever;
  bool recovered = false;
  Table<WorkerId, Worker> workers;
  std::size_t racks = 0;
  // When the next messages are due, for workers without one in flight.
  std::set<std::pair<TimePoint, WorkerId>> polls;
  Table<JobId, Job> jobs;
  std::map<QueueKey, std::set<QueueEntry>> queues;
  // Jobs that are neither waiting nor ended.
  std::unordered_set<JobId> active;
  // Active jobs with events since they were last advanced.
  std::vector<JobId> touched;
  // When all active jobs are next checked for time-outs.
  TimePoint next_scan{};
  // Ended jobs in the order in which they ended.
  std::deque<EndedJob> ended;
  // When each job that has not ended is next written to the stream again.
  std::deque<JobRewrite> rewrites;
  std::unordered_map<RecordId, PendingAnswer> pending_answers;
  std::unordered_map<JobId, JobUnderAcceptance> under_acceptance;
  // Cancellations that waited for an acceptance which has been read back; they
  // are handled in the same tick.
  std::vector<JobOperation> due_cancels;
  std::map<RecordId, UnconfirmedRecord> unconfirmed;
  // The packing of all guaranteed shapes.
  std::vector<GuaranteeSlot> slots;
  Revision planned_revision;
  bool plan_stale = true;
  std::string logged_unmet;
  // A placement pass is due because capacity or demand has changed.
  bool placement_due = false;
  TimePoint next_placement{};
  std::optional<GangHold> hold;
};

struct Jobs {
  // The cells of the settings, and those with workers in the newest instance
  // list.
  std::set<CellName> known_cells;
  // Counter that makes the ids of this process's records unique.
  std::uint64_t records_written = 0;
  // The cells that this process holds or is claiming.
  std::map<CellName, Cell> cells;
};

// The answer to a job operation.
struct JobStatus {
  JobId id;
  JobState state = JobState::kWaiting;
  std::string detail;
};

struct EndJobOperation {
  ExchangeId exchange;
  std::optional<Refusal> refusal;
  JobStatus status;
};

// Forwards a job operation to the holder of its cell.
struct ForwardJobOperation {
  Address address;
  JobOperation operation;
};

enum class WorkerCommandKind : std::uint8_t {
  kReserve,
  kStart,
  kCheckpoint,
  kStop,
  kRelease
};
template <>
inline constexpr std::array kEnumNames<WorkerCommandKind> = {
    std::string_view("reserve"),    std::string_view("start"),
    std::string_view("checkpoint"), std::string_view("stop"),
    std::string_view("release"),
};

struct WorkerCommand {
  WorkerCommandKind kind = WorkerCommandKind::kReserve;
  LeaseId lease;
  JobId job;
  PieceIndex piece;
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;
  std::string command;
};

// The message to a worker: renews every lease of the holder, carries commands
// and requests the state of all leases.
struct SendWorkerCommands {
  WorkerId worker;
  Address address;
  CellName cell;
  EntryId holder;
  Epoch epoch;
  MessageSequence sequence;
  // Whether the message renews the holder's leases.
  bool renew = true;
  Duration lease_time{};
  std::vector<WorkerCommand> commands;
};

// The outcome of a message to a worker. Without an answer (`answered` is false)
// it is unknown whether the worker carried out the commands.
struct WorkerAnswered {
  WorkerId worker;
  CellName cell;
  Epoch epoch;
  MessageSequence sequence;
  bool answered = false;
  // The worker rejected the message because it had obeyed one of a later epoch.
  bool stale_epoch = false;
  // All leases on the worker.
  std::vector<LeaseReport> leases;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_JOBS_H_
