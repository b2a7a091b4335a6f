#ifndef CHICORYSTEP_TABLES_CAPACITY_H_
#define CHICORYSTEP_TABLES_CAPACITY_H_

#include <algorithm>

#include "chicorystep/core/units.h"

namespace chicorystep {

// An amount of each resource that a piece or a task takes from a worker.
struct Capacity {
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;

  friend auto operator<=>(const Capacity&, const Capacity&) = default;
};

[[nodiscard]] constexpr Capacity operator+(Capacity a,
                                           const Capacity& b) noexcept {
  a.accelerators += b.accelerators;
  a.processors += b.processors;
  a.memory += b.memory;
  return a;
}

[[nodiscard]] constexpr Capacity operator-(Capacity a,
                                           const Capacity& b) noexcept {
  a.accelerators -= b.accelerators;
  a.processors -= b.processors;
  a.memory -= b.memory;
  return a;
}

// Returns the smaller amount of each resource.
[[nodiscard]] constexpr Capacity Min(const Capacity& a,
                                     const Capacity& b) noexcept {
  return Capacity{std::min(a.accelerators, b.accelerators),
                  std::min(a.processors, b.processors),
                  std::min(a.memory, b.memory)};
}

// Replaces negative amounts by zero.
[[nodiscard]] constexpr Capacity ClampToZero(const Capacity& value) noexcept {
  return Capacity{std::max(value.accelerators, Accelerators{0}),
                  std::max(value.processors, Millicores{0}),
                  std::max(value.memory, Mebibytes{0})};
}

// Whether `available` is enough for `need` in every resource.
[[nodiscard]] constexpr bool Holds(const Capacity& available,
                                   const Capacity& need) noexcept {
  return need.accelerators <= available.accelerators &&
         need.processors <= available.processors &&
         need.memory <= available.memory;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CAPACITY_H_
