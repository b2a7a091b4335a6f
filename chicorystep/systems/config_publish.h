#ifndef CHICORYSTEP_SYSTEMS_CONFIG_PUBLISH_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_PUBLISH_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Writes snapshots well before the log's records expire, and what the zones
// hold when the instance list shows it changed. One of the processes alive does
// so; when two do, readers end up the same.
void PublishConfigRecords(World& world,
                          const Inbox& inbox,
                          TimePoint now,
                          Outbox& outbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_PUBLISH_H_
