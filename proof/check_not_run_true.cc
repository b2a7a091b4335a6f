// Checks that a call refused as not run caused no execution: each execution of
// a request must follow the beginning of a call of that request which was not
// refused as not run. A repeated call may be refused although an earlier call
// ran: the refusal covers only the repeated call, because the entry that sends
// it may have no record of the earlier one.

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
  // The times at which calls began that were not refused as not run.
  std::vector<TimePoint> unrefused_begins;
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
      row.unrefused_begins.push_back(call.at);
    }
  }
  for (const RequestExecuted& event : history.executed) {
    requests[event.request].executed.push_back(event.at);
  }
  return requests;
}

bool RanDespiteRefusal(const RequestCalls& row) {
  return std::any_of(
      row.executed.begin(), row.executed.end(), [&](TimePoint executed) {
        return std::none_of(row.unrefused_begins.begin(),
                            row.unrefused_begins.end(),
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
    if (impl::RanDespiteRefusal(row)) {
      verdict.violations.push_back(
          fmt::format("{} was refused as not run but ran", request.value));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
