#ifndef CHICORYSTEP_CONTROL_TICK_H_
#define CHICORYSTEP_CONTROL_TICK_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Runs every system once, in a fixed order, on the messages in `inbox`. Reads
// no clock and does no I/O, so the same world, inbox and time give the same
// result.
[[nodiscard]] Outbox Tick(World& world, const Inbox& inbox, TimePoint now);

// Returns when the next tick is due if no message arrives before.
[[nodiscard]] TimePoint NextDue(const World& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_TICK_H_
