#ifndef CHICORYSTEP_CORE_UNITS_H_
#define CHICORYSTEP_CORE_UNITS_H_

#include <chrono>
#include <cstdint>

#include "chicorystep/core/strong.h"

namespace chicorystep {

using Accelerators = Quantity<struct AcceleratorsTag, std::int64_t>;
// Thousandths of a processor core.
using Millicores = Quantity<struct MillicoresTag, std::int64_t>;
using Mebibytes = Quantity<struct MebibytesTag, std::int64_t>;
using Bytes = Quantity<struct BytesTag, std::int64_t>;
// Milliseconds of work of one processor core.
using CoreMillis = Quantity<struct CoreMillisTag, std::int64_t>;
// The number of requests that an executor runs concurrently.
using Slots = Quantity<struct SlotsTag, std::int64_t>;
using Connections = Quantity<struct ConnectionsTag, std::int64_t>;
// Relative share of capacity beyond the guarantees.
using Weight = Quantity<struct WeightTag, std::int64_t>;

// Microseconds, so that the run times of fast requests stay distinguishable.
using Duration = std::chrono::microseconds;
// A monotonic clock that counts from the start of the process. Systems receive
// the current time as an argument and never read a clock.
struct ProcessClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<ProcessClock>;
  static constexpr bool is_steady = true;
};
using TimePoint = ProcessClock::time_point;

// Converts to whole milliseconds, rounding towards zero.
[[nodiscard]] constexpr std::int64_t WholeMillis(Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// A due time that is never reached.
inline constexpr TimePoint kNever = TimePoint::max();
// A time before any event that a process can have seen. Unlike
// TimePoint::min(), it can be used in subtractions without overflow.
inline constexpr TimePoint kDistantPast{-std::chrono::hours(24 * 365)};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_UNITS_H_
