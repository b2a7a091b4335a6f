#include "chicorystep/systems/executor_choice.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "chicorystep/systems/retries.h"

namespace chicorystep {
namespace impl {

// Random tries before all executors are looked at.
inline constexpr int kRandomTries = 4;
// Below this part of usable executors ejections are not kept to.
inline constexpr std::size_t kPanicDivisor = 2;
inline constexpr std::size_t kElsewhere = kDistanceCount - 1;
// The allowance of the link is at most what this time brings.
inline constexpr Duration kLinkBurst = std::chrono::seconds(1);

std::size_t DistanceOf(const Self& self, const ListedExecutor& executor) {
  if (executor.zone == self.zone) {
    return 0;
  }
  return executor.region == self.region ? 1 : kElsewhere;
}

bool IsEjected(const Executor& executor, TimePoint now) {
  return now < executor.ejected_until;
}

Slots LimitOf(const Self& self, const Executor& executor) {
  // One attempt at a time until an ejected executor has answered.
  if (executor.ejections > 0) {
    return Slots{1};
  }
  const bool limited = self.slot_policy == SlotPolicy::kLearntLimit ||
                       self.slot_policy == SlotPolicy::kApportioned;
  return limited ? std::min(executor.limit, executor.listed.slots)
                 : executor.listed.slots;
}

// What is the same for every executor that one choice looks at.
struct Choice {
  World& world;
  const Request& request;
  Eligibility eligibility;
  TimePoint now;
  bool panic = false;
};

bool IsFree(const Choice& choice, const Executor& executor) {
  const bool retry = choice.eligibility == Eligibility::kRetry;
  return executor.in_flight < LimitOf(choice.world.self, executor) &&
         executor.paused_until <= choice.now &&
         (choice.panic || !IsEjected(executor, choice.now)) &&
         !(retry && executor.listed.id == choice.request.last_executor) &&
         (!retry || choice.request.last_result == AttemptResult::kRefused ||
          HasRetryTokens(executor));
}

// Lower is better. A policy that does not compare gives all the same.
std::int64_t CostOf(const Self& self, const Executor& executor) {
  switch (self.slot_policy) {
    case SlotPolicy::kRandom:
      return 0;
    case SlotPolicy::kTwoChoices:
      return std::max(executor.reported_busy, executor.in_flight).value;
    case SlotPolicy::kLeastInFlight:
    case SlotPolicy::kApportioned:
    case SlotPolicy::kLearntLimit:
      break;
  }
  return executor.in_flight.value;
}

Executor* BetterOf(const Self& self, Executor* a, Executor* b) {
  if (a == nullptr || b == nullptr) {
    return a == nullptr ? b : a;
  }
  return CostOf(self, *b) < CostOf(self, *a) ? b : a;
}

// All executors from a random place on; the first that is free, or the best.
Executor* ScanExecutors(const Choice& choice,
                        const std::vector<std::size_t>& positions,
                        std::size_t start,
                        bool take_first) {
  auto& rows = choice.world.requests.executors.rows;
  Executor* best = nullptr;
  for (std::size_t i = 0; i < positions.size(); ++i) {
    Executor& executor = rows[positions[(start + i) % positions.size()]];
    if (!IsFree(choice, executor)) {
      continue;
    }
    if (take_first) {
      return &executor;
    }
    best = BetterOf(choice.world.self, best, &executor);
  }
  return best;
}

Executor* ChooseAmong(const Choice& choice,
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
  std::size_t place = draw();
  for (int i = 0; i < kRandomTries && found < wanted; ++i) {
    if (Executor& executor = requests.executors.rows[positions[place]];
        IsFree(choice, executor)) {
      best = BetterOf(choice.world.self, best, &executor);
      ++found;
    }
    // A place other than the last, so that two different ones are compared.
    place += 1 + draw() % std::max<std::size_t>(1, positions.size() - 1);
    place %= positions.size();
  }
  return best != nullptr ? best
                         : ScanExecutors(choice, positions, draw(), true);
}

// Whether so many are ejected that the ejections are more likely the fault of
// something else.
bool IsPanic(const World& world, const ServiceTraffic& service, TimePoint now) {
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

TimePoint FirstUnblocked(const World& world,
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
          .executors[impl::DistanceOf(world.self, listed)]
          .push_back(i);
    }
  }
}

Executor* ChooseExecutor(World& world,
                         ServiceTraffic& service,
                         const Request& request,
                         Eligibility eligibility,
                         TimePoint now) {
  const impl::Choice choice{world, request, eligibility, now,
                            impl::IsPanic(world, service, now)};
  for (std::size_t distance = 0; distance < kDistanceCount; ++distance) {
    if (distance == impl::kElsewhere && !MayUseLink(world, now)) {
      break;
    }
    if (Executor* chosen =
            impl::ChooseAmong(choice, service.executors[distance])) {
      return chosen;
    }
  }
  service.unblocked = impl::FirstUnblocked(world, service, now);
  return nullptr;
}

Slots ServiceLimit(const World& world, const ServiceTraffic& service) {
  Slots sum;
  for (const auto& positions : service.executors) {
    for (const std::size_t position : positions) {
      sum += impl::LimitOf(world.self, world.requests.executors.rows[position]);
    }
  }
  return sum;
}

bool MayUseLink(World& world, TimePoint now) {
  Requests& requests = world.requests;
  const Duration elapsed =
      std::min(now - requests.link_counted, impl::kLinkBurst);
  requests.link_counted = now;
  const Bytes rate = world.self.link_bytes_per_second;
  requests.link_allowance += Bytes(rate.value * elapsed.count() /
                                   Duration(std::chrono::seconds(1)).count());
  requests.link_allowance = std::min(requests.link_allowance, rate);
  return requests.link_allowance > Bytes{0};
}

}  // namespace chicorystep
