// Checks that all pieces of a guaranteed gang run within the bound after its
// acceptance, or after the end of the last disturbance in that period.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "proof/check.h"

namespace chicorystep::proof {
namespace impl {

// Returns when the first attempt of `job` had started all its pieces, or kNever
// if none did.
TimePoint FindFullStart(const History& history, const JobAccepted& job) {
  std::map<AttemptNumber, std::set<PieceIndex>> started;
  TimePoint first = kNever;
  for (const PieceStarted& event : history.pieces_started) {
    if (event.job != job.job) {
      continue;
    }
    std::set<PieceIndex>& pieces = started[event.attempt];
    pieces.insert(event.piece);
    if (std::cmp_equal(pieces.size(), job.pieces)) {
      first = std::min(first, event.at);
    }
  }
  return first;
}

}  // namespace impl

Verdict CheckGuaranteeReclaimed(const History& history, const Bounds& bounds) {
  Verdict verdict;
  const TimePoint end = LastEventTime(history);
  for (const JobAccepted& job : history.jobs) {
    if (!job.guaranteed) {
      continue;
    }
    const TimePoint due =
        FindDisturbanceEnd(history, EntryId{}, job.at, bounds.reclaim) +
        bounds.reclaim;
    const TimePoint full_start = impl::FindFullStart(history, job);
    if (full_start == kNever && end < due) {
      continue;
    }
    ++verdict.examined;
    if (full_start > due) {
      verdict.violations.push_back(fmt::format(
          "guaranteed job {} did not run all its pieces within {} ms",
          job.job.value, Milliseconds(due - job.at)));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
