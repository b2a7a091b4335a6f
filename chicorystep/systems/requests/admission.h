#ifndef CHICORYSTEP_SYSTEMS_REQUESTS_ADMISSION_H_
#define CHICORYSTEP_SYSTEMS_REQUESTS_ADMISSION_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Admits new requests or refuses them as not run. A request whose deadline
// cannot be met is refused at once. When the queues are full, requests of the
// lowest priority class are shed first.
void AdmitRequests(World& world,
                   const Inbox& inbox,
                   TimePoint now,
                   Outbox& outbox);

// Estimates how long a new request of `priority` from `workspace` waits for a
// slot; zero while the service's answer rate is unknown.
[[nodiscard]] Duration ExpectedWait(const ServiceTraffic& service,
                                    Priority priority,
                                    const Workspace& workspace);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUESTS_ADMISSION_H_
