#ifndef CHICORYSTEP_SYSTEMS_ADMISSION_H_
#define CHICORYSTEP_SYSTEMS_ADMISSION_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Takes new requests in, or refuses them as not run: at once when the deadline
// cannot be met, and from the lowest class up when the queues are full.
void AdmitRequests(World& world,
                   const Inbox& inbox,
                   TimePoint now,
                   Outbox& outbox);

// How long a new request of `priority` from `workspace` is expected to wait
// for a slot; zero when nothing is known.
[[nodiscard]] Duration ExpectedWait(const ServiceTraffic& service,
                                    Priority priority,
                                    const Workspace& workspace);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_ADMISSION_H_
