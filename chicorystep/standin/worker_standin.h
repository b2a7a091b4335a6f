#ifndef CHICORYSTEP_STANDIN_WORKER_STANDIN_H_
#define CHICORYSTEP_STANDIN_WORKER_STANDIN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/encoding/worker_messages.h"
#include "chicorystep/tables/jobs.h"
#include "chicorystep/traffic/http_server.h"

namespace chicorystep {

// Faults of the worker stand-in, set by POST /v1/faults.
struct WorkerFaults {
  // Every start command ends in a failed task.
  bool fail_starts = false;
  // How many of the next answers are lost after the commands took effect.
  std::int64_t lose_answers = 0;
  // Running tasks continue when they are stopped or their lease expires. This
  // violates the worker's contract, and the history checkers must detect it.
  bool ignore_stops = false;
};

// A lease and the task that runs under it.
struct WorkerLease {
  WorkerCommand command;
  PieceState state = PieceState::kReserved;
  std::chrono::steady_clock::time_point expiry;
  // When a running task ends by itself.
  std::chrono::steady_clock::time_point ends_at;
};

// A change of a task's state, for the history checkers.
struct TaskEvent {
  JobId job;
  PieceIndex piece;
  LeaseId lease;
  PieceState state = PieceState::kNone;
  std::chrono::steady_clock::time_point at;
};

// A minimal worker for tests. A task with the command "run-ms=N" runs for N ms.
struct WorkerStandin {
  WorkerStandin() = default;
  // Copies everything except the mutex, so that a model checker can branch from
  // a state.
  WorkerStandin(const WorkerStandin& other);
  WorkerStandin& operator=(const WorkerStandin&) = delete;

  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;

  std::mutex mutex;
  WorkerFaults faults;
  // Epoch and sequence number of the last accepted message; messages that are
  // not newer are rejected.
  Epoch epoch;
  MessageSequence sequence;
  std::map<LeaseId, WorkerLease> leases;
  std::vector<TaskEvent> events;
};

// Executes the commands of `message` and reports all leases; performs no I/O.
// When the message is not newer than the last accepted one, changes nothing and
// returns nothing.
[[nodiscard]] std::optional<WorkerReport> ApplyWorkerMessage(
    WorkerStandin& standin,
    const WorkerMessage& message,
    std::chrono::steady_clock::time_point now);

// Ends the tasks whose run time has passed and the leases that have expired.
void AdvanceTime(WorkerStandin& standin,
                 std::chrono::steady_clock::time_point now);

// Adds POST /v1/commands and POST /v1/faults to `server`.
void AddWorkerRoutes(httplib::Server& server, WorkerStandin& standin);

// Advances the tasks and leases to the present and returns all events so far.
[[nodiscard]] std::vector<TaskEvent> CurrentEvents(WorkerStandin& standin);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_WORKER_STANDIN_H_
