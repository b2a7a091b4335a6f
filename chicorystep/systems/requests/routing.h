#ifndef CHICORYSTEP_SYSTEMS_REQUESTS_ROUTING_H_
#define CHICORYSTEP_SYSTEMS_REQUESTS_ROUTING_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Processes the attempts that have ended: ends requests that were answered,
// returns those that may be retried to their queues, and refuses the rest.
void EndAttempts(World& world,
                 const Inbox& inbox,
                 TimePoint now,
                 Outbox& outbox);

// Refuses waiting requests whose deadline has passed.
void ExpireRequests(World& world, TimePoint now, Outbox& outbox);

// Sends waiting requests to executors with a free slot, the most urgent class
// first.
void RouteRequests(World& world, TimePoint now, Outbox& outbox);

// When the next waiting request reaches its deadline, or the next pause or
// ejection that holds requests back ends.
[[nodiscard]] TimePoint NextRequestDue(const World& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUESTS_ROUTING_H_
