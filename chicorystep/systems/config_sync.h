#ifndef CHICORYSTEP_SYSTEMS_CONFIG_SYNC_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_SYNC_H_

#include <vector>

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Keeps the tables as new as the log and the peers allow: applies what came in,
// reads the log when this process is its region's reader, fetches from peers
// otherwise, and decides whether the tables may be acted on.
void SyncConfig(World& world,
                const Inbox& inbox,
                TimePoint now,
                Outbox& outbox);

// What this process can tell a peer about the configuration from `from` on.
[[nodiscard]] ConfigAnswer AnswerConfigFetch(const World& world, Offset from);

// This process and the members alive in its region, in the order of the relay
// tree: the first reads the log, and each tells the next few behind it.
[[nodiscard]] std::vector<EntryId> RelayOrder(const World& world,
                                              TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_SYNC_H_
