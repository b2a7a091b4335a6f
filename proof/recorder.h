#ifndef PROOF_RECORDER_H_
#define PROOF_RECORDER_H_

#include <chrono>
#include <mutex>
#include <string_view>
#include <utility>

#include "proof/history.h"

namespace chicorystep::proof {

// Collects the events of one run. All access goes through the functions below,
// which lock the mutex.
struct Recorder {
  std::mutex mutex;
  History history;
  std::uint64_t calls = 0;
};

// Converts a steady-clock time to the clock of the history.
[[nodiscard]] inline TimePoint ToTimePoint(
    std::chrono::steady_clock::time_point time) {
  return TimePoint(
      std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

// Returns the current time of the clock of the history.
[[nodiscard]] inline TimePoint TimeNow() {
  return ToTimePoint(std::chrono::steady_clock::now());
}

// Calls `add` with the history while the mutex is held.
template <typename Add>
void Record(Recorder& recorder, Add add) {
  const std::scoped_lock lock(recorder.mutex);
  add(recorder.history);
}

// Returns a copy of the history recorded so far.
[[nodiscard]] inline History Snapshot(Recorder& recorder) {
  const std::scoped_lock lock(recorder.mutex);
  return recorder.history;
}

// Returns an unused call id.
[[nodiscard]] inline CallId NextCall(Recorder& recorder) {
  const std::scoped_lock lock(recorder.mutex);
  return CallId(++recorder.calls);
}

// Returns the hash of `text`.
[[nodiscard]] Digest ComputeDigest(std::string_view text);

}  // namespace chicorystep::proof

#endif  // PROOF_RECORDER_H_
