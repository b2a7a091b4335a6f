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

// What the executor stand-in does wrong; changed by POST /v1/faults.
struct ExecutorFaults {
  // Refuses the next requests as not run.
  std::int64_t refuse = 0;
  // The next requests that run but whose answer is lost.
  std::int64_t lose_answers = 0;
  // The next answers that name another request.
  std::int64_t cross_answers = 0;
  // The next answers that end before their last byte.
  std::int64_t cut_answers = 0;
  // Added to the run time of every request.
  Duration delay{};
  // Broken promises, which the checkers of histories must catch: the next
  // requests that take effect twice, that are answered with other bytes, and
  // that take effect although the answer says that they did not run.
  std::int64_t execute_twice = 0;
  std::int64_t swap_answers = 0;
  std::int64_t deny_executions = 0;
};

// What happened to a request, for the checkers of histories.
struct ExecutorEvent {
  RequestId request;
  // Whether it took effect, or only arrived.
  bool executed = false;
  std::chrono::steady_clock::time_point at;
};

// A small stand-in of an executor. It answers with the request's body.
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

// Adds POST /v1/run/<kind>, GET /v1/executions and the faults to `server`.
void AddExecutorRoutes(httplib::Server& server, ExecutorStandin& standin);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_EXECUTOR_STANDIN_H_
