#ifndef CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_PUBLISH_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_PUBLISH_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Writes snapshots well before the records of the log expire, and the capacity
// of the zones when the instance list shows a change. Only one of the live
// processes does so; if two do, all readers still reach the same state.
void PublishConfigRecords(World& world,
                          const Inbox& inbox,
                          TimePoint now,
                          Outbox& outbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_PUBLISH_H_
