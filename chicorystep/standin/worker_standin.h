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

// What the worker stand-in does wrong; changed by POST /v1/faults.
struct WorkerFaults {
  bool fail_starts = false;
  // The next answers that are lost after the commands took effect.
  std::int64_t lose_answers = 0;
  // A broken promise, which the checkers of histories must catch: running
  // tasks go on when they are stopped or their lease lapses.
  bool ignore_stops = false;
};

// A lease and the task that runs under it.
struct WorkerLease {
  WorkerCommand command;
  PieceState state = PieceState::kReserved;
  std::chrono::steady_clock::time_point lapses;
  // When a running task is done.
  std::chrono::steady_clock::time_point done;
};

// What happened to a task, for the checkers of histories.
struct TaskEvent {
  JobId job;
  PieceIndex piece;
  LeaseId lease;
  PieceState state = PieceState::kNone;
  std::chrono::steady_clock::time_point at;
};

// A small stand-in of a worker. A task's command "run-ms=N" runs for N ms.
struct WorkerStandin {
  WorkerStandin() = default;
  // Copies all but the mutex, so that a checker can branch from a state.
  WorkerStandin(const WorkerStandin& other);
  WorkerStandin& operator=(const WorkerStandin&) = delete;

  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;

  std::mutex mutex;
  WorkerFaults faults;
  // Messages that are not newer are rejected.
  Epoch epoch;
  MessageSequence sequence;
  std::map<LeaseId, WorkerLease> leases;
  std::vector<TaskEvent> events;
};

// The worker's rules without any I/O: obeys `message` and reports all leases,
// or changes nothing and reports nothing when the message is fenced off.
[[nodiscard]] std::optional<WorkerReport> ObeyMessage(
    WorkerStandin& standin,
    const WorkerMessage& message,
    std::chrono::steady_clock::time_point now);

// Ends the tasks whose time is over and the leases that were not renewed.
void PassTime(WorkerStandin& standin,
              std::chrono::steady_clock::time_point now);

// Adds POST /v1/commands and the faults to `server`.
void AddWorkerRoutes(httplib::Server& server, WorkerStandin& standin);

// Ends what is due by now and returns all that happened so far.
[[nodiscard]] std::vector<TaskEvent> CurrentEvents(WorkerStandin& standin);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_WORKER_STANDIN_H_
