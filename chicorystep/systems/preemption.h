#ifndef CHICORYSTEP_SYSTEMS_PREEMPTION_H_
#define CHICORYSTEP_SYSTEMS_PREEMPTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "chicorystep/systems/placement.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Why running work may be stopped for a gang that waits.
enum class Preemption : std::uint8_t {
  // The gang takes what its workspace is guaranteed: any borrower may go.
  kReclaim,
  // The gang goes before work of lower priority, and before work of the same
  // priority that has attained more service.
  kOrder,
  // Small gangs that can move make room for a large one.
  kDefragment,
};

// Whether `victim` may be stopped for `job`.
[[nodiscard]] bool MayStop(const Cell& cell,
                           const Job& job,
                           const Job& victim,
                           Preemption why,
                           TimePoint now);

// Adds to `offers` what stopping work would free on each worker, and its cost.
void OfferStoppable(const Cell& cell,
                    const Job& job,
                    Preemption why,
                    TimePoint now,
                    Offers& offers);

// Stops the cheapest work so that a piece of `job` fits on each of `rows`.
// Checkpoints are written first, within the grace; the pieces of `job` must be
// placed already.
void StopVictims(Cell& cell,
                 const Job& job,
                 Preemption why,
                 Duration grace,
                 TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_PREEMPTION_H_
