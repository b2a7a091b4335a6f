#ifndef CHICORYSTEP_CLIENTS_BACKOFF_H_
#define CHICORYSTEP_CLIENTS_BACKOFF_H_

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <random>
#include <stop_token>

#include "chicorystep/core/units.h"

namespace chicorystep {

// Exponential backoff with full jitter.
struct Backoff {
  Duration first = std::chrono::milliseconds(50);
  Duration longest = std::chrono::seconds(2);
  Duration current{};
  std::minstd_rand random;
};

inline void Reset(Backoff& backoff) noexcept {
  backoff.current = Duration::zero();
}

// How long to wait before the next attempt.
[[nodiscard]] inline Duration NextDelay(Backoff& backoff) {
  backoff.current =
      std::clamp(2 * backoff.current, backoff.first, backoff.longest);
  std::uniform_int_distribution<Duration::rep> jitter(1,
                                                      backoff.current.count());
  return Duration(jitter(backoff.random));
}

// Waits, but not beyond a request to stop; false when there was one.
inline bool WaitUnlessStopped(const std::stop_token& stop, Duration delay) {
  std::mutex mutex;
  std::condition_variable_any never;
  std::unique_lock lock(mutex);
  never.wait_for(lock, stop, delay, [] { return false; });
  return !stop.stop_requested();
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_BACKOFF_H_
