#ifndef CHICORYSTEP_SYSTEMS_REQUESTS_RETRIES_H_
#define CHICORYSTEP_SYSTEMS_REQUESTS_RETRIES_H_

#include "chicorystep/tables/world.h"

// Retry policy. A request is retried only if it is certain that it has not run
// or if it is idempotent, and only within the retry budgets that first attempts
// earn: one of the process and one of each executor. When all attempts fail,
// the budgets limit them to about 1.1 per request. Retries after a refusal by
// an executor are charged to the budgets but not held back by them; the
// executors' concurrency limits and pauses bound their rate.

namespace chicorystep {

// Charges a retry to the retry budgets, or credits them for a first attempt.
void CountAttempt(Requests& requests,
                  const Request& request,
                  Executor& executor);

// Whether an executor's retry budget covers one retry.
[[nodiscard]] bool HasRetryTokens(const Executor& executor) noexcept;

// Whether a request whose attempt ended with `result` may be sent again.
[[nodiscard]] bool MayRetry(const Requests& requests,
                            const Request& request,
                            AttemptResult result);

// The refusal for a request that is not sent again after `result`.
[[nodiscard]] Refusal DescribeFailure(const Request& request,
                                      AttemptResult result);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUESTS_RETRIES_H_
