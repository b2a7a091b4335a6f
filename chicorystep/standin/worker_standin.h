#ifndef CHICORYSTEP_STANDIN_WORKER_STANDIN_H_
#define CHICORYSTEP_STANDIN_WORKER_STANDIN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
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
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;

  std::mutex mutex;
  WorkerFaults faults;
  // Commands of a lower epoch are rejected.
  Epoch epoch;
  std::map<LeaseId, WorkerLease> leases;
  std::vector<TaskEvent> events;
};

// Adds POST /v1/commands and the faults to `server`.
void AddWorkerRoutes(httplib::Server& server, WorkerStandin& standin);

// Ends what is due by now and returns all that happened so far.
[[nodiscard]] std::vector<TaskEvent> CurrentEvents(WorkerStandin& standin);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_WORKER_STANDIN_H_
