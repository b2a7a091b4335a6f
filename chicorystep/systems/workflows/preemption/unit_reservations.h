#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_UNIT_RESERVATIONS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_UNIT_RESERVATIONS_H_

#include <map>
#include <optional>
#include <vector>

#include "chicorystep/systems/workflows/task_candidates.h"

namespace chicorystep {

// Reservations keep the room that was freed for an urgent unit from the units
// that are placed before it in later passes, which would make it preempt anew.
// Divisible units have none.

// Drops the reservations of units that no longer wait, or that have lasted too
// long, and takes the capacity of the others.
void ApplyReservations(TaskPlacementPass& pass,
                       const std::vector<PlacementUnit>& units);

// Removes the unit's reservation, if there is one, and returns its capacity to
// the pass.
[[nodiscard]] std::optional<UnitReservation> TakeReservation(
    TaskPlacementPass& pass,
    const PlacementUnit& unit);

// Restores a reservation if the unit may still run on its workers and the
// stops that are under way free enough there.
[[nodiscard]] bool ReserveAgain(TaskPlacementPass& pass,
                                const PlacementUnit& unit,
                                const UnitReservation& reservation);

// Records that the unit is to run on the candidates, whose capacity the pass
// has reserved.
void KeepReservation(TaskPlacementPass& pass,
                     const PlacementUnit& unit,
                     const std::vector<std::size_t>& candidates);

// Removes the reservations that are still applied, which are those of units
// after the current one, and returns their capacity to the pass.
[[nodiscard]] std::map<TaskKey, UnitReservation> GiveUpReservations(
    TaskPlacementPass& pass);

// Applies reservations again that were given up in vain.
void RestoreReservations(TaskPlacementPass& pass,
                         const std::map<TaskKey, UnitReservation>& given_up);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_UNIT_RESERVATIONS_H_
