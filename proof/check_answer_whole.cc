// Every call ends, and an answer names the caller's own request and holds all
// of the right bytes. Only a disturbed entry may leave a call without answer.

#include <fmt/format.h>

#include <map>

#include "proof/check.h"

namespace chicorystep::proof {
namespace impl {

std::string FaultOf(const History& history,
                    const CallBegun& call,
                    const CallEnded* ended) {
  if (ended == nullptr) {
    return "never ended";
  }
  if (ended->outcome == CallOutcome::kNoAnswer) {
    return IsDisturbed(history, call.entry, call.at, ended->at)
               ? ""
               : "got no answer from an undisturbed entry";
  }
  if (ended->outcome != CallOutcome::kAnswered) {
    return "";
  }
  if (ended->answered != call.request) {
    return fmt::format("got the answer of {}", ended->answered.value);
  }
  return ended->answer == call.expected ? "" : "got other bytes";
}

}  // namespace impl

Verdict CheckAnswerWhole(const History& history, const Bounds& /*bounds*/) {
  Verdict verdict;
  std::map<CallId, const CallEnded*> ends;
  for (const CallEnded& ended : history.calls_ended) {
    ends.emplace(ended.call, &ended);
  }
  for (const CallBegun& call : history.calls_begun) {
    ++verdict.examined;
    const auto found = ends.find(call.call);
    const std::string fault = impl::FaultOf(
        history, call, found == ends.end() ? nullptr : found->second);
    if (!fault.empty()) {
      verdict.violations.push_back(
          fmt::format("call {} of {} at {} {}", call.call.value,
                      call.request.value, call.entry.value, fault));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
