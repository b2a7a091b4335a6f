#ifndef CHICORYSTEP_SYSTEMS_QUEUES_H_
#define CHICORYSTEP_SYSTEMS_QUEUES_H_

#include <cstdint>
#include <optional>

#include "chicorystep/tables/requests.h"
#include "chicorystep/tables/world.h"

// The waiting requests: by service, class, workspace and kind. Classes are
// served in strict order, workspaces of a class by weighted fair queueing over
// slot time, and a workspace's kinds by arrival.

namespace chicorystep {

enum class QueueEnd : std::uint8_t { kFront, kBack };

// Puts a request into its queue; the front is for a retry.
void EnqueueRequest(World& world, Request& request, QueueEnd end);

// Takes a request out of the counts and the deadlines; its place in the queue
// is skipped later. Nothing happens when it does not wait.
void ForgetWaiting(World& world, const Request& request);

// The next request of a service, left in its queue; empty when none may be
// sent now. `long_allowed` tells whether kinds with long run times may be.
[[nodiscard]] std::optional<ExchangeId> PeekRequest(World& world,
                                                    ServiceTraffic& service,
                                                    bool long_allowed);

// Takes the request that `PeekRequest` gave out of its queue and charges its
// workspace with the expected slot time.
void TakeRequest(World& world, ServiceTraffic& service, Request& request);

// The newest request that gives way to an arrival of `priority` from
// `workspace` when the queues are full: of the lowest class, and there of the
// workspace that waits most for its weight. Empty when the arrival itself is
// the one to be refused.
[[nodiscard]] std::optional<ExchangeId> ChooseShed(World& world,
                                                   Priority priority,
                                                   const Workspace& workspace);

// The expected run time of a kind; zero when nothing recent is known.
[[nodiscard]] Duration ExpectedRunTime(const ServiceTraffic& service,
                                       const Kind& kind,
                                       TimePoint now);

// Whether a kind runs many times longer than the shortest of its service.
[[nodiscard]] bool IsLongKind(const ServiceTraffic& service, const Kind& kind);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_QUEUES_H_
