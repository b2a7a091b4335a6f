#ifndef CHICORYSTEP_SYSTEMS_EXECUTOR_CHOICE_H_
#define CHICORYSTEP_SYSTEMS_EXECUTOR_CHOICE_H_

#include <cstdint>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// Rebuilds the services' lists of executors after the table has changed.
void IndexExecutors(World& world);

// Which executors an attempt may go to.
enum class Eligibility : std::uint8_t {
  kAny,
  // Those with budget for a retry, other than the one that has just failed.
  kRetry,
};

// The executor for one more attempt of `request`: the nearest distance that
// has one free, and there by the slot policy. Null when none is free; then
// `service.unblocked` is when the next pause or ejection ends.
[[nodiscard]] Executor* ChooseExecutor(World& world,
                                       ServiceTraffic& service,
                                       const Request& request,
                                       Eligibility eligibility,
                                       TimePoint now);

// Requests that this process may have at the executors of a service together.
[[nodiscard]] Slots ServiceLimit(const World& world,
                                 const ServiceTraffic& service);

// Whether bytes may be sent to another region, counted by a token bucket.
[[nodiscard]] bool MayUseLink(World& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_EXECUTOR_CHOICE_H_
