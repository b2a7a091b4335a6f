#include "chicorystep/systems/workflows/workflow_append_latency.h"

#include <algorithm>

namespace chicorystep {
namespace {

// A healthy store nearby answers within a few milliseconds; the rest allows for
// delays in a busy process.
constexpr Duration kMinAnswerTimeout = std::chrono::milliseconds(100);
// An answer counts as lost after this many times the usual latency.
constexpr int kLatencyMultiple = 4;
// Maximum number of sends of one append in flight.
constexpr std::uint32_t kMaxUnansweredSends = 3;

Duration AnswerTimeout(const AppendLatency& latency,
                       const StoreAnswer& newest) {
  return std::max(kMinAnswerTimeout,
                  kLatencyMultiple * std::max(latency.average, newest.took));
}

void UpdateNewestAnswer(StoreAnswer& newest, TimePoint began, Duration took) {
  if (began > newest.began) {
    newest = StoreAnswer{.began = began, .took = took};
  }
}

}  // namespace

void RecordStoreAnswers(WorkflowWorld& world,
                        const WorkflowInbox& inbox,
                        TimePoint now) {
  for (const StreamRead& read : inbox.reads) {
    if (read.ok) {
      // The duration of a read that waits for a record does not show the
      // store's latency.
      const bool waited = world.streams[read.stream].waited;
      UpdateNewestAnswer(world.store_answer, read.began,
                         waited ? Duration() : now - read.began);
    }
  }
  for (const JournalAppended& appended : inbox.appended) {
    if (appended.outcome != AppendOutcome::kUnknown) {
      UpdateNewestAnswer(world.store_answer, appended.began,
                         now - appended.began);
    }
  }
}

void RecordSend(AppendLatency& latency, TimePoint now) {
  latency.last_sent = now;
  ++latency.unanswered_sends;
}

bool RecordSendOutcome(AppendLatency& latency,
                       const JournalAppended& ended,
                       TimePoint now) {
  if (ended.outcome == AppendOutcome::kUnknown &&
      latency.unanswered_sends > 1) {
    --latency.unanswered_sends;
    return false;
  }
  latency.unanswered_sends = 0;
  if (ended.outcome == AppendOutcome::kWritten) {
    latency.average = (latency.average + (now - ended.began)) / 2;
  }
  return true;
}

bool IsProbablyLost(const AppendLatency& latency,
                    const StoreAnswer& newest,
                    TimePoint now) {
  return now >= ResendDue(latency, newest);
}

TimePoint ResendDue(const AppendLatency& latency, const StoreAnswer& newest) {
  if (latency.unanswered_sends == 0 ||
      latency.unanswered_sends >= kMaxUnansweredSends ||
      newest.began < latency.last_sent) {
    return kNever;
  }
  return latency.last_sent + AnswerTimeout(latency, newest);
}

}  // namespace chicorystep
