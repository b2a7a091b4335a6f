#ifndef CHICORYSTEP_TABLES_CAPACITY_H_
#define CHICORYSTEP_TABLES_CAPACITY_H_

#include <algorithm>

#include "chicorystep/core/units.h"

namespace chicorystep {

// An amount of everything that a piece or a task takes from a worker.
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

// The smaller of each unit.
[[nodiscard]] constexpr Capacity Min(const Capacity& a,
                                     const Capacity& b) noexcept {
  return Capacity{std::min(a.accelerators, b.accelerators),
                  std::min(a.processors, b.processors),
                  std::min(a.memory, b.memory)};
}

// Each unit no less than zero.
[[nodiscard]] constexpr Capacity NoLessThanZero(
    const Capacity& value) noexcept {
  return Capacity{std::max(value.accelerators, Accelerators{0}),
                  std::max(value.processors, Millicores{0}),
                  std::max(value.memory, Mebibytes{0})};
}

// Whether `room` holds `need` in every unit.
[[nodiscard]] constexpr bool Holds(const Capacity& room,
                                   const Capacity& need) noexcept {
  return need.accelerators <= room.accelerators &&
         need.processors <= room.processors && need.memory <= room.memory;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CAPACITY_H_
