#ifndef CHICORYSTEP_TABLES_REQUESTS_H_
#define CHICORYSTEP_TABLES_REQUESTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/outcome.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/instances.h"

namespace chicorystep {

// An executor and what this process has running on it.
struct Executor {
  ListedExecutor listed;
  // Requests of this process that are being served there.
  Slots in_flight;
  // Busy slots as the executor last told; of all callers together.
  Slots reported_busy;
};

// A request whose caller waits for its answer.
struct Request {
  ExchangeId exchange;
  RequestId id;
  Workspace workspace;
  Kind kind;
  Priority priority = Priority::kNormal;
  bool idempotent = false;
  std::int64_t max_attempts = 1;
  TimePoint arrived{};
  TimePoint deadline{};
  Attempt attempts;
  // Where the attempt under way was sent; empty while the request waits.
  ExecutorId executor;
  // The offset of the claim in force, once it was read back.
  std::optional<Offset> claim;
  // Whether any attempt may have run.
  bool may_have_run = false;
};

struct Requests {
  Table<ExecutorId, Executor> executors;
  Table<ExchangeId, Request> table;
  // Requests without an attempt under way, in arrival order.
  std::vector<ExchangeId> waiting;
};

// A caller's request, read whole by a traffic thread.
struct RequestArrived {
  ExchangeId exchange;
  RequestId id;
  Workspace workspace;
  Kind kind;
  Bytes size;
  // Empty when the caller names no deadline.
  std::optional<Duration> deadline;
};

// How an attempt ended.
enum class AttemptResult : std::uint8_t {
  kAnswered,
  // The executor refused it and says that it did not run.
  kRefused,
  // No byte of it was sent.
  kNotSent,
  // The connection failed, or the time was over, after bytes were sent.
  kLost,
  kCutShort,
  // The answer names another request.
  kMismatched,
};

struct AttemptEnded {
  ExchangeId exchange;
  Attempt attempt;
  AttemptResult result = AttemptResult::kLost;
  // Busy slots that the executor told with its answer.
  std::optional<Slots> reported_busy;
};

// Tells a traffic thread to send the request to an executor.
struct SendAttempt {
  ExchangeId exchange;
  Attempt attempt;
  Service service;
  Address address;
  Duration timeout{};
  Bytes max_answer;
};

// Tells a traffic thread to pass on the answer of the attempt that ended last,
// or the refusal.
struct EndExchange {
  ExchangeId exchange;
  std::optional<Refusal> refusal;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_REQUESTS_H_
