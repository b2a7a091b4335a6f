#ifndef CHICORYSTEP_SYSTEMS_MEMBERSHIP_H_
#define CHICORYSTEP_SYSTEMS_MEMBERSHIP_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Takes the newest reading of the platform's list into the tables of members
// and executors.
void ApplyInstanceLists(World& world, const Inbox& inbox);

// Takes heartbeats in, and sends this process's own when they are due.
void ExchangeHeartbeats(World& world,
                        const Inbox& inbox,
                        TimePoint now,
                        Outbox& outbox);

// This process's heartbeat as of now, without a digest of others.
[[nodiscard]] Heartbeat OwnHeartbeat(const World& world);

// Whether heartbeats show `member` alive and staying.
[[nodiscard]] bool IsAlive(const Member& member,
                           const Self& self,
                           TimePoint now) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_MEMBERSHIP_H_
