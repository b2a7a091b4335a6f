#ifndef CHICORYSTEP_CLIENTS_BYTE_BUDGET_H_
#define CHICORYSTEP_CLIENTS_BYTE_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "chicorystep/core/units.h"

namespace chicorystep {

// A token bucket that limits the bytes read from the log, because the link to
// the log service may be billed by volume.
struct ByteBudget {
  // Bytes per second; zero means no limit.
  Bytes rate;
  // Bytes that may be read at once in excess of the rate.
  Bytes burst;
  // Bytes read in excess of the rate, as of `charged_at`.
  Bytes debt;
  TimePoint charged_at{};
};

// Charges `read` bytes to the budget at time `now` and returns how long to wait
// before the next read.
[[nodiscard]] inline Duration Charge(ByteBudget& budget,
                                     Bytes read,
                                     TimePoint now) noexcept {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  if (budget.rate <= Bytes{0}) {
    return Duration::zero();
  }
  const double elapsed =
      static_cast<double>((now - budget.charged_at).count()) /
      kMicrosecondsPerSecond;
  const Bytes repaid{static_cast<std::int64_t>(
      elapsed * static_cast<double>(budget.rate.value))};
  budget.debt = std::max(Bytes{0}, budget.debt - repaid) + read;
  budget.charged_at = now;
  const Bytes excess = budget.debt - budget.burst;
  return excess <= Bytes{0} ? Duration::zero()
                            : Duration(excess.value * kMicrosecondsPerSecond /
                                       budget.rate.value);
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_BYTE_BUDGET_H_
