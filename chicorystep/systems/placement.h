#ifndef CHICORYSTEP_SYSTEMS_PLACEMENT_H_
#define CHICORYSTEP_SYSTEMS_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// What each worker offers a gang, by its position in the cell's table.
struct Offers {
  std::vector<Capacity> room;
  // The accelerators of others that must be stopped before a gang can run on
  // the worker; empty when there are none.
  std::vector<std::int64_t> cost;
};

// The positions of one worker for each piece of `shape`, or nothing when the
// offers do not hold all pieces. Prefers the least cost, then the rack and the
// workers that are left with the least room (best fit).
[[nodiscard]] std::optional<std::vector<std::size_t>>
ChooseWorkers(const Cell& cell, const Shape& shape, const Offers& offers);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_PLACEMENT_H_
