#include "chicorystep/systems/workflow_append_pace.h"

#include <algorithm>

namespace chicorystep {
namespace {

// A sound store near by answers in some milliseconds; this leaves time for a
// busy process.
constexpr Duration kShortestPatience = std::chrono::milliseconds(100);
// An answer that takes this many times as long as usual counts as lost. Over a
// link between regions that is half a second, in which it carries the largest
// append.
constexpr int kUsualTimes = 6;
// A single answer may be lost; more in a row are rather late.
constexpr std::uint32_t kSingleLosses = 1;
constexpr std::uint32_t kMostDoublings = 4;

}  // namespace

Duration PatienceOf(const AppendPace& pace) {
  const Duration first = std::max(kShortestPatience, pace.usual * kUsualTimes);
  const std::uint32_t doublings =
      pace.unanswered <= kSingleLosses
          ? 0
          : std::min(pace.unanswered - kSingleLosses, kMostDoublings);
  return std::min(kLongestAppend, first * (1 << doublings));
}

void NoteAppendEnded(AppendPace& pace,
                     const JournalAppended& ended,
                     TimePoint now) {
  if (ended.outcome == AppendOutcome::kUnknown) {
    ++pace.unanswered;
    return;
  }
  pace.unanswered = 0;
  if (ended.outcome == AppendOutcome::kWritten) {
    pace.usual = (pace.usual + (now - ended.began)) / 2;
  }
}

}  // namespace chicorystep
