// A call that was refused as not run caused no effect: every effect of a
// request belongs to a call of it that began before and was not refused so. A
// repeat may be refused although an earlier call ran; its refusal speaks of
// the repeat alone, since the instance that gives it may know of no other.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "proof/check.h"

namespace chicorystep::proof {
namespace impl {

struct RequestCalls {
  bool refused = false;
  // When calls began that were not refused as not run.
  std::vector<TimePoint> may_run;
  std::vector<TimePoint> executed;
};

std::map<RequestId, RequestCalls> CallsByRequest(const History& history) {
  std::set<CallId> refused;
  for (const CallEnded& ended : history.calls_ended) {
    if (ended.outcome == CallOutcome::kNotRun) {
      refused.insert(ended.call);
    }
  }
  std::map<RequestId, RequestCalls> requests;
  for (const CallBegun& call : history.calls_begun) {
    RequestCalls& row = requests[call.request];
    if (refused.contains(call.call)) {
      row.refused = true;
    } else {
      row.may_run.push_back(call.at);
    }
  }
  for (const RequestExecuted& event : history.executed) {
    requests[event.request].executed.push_back(event.at);
  }
  return requests;
}

bool RanAgainstRefusal(const RequestCalls& row) {
  return std::any_of(
      row.executed.begin(), row.executed.end(), [&](TimePoint executed) {
        return std::none_of(row.may_run.begin(), row.may_run.end(),
                            [&](TimePoint begun) { return begun <= executed; });
      });
}

}  // namespace impl

Verdict CheckNotRunTrue(const History& history, const Bounds& /*bounds*/) {
  Verdict verdict;
  for (const auto& [request, row] : impl::CallsByRequest(history)) {
    if (!row.refused) {
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
