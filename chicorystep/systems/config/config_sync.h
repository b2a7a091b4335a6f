#ifndef CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_SYNC_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_SYNC_H_

#include <vector>

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Keeps the tables up to date: applies received records, reads the log when
// this process is the reader of its region, fetches from peers otherwise, and
// decides whether the tables are current enough to serve from.
void SyncConfig(World& world,
                const Inbox& inbox,
                TimePoint now,
                Outbox& outbox);

// Answers a peer's fetch of the configuration from `from` on.
[[nodiscard]] ConfigAnswer AnswerConfigFetch(const World& world, Offset from);

// Returns this process and the live members of its region in the order of the
// relay tree: the first reads the log, and each notifies its children, the next
// few in the order, of new records.
[[nodiscard]] std::vector<EntryId> ComputeRelayOrder(const World& world,
                                                     TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_SYNC_H_
