#ifndef CHICORYSTEP_SYSTEMS_PACKING_H_
#define CHICORYSTEP_SYSTEMS_PACKING_H_

#include <string>

#include "chicorystep/systems/placement.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Keeps the packing of all guaranteed shapes of the cells held: plans again
// when the tables or the workers have changed. On each worker the shapes that
// are kept for the pools never exceed what the worker has, so a workspace can
// take its shapes by stopping borrowers alone. Gangs that no longer fit into
// their pool's shapes become borrowers.
void PlanGuarantees(World& world, TimePoint now);

// Why the slot's zone cannot hold it beside the other guaranteed shapes.
[[nodiscard]] std::string WhyUnmet(const Cell& cell, const GuaranteeSlot& slot);

// What is kept for any pool on the worker, and what of it is in use.
[[nodiscard]] Capacity ReservedOn(const Worker& worker) noexcept;
[[nodiscard]] Capacity ReservedUseOn(const Worker& worker) noexcept;

// Moves a shape of `pool` that no gang uses to workers with free room, so that
// a gang of `shape` can start there without stopping borrowers. Returns the
// workers' positions, or nothing when no such move is possible.
[[nodiscard]] std::optional<std::vector<std::size_t>> MoveSlotToFreeRoom(
    Cell& cell,
    const PoolKey& pool,
    const Shape& shape,
    const std::vector<bool>& usable);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_PACKING_H_
