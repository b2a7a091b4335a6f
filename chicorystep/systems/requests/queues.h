#ifndef CHICORYSTEP_SYSTEMS_REQUESTS_QUEUES_H_
#define CHICORYSTEP_SYSTEMS_REQUESTS_QUEUES_H_

#include <cstdint>
#include <optional>

#include "chicorystep/tables/requests.h"
#include "chicorystep/tables/world.h"

// Queues of the waiting requests by service, priority class, workspace and
// kind. Classes are served in strict priority order, the workspaces of a class
// by weighted fair queueing over slot time, and the requests of a workspace in
// order of arrival.

namespace chicorystep {

enum class QueueEnd : std::uint8_t { kFront, kBack };

// Adds a request to its queue. Retries go to the front.
void EnqueueRequest(World& world, Request& request, QueueEnd end);

// Removes a request from the counts of waiting requests and from
// `Requests::due`.
// Its position in the queue is skipped later. Does nothing when the request is
// not queued.
void RemoveWaiting(World& world, const Request& request);

// The next request of a service, which stays in its queue; empty when none may
// be sent now. Kinds with long run times are skipped unless `long_allowed`.
[[nodiscard]] std::optional<ExchangeId> PeekRequest(World& world,
                                                    ServiceTraffic& service,
                                                    bool long_allowed);

// Removes the request that `PeekRequest` returned from its queue and charges
// its workspace for the expected slot time.
void DequeueRequest(World& world, ServiceTraffic& service, Request& request);

// Chooses the request to shed for an arrival of `priority` from `workspace`
// when the queues are full: the newest one of the lowest non-empty class, and
// there of the workspace with the most waiting requests relative to its weight.
// Empty when the arrival itself is to be refused.
[[nodiscard]] std::optional<ExchangeId> ChooseRequestToShed(
    World& world,
    Priority priority,
    const Workspace& workspace);

// The expected run time of a kind; zero when there are too few or no recent
// answers.
[[nodiscard]] Duration ExpectedRunTime(const ServiceTraffic& service,
                                       const Kind& kind,
                                       TimePoint now);

// Whether a kind runs many times longer than the shortest kind of its service.
[[nodiscard]] bool IsLongKind(const ServiceTraffic& service, const Kind& kind);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUESTS_QUEUES_H_
