#ifndef CHICORYSTEP_SYSTEMS_JOB_CHECK_H_
#define CHICORYSTEP_SYSTEMS_JOB_CHECK_H_

#include <optional>

#include "chicorystep/core/outcome.h"
#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// What the settings can allow at most.
inline constexpr std::int64_t kMostPieces = 100'000;
inline constexpr Bytes kMostCommand{64 << 20};

// Why `spec` is no sound description of a gang, whatever the capacity; empty
// when it is one. A sound one overflows no sum over its pieces.
[[nodiscard]] std::optional<Refusal> CheckJob(const JobSpec& spec,
                                              const JobLimits& limits);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_JOB_CHECK_H_
