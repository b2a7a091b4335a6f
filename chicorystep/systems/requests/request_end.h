#ifndef CHICORYSTEP_SYSTEMS_REQUESTS_REQUEST_END_H_
#define CHICORYSTEP_SYSTEMS_REQUESTS_REQUEST_END_H_

#include <optional>

#include "chicorystep/core/outcome.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// The execution state to report for a request that ends without an answer.
[[nodiscard]] constexpr Execution ExecutionWithoutAnswer(
    const Request& request) noexcept {
  return request.may_have_run ? Execution::kUnknown : Execution::kNotRun;
}

// Ends a request with `refusal`, or with the answer of its last attempt when
// there is none. Appends the outcome of its claim if it holds one.
void EndRequest(World& world,
                ExchangeId exchange,
                std::optional<Refusal> refusal,
                Outbox& outbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUESTS_REQUEST_END_H_
