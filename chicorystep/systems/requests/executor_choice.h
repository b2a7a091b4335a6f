#ifndef CHICORYSTEP_SYSTEMS_REQUESTS_EXECUTOR_CHOICE_H_
#define CHICORYSTEP_SYSTEMS_REQUESTS_EXECUTOR_CHOICE_H_

#include <cstdint>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// Rebuilds the per-service lists of executors after the table of executors has
// changed.
void IndexExecutors(World& world);

// Which executors an attempt may go to.
enum class Eligibility : std::uint8_t {
  kAny,
  // Executors with retry budget, other than that of the previous attempt.
  kRetry,
};

// Chooses the executor for the next attempt of `request` by the slot policy,
// among the eligible executors at the shortest distance that has any. Returns
// null when none is eligible, and then sets `service.unblocked_at` to the end
// of the next pause or ejection.
[[nodiscard]] Executor* ChooseExecutor(World& world,
                                       ServiceTraffic& service,
                                       const Request& request,
                                       Eligibility eligibility,
                                       TimePoint now);

// The number of requests that this process may have in flight at all executors
// of a service together.
[[nodiscard]] Slots ServiceLimit(const World& world,
                                 const ServiceTraffic& service);

// Refills the token bucket of the link between regions and returns whether
// requests may be sent to another region.
[[nodiscard]] bool MayUseLink(World& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUESTS_EXECUTOR_CHOICE_H_
