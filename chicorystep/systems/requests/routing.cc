#include "chicorystep/systems/requests/routing.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "chicorystep/systems/requests/executor_choice.h"
#include "chicorystep/systems/requests/executor_health.h"
#include "chicorystep/systems/requests/queues.h"
#include "chicorystep/systems/requests/request_end.h"
#include "chicorystep/systems/requests/retries.h"

namespace chicorystep {
namespace impl {

// Share of the slots available to this process that long kinds may use. The
// rest stays free for short kinds.
inline constexpr std::int64_t kLongShareNumerator = 3;
inline constexpr std::int64_t kLongShareDenominator = 4;

bool IsInOtherRegion(const World& world, const Executor& executor) {
  return executor.listed.region != world.self.region;
}

// Updates the counts, estimates and executor health after an attempt has ended.
void RecordAttemptEnd(World& world,
                      Request& request,
                      const AttemptEnded& ended,
                      TimePoint now) {
  ServiceTraffic& service = world.requests.services[request.service];
  service.in_flight -= Slots{1};
  if (service.in_flight == Slots{0}) {
    service.idle_since = now;
  }
  service.long_in_flight -= Slots{request.long_running ? 1 : 0};
  request.long_running = false;
  if (ended.result == AttemptResult::kAnswered) {
    RecordRunTime(service, request.kind, now - request.sent, now);
  }
  if (Executor* executor = world.requests.executors.find(request.executor)) {
    executor->in_flight -= Slots{1};
    UpdateExecutorHealth(*executor, ended,
                         ExpectedRunTime(service, request.kind, now), now);
    if (IsInOtherRegion(world, *executor)) {
      world.requests.link_allowance -= ended.answer_size;
    }
  }
  request.refusals += ended.result == AttemptResult::kRefused ? 1 : 0;
  request.last_result = ended.result;
  request.last_executor = std::exchange(request.executor, ExecutorId{});
}

// Ends an attempt, and adds the service to `answered` if it was answered.
void EndAttempt(World& world,
                const AttemptEnded& ended,
                TimePoint now,
                std::set<Service>& answered,
                Outbox& outbox) {
  Request* request = world.requests.table.find(ended.exchange);
  if (request == nullptr || request->attempts != ended.attempt ||
      request->executor.empty()) {
    return;
  }
  RecordAttemptEnd(world, *request, ended, now);
  if (ended.result == AttemptResult::kAnswered) {
    answered.insert(request->service);
    EndRequest(world, ended.exchange, std::nullopt, outbox);
    return;
  }
  request->may_have_run |= ended.result != AttemptResult::kRefused &&
                           ended.result != AttemptResult::kNotSent;
  if (now < request->deadline &&
      MayRetry(world.requests, *request, ended.result)) {
    EnqueueRequest(world, *request, QueueEnd::kFront);
    return;
  }
  EndRequest(world, ended.exchange, DescribeFailure(*request, ended.result),
             outbox);
}

void Send(World& world,
          ServiceTraffic& service,
          Request& request,
          Executor& executor,
          TimePoint now,
          Outbox& outbox) {
  DequeueRequest(world, service, request);
  request.executor = executor.listed.id;
  request.sent = now;
  request.attempts = Attempt(request.attempts.value + 1);
  request.long_running = IsLongKind(service, request.kind);
  if (service.in_flight == Slots{0}) {
    service.period_start += now - service.idle_since;
  }
  service.in_flight += Slots{1};
  service.long_in_flight += Slots{request.long_running ? 1 : 0};
  executor.in_flight += Slots{1};
  CountAttempt(world.requests, request, executor);
  if (IsInOtherRegion(world, executor)) {
    world.requests.link_allowance -= request.size;
  }
  const auto route = world.config.routes.find(request.kind);
  outbox.attempts.push_back(
      SendAttempt{.exchange = request.exchange,
                  .attempt = request.attempts,
                  .service = request.service,
                  .address = executor.listed.address,
                  .timeout = request.deadline - now,
                  .max_answer = route == world.config.routes.end()
                                    ? Bytes{}
                                    : route->second.max_answer});
}

bool MaySendLong(const World& world, const ServiceTraffic& service) {
  if (service.long_in_flight == Slots{0}) {
    return true;
  }
  return service.long_in_flight.value * kLongShareDenominator <
         std::max<std::int64_t>(
             kLongShareDenominator,
             ServiceLimit(world, service).value * kLongShareNumerator);
}

// Prefers another executor for a retry, but accepts the same one so that the
// retry does not block the queue.
Executor* ChooseExecutorFor(World& world,
                            ServiceTraffic& service,
                            const Request& request,
                            TimePoint now) {
  if (request.attempts.value > 0) {
    if (Executor* other =
            ChooseExecutor(world, service, request, Eligibility::kRetry, now)) {
      return other;
    }
  }
  return ChooseExecutor(world, service, request, Eligibility::kAny, now);
}

// Sends the waiting requests of one service until no executor is eligible.
void RouteService(World& world,
                  ServiceTraffic& service,
                  TimePoint now,
                  Outbox& outbox) {
  service.unblocked_at = kNever;
  while (const auto next =
             PeekRequest(world, service, MaySendLong(world, service))) {
    Request& request = *world.requests.table.find(*next);
    if (now + ExpectedRunTime(service, request.kind, now) > request.deadline) {
      EndRequest(
          world, *next,
          Refusal{ExecutionWithoutAnswer(request), Reason::kDeadlineUnreachable,
                  "too little time is left for the expected run time",
                  Duration{}},
          outbox);
      continue;
    }
    Executor* executor = ChooseExecutorFor(world, service, request, now);
    if (executor == nullptr) {
      return;
    }
    if (request.attempts.value > 0 &&
        request.last_result != AttemptResult::kRefused &&
        !HasRetryTokens(*executor)) {
      EndRequest(world, *next, DescribeFailure(request, request.last_result),
                 outbox);
      continue;
    }
    Send(world, service, request, *executor, now, outbox);
  }
}

bool HasWaiting(const ServiceTraffic& service) {
  return std::any_of(service.classes.begin(), service.classes.end(),
                     [](const ClassQueue& queue) { return queue.waiting > 0; });
}

}  // namespace impl

void EndAttempts(World& world,
                 const Inbox& inbox,
                 TimePoint now,
                 Outbox& outbox) {
  std::set<Service> answered;
  for (const AttemptEnded& ended : inbox.attempts_ended) {
    impl::EndAttempt(world, ended, now, answered, outbox);
  }
  for (const Service& service : answered) {
    UpdateAnswerRate(world.requests.services[service], now);
  }
}

void ExpireRequests(World& world, TimePoint now, Outbox& outbox) {
  auto& due = world.requests.due;
  while (!due.empty() && due.begin()->first <= now) {
    const ExchangeId exchange = due.begin()->second;
    const Request& request = *world.requests.table.find(exchange);
    EndRequest(world, exchange,
               Refusal{ExecutionWithoutAnswer(request), Reason::kDeadlinePassed,
                       "no executor was free before the deadline", Duration{}},
               outbox);
  }
}

void RouteRequests(World& world, TimePoint now, Outbox& outbox) {
  for (auto& [name, service] : world.requests.services) {
    if (impl::HasWaiting(service)) {
      impl::RouteService(world, service, now, outbox);
    }
  }
}

TimePoint NextRequestDue(const World& world) {
  TimePoint due =
      world.requests.due.empty() ? kNever : world.requests.due.begin()->first;
  for (const auto& [name, service] : world.requests.services) {
    if (impl::HasWaiting(service)) {
      due = std::min(due, service.unblocked_at);
    }
  }
  return due;
}

}  // namespace chicorystep
