#ifndef CHICORYSTEP_TABLES_JOBS_H_
#define CHICORYSTEP_TABLES_JOBS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/outcome.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/instances.h"

namespace chicorystep {

enum class JobState : std::uint8_t {
  // Accepted; waits for capacity.
  kWaiting,
  // Leases are being taken for all pieces.
  kReserving,
  // All leases are held; the pieces are being started.
  kStarting,
  kRunning,
  // Pieces are being stopped and leases released.
  kStopping,
  // Every lease is released; the end is being written to the cell's stream.
  kEnding,
  kDone,
  kFailed,
  kCancelled,
};
template <>
inline constexpr std::array kEnumNames<JobState> = {
    std::string_view("waiting"),   std::string_view("reserving"),
    std::string_view("starting"),  std::string_view("running"),
    std::string_view("stopping"),  std::string_view("ending"),
    std::string_view("done"),      std::string_view("failed"),
    std::string_view("cancelled"),
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
};
template <>
inline constexpr std::array kEnumNames<PieceState> = {
    std::string_view("none"),     std::string_view("reserving"),
    std::string_view("reserved"), std::string_view("starting"),
    std::string_view("running"),  std::string_view("done"),
    std::string_view("failed"),   std::string_view("stopping"),
    std::string_view("released"),
};

// One piece of a gang and the lease that it runs under.
struct Piece {
  PieceIndex index;
  WorkerId worker;
  LeaseId lease;
  PieceState state = PieceState::kNone;
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
  // Raised for every try, so that leases of an earlier try are told apart.
  std::uint32_t tries = 0;
  std::vector<Piece> pieces;
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

// A worker of a cell that this process holds.
struct Worker {
  ListedWorker listed;
  Accelerators free_accelerators;
  Millicores free_processors;
  Mebibytes free_memory;
  // Pieces placed here, and the leases that the worker last reported.
  std::vector<PieceRef> pieces;
  std::vector<LeaseReport> reported;
  // When it last answered, and when its next message is due.
  TimePoint heard = TimePoint::min();
  TimePoint next_poll{};
  bool exchange_under_way = false;
  // Leases asked for in the message under way.
  std::vector<LeaseId> reserving;
};

// A submission whose acceptance record is being written.
struct PendingAcceptance {
  ExchangeId exchange;
  JobId job;
  RecordId record;
};

// A placement cell: the workers of one zone and the jobs placed on them.
struct Cell {
  Zone zone;
  // Zero until this process has read back its own claim.
  Epoch epoch;
  RecordId claim;
  Offset next;
  bool caught_up = false;
  // When a claim may be written; later claims wait for the last one to settle.
  TimePoint claim_due{};
  // Until then the workers are asked what runs, and nothing is placed.
  TimePoint recovered_by = kNever;
  bool recovered = false;
  Table<WorkerId, Worker> workers;
  Table<JobId, Job> jobs;
  // Callers who wait for a job's acceptance to be read back.
  std::vector<PendingAcceptance> pending;
};

struct Jobs {
  // Makes the ids of this process's records distinct.
  std::uint64_t records_written = 0;
  // The cells that this process holds or is claiming.
  std::map<Zone, Cell> cells;
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
  kStop,
  kRelease
};
template <>
inline constexpr std::array kEnumNames<WorkerCommandKind> = {
    std::string_view("reserve"),
    std::string_view("start"),
    std::string_view("stop"),
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
  Zone zone;
  EntryId holder;
  Epoch epoch;
  Duration lease_time{};
  std::vector<WorkerCommand> commands;
};

// The worker's answer; `answered` is false when it may or may not have acted.
struct WorkerAnswered {
  WorkerId worker;
  Zone zone;
  Epoch epoch;
  bool answered = false;
  // The worker has obeyed a higher epoch and rejected the message.
  bool stale_epoch = false;
  // All leases on the worker.
  std::vector<LeaseReport> leases;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_JOBS_H_
