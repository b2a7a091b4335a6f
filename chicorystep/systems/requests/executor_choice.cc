#include "chicorystep/systems/requests/executor_choice.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "chicorystep/systems/requests/retries.h"

namespace chicorystep {
namespace impl {

// Random executors that are probed before all executors are scanned.
inline constexpr int kRandomProbes = 4;
// Ejections are ignored when fewer than one in this many executors is usable.
inline constexpr std::size_t kPanicDivisor = 2;
inline constexpr std::size_t kOtherRegion = kDistanceCount - 1;
// The token bucket of the link between regions holds at most the bytes that it
// earns in this time.
inline constexpr Duration kLinkBurst = std::chrono::seconds(1);

std::size_t DistanceTo(const Self& self, const ListedExecutor& executor) {
  if (executor.zone == self.zone) {
    return 0;
  }
  return executor.region == self.region ? 1 : kOtherRegion;
}

bool IsEjected(const Executor& executor, TimePoint now) {
  return now < executor.ejected_until;
}

Slots ConcurrencyLimit(const Self& self, const Executor& executor) {
  // An ejected executor gets one attempt at a time until it has answered.
  if (executor.ejections > 0) {
    return Slots{1};
  }
  const bool limited = self.slot_policy == SlotPolicy::kAdaptiveLimit ||
                       self.slot_policy == SlotPolicy::kApportioned;
  return limited ? std::min(executor.limit, executor.listed.slots)
                 : executor.listed.slots;
}

// Inputs shared by all executors that one choice considers.
struct ChoiceContext {
  World& world;
  const Request& request;
  Eligibility eligibility;
  TimePoint now;
  bool panic = false;
};

bool IsEligible(const ChoiceContext& choice, const Executor& executor) {
  const bool retry = choice.eligibility == Eligibility::kRetry;
  return executor.in_flight < ConcurrencyLimit(choice.world.self, executor) &&
         executor.paused_until <= choice.now &&
         (choice.panic || !IsEjected(executor, choice.now)) &&
         !(retry && executor.listed.id == choice.request.last_executor) &&
         (!retry || choice.request.last_result == AttemptResult::kRefused ||
          HasRetryTokens(executor));
}

// The load by which executors are compared; lower is better. All executors are
// equal under `kRandom`, which does not compare them.
std::int64_t ComputeCost(const Self& self, const Executor& executor) {
  switch (self.slot_policy) {
    case SlotPolicy::kRandom:
      return 0;
    case SlotPolicy::kTwoChoices:
      return std::max(executor.reported_busy, executor.in_flight).value;
    case SlotPolicy::kLeastInFlight:
    case SlotPolicy::kApportioned:
    case SlotPolicy::kAdaptiveLimit:
      break;
  }
  return executor.in_flight.value;
}

Executor* PickLessLoaded(const Self& self, Executor* a, Executor* b) {
  if (a == nullptr || b == nullptr) {
    return a == nullptr ? b : a;
  }
  return ComputeCost(self, *b) < ComputeCost(self, *a) ? b : a;
}

// Scans all executors from position `start` on. Returns the first eligible one
// when `take_first` is set, otherwise the least loaded one.
Executor* ScanExecutors(const ChoiceContext& choice,
                        const std::vector<std::size_t>& positions,
                        std::size_t start,
                        bool take_first) {
  auto& rows = choice.world.requests.executors.rows;
  Executor* best = nullptr;
  for (std::size_t i = 0; i < positions.size(); ++i) {
    Executor& executor = rows[positions[(start + i) % positions.size()]];
    if (!IsEligible(choice, executor)) {
      continue;
    }
    if (take_first) {
      return &executor;
    }
    best = PickLessLoaded(choice.world.self, best, &executor);
  }
  return best;
}

Executor* ChooseAmong(const ChoiceContext& choice,
                      const std::vector<std::size_t>& positions) {
  if (positions.empty()) {
    return nullptr;
  }
  Requests& requests = choice.world.requests;
  const auto draw = [&] {
    return static_cast<std::size_t>(requests.random()) % positions.size();
  };
  if (choice.world.self.slot_policy == SlotPolicy::kLeastInFlight) {
    return ScanExecutors(choice, positions, draw(), false);
  }
  const int wanted =
      choice.world.self.slot_policy == SlotPolicy::kRandom ? 1 : 2;
  Executor* best = nullptr;
  int found = 0;
  std::size_t index = draw();
  for (int i = 0; i < kRandomProbes && found < wanted; ++i) {
    if (Executor& executor = requests.executors.rows[positions[index]];
        IsEligible(choice, executor)) {
      best = PickLessLoaded(choice.world.self, best, &executor);
      ++found;
    }
    // Moves to a different position, so that two different executors are
    // compared.
    index += 1 + draw() % std::max<std::size_t>(1, positions.size() - 1);
    index %= positions.size();
  }
  return best != nullptr ? best
                         : ScanExecutors(choice, positions, draw(), true);
}

// Whether so many executors are ejected that the failures more likely have a
// common cause elsewhere.
bool IsInPanicMode(const World& world,
                   const ServiceTraffic& service,
                   TimePoint now) {
  std::size_t all = 0;
  std::size_t usable = 0;
  for (const auto& positions : service.executors) {
    all += positions.size();
    usable += static_cast<std::size_t>(std::count_if(
        positions.begin(), positions.end(), [&](std::size_t position) {
          return !IsEjected(world.requests.executors.rows[position], now);
        }));
  }
  return usable * kPanicDivisor < all;
}

TimePoint NextUnblockTime(const World& world,
                          const ServiceTraffic& service,
                          TimePoint now) {
  TimePoint first = kNever;
  for (const auto& positions : service.executors) {
    for (const std::size_t position : positions) {
      const Executor& executor = world.requests.executors.rows[position];
      const TimePoint until =
          std::max(executor.paused_until, executor.ejected_until);
      if (until > now) {
        first = std::min(first, until);
      }
    }
  }
  return first;
}

}  // namespace impl

void IndexExecutors(World& world) {
  for (auto& [name, service] : world.requests.services) {
    for (auto& positions : service.executors) {
      positions.clear();
    }
  }
  const auto& rows = world.requests.executors.rows;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const ListedExecutor& listed = rows[i].listed;
    if (listed.state == InstanceState::kLive) {
      world.requests.services[listed.service]
          .executors[impl::DistanceTo(world.self, listed)]
          .push_back(i);
    }
  }
}

