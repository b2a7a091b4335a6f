#ifndef CHICORYSTEP_SYSTEMS_CELLS_JOB_CHECK_H_
#define CHICORYSTEP_SYSTEMS_CELLS_JOB_CHECK_H_

#include <optional>

#include "chicorystep/core/outcome.h"
#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// The largest job limits that the settings accept.
inline constexpr std::int64_t kMaxPiecesSetting = 100'000;
inline constexpr Bytes kMaxCommandSetting{64 << 20};

// Validates `spec` regardless of the available capacity. Returns the refusal,
// or nothing when it is valid; then no sum over its pieces overflows.
[[nodiscard]] std::optional<Refusal> CheckJob(const JobSpec& spec,
                                              const JobLimits& limits);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_JOB_CHECK_H_
