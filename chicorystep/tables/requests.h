#ifndef CHICORYSTEP_TABLES_REQUESTS_H_
#define CHICORYSTEP_TABLES_REQUESTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/outcome.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/instances.h"

namespace chicorystep {

// How the entries share an executor's slots; docs/design/requests.md has the
// measurement that the choice rests on.
enum class SlotPolicy : std::uint8_t {
  // Any executor below its slots by this process's own count.
  kRandom,
  // The one with the fewest requests of this process.
  kLeastInFlight,
  // The better of two by the slots that it last told to be busy.
  kTwoChoices,
  // Each entry has an equal part of the slots and keeps to it.
  kApportioned,
  // The better of two below a limit that starts at an equal part, grows with
  // answers and shrinks with refusals.
  kLearntLimit,
};

// A budget of retries in thousandths of an attempt. First attempts add to it.
using RetryTokens = Quantity<struct RetryTokensTag, std::int64_t>;

// An executor and what this process has running on it.
struct Executor {
  ListedExecutor listed;
  // Requests of this process that are being served there.
  Slots in_flight;
  // Busy slots as the executor last told; of all callers together.
  Slots reported_busy;
  // Requests that this process runs there at most; learnt.
  Slots limit{1};
  // Answers at the limit since it last changed.
  std::int64_t answers_at_limit = 0;
  // Whether a refusal has ended the fast growth of the limit.
  bool limit_found = false;
  // Refusals since the last answer.
  std::int64_t refusals = 0;
  // Nothing is sent before this time, after a refusal.
  TimePoint paused_until{};
  // Failed attempts since the last answer, and ejections since then.
  std::int64_t failures = 0;
  std::int64_t ejections = 0;
  TimePoint ejected_until{};
  RetryTokens retry_tokens{3000};
};

// Run times of one kind, learnt from answers.
struct RunTime {
  Duration mean{};
  std::int64_t samples = 0;
  TimePoint last{};
};

// The waiting requests of one kind, in arrival order.
struct KindQueue {
  Kind kind;
  std::deque<ExchangeId> exchanges;
};

// The waiting requests of one workspace in one class of one service.
struct WorkspaceQueue {
  Workspace workspace;
  Weight weight{1};
  // Slot time taken so far, divided by the weight.
  Duration served{};
  std::vector<KindQueue> kinds;
  std::size_t waiting = 0;
};

// The waiting requests of one class of one service.
struct ClassQueue {
  std::vector<WorkspaceQueue> workspaces;
  // `served` of the workspace served last; one that begins to wait starts here.
  Duration served{};
  std::size_t waiting = 0;
};

inline constexpr std::size_t kPriorityCount = 3;
// Same zone, same region, elsewhere.
inline constexpr std::size_t kDistanceCount = 3;

// What this process knows of one service.
struct ServiceTraffic {
  std::array<ClassQueue, kPriorityCount> classes;
  // Positions in the table of executors, by distance; live ones only.
  std::array<std::vector<std::size_t>, kDistanceCount> executors;
  std::map<Kind, RunTime> run_times;
  Slots in_flight;
  // Of these, requests of long kinds.
  Slots long_in_flight;
  // Answers a second, learnt over whole periods.
  std::int64_t answers_in_period = 0;
  double answers_per_second = 0;
  TimePoint period_start{};
  // When a pause or ejection that holds waiting requests back is over.
  TimePoint unblocked{kNever};
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
  // Attempts that an executor refused; these do not count against the route's
  // `max_attempts`.
  std::int64_t refusals = 0;
  // Where the attempt under way was sent; empty while the request waits.
  ExecutorId executor;
  TimePoint sent{};
  // Where the attempt before it was sent, and how it ended.
  ExecutorId last_executor;
  AttemptResult last_result = AttemptResult::kNotSent;
  Service service;
  Bytes size;
  // Whether it waits in a queue.
  bool queued = false;
  // Whether it counts among the long requests of its service.
  bool long_running = false;
  // The offset of the claim in force, once it was read back.
  std::optional<Offset> claim;
  // Whether any attempt may have run.
  bool may_have_run = false;
};

struct Requests {
  Table<ExecutorId, Executor> executors;
  Table<ExchangeId, Request> table;
  std::map<Service, ServiceTraffic> services;
  // The queued requests by their deadline.
  std::set<std::pair<TimePoint, ExchangeId>> due;
  // A process may begin with retries that it has not earned. First attempts
  // earn what is owed for them before they add to the budget.
  RetryTokens retry_tokens{10'000};
  RetryTokens retry_tokens_owed{10'000};
  // What may still be sent across the link between regions; below zero when
  // answers took more than was left.
  Bytes link_allowance;
  TimePoint link_counted{};
  std::minstd_rand random;
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

struct AttemptEnded {
  ExchangeId exchange;
  Attempt attempt;
  AttemptResult result = AttemptResult::kLost;
  // Busy slots that the executor told with its answer.
  std::optional<Slots> reported_busy;
  Bytes answer_size;
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
