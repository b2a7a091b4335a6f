// A request that is not idempotent takes effect at most once, however often it
// is repeated and through whichever entries.

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
      verdict.violations.push_back(
          fmt::format("{} ran {} times", request.value, count));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
