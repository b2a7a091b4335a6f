#ifndef CHICORYSTEP_SYSTEMS_ROUTING_H_
#define CHICORYSTEP_SYSTEMS_ROUTING_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Ends requests whose attempt gave the answer; puts those that may be retried
// back among the waiting.
void EndAttempts(World& world,
                 const Inbox& inbox,
                 TimePoint now,
                 Outbox& outbox);

// Refuses waiting requests whose deadline has passed.
void ExpireRequests(World& world, TimePoint now, Outbox& outbox);

// Sends waiting requests to executors with a free slot, urgent ones first.
void RouteRequests(World& world, TimePoint now, Outbox& outbox);

// When the first waiting request expires or may be sent again.
[[nodiscard]] TimePoint NextRequestDue(const World& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_ROUTING_H_
