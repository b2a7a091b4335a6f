#ifndef CHICORYSTEP_SYSTEMS_CELLS_STOPPING_H_
#define CHICORYSTEP_SYSTEMS_CELLS_STOPPING_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Starts a graceful shutdown: announces it to peers and the balancer at once
// and accepts requests until the balancer has had time to react.
void BeginStopping(World& world, const Inbox& inbox, TimePoint now);

// Whether new work is still accepted.
[[nodiscard]] bool IsAccepting(const World& world, TimePoint now) noexcept;

// Whether the process may exit: nothing is in progress, or the drain time has
// passed.
[[nodiscard]] bool IsDrained(const World& world, TimePoint now) noexcept;

// When the next time limit of a shutdown is reached; `kNever` when there is
// none.
[[nodiscard]] TimePoint NextStopDue(const World& world, TimePoint now) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_STOPPING_H_
