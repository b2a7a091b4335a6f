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

// State of an exponential back-off with full jitter.
struct Backoff {
  Duration initial_delay = std::chrono::milliseconds(50);
  Duration max_delay = std::chrono::seconds(2);
  Duration current_bound{};
  std::minstd_rand random;
};

inline void Reset(Backoff& backoff) noexcept {
  backoff.current_bound = Duration::zero();
}

// Doubles the upper bound of the delay, within the limits, and returns a random
// delay up to that bound.
[[nodiscard]] inline Duration NextDelay(Backoff& backoff) {
  backoff.current_bound = std::clamp(2 * backoff.current_bound,
                                     backoff.initial_delay, backoff.max_delay);
  std::uniform_int_distribution<Duration::rep> jitter(
      1, backoff.current_bound.count());
  return Duration(jitter(backoff.random));
}

// Waits for `delay` or until a stop is requested. Returns false when a stop was
// requested.
inline bool WaitUnlessStopped(const std::stop_token& stop, Duration delay) {
  std::mutex mutex;
  std::condition_variable_any never_notified;
  std::unique_lock lock(mutex);
  never_notified.wait_for(lock, stop, delay, [] { return false; });
  return !stop.stop_requested();
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_BACKOFF_H_
