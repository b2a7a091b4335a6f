// Checks that every call ends, and that each answer carries the id of the
// caller's request and exactly the expected bytes. Only a disturbed entry may
// leave a call without an answer.

#include <fmt/format.h>

#include <map>

#include "proof/check.h"

namespace chicorystep::proof {
namespace impl {

// Returns what is wrong with the end of a call; empty if nothing is.
std::string DescribeFault(const History& history,
                          const CallBegun& call,
                          const CallEnded* ended) {
  if (ended == nullptr) {
    return "never ended";
  }
  if (ended->outcome == CallOutcome::kNoAnswer) {
    return IsDisturbed(history, call.entry, call.at, ended->at)
               ? ""
               : "received no answer from an undisturbed entry";
  }
  if (ended->outcome != CallOutcome::kAnswered) {
    return "";
  }
  if (ended->answered != call.request) {
    return fmt::format("received the answer to request {}",
                       ended->answered.value);
  }
  return ended->answer == call.expected
             ? ""
             : "received an answer with unexpected bytes";
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
    const std::string fault = impl::DescribeFault(
        history, call, found == ends.end() ? nullptr : found->second);
    if (!fault.empty()) {
      verdict.violations.push_back(
          fmt::format("call {} of request {} at {} {}", call.call.value,
                      call.request.value, call.entry.value, fault));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
