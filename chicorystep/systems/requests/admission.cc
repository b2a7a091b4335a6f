#include "chicorystep/systems/requests/admission.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "chicorystep/systems/cells/claims.h"
#include "chicorystep/systems/cells/stopping.h"
#include "chicorystep/systems/requests/queues.h"
#include "chicorystep/systems/requests/request_end.h"

namespace chicorystep {
namespace impl {

inline constexpr Duration kRetryAfterOverload = std::chrono::seconds(1);

Refusal RefuseAdmission(Reason reason,
                        std::string detail,
                        Duration retry_after = {}) {
  return {Execution::kNotRun, reason, std::move(detail), retry_after};
}

// Checks a request against the state of this instance and its configuration,
// regardless of load.
std::optional<Refusal> CheckConfig(const World& world,
                                   const RequestArrived& arrived,
                                   TimePoint now) {
  if (!IsAccepting(world, now)) {
    return RefuseAdmission(Reason::kStopping, "this instance is stopping");
  }
  if (!world.config_ready) {
    return RefuseAdmission(Reason::kNotReady,
                           "the tables have not been read yet");
  }
  const auto route = world.config.routes.find(arrived.kind);
  if (route == world.config.routes.end()) {
    return RefuseAdmission(Reason::kUnknownKind, arrived.kind.value);
  }
  if (!world.config.pools.contains(
          PoolKey{route->second.pool, arrived.workspace})) {
    return RefuseAdmission(Reason::kUnknownWorkspace, arrived.workspace.value);
  }
  if (arrived.size > route->second.max_request) {
    return RefuseAdmission(Reason::kTooLarge,
                           "the body exceeds the route's limit");
  }
  return std::nullopt;
}

// Refuses a request whose estimated wait and run time exceed its deadline.
std::optional<Refusal> CheckDeadline(const World& world,
                                     const Route& route,
                                     const RequestArrived& arrived,
                                     TimePoint now) {
  const auto service = world.requests.services.find(route.service);
  if (service == world.requests.services.end()) {
    return std::nullopt;
  }
  const Duration needed =
      ExpectedWait(service->second, route.priority, arrived.workspace) +
      ExpectedRunTime(service->second, arrived.kind, now);
  if (needed <= arrived.deadline.value_or(route.deadline)) {
    return std::nullopt;
  }
  return RefuseAdmission(Reason::kDeadlineUnreachable,
                         "the expected wait exceeds the deadline",
                         kRetryAfterOverload);
}

// Sheds a waiting request when the queues are full. Returns a refusal for the
// arrival when no waiting request is less urgent.
std::optional<Refusal> ShedIfFull(World& world,
                                  const Route& route,
                                  const RequestArrived& arrived,
                                  Outbox& outbox) {
  if (world.requests.due.size() < world.self.max_waiting_requests) {
    return std::nullopt;
  }
  const auto shed =
      ChooseRequestToShed(world, route.priority, arrived.workspace);
  const Request* victim = shed ? world.requests.table.find(*shed) : nullptr;
  if (victim == nullptr) {
    return RefuseAdmission(Reason::kOverloaded, "the queue is full",
                           kRetryAfterOverload);
  }
  EndRequest(
      world, *shed,
      Refusal{ExecutionWithoutAnswer(*victim), Reason::kOverloaded,
              "the queue is full of more urgent work", kRetryAfterOverload},
      outbox);
  return std::nullopt;
}

std::optional<Refusal> CheckArrival(World& world,
                                    const RequestArrived& arrived,
                                    TimePoint now,
                                    Outbox& outbox) {
  if (auto refusal = CheckConfig(world, arrived, now)) {
    return refusal;
  }
  const Route& route = world.config.routes.at(arrived.kind);
  if (!route.idempotent) {
    if (auto refusal =
            CheckClaim(world, ClaimKey{arrived.workspace, arrived.id})) {
      return refusal;
    }
  }
  if (auto refusal = CheckDeadline(world, route, arrived, now)) {
    return refusal;
  }
  return ShedIfFull(world, route, arrived, outbox);
}

}  // namespace impl

Duration ExpectedWait(const ServiceTraffic& service,
                      Priority priority,
                      const Workspace& workspace) {
  if (service.answers_per_second <= 0) {
    return Duration{};
  }
  std::size_t ahead = 0;
  for (std::size_t i = 0; i < static_cast<std::size_t>(priority); ++i) {
    ahead += service.classes[i].waiting;
  }
  const ClassQueue& own = service.classes[static_cast<std::size_t>(priority)];
  std::int64_t weights = 0;
  const WorkspaceQueue* queue = nullptr;
  for (const WorkspaceQueue& row : own.workspaces) {
    weights += row.waiting > 0 ? row.weight.value : 0;
    if (row.workspace == workspace) {
      queue = &row;
    }
  }
  if (queue != nullptr && queue->waiting > 0) {
    ahead += std::min(own.waiting,
                      queue->waiting * static_cast<std::size_t>(weights) /
                          static_cast<std::size_t>(queue->weight.value));
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(ahead) / service.answers_per_second));
}

void AdmitRequests(World& world,
                   const Inbox& inbox,
                   TimePoint now,
                   Outbox& outbox) {
  for (const RequestArrived& arrived : inbox.requests) {
    if (auto refusal = impl::CheckArrival(world, arrived, now, outbox)) {
      outbox.ended_exchanges.push_back(
          EndExchange{arrived.exchange, std::move(refusal)});
      continue;
    }
    const Route& route = world.config.routes.at(arrived.kind);
    Request& request = world.requests.table.insert(
        arrived.exchange,
        Request{.exchange = arrived.exchange,
                .id = arrived.id,
                .workspace = arrived.workspace,
                .kind = arrived.kind,
                .priority = route.priority,
                .idempotent = route.idempotent,
                .max_attempts = route.max_attempts,
                .arrived = now,
                .deadline = now + arrived.deadline.value_or(route.deadline),
                .service = route.service,
                .size = arrived.size});
    if (request.idempotent) {
      EnqueueRequest(world, request, QueueEnd::kBack);
    } else {
      AppendClaim(world, request, now, outbox);
    }
  }
}

}  // namespace chicorystep
