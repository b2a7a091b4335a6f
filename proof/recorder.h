#ifndef PROOF_RECORDER_H_
#define PROOF_RECORDER_H_

#include <chrono>
#include <mutex>
#include <string_view>
#include <utility>

#include "proof/history.h"

namespace chicorystep::proof {

// Collects the events of one run from many threads.
struct Recorder {
  std::mutex mutex;
  History history;
  std::uint64_t calls = 0;
};

// The time of the recorder's clock at `time`.
[[nodiscard]] inline TimePoint TimeOf(
    std::chrono::steady_clock::time_point time) {
  return TimePoint(
      std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

// The time of the recorder's clock.
[[nodiscard]] inline TimePoint TimeNow() {
  return TimeOf(std::chrono::steady_clock::now());
}

// Lets `add` append to the history; safe from any thread.
template <typename Add>
void Record(Recorder& recorder, Add add) {
  const std::scoped_lock lock(recorder.mutex);
  add(recorder.history);
}

// A copy of what was recorded so far.
[[nodiscard]] inline History Snapshot(Recorder& recorder) {
  const std::scoped_lock lock(recorder.mutex);
  return recorder.history;
}

// A new number for a call.
[[nodiscard]] inline CallId NextCall(Recorder& recorder) {
  const std::scoped_lock lock(recorder.mutex);
  return CallId(++recorder.calls);
}

// The hash that stands for `text`.
[[nodiscard]] Digest DigestOf(std::string_view text);

}  // namespace chicorystep::proof

#endif  // PROOF_RECORDER_H_
