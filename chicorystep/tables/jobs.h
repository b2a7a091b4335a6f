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
  // Accepted; waits for capacity.
  kWaiting,
  // Placed; borrowers on its workers are being stopped.
  kReclaiming,
  // Leases are being taken for all pieces.
  kReserving,
  // All leases are held; the start is being written to the cell's stream.
  kRecording,
  // The pieces are being started.
  kStarting,
  kRunning,
  // The pieces write checkpoints before they are stopped.
  kCheckpointing,
  // Pieces are being stopped and leases released.
  kStopping,
  // The end is being written to the cell's stream.
  kEnding,
  kDone,
  kFailed,
  kCancelled,
  // May have run; it was not started again because it is not idempotent.
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
  // What the caller expects; nothing correct rests on it.
  Duration declared_run_time{};
  // Whether the job may be started again after it may have run. The route says
  // so; a caller's word does not count.
  bool idempotent = false;
  // Whether its tasks can write a checkpoint and go on from it.
  bool checkpointable = false;
};

// What a job may ask for at most.
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

// One piece of a gang and the lease that it runs under.
struct Piece {
  PieceIndex index;
  WorkerId worker;
  LeaseId lease;
  PieceState state = PieceState::kNone;
};

// One placing of a gang; its leases are told apart from those of another.
struct GangTry {
  Epoch epoch;
  std::uint32_t number = 0;

  friend auto operator<=>(const GangTry&, const GangTry&) = default;
};

struct Job {
  JobSpec spec;
  PoolName pool;
  Priority priority = Priority::kNormal;
  JobState state = JobState::kWaiting;
  // The state to report once every lease is released.
  JobState end_state = JobState::kDone;
  std::string end_detail;
  // Orders waiting jobs: the offset of the acceptance record.
  Offset accepted;
  GangTry last_try;
  // The newest try whose start is in the cell's stream.
  GangTry recorded_try;
  bool cancel_requested = false;
  // Whether any piece may have been started in any try.
  bool may_have_run = false;
  // Whether the pieces run within the workspace's guarantees.
  bool guaranteed = false;
  std::vector<Piece> pieces;
  // When the pieces were placed, and began to run; kNever while they do not.
  TimePoint placed = kNever;
  TimePoint running_since = kNever;
  // When checkpointing pieces are stopped all the same.
  TimePoint grace_until = kNever;
  // How long it has run, over all tries that ended.
  Duration attained{};
  // Workers on which a piece failed.
  std::set<WorkerId> failed_on;
};

// What a worker said of one lease.
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

// What one pool of one workspace holds of a worker.
struct Reservation {
  PoolKey pool;
  Capacity reserved;
  // Of it, what the workspace's guaranteed gangs take now.
  Capacity used;
};

// A worker of a cell that this process holds.
struct Worker {
  ListedWorker listed;
  // The position of its rack among the cell's racks.
  std::size_t rack = 0;
  // What no placed piece takes; negative while borrowers are being stopped.
  Capacity free;
  std::vector<Reservation> reservations;
  // Pieces placed here, and the leases that the worker last reported.
  std::vector<PieceRef> pieces;
  std::vector<LeaseReport> reported;
  // When the newest message that it answered was sent.
  TimePoint heard = TimePoint::min();
  // When the newest message that may have renewed its leases was sent.
  TimePoint renewed = TimePoint::min();
  TimePoint sent = TimePoint::min();
  MessageSequence sequence;
  TimePoint next_poll{};
  bool exchange_under_way = false;
  // Leases asked for in the message under way.
  std::vector<LeaseId> reserving;
  // Jobs of which a piece failed here since one last ended well.
  std::set<JobId> failed_jobs;
  // Until then nothing is placed here; afterwards one gang at a time, until
  // one ends well.
  TimePoint excluded_until = TimePoint::min();
  Duration exclusion{};
};

// One guaranteed shape of a workspace and the workers that are kept for it;
// none when the cell cannot hold it beside the others.
struct GuaranteeSlot {
  PoolKey pool;
  // The zone where the shape is promised.
  Zone zone;
  Shape shape;
  std::vector<WorkerId> workers;
};

