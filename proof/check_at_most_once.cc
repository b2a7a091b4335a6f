// Checks that a non-idempotent request executes at most once, regardless of how
// often it is repeated and through which entries.

#include <fmt/format.h>

#include <map>

#include "proof/check.h"

namespace chicorystep::proof {

Verdict CheckAtMostOnce(const History& history, const Bounds& /*bounds*/) {
  Verdict verdict;
  std::map<RequestId, std::size_t> executions;
  for (const CallBegun& call : history.calls_begun) {
    if (!call.idempotent) {
      executions.emplace(call.request, 0);
    }
  }
  for (const RequestExecuted& event : history.executed) {
    if (const auto found = executions.find(event.request);
        found != executions.end()) {
      ++found->second;
    }
  }
  for (const auto& [request, count] : executions) {
    ++verdict.examined;
    if (count > 1) {
      verdict.violations.push_back(fmt::format(
          "non-idempotent request {} ran {} times, expected at most 1",
          request.value, count));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
