#ifndef CHICORYSTEP_SYSTEMS_RETRIES_H_
#define CHICORYSTEP_SYSTEMS_RETRIES_H_

#include "chicorystep/tables/world.h"

// Retries: only of what has certainly not run or is idempotent, and within
// budgets that first attempts earn, one for the process and one for each
// executor. Under total failure attempts stay near 1.1 for each request. A
// refused request takes from the budgets but goes on without them, at the pace
// that the executors' limits and pauses allow.

namespace chicorystep {

// Counts an attempt that is being sent against the budgets.
void CountAttempt(Requests& requests,
                  const Request& request,
                  Executor& executor);

// Whether an executor's budget allows a retry there.
[[nodiscard]] bool HasRetryTokens(const Executor& executor) noexcept;

// Whether a request whose attempt ended with `result` may be sent again.
[[nodiscard]] bool MayRetry(const Requests& requests,
                            const Request& request,
                            AttemptResult result);

// The refusal for a request that is not sent again after `result`.
[[nodiscard]] Refusal DescribeFailure(const Request& request,
                                      AttemptResult result);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_RETRIES_H_
