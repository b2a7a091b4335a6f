// No try of a gang has some pieces running and others neither running nor done
// for longer than the bound.

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

using TryKey = std::pair<JobId, Try>;

// The changes of every try, each in the order of time.
std::map<TryKey, std::vector<TimedChange>> ChangesByTry(
    const History& history) {
  std::map<TryKey, std::vector<TimedChange>> changes;
  for (const PieceStarted& event : history.pieces_started) {
    changes[{event.job, event.tries}].push_back(
        TimedChange{event.at, event.piece, PieceChange::kStarted});
  }
  for (const PieceStopped& event : history.pieces_stopped) {
    changes[{event.job, event.tries}].push_back(
        TimedChange{event.at, event.piece,
                    event.done ? PieceChange::kDone : PieceChange::kStopped});
  }
  for (auto& [key, row] : changes) {
    std::stable_sort(row.begin(), row.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
  }
  return changes;
}

// The longest time in which the try ran in part.
Duration LongestPart(const std::vector<TimedChange>& changes,
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
  const TimePoint end = EndOf(history);
  for (const auto& [key, changes] : impl::ChangesByTry(history)) {
    const auto wanted = pieces.find(key.first);
    if (wanted == pieces.end() || wanted->second < 2) {
      continue;
    }
    ++verdict.examined;
    const Duration part = impl::LongestPart(changes, wanted->second, end);
    if (part > bounds.partial_gang) {
      verdict.violations.push_back(
          fmt::format("try {} of job {} ran in part for {} ms",
                      key.second.value, key.first.value, Milliseconds(part)));
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
