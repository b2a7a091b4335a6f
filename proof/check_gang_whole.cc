// Checks that no attempt of a gang runs partially for longer than the bound.
// An attempt runs partially while some pieces run and others neither run nor
// are done.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "proof/check.h"

namespace chicorystep::proof {
namespace impl {

enum class PieceChange : std::uint8_t { kStarted, kStopped, kDone };

struct TimedChange {
  TimePoint at;
  PieceIndex piece;
  PieceChange change = PieceChange::kStarted;
};

using AttemptKey = std::pair<JobId, AttemptNumber>;

// Returns the changes of each attempt in order of time.
std::map<AttemptKey, std::vector<TimedChange>> ChangesByAttempt(
    const History& history) {
  std::map<AttemptKey, std::vector<TimedChange>> changes;
  for (const PieceStarted& event : history.pieces_started) {
    changes[{event.job, event.attempt}].push_back(
        TimedChange{event.at, event.piece, PieceChange::kStarted});
  }
  for (const PieceStopped& event : history.pieces_stopped) {
    changes[{event.job, event.attempt}].push_back(
        TimedChange{event.at, event.piece,
                    event.done ? PieceChange::kDone : PieceChange::kStopped});
  }
  for (auto& [key, row] : changes) {
    std::stable_sort(row.begin(), row.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
  }
  return changes;
}

// Returns the longest period during which the attempt ran partially.
Duration LongestPartialRun(const std::vector<TimedChange>& changes,
                           std::int64_t pieces,
                           TimePoint end) {
  std::set<PieceIndex> running;
  std::set<PieceIndex> done;
  Duration longest{};
  TimePoint since = kNever;
  for (const TimedChange& change : changes) {
    running.erase(change.piece);
    if (change.change == PieceChange::kStarted) {
      running.insert(change.piece);
    } else if (change.change == PieceChange::kDone) {
      done.insert(change.piece);
    }
    const bool partial =
        !running.empty() && std::cmp_less(running.size() + done.size(), pieces);
    if (!partial && since != kNever) {
      longest = std::max(longest, change.at - since);
    }
    since = partial ? std::min(since, change.at) : kNever;
  }
  return since == kNever ? longest : std::max(longest, end - since);
}

}  // namespace impl

Verdict CheckGangWhole(const History& history, const Bounds& bounds) {
  Verdict verdict;
  std::map<JobId, std::int64_t> pieces;
  for (const JobAccepted& job : history.jobs) {
    pieces[job.job] = job.pieces;
  }
  const TimePoint end = LastEventTime(history);
  for (const auto& [key, changes] : impl::ChangesByAttempt(history)) {
    const auto expected = pieces.find(key.first);
    if (expected == pieces.end() || expected->second < 2) {
      continue;
    }
    ++verdict.examined;
    const Duration longest =
        impl::LongestPartialRun(changes, expected->second, end);
    if (longest > bounds.partial_gang) {
      verdict.violations.push_back(fmt::format(
          "attempt {} of job {} ran partially for {} ms", key.second.value,
          key.first.value, Milliseconds(longest)));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
