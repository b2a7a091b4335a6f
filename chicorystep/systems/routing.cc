#include "chicorystep/systems/routing.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/systems/claims.h"
#include "chicorystep/systems/request_end.h"
#include "chicorystep/systems/stopping.h"

namespace chicorystep {
namespace impl {

std::optional<Refusal> CheckArrival(const World& world,
                                    const RequestArrived& arrived,
                                    TimePoint now) {
  const auto refuse = [](Reason reason, std::string detail) {
    return Refusal{Execution::kNotRun, reason, std::move(detail), Duration{}};
  };
  if (!IsAccepting(world, now)) {
    return refuse(Reason::kStopping, "this instance is stopping");
  }
  if (!world.config_ready) {
    return refuse(Reason::kNotReady, "the tables have not been read yet");
  }
  const auto route = world.config.routes.find(arrived.kind);
  if (route == world.config.routes.end()) {
    return refuse(Reason::kUnknownKind, arrived.kind.value);
  }
  if (!world.config.pools.contains(
          PoolKey{route->second.pool, arrived.workspace})) {
    return refuse(Reason::kUnknownWorkspace, arrived.workspace.value);
  }
  if (arrived.size > route->second.max_request) {
    return refuse(Reason::kTooLarge, "the body exceeds the route's limit");
  }
  if (world.requests.waiting.size() >= world.self.max_waiting_requests) {
    return refuse(Reason::kOverloaded, "the queue is full");
  }
  if (!route->second.idempotent) {
    return CheckClaim(world, ClaimKey{arrived.workspace, arrived.id});
  }
  return std::nullopt;
}

// Lower is nearer: the same zone, then the same region, then elsewhere.
int Distance(const Self& self, const ListedExecutor& executor) {
  if (executor.zone == self.zone) {
    return 0;
  }
  return executor.region == self.region ? 1 : 2;
}

// The nearest executor of `service` with a free slot, among equals the one
// with the fewest requests of this process; null when there is none.
Executor* ChooseExecutor(World& world, const Service& service) {
  Executor* best = nullptr;
  std::pair<int, Slots> best_rank;
  for (Executor& executor : world.requests.executors.rows) {
    if (executor.listed.service != service ||
        executor.listed.state != InstanceState::kLive ||
        executor.in_flight >= executor.listed.slots) {
      continue;
    }
    const std::pair rank(Distance(world.self, executor.listed),
                         executor.in_flight);
    if (best == nullptr || rank < best_rank) {
      best = &executor;
      best_rank = rank;
    }
  }
  return best;
}

bool MayRetry(const Request& request, AttemptResult result) {
  const bool certainly_not_run =
      result == AttemptResult::kRefused || result == AttemptResult::kNotSent;
  return (certainly_not_run || request.idempotent) &&
         std::cmp_less(request.attempts.value, request.max_attempts);
}

Refusal DescribeFailure(const Request& request, AttemptResult result) {
  const Execution execution = ExecutionOf(request);
  switch (result) {
    case AttemptResult::kCutShort:
      return {execution, Reason::kAnswerCutShort, "the answer was cut short",
              Duration{}};
    case AttemptResult::kMismatched:
      return {execution, Reason::kAnswerMismatched,
              "the executor answered another request", Duration{}};
    case AttemptResult::kRefused:
      return {execution, Reason::kOverloaded, "the executors refused",
              Duration{}};
    case AttemptResult::kAnswered:
    case AttemptResult::kNotSent:
    case AttemptResult::kLost:
      break;
  }
  return {execution, Reason::kExecutorFailed, "the executor failed",
          Duration{}};
}

void EndAttempt(World& world,
                const AttemptEnded& ended,
                TimePoint now,
                Outbox& outbox) {
  Request* request = world.requests.table.find(ended.exchange);
  if (request == nullptr || request->attempts != ended.attempt) {
    return;
  }
  if (Executor* executor = world.requests.executors.find(request->executor)) {
    executor->in_flight -= Slots{1};
    executor->reported_busy =
        ended.reported_busy.value_or(executor->reported_busy);
  }
  request->executor = ExecutorId{};
  if (ended.result == AttemptResult::kAnswered) {
    EndRequest(world, ended.exchange, std::nullopt, outbox);
    return;
  }
  request->may_have_run |= ended.result != AttemptResult::kRefused &&
                           ended.result != AttemptResult::kNotSent;
  if (MayRetry(*request, ended.result) && now < request->deadline) {
    world.requests.waiting.push_back(ended.exchange);
    return;
  }
  EndRequest(world, ended.exchange, DescribeFailure(*request, ended.result),
             outbox);
}

// Sends one waiting request if an executor is free.
bool SendRequest(World& world,
                 Request& request,
                 TimePoint now,
                 Outbox& outbox) {
  const auto route = world.config.routes.find(request.kind);
  if (route == world.config.routes.end()) {
    return false;
  }
  Executor* executor = ChooseExecutor(world, route->second.service);
  if (executor == nullptr) {
    return false;
  }
  executor->in_flight += Slots{1};
  request.executor = executor->listed.id;
  request.attempts = Attempt(request.attempts.value + 1);
  outbox.attempts.push_back(
      SendAttempt{.exchange = request.exchange,
                  .attempt = request.attempts,
                  .service = route->second.service,
                  .address = executor->listed.address,
                  .timeout = request.deadline - now,
                  .max_answer = route->second.max_answer});
  return true;
}

}  // namespace impl

void AdmitRequests(World& world,
                   const Inbox& inbox,
                   TimePoint now,
                   Outbox& outbox) {
  for (const RequestArrived& arrived : inbox.requests) {
    if (auto refusal = impl::CheckArrival(world, arrived, now)) {
      outbox.ended_exchanges.push_back(
          EndExchange{arrived.exchange, std::move(refusal)});
      continue;
    }
    const Route& route = world.config.routes.at(arrived.kind);
    const Request& request = world.requests.table.insert(
        arrived.exchange,
        Request{.exchange = arrived.exchange,
                .id = arrived.id,
                .workspace = arrived.workspace,
                .kind = arrived.kind,
                .priority = route.priority,
                .idempotent = route.idempotent,
                .max_attempts = route.max_attempts,
                .arrived = now,
                .deadline = now + arrived.deadline.value_or(route.deadline)});
    if (request.idempotent) {
      world.requests.waiting.push_back(arrived.exchange);
    } else {
      AppendClaim(world, request, now, outbox);
    }
  }
}

void EndAttempts(World& world,
                 const Inbox& inbox,
                 TimePoint now,
                 Outbox& outbox) {
  for (const AttemptEnded& ended : inbox.attempts_ended) {
    impl::EndAttempt(world, ended, now, outbox);
  }
}

void ExpireRequests(World& world, TimePoint now, Outbox& outbox) {
  std::erase_if(world.requests.waiting, [&](ExchangeId exchange) {
    const Request* request = world.requests.table.find(exchange);
    if (request == nullptr) {
      return true;
    }
    if (now < request->deadline) {
      return false;
    }
    EndRequest(world, exchange,
               Refusal{ExecutionOf(*request), Reason::kDeadlinePassed,
                       "no executor was free before the deadline", Duration{}},
               outbox);
    return true;
  });
}

void RouteRequests(World& world, TimePoint now, Outbox& outbox) {
  if (world.requests.waiting.empty()) {
    return;
  }
  std::stable_sort(world.requests.waiting.begin(), world.requests.waiting.end(),
                   [&](ExchangeId a, ExchangeId b) {
                     return world.requests.table.find(a)->priority <
                            world.requests.table.find(b)->priority;
                   });
  std::erase_if(world.requests.waiting, [&](ExchangeId exchange) {
    return impl::SendRequest(world, *world.requests.table.find(exchange), now,
                             outbox);
  });
}

TimePoint NextRequestDue(const World& world) {
  TimePoint due = kNever;
  for (const ExchangeId exchange : world.requests.waiting) {
    if (const Request* request = world.requests.table.find(exchange)) {
      due = std::min(due, request->deadline);
    }
  }
  return due;
}

}  // namespace chicorystep
