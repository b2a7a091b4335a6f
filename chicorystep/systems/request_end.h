#ifndef CHICORYSTEP_SYSTEMS_REQUEST_END_H_
#define CHICORYSTEP_SYSTEMS_REQUEST_END_H_

#include <optional>

#include "chicorystep/core/outcome.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// What may be said about the execution of a request that got no answer.
[[nodiscard]] constexpr Execution ExecutionOf(const Request& request) noexcept {
  return request.may_have_run ? Execution::kUnknown : Execution::kNotRun;
}

// Ends a request with its answer, or with `refusal`, and appends the outcome
// of its claim if it holds one.
void EndRequest(World& world,
                ExchangeId exchange,
                std::optional<Refusal> refusal,
                Outbox& outbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUEST_END_H_
