#include "chicorystep/systems/requests/executor_health.h"

#include <algorithm>
#include <functional>

#include "chicorystep/core/logging.h"

namespace chicorystep {
namespace impl {

inline constexpr std::int64_t kFailuresToEject = 3;
inline constexpr Duration kFirstEjection = std::chrono::seconds(1);
inline constexpr std::int64_t kMaxEjectionDoublings = 5;
// Ejection times are spread over this many steps by a hash of the executor id,
// up to half an ejection time, so that executors do not return all at once.
inline constexpr std::size_t kJitterSteps = 256;
// Bounds of the pause after the first refusal.
inline constexpr Duration kMinBasePause = std::chrono::milliseconds(1);
inline constexpr Duration kMaxBasePause = std::chrono::milliseconds(100);
// Each further refusal without an answer in between doubles the pause, up to
// this many times and up to `kMaxPause`.
inline constexpr std::int64_t kMaxPauseDoublings = 10;
inline constexpr Duration kMaxPause = std::chrono::seconds(1);
// The limit grows by one after this many answers for each unit of the limit.
inline constexpr std::int64_t kAnswersToGrow = 4;
// The newest run time has a weight of one in this many in the moving average.
inline constexpr std::int64_t kSmoothingDivisor = 8;
inline constexpr Duration kRatePeriod = std::chrono::milliseconds(250);

void Eject(Executor& executor, TimePoint now) {
  const auto doublings = std::min(executor.ejections, kMaxEjectionDoublings);
  const Duration time = kFirstEjection * (std::int64_t{1} << doublings);
  const auto step = static_cast<std::int64_t>(
      std::hash<ExecutorId>{}(executor.listed.id) % kJitterSteps);
  executor.ejected_until =
      now + time + time * step / (2 * static_cast<std::int64_t>(kJitterSteps));
  ++executor.ejections;
  // A single failure after the ejection ejects the executor again.
  executor.failures = kFailuresToEject - 1;
  Log(LogLevel::kWarn, "executor_ejected",
      {{"executor", executor.listed.id.value},
       {"ejections", executor.ejections}});
}

void ShrinkLimit(Executor& executor, Duration run_time, TimePoint now) {
  executor.limit = std::max(Slots{1}, executor.in_flight);
  executor.slow_start_ended = true;
  executor.answers_at_limit = 0;
  const Duration pause = std::clamp(
      run_time / std::max<std::int64_t>(1, executor.listed.slots.value),
      kMinBasePause, kMaxBasePause);
  const auto doublings = std::min(executor.refusals, kMaxPauseDoublings);
  executor.paused_until =
      now + std::min(kMaxPause, pause * (std::int64_t{1} << doublings));
  ++executor.refusals;
}

void GrowLimit(Executor& executor) {
  // The attempt that ended is no longer counted in `in_flight`.
  if (executor.in_flight + Slots{1} < executor.limit) {
    return;
  }
  ++executor.answers_at_limit;
  const std::int64_t needed =
      executor.slow_start_ended ? kAnswersToGrow * executor.limit.value : 1;
  if (executor.answers_at_limit >= needed &&
      executor.limit < executor.listed.slots) {
    executor.limit += Slots{1};
    executor.answers_at_limit = 0;
  }
}

}  // namespace impl

void UpdateExecutorHealth(Executor& executor,
                          const AttemptEnded& ended,
                          Duration run_time,
                          TimePoint now) {
  executor.reported_busy = ended.reported_busy.value_or(executor.reported_busy);
  switch (ended.result) {
    case AttemptResult::kAnswered:
      executor.failures = 0;
      executor.ejections = 0;
      executor.refusals = 0;
      impl::GrowLimit(executor);
      return;
    case AttemptResult::kRefused:
      impl::ShrinkLimit(executor, run_time, now);
      return;
    case AttemptResult::kNotSent:
    case AttemptResult::kLost:
    case AttemptResult::kCutShort:
    case AttemptResult::kMismatched:
      break;
  }
  ++executor.failures;
  if (executor.failures >= impl::kFailuresToEject &&
      executor.ejected_until <= now) {
    impl::Eject(executor, now);
  }
}

void RecordRunTime(ServiceTraffic& service,
                   const Kind& kind,
                   Duration run_time,
                   TimePoint now) {
  RunTime& estimate = service.run_times[kind];
  estimate.mean = estimate.samples == 0
                      ? run_time
                      : estimate.mean + (run_time - estimate.mean) /
                                            impl::kSmoothingDivisor;
  ++estimate.samples;
  estimate.last_sampled = now;
  ++service.answers_in_period;
}

void UpdateAnswerRate(ServiceTraffic& service, TimePoint now) {
  const Duration elapsed = now - service.period_start;
  if (elapsed < impl::kRatePeriod) {
    return;
  }
  service.answers_per_second = static_cast<double>(service.answers_in_period) /
                               std::chrono::duration<double>(elapsed).count();
  service.answers_in_period = 0;
  service.period_start = now;
}

}  // namespace chicorystep
