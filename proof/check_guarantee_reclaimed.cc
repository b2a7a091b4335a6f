// A guaranteed gang runs whole within the bound after its acceptance, or after
// the last disturbance that fell into that time.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "proof/check.h"

namespace chicorystep::proof {
namespace impl {

// When the last piece of a complete try of `job` started; kNever when none did.
TimePoint WholeSince(const History& history, const JobAccepted& job) {
  std::map<Try, std::set<PieceIndex>> started;
  TimePoint whole = kNever;
  for (const PieceStarted& event : history.pieces_started) {
    if (event.job != job.job) {
      continue;
    }
    std::set<PieceIndex>& pieces = started[event.tries];
    pieces.insert(event.piece);
    if (std::cmp_equal(pieces.size(), job.pieces)) {
      whole = std::min(whole, event.at);
    }
  }
  return whole;
}

}  // namespace impl

Verdict CheckGuaranteeReclaimed(const History& history, const Bounds& bounds) {
  Verdict verdict;
  const TimePoint end = EndOf(history);
  for (const JobAccepted& job : history.jobs) {
    if (!job.guaranteed) {
      continue;
    }
    const TimePoint due =
        DisturbedUntil(history, EntryId{}, job.at, bounds.reclaim) +
        bounds.reclaim;
    const TimePoint whole = impl::WholeSince(history, job);
    if (whole == kNever && end < due) {
      continue;
    }
    ++verdict.examined;
    if (whole > due) {
      verdict.violations.push_back(
          fmt::format("guaranteed job {} did not run whole within {} ms",
                      job.job.value, Milliseconds(due - job.at)));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
