#ifndef CHICORYSTEP_CLIENTS_BYTE_BUDGET_H_
#define CHICORYSTEP_CLIENTS_BYTE_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "chicorystep/core/units.h"

namespace chicorystep {

// A token bucket over the bytes read from the log, which may cross a link that
// is paid by volume.
struct ByteBudget {
  // Bytes a second; zero for no limit.
  Bytes rate;
  // What may be read at once beyond the rate.
  Bytes burst;
  // What was read beyond the rate so far, as of `charged`.
  Bytes debt;
  TimePoint charged{};
};

// Charges what was read at `now`; how long to wait before the next read.
[[nodiscard]] inline Duration Charge(ByteBudget& budget,
                                     Bytes read,
                                     TimePoint now) noexcept {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  if (budget.rate <= Bytes{0}) {
    return Duration::zero();
  }
  const double elapsed = static_cast<double>((now - budget.charged).count()) /
                         kMicrosecondsPerSecond;
  const Bytes paid{static_cast<std::int64_t>(
      elapsed * static_cast<double>(budget.rate.value))};
  budget.debt = std::max(Bytes{0}, budget.debt - paid) + read;
  budget.charged = now;
  const Bytes beyond = budget.debt - budget.burst;
  return beyond <= Bytes{0} ? Duration::zero()
                            : Duration(beyond.value * kMicrosecondsPerSecond /
                                       budget.rate.value);
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_BYTE_BUDGET_H_
