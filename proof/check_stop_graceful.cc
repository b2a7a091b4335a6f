// Checks that the process exits by itself after a planned stop, and that every
// call that was open at the entry or arrived before the exit has a definite
// outcome: an answer or a refusal as not run.

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "proof/check.h"

namespace chicorystep::proof {
namespace impl {

const EntryEnded* FindEnd(const History& history, const EntryStopping& stop) {
  const auto found = std::find_if(
      history.ended.begin(), history.ended.end(), [&](const EntryEnded& row) {
        return row.entry == stop.entry && row.at >= stop.at;
      });
  return found == history.ended.end() ? nullptr : &*found;
}

bool IsCutOff(const CallEnded* ended) {
  return ended == nullptr || ended->outcome == CallOutcome::kNoAnswer ||
         ended->outcome == CallOutcome::kUnknown;
}

}  // namespace impl

Verdict CheckStopGraceful(const History& history, const Bounds& /*bounds*/) {
  Verdict verdict;
  std::map<CallId, const CallEnded*> ends;
  for (const CallEnded& ended : history.calls_ended) {
    ends.emplace(ended.call, &ended);
  }
  for (const EntryStopping& stop : history.stopping) {
    ++verdict.examined;
    const EntryEnded* end = impl::FindEnd(history, stop);
    if (end == nullptr || !end->clean) {
      verdict.violations.push_back(fmt::format(
          "{} did not exit cleanly after the planned stop", stop.entry.value));
    }
    for (const CallBegun& call : history.calls_begun) {
      const auto found = ends.find(call.call);
      const CallEnded* ended = found == ends.end() ? nullptr : found->second;
      const bool overlaps = call.entry == stop.entry &&
                            (end == nullptr || call.at <= end->at) &&
                            (ended == nullptr || ended->at >= stop.at);
      if (overlaps && impl::IsCutOff(ended)) {
        verdict.violations.push_back(
            fmt::format("the stop of {} cut off call {} of request {}",
                        stop.entry.value, call.call.value, call.request.value));
      }
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
