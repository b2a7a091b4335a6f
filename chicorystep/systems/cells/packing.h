#ifndef CHICORYSTEP_SYSTEMS_CELLS_PACKING_H_
#define CHICORYSTEP_SYSTEMS_CELLS_PACKING_H_

#include <string>

#include "chicorystep/systems/cells/placement.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Maintains the packing of all guaranteed shapes in the cells that this process
// holds, and replans when the tables or the workers have changed. The
// reservations on a worker never exceed its capacity, so a workspace can
// reclaim its shapes by stopping only borrowers. Gangs that no longer fit into
// the reservations of their pool become borrowers.
void PlanGuarantees(World& world, TimePoint now);

// Returns why the slot's zone cannot hold it beside the other guaranteed
// shapes.
[[nodiscard]] std::string ExplainUnmet(const Cell& cell,
                                       const GuaranteeSlot& slot);

// The capacity of the worker that is reserved for all pools, and the part of it
// that is in use.
[[nodiscard]] Capacity ReservedCapacity(const Worker& worker) noexcept;
[[nodiscard]] Capacity UsedReservedCapacity(const Worker& worker) noexcept;

// Moves a shape of `pool` that no gang uses to workers with free capacity, so
// that a gang of `shape` can start there without stopping borrowers. `usable`
// states for each worker row whether gangs may be placed there. Returns the
// workers' rows, or nothing when no such move is possible.
[[nodiscard]] std::optional<std::vector<std::size_t>> MoveSlotToFreeCapacity(
    Cell& cell,
    const PoolKey& pool,
    const Shape& shape,
    const std::vector<bool>& usable);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_PACKING_H_
