#ifndef CHICORYSTEP_SYSTEMS_PLACEMENT_H_
#define CHICORYSTEP_SYSTEMS_PLACEMENT_H_

#include <optional>
#include <vector>

#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// One worker for each piece of `shape`, by best fit on racks and workers, or
// nothing when the free capacity of `cell` does not hold all pieces.
[[nodiscard]] std::optional<std::vector<WorkerId>> ChooseWorkers(
    const Cell& cell,
    const Shape& shape);

// Takes from and returns to a worker what one piece of `shape` occupies.
void Occupy(Worker& worker, const Shape& shape) noexcept;
void Vacate(Worker& worker, const Shape& shape) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_PLACEMENT_H_
