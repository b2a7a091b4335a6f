#ifndef CHICORYSTEP_SYSTEMS_CELLS_PREEMPTION_H_
#define CHICORYSTEP_SYSTEMS_CELLS_PREEMPTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "chicorystep/systems/cells/placement.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// The purpose for which running work may be stopped for a waiting gang.
enum class Preemption : std::uint8_t {
  // The gang reclaims guaranteed capacity: any borrower may be stopped.
  kReclaim,
  // The gang takes precedence over work of lower priority, and over work of the
  // same priority that has attained more service.
  kPrecedence,
  // Small gangs that can be moved are stopped to free capacity for a large
  // one.
  kDefragment,
};

// Whether `victim` may be stopped for `job`.
[[nodiscard]] bool MayPreempt(const Cell& cell,
                              const Job& job,
                              const Job& victim,
                              Preemption purpose,
                              TimePoint now);

// Adds to `offers` the capacity that stopping work would free on each worker,
// and the cost of stopping it.
void AddPreemptibleCapacity(const Cell& cell,
                            const Job& job,
                            Preemption purpose,
                            TimePoint now,
                            Offers& offers);

// Stops the cheapest work so that the pieces of `job`, which must be placed
// already, fit on their workers. Victims that can write checkpoints do so
// first, within `grace`.
void StopVictims(Cell& cell,
                 const Job& job,
                 Preemption purpose,
                 Duration grace,
                 TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_PREEMPTION_H_
