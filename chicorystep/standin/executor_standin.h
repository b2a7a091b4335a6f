#ifndef CHICORYSTEP_STANDIN_EXECUTOR_STANDIN_H_
#define CHICORYSTEP_STANDIN_EXECUTOR_STANDIN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/traffic/http_server.h"

namespace chicorystep {

// Faults of the executor stand-in, set by POST /v1/faults. A number says how
// many of the next requests the fault applies to.
struct ExecutorFaults {
  // Requests that are refused as not run.
  std::int64_t refuse = 0;
  // Requests that run but whose answer is lost.
  std::int64_t lose_answers = 0;
  // Answers that name another request.
  std::int64_t cross_answers = 0;
  // Answers that end before their last byte.
  std::int64_t cut_answers = 0;
  // Added to the run time of every request.
  Duration delay{};
  // Violations of the executor's contract that the history checkers must
  // detect: requests that take effect twice, requests that are answered with
  // other bytes, and requests that take effect although the answer says that
  // they did not run.
  std::int64_t execute_twice = 0;
  std::int64_t swap_answers = 0;
  std::int64_t deny_executions = 0;
};

// The arrival or the execution of a request, for the history checkers.
struct ExecutorEvent {
  RequestId request;
  // True for the execution, false for the arrival.
  bool executed = false;
  std::chrono::steady_clock::time_point at;
};

// A minimal executor for tests. It answers each request with the request's
// body.
struct ExecutorStandin {
  Slots slots{8};
  Duration run_time{};

  std::mutex mutex;
  ExecutorFaults faults;
  Slots busy;
  // How often each request took effect.
  std::map<RequestId, std::int64_t> executions;
  std::vector<ExecutorEvent> events;
};

// Adds POST /v1/run/<kind>, GET /v1/executions and POST /v1/faults to `server`.
void AddExecutorRoutes(httplib::Server& server, ExecutorStandin& standin);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_EXECUTOR_STANDIN_H_
