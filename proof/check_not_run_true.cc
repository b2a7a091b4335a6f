// A request that was refused as not run had not run when the refusal was
// given, and runs later only through a call that was not refused so.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <vector>

#include "proof/check.h"

namespace chicorystep::proof {
namespace impl {

struct RequestCalls {
  std::size_t calls = 0;
  std::size_t refused = 0;
  TimePoint last_refusal = TimePoint::min();
  std::vector<TimePoint> executed;
};

std::map<RequestId, RequestCalls> CallsByRequest(const History& history) {
  std::map<RequestId, RequestCalls> requests;
  std::map<CallId, RequestId> names;
  for (const CallBegun& call : history.calls_begun) {
    names.emplace(call.call, call.request);
    ++requests[call.request].calls;
  }
  for (const CallEnded& ended : history.calls_ended) {
    const auto name = names.find(ended.call);
    if (ended.outcome != CallOutcome::kNotRun || name == names.end()) {
      continue;
    }
    RequestCalls& row = requests[name->second];
    ++row.refused;
    row.last_refusal = std::max(row.last_refusal, ended.at);
  }
  for (const RequestExecuted& event : history.executed) {
    requests[event.request].executed.push_back(event.at);
  }
  return requests;
}

bool RanAgainstRefusal(const RequestCalls& row) {
  const bool ran_before =
      std::any_of(row.executed.begin(), row.executed.end(),
                  [&](TimePoint at) { return at <= row.last_refusal; });
  return ran_before || (!row.executed.empty() && row.refused == row.calls);
}

}  // namespace impl

Verdict CheckNotRunTrue(const History& history, const Bounds& /*bounds*/) {
  Verdict verdict;
  for (const auto& [request, row] : impl::CallsByRequest(history)) {
    if (row.refused == 0) {
      continue;
    }
    ++verdict.examined;
    if (impl::RanAgainstRefusal(row)) {
      verdict.violations.push_back(
          fmt::format("{} was refused as not run but ran", request.value));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