// A caller who waits until a record of the cell's stream is read back.
struct PendingAnswer {
  ExchangeId exchange;
  JobId job;
};

// A record that is appended again until it is read back.
struct UnconfirmedRecord {
  std::string data;
  // When it is due again; kNever while an append is under way.
  TimePoint repeat = kNever;
};

// Waiting jobs of one pool and priority, those with least service first.
struct QueueKey {
  Priority priority = Priority::kNormal;
  PoolKey pool;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};
struct QueuePlace {
  // Raised as the job attains service.
  std::int64_t level = 0;
  Offset accepted;
  JobId job;

  friend auto operator<=>(const QueuePlace&, const QueuePlace&) = default;
};

// Workers kept for a large gang that waits: only work that may be stopped for
// it is placed there.
struct GangHold {
  JobId job;
  std::set<WorkerId> workers;
  TimePoint since{};
};

struct EndedJob {
  JobId job;
  TimePoint at{};
};

struct JobDue {
  JobId job;
  TimePoint due{};
};

// A placement cell: the workers of its zones and the jobs placed on them.
struct Cell {
  CellName name;
  // Zero until this process has read back its own claim.
  Epoch epoch;
  // The epoch of the newest claim read; records of an earlier one are void.
  Epoch newest_claim;
  RecordId newest_claim_id;
  RecordId claim;
  Offset next;
  bool caught_up = false;
  // Another process is to hold the cell; nothing new is taken on.
  bool leaving = false;
  // When a claim may be written; later claims wait for the last one to settle.
  TimePoint claim_due{};
  // Until then the workers are asked what runs, and nothing is placed.
  TimePoint recovered_by = kNever;
  bool recovered = false;
  Table<WorkerId, Worker> workers;
  std::size_t racks = 0;
  // When the next messages are due, for workers without one under way.
  std::set<std::pair<TimePoint, WorkerId>> polls;
  Table<JobId, Job> jobs;
  std::map<QueueKey, std::set<QueuePlace>> queues;
  // Jobs that are neither waiting nor ended.
  std::unordered_set<JobId> active;
  // Active jobs that something happened to since they were last advanced.
  std::vector<JobId> touched;
  // When all active jobs are looked at, for what time alone changes.
  TimePoint next_scan{};
  // Ended jobs in the order of their ends.
  std::deque<EndedJob> ended;
  // When each job is written to the stream again unless it has ended.
  std::deque<JobDue> keeps;
  std::unordered_map<RecordId, PendingAnswer> pending;
  std::map<RecordId, UnconfirmedRecord> unconfirmed;
  // The packing of all guaranteed shapes.
  std::vector<GuaranteeSlot> slots;
  Revision planned_revision;
  bool plan_stale = true;
  std::string unmet_logged;
  // Something may now be placed that could not before.
  bool placement_due = false;
  TimePoint next_placement{};
  std::optional<GangHold> hold;
};

struct Jobs {
  // The cells with workers, as last listed, and those of the settings.
  std::set<CellName> known;
  // Makes the ids of this process's records distinct.
  std::uint64_t records_written = 0;
  // The cells that this process holds or is claiming.
  std::map<CellName, Cell> cells;
};

// What a caller or a peer asks about jobs.
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
  // Only the id and the workspace matter for kGet and kCancel.
  JobSpec spec;
  // Set on an operation that a peer passed on; it goes no further.
  bool forwarded = false;
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

// Passes a job operation on to the holder of its cell.
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

// The one message to a worker: renews every lease of the holder, carries the
// commands and asks for the state.
struct SendWorkerCommands {
  WorkerId worker;
  Address address;
  CellName cell;
  EntryId holder;
  Epoch epoch;
  MessageSequence sequence;
  // Whether the leases held are renewed.
  bool renew = true;
  Duration lease_time{};
  std::vector<WorkerCommand> commands;
};

// The worker's answer; `answered` is false when it may or may not have acted.
struct WorkerAnswered {
  WorkerId worker;
  CellName cell;
  Epoch epoch;
  MessageSequence sequence;
  bool answered = false;
  // The worker has obeyed a newer message and rejected this one.
  bool stale_epoch = false;
  // All leases on the worker.
  std::vector<LeaseReport> leases;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_JOBS_H_
