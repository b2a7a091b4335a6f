#ifndef CHICORYSTEP_SYSTEMS_STOPPING_H_
#define CHICORYSTEP_SYSTEMS_STOPPING_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Starts a graceful shutdown: peers and the balancer are told at once, and
// requests are accepted until the balancer has had time to notice.
void BeginStopping(World& world, const Inbox& inbox, TimePoint now);

// Whether new work is still accepted.
[[nodiscard]] bool IsAccepting(const World& world, TimePoint now) noexcept;

// Whether the process may end: nothing is under way, or the time is over.
[[nodiscard]] bool IsDrained(const World& world, TimePoint now) noexcept;

// When the state of a shutdown next changes by itself.
[[nodiscard]] TimePoint NextStopDue(const World& world, TimePoint now) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_STOPPING_H_
