#ifndef CHICORYSTEP_SYSTEMS_CELLS_PLACEMENT_H_
#define CHICORYSTEP_SYSTEMS_CELLS_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// What each worker offers a gang, indexed by the worker's row in the cell's
// table.
struct Offers {
  std::vector<Capacity> capacity;
  // The cost of stopping other work on the worker before the gang can run
  // there: the accelerators taken from that work, plus one for each preempted
  // piece. Empty when nothing has to be stopped.
  std::vector<std::int64_t> cost;
};

// Chooses a worker for each piece of `shape` and returns their rows, or nothing
// when the offers do not hold all pieces. Prefers the least cost, then the rack
// and the workers that are left with the least free capacity (best fit).
[[nodiscard]] std::optional<std::vector<std::size_t>>
ChooseWorkers(const Cell& cell, const Shape& shape, const Offers& offers);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_PLACEMENT_H_
