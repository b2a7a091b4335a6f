#include "chicorystep/systems/cells/job_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace chicorystep {
namespace impl {

// Bounds for one piece: far above any worker, and low enough that no sum over
// all pieces overflows.
inline constexpr std::int64_t kMaxAccelerators = 1'000;
inline constexpr std::int64_t kMaxMillicores = 100'000'000;
inline constexpr std::int64_t kMaxMebibytes = 1'000'000'000;
inline constexpr Duration kMaxRunTime = std::chrono::hours(24 * 365);

struct Bound {
  std::string_view field;
  std::int64_t value;
  std::int64_t least;
  std::int64_t most;
};

Refusal MakeJobRefusal(Reason reason, std::string detail) {
  return Refusal{Execution::kNotRun, reason, std::move(detail), Duration{}};
}

}  // namespace impl

std::optional<Refusal> CheckJob(const JobSpec& spec, const JobLimits& limits) {
  const Shape& shape = spec.shape;
  const std::array bounds = {
      impl::Bound{"shape.pieces", shape.pieces, 1, limits.max_pieces},
      impl::Bound{"shape.accelerators", shape.accelerators.value, 0,
                  impl::kMaxAccelerators},
      impl::Bound{"shape.millicores", shape.processors.value, 0,
                  impl::kMaxMillicores},
      impl::Bound{"shape.memory_mib", shape.memory.value, 0,
                  impl::kMaxMebibytes},
      impl::Bound{"declared_run_time_us", spec.declared_run_time.count(), 0,
                  impl::kMaxRunTime.count()}};
  for (const auto& [field, value, least, most] : bounds) {
    if (value < least || value > most) {
      return impl::MakeJobRefusal(
          Reason::kBadRequest,
          fmt::format("{}: expected {} to {}", field, least, most));
    }
  }
  if (shape.accelerators.value + shape.processors.value + shape.memory.value ==
      0) {
    return impl::MakeJobRefusal(
        Reason::kBadRequest,
        "shape: expected accelerators, millicores or memory");
  }
  if (Bytes(std::ssize(spec.command)) > limits.max_command) {
    return impl::MakeJobRefusal(
        Reason::kTooLarge, fmt::format("command: expected at most {} bytes",
                                       limits.max_command.value));
  }
  if (spec.command.find('\0') != std::string::npos) {
    return impl::MakeJobRefusal(Reason::kBadRequest,
                                "command: expected no NUL");
  }
  return std::nullopt;
}

}  // namespace chicorystep
