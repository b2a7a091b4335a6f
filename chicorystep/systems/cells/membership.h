#ifndef CHICORYSTEP_SYSTEMS_CELLS_MEMBERSHIP_H_
#define CHICORYSTEP_SYSTEMS_CELLS_MEMBERSHIP_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Updates the tables of members and executors from the newest reading of the
// platform's instance list.
void ApplyInstanceLists(World& world, const Inbox& inbox);

// Applies received heartbeats and sends this process's own when they are due.
void ExchangeHeartbeats(World& world,
                        const Inbox& inbox,
                        TimePoint now,
                        Outbox& outbox);

// Returns this process's heartbeat with an empty `seen`.
[[nodiscard]] Heartbeat MakeHeartbeat(const World& world);

// Whether `member` was seen within the member time-out and is not stopping.
[[nodiscard]] bool IsAlive(const Member& member,
                           const Self& self,
                           TimePoint now) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_MEMBERSHIP_H_
