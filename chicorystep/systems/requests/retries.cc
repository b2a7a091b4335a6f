#include "chicorystep/systems/requests/retries.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include "chicorystep/systems/requests/request_end.h"

namespace chicorystep {
namespace impl {

inline constexpr RetryTokens kRetryCost{1000};
// Refusals by executors after which a request is not retried.
inline constexpr std::int64_t kMaxRefusals = 32;
// A first attempt earns a tenth of a retry.
inline constexpr RetryTokens kEarnedPerFirstAttempt{100};
inline constexpr RetryTokens kMaxProcessTokens{10'000};
inline constexpr RetryTokens kMaxExecutorTokens{3000};
// The part of the process's budget that each priority class must leave for more
// urgent classes.
inline constexpr std::array<RetryTokens, kPriorityCount> kReservedByClass = {
    RetryTokens{0}, RetryTokens{2000}, RetryTokens{5000}};

}  // namespace impl

void CountAttempt(Requests& requests,
                  const Request& request,
                  Executor& executor) {
  if (request.attempts.value > 1) {
    requests.retry_tokens =
        std::max(RetryTokens{0}, requests.retry_tokens - impl::kRetryCost);
    executor.retry_tokens =
        std::max(RetryTokens{0}, executor.retry_tokens - impl::kRetryCost);
    return;
  }
  if (requests.retry_tokens_owed >= impl::kEarnedPerFirstAttempt) {
    requests.retry_tokens_owed =
        requests.retry_tokens_owed - impl::kEarnedPerFirstAttempt;
  } else {
    requests.retry_tokens =
        std::min(requests.retry_tokens + impl::kEarnedPerFirstAttempt,
                 impl::kMaxProcessTokens);
  }
  executor.retry_tokens =
      std::min(executor.retry_tokens + impl::kEarnedPerFirstAttempt,
               impl::kMaxExecutorTokens);
}

bool HasRetryTokens(const Executor& executor) noexcept {
  return executor.retry_tokens >= impl::kRetryCost;
}

bool MayRetry(const Requests& requests,
              const Request& request,
              AttemptResult result) {
  // A refusal cost the executor no work. Its concurrency limit and its pause
  // bound the attempts that follow.
  if (result == AttemptResult::kRefused) {
    return request.refusals < impl::kMaxRefusals;
  }
  if (request.attempts.value - request.refusals >= request.max_attempts) {
    return false;
  }
  const RetryTokens needed =
      impl::kRetryCost +
      impl::kReservedByClass[static_cast<std::size_t>(request.priority)];
  return (result == AttemptResult::kNotSent || request.idempotent) &&
         requests.retry_tokens >= needed;
}

Refusal DescribeFailure(const Request& request, AttemptResult result) {
  const Execution execution = ExecutionWithoutAnswer(request);
  switch (result) {
    case AttemptResult::kCutShort:
      return {execution, Reason::kAnswerCutShort, "the answer was cut short",
              Duration{}};
    case AttemptResult::kMismatched:
      return {execution, Reason::kAnswerMismatched,
              "the executor answered another request", Duration{}};
    case AttemptResult::kRefused:
      return {execution, Reason::kOverloaded, "the executors refused",
              Duration{}};
    case AttemptResult::kAnswered:
    case AttemptResult::kNotSent:
    case AttemptResult::kLost:
      break;
  }
  return {execution, Reason::kExecutorFailed, "the executor failed",
          Duration{}};
}

}  // namespace chicorystep