Executor* ChooseExecutor(World& world,
                         ServiceTraffic& service,
                         const Request& request,
                         Eligibility eligibility,
                         TimePoint now) {
  const impl::ChoiceContext choice{world, request, eligibility, now,
                                   impl::IsInPanicMode(world, service, now)};
  for (std::size_t distance = 0; distance < kDistanceCount; ++distance) {
    if (distance == impl::kOtherRegion && !MayUseLink(world, now)) {
      break;
    }
    if (Executor* chosen =
            impl::ChooseAmong(choice, service.executors[distance])) {
      return chosen;
    }
  }
  service.unblocked_at = impl::NextUnblockTime(world, service, now);
  return nullptr;
}

Slots ServiceLimit(const World& world, const ServiceTraffic& service) {
  Slots sum;
  for (const auto& positions : service.executors) {
    for (const std::size_t position : positions) {
      sum += impl::ConcurrencyLimit(world.self,
                                    world.requests.executors.rows[position]);
    }
  }
  return sum;
}

bool MayUseLink(World& world, TimePoint now) {
  Requests& requests = world.requests;
  const Duration elapsed =
      std::min(now - requests.link_refilled_at, impl::kLinkBurst);
  requests.link_refilled_at = now;
  const Bytes rate = world.self.link_bytes_per_second;
  requests.link_allowance += Bytes(rate.value * elapsed.count() /
                                   Duration(std::chrono::seconds(1)).count());
  requests.link_allowance = std::min(requests.link_allowance, rate);
  return requests.link_allowance > Bytes{0};
}

}  // namespace chicorystep
