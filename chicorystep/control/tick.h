#ifndef CHICORYSTEP_CONTROL_TICK_H_
#define CHICORYSTEP_CONTROL_TICK_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Runs every system once, in one written order, over what came in. Reads no
// clock and does no I/O: the same world, inbox and time give the same outcome.
[[nodiscard]] Outbox Tick(World& world, const Inbox& inbox, TimePoint now);

// When the next tick is due if nothing comes in.
[[nodiscard]] TimePoint NextDue(const World& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_TICK_H_
