#include "chicorystep/systems/workflow_append_pace.h"

#include <algorithm>

namespace chicorystep {
namespace {

// A sound store near by answers in some milliseconds; this leaves time for a
// busy process.
constexpr Duration kShortestDoubt = std::chrono::milliseconds(100);
// An answer counts as lost after this many times what answers take.
constexpr int kAnswerTimes = 4;
// Sendings of one append that may be under way.
constexpr std::uint32_t kMostSendings = 3;

Duration TimeToDoubt(const AppendPace& pace, const StoreAnswer& newest) {
  return std::max(kShortestDoubt,
                  kAnswerTimes * std::max(pace.usual, newest.took));
}

void Note(StoreAnswer& newest, TimePoint began, Duration took) {
  if (began > newest.began) {
    newest = StoreAnswer{.began = began, .took = took};
  }
}

}  // namespace

void NoteStoreAnswers(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      TimePoint now) {
  for (const StreamRead& read : inbox.reads) {
    if (read.ok) {
      // How long the store took is not known of a read that waits for a record.
      const bool waited = world.streams[read.stream].waited;
      Note(world.store_answer, read.began,
           waited ? Duration() : now - read.began);
    }
  }
  for (const JournalAppended& appended : inbox.appended) {
    if (appended.outcome != AppendOutcome::kUnknown) {
      Note(world.store_answer, appended.began, now - appended.began);
    }
  }
}

void NoteSent(AppendPace& pace, TimePoint now) {
  pace.sent = now;
  ++pace.sendings;
}

bool NoteSendingEnded(AppendPace& pace,
                      const JournalAppended& ended,
                      TimePoint now) {
  if (ended.outcome == AppendOutcome::kUnknown && pace.sendings > 1) {
    --pace.sendings;
    return false;
  }
  pace.sendings = 0;
  if (ended.outcome == AppendOutcome::kWritten) {
    pace.usual = (pace.usual + (now - ended.began)) / 2;
  }
  return true;
}

bool IsProbablyLost(const AppendPace& pace,
                    const StoreAnswer& newest,
                    TimePoint now) {
  return now >= DoubtDue(pace, newest);
}

TimePoint DoubtDue(const AppendPace& pace, const StoreAnswer& newest) {
  if (pace.sendings == 0 || pace.sendings >= kMostSendings ||
      newest.began < pace.sent) {
    return kNever;
  }
  return pace.sent + TimeToDoubt(pace, newest);
}

}  // namespace chicorystep
