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

// How entries share an executor's slots. docs/design/requests.md compares the
// policies by measurement.
enum class SlotPolicy : std::uint8_t {
  // A random executor on which this process has fewer requests than slots.
  kRandom,
  // The executor with the fewest requests of this process in flight.
  kLeastInFlight,
  // The less busy of two random executors, by the busy slots that each reported
  // last.
  kTwoChoices,
  // Each entry uses at most an equal share of the slots.
  kApportioned,
  // The less loaded of two random executors below an adaptive concurrency limit
  // that starts at an equal share, grows with answers and shrinks with
  // refusals.
  kAdaptiveLimit,
};

// A retry budget in thousandths of an attempt, replenished by first attempts.
using RetryTokens = Quantity<struct RetryTokensTag, std::int64_t>;

// An executor with its load, concurrency limit and health as seen by this
// process.
struct Executor {
  ListedExecutor listed;
  // Requests of this process that are in flight to the executor.
  Slots in_flight;
  // Busy slots that the executor reported last, over all entries.
  Slots reported_busy;
  // Adaptive limit of the requests that this process has in flight there.
  Slots limit{1};
  // Answers received while at the limit, since the limit last changed.
  std::int64_t answers_at_limit = 0;
  // Whether a refusal has ended the fast initial growth of the limit.
  bool slow_start_ended = false;
  // Consecutive refusals since the last answer.
  std::int64_t refusals = 0;
  // End of the back-off after a refusal; nothing is sent before.
  TimePoint paused_until{};
  // Failed attempts and ejections since the last answer.
  std::int64_t failures = 0;
  std::int64_t ejections = 0;
  TimePoint ejected_until{};
  RetryTokens retry_tokens{3000};
};

// Estimated run time of one kind, from the answers received.
struct RunTime {
  // Exponentially weighted moving average.
  Duration mean{};
  std::int64_t samples = 0;
  TimePoint last_sampled{};
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
  // Virtual time of weighted fair queueing: slot time charged to the workspace,
  // divided by its weight.
  Duration virtual_time{};
  std::vector<KindQueue> kinds;
  std::size_t waiting = 0;
};

// The waiting requests of one class of one service.
struct ClassQueue {
  std::vector<WorkspaceQueue> workspaces;
  // Virtual time of the workspace served last. A workspace that begins to wait
  // starts from it, so that it gains no credit from being idle.
  Duration virtual_time{};
  std::size_t waiting = 0;
};

inline constexpr std::size_t kPriorityCount = 3;
// Distances of an executor: same zone, same region, other region.
inline constexpr std::size_t kDistanceCount = 3;

// Queues, executors and load estimates of one service in this process.
struct ServiceTraffic {
  std::array<ClassQueue, kPriorityCount> classes;
  // Positions of the live executors in the table of executors, by distance.
  std::array<std::vector<std::size_t>, kDistanceCount> executors;
  std::map<Kind, RunTime> run_times;
  Slots in_flight;
  // The part of `in_flight` that belongs to kinds with long run times.
  Slots long_in_flight;
  // Answers per second while requests are in flight, updated at the end of each
  // measuring period.
  std::int64_t answers_in_period = 0;
  double answers_per_second = 0;
  // When the period began, moved forward by the time without requests in
  // flight.
  TimePoint period_start{};
  // When the last request in flight ended.
  TimePoint idle_since{};
  // When the first pause or ejection ends that holds waiting requests back;
  // `kNever` when none does.
  TimePoint unblocked_at{kNever};
};

// How an attempt ended.
enum class AttemptResult : std::uint8_t {
  kAnswered,
  // The executor refused the request and reported that it did not run.
  kRefused,
  // No byte of the request was sent.
  kNotSent,
  // The connection failed, the attempt timed out or the executor answered with
  // an error, after bytes were sent.
  kLost,
  // The attempt failed after the headers of the answer were received.
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
  // Attempts that executors refused. They do not count against `max_attempts`.
  std::int64_t refusals = 0;
  // The executor of the attempt in flight; empty while the request waits.
  ExecutorId executor;
  TimePoint sent{};
  // The executor and the result of the previous attempt.
  ExecutorId last_executor;
  AttemptResult last_result = AttemptResult::kNotSent;
  Service service;
  Bytes size;
  bool queued = false;
  // Whether the attempt in flight counts in its service's `long_in_flight`.
  bool long_running = false;
  // Offset of the request's own claim, set once it was read back as the one in
  // force. Idempotent requests have no claim.
  std::optional<Offset> claim;
  // Whether any attempt may have been executed.
  bool may_have_run = false;
};

struct Requests {
  Table<ExecutorId, Executor> executors;
  Table<ExchangeId, Request> table;
  std::map<Service, ServiceTraffic> services;
  // The queued requests, ordered by deadline.
  std::set<std::pair<TimePoint, ExchangeId>> due;
  // A new process starts with a full retry budget that first attempts have not
  // earned. First attempts pay off `retry_tokens_owed` before they add to the
  // budget.
  RetryTokens retry_tokens{10'000};
  RetryTokens retry_tokens_owed{10'000};
  // Token bucket of the bytes that may be sent across the link between regions.
  // Negative when requests and answers took more than was left.
  Bytes link_allowance;
  TimePoint link_refilled_at{};
  std::minstd_rand random;
};

// A caller's request that a traffic thread has read completely.
struct RequestArrived {
  ExchangeId exchange;
  RequestId id;
  Workspace workspace;
  Kind kind;
  Bytes size;
  // Empty when the caller set no deadline; the route's deadline applies then.
  std::optional<Duration> deadline;
};

struct AttemptEnded {
  ExchangeId exchange;
  Attempt attempt;
  AttemptResult result = AttemptResult::kLost;
  // Busy slots that the executor reported with its answer.
  std::optional<Slots> reported_busy;
  Bytes answer_size;
};

// Instructs a traffic thread to send a request to an executor.
struct SendAttempt {
  ExchangeId exchange;
  Attempt attempt;
  Service service;
  Address address;
  Duration timeout{};
  Bytes max_answer;
};

// Instructs a traffic thread to answer the caller with `refusal`, or with the
// answer of the last attempt when there is no refusal.
struct EndExchange {
  ExchangeId exchange;
  std::optional<Refusal> refusal;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_REQUESTS_H_
