#include "chicorystep/systems/requests/queues.h"

#include <algorithm>
#include <utility>

namespace chicorystep {
namespace impl {

// A kind is long when its mean run time is at least this many times that of the
// shortest kind of its service.
inline constexpr std::int64_t kLongFactor = 8;
// Answers needed before `ExpectedRunTime` relies on the estimate of a kind.
inline constexpr std::int64_t kMinSamples = 4;
// An estimate without a newer answer is ignored after this time. Otherwise
// requests to a service that has become faster would still be refused, and the
// answers that correct the estimate would never arrive.
inline constexpr Duration kEstimateLifetime = std::chrono::seconds(2);
// Slot time charged for a request of a kind with unknown run time.
inline constexpr Duration kDefaultCost = std::chrono::milliseconds(1);

std::size_t ClassIndex(Priority priority) {
  return static_cast<std::size_t>(priority);
}

WorkspaceQueue& FindOrAddQueue(World& world,
                               ClassQueue& queue,
                               const Request& request) {
  const auto found =
      std::find_if(queue.workspaces.begin(), queue.workspaces.end(),
                   [&](const WorkspaceQueue& row) {
                     return row.workspace == request.workspace;
                   });
  if (found != queue.workspaces.end()) {
    return *found;
  }
  WorkspaceQueue added{.workspace = request.workspace};
  if (const auto route = world.config.routes.find(request.kind);
      route != world.config.routes.end()) {
    const auto pool =
        world.config.pools.find(PoolKey{route->second.pool, request.workspace});
    if (pool != world.config.pools.end()) {
      added.weight = std::max(Weight(1), pool->second.weight);
    }
  }
  return queue.workspaces.emplace_back(std::move(added));
}

KindQueue& FindOrAddKindQueue(WorkspaceQueue& queue, const Kind& kind) {
  const auto found =
      std::find_if(queue.kinds.begin(), queue.kinds.end(),
                   [&](const KindQueue& row) { return row.kind == kind; });
  return found != queue.kinds.end()
             ? *found
             : queue.kinds.emplace_back(KindQueue{.kind = kind});
}

bool IsQueued(const World& world, ExchangeId exchange) {
  const Request* request = world.requests.table.find(exchange);
  return request != nullptr && request->queued;
}

// Drops requests at the front that are no longer queued.
void TrimFront(const World& world, KindQueue& queue) {
  while (!queue.exchanges.empty() &&
         !IsQueued(world, queue.exchanges.front())) {
    queue.exchanges.pop_front();
  }
}

// The oldest waiting request of a workspace among the allowed kinds.
std::optional<ExchangeId> FindOldest(World& world,
                                     const ServiceTraffic& service,
                                     WorkspaceQueue& queue,
                                     bool long_allowed) {
  std::optional<ExchangeId> oldest;
  for (KindQueue& kind : queue.kinds) {
    TrimFront(world, kind);
    if (kind.exchanges.empty() ||
        (!long_allowed && IsLongKind(service, kind.kind))) {
      continue;
    }
    if (const ExchangeId first = kind.exchanges.front();
        !oldest || first < *oldest) {
      oldest = first;
    }
  }
  return oldest;
}

std::optional<ExchangeId> PeekClass(World& world,
                                    const ServiceTraffic& service,
                                    ClassQueue& queue,
                                    bool long_allowed) {
  std::optional<ExchangeId> best;
  Duration least = Duration::max();
  for (WorkspaceQueue& workspace : queue.workspaces) {
    if (workspace.waiting == 0 || workspace.virtual_time >= least) {
      continue;
    }
    if (const auto oldest =
            FindOldest(world, service, workspace, long_allowed)) {
      best = oldest;
      least = workspace.virtual_time;
    }
  }
  return best;
}

// The newest waiting request of a workspace; empty when none waits.
std::optional<ExchangeId> FindNewest(World& world, WorkspaceQueue& queue) {
  std::optional<ExchangeId> newest;
  for (KindQueue& kind : queue.kinds) {
    while (!kind.exchanges.empty() && !IsQueued(world, kind.exchanges.back())) {
      kind.exchanges.pop_back();
    }
    if (!kind.exchanges.empty() &&
        (!newest || kind.exchanges.back() > *newest)) {
      newest = kind.exchanges.back();
    }
  }
  return newest;
}

// The workspace queue of a priority class, over all services, with the most
// waiting requests relative to its weight; null when none waits.
WorkspaceQueue* FindLongestQueue(World& world, std::size_t priority) {
  WorkspaceQueue* most = nullptr;
  for (auto& [name, service] : world.requests.services) {
    for (WorkspaceQueue& row : service.classes[priority].workspaces) {
      if (row.waiting > 0 &&
          (most == nullptr ||
           row.waiting * static_cast<std::size_t>(most->weight.value) >
               most->waiting * static_cast<std::size_t>(row.weight.value))) {
        most = &row;
      }
    }
  }
  return most;
}

}  // namespace impl

void EnqueueRequest(World& world, Request& request, QueueEnd end) {
  ServiceTraffic& service = world.requests.services[request.service];
  ClassQueue& queue = service.classes[impl::ClassIndex(request.priority)];
  WorkspaceQueue& workspace = impl::FindOrAddQueue(world, queue, request);
  KindQueue& kind = impl::FindOrAddKindQueue(workspace, request.kind);
  if (workspace.waiting == 0) {
    workspace.virtual_time =
        std::max(workspace.virtual_time, queue.virtual_time);
  }
  if (end == QueueEnd::kFront) {
    kind.exchanges.push_front(request.exchange);
  } else {
    kind.exchanges.push_back(request.exchange);
  }
  ++workspace.waiting;
  ++queue.waiting;
  request.queued = true;
  world.requests.due.emplace(request.deadline, request.exchange);
}

void RemoveWaiting(World& world, const Request& request) {
  if (!request.queued) {
    return;
  }
  ServiceTraffic& service = world.requests.services[request.service];
  ClassQueue& queue = service.classes[impl::ClassIndex(request.priority)];
  WorkspaceQueue& workspace = impl::FindOrAddQueue(world, queue, request);
  --workspace.waiting;
  --queue.waiting;
  if (KindQueue& kind = impl::FindOrAddKindQueue(workspace, request.kind);
      !kind.exchanges.empty() && kind.exchanges.front() == request.exchange) {
    kind.exchanges.pop_front();
  }
  world.requests.due.erase({request.deadline, request.exchange});
}

std::optional<ExchangeId> PeekRequest(World& world,
                                      ServiceTraffic& service,
                                      bool long_allowed) {
  for (ClassQueue& queue : service.classes) {
    if (queue.waiting == 0) {
      continue;
    }
    if (const auto next =
            impl::PeekClass(world, service, queue, long_allowed)) {
      return next;
    }
  }
  return std::nullopt;
}

void DequeueRequest(World& world, ServiceTraffic& service, Request& request) {
  RemoveWaiting(world, request);
  request.queued = false;
  ClassQueue& queue = service.classes[impl::ClassIndex(request.priority)];
  WorkspaceQueue& workspace = impl::FindOrAddQueue(world, queue, request);
  queue.virtual_time = workspace.virtual_time;
  const auto run_time = service.run_times.find(request.kind);
  const Duration cost = run_time == service.run_times.end()
                            ? impl::kDefaultCost
                            : run_time->second.mean;
  workspace.virtual_time += std::max(cost, Duration(1)) /
                            std::max<std::int64_t>(1, workspace.weight.value);
}

std::optional<ExchangeId> ChooseRequestToShed(World& world,
                                              Priority priority,
                                              const Workspace& workspace) {
  for (std::size_t i = kPriorityCount; i-- > impl::ClassIndex(priority);) {
    WorkspaceQueue* most = impl::FindLongestQueue(world, i);
    if (most == nullptr) {
      continue;
    }
    if (i == impl::ClassIndex(priority) && most->workspace == workspace) {
      return std::nullopt;
    }
    return impl::FindNewest(world, *most);
  }
  return std::nullopt;
}

Duration ExpectedRunTime(const ServiceTraffic& service,
                         const Kind& kind,
                         TimePoint now) {
  const auto found = service.run_times.find(kind);
  if (found == service.run_times.end() ||
      found->second.samples < impl::kMinSamples ||
      now - found->second.last_sampled > impl::kEstimateLifetime) {
    return Duration{};
  }
  return found->second.mean;
}

bool IsLongKind(const ServiceTraffic& service, const Kind& kind) {
  const auto found = service.run_times.find(kind);
  if (found == service.run_times.end()) {
    return false;
  }
  return std::any_of(service.run_times.begin(), service.run_times.end(),
                     [&](const auto& other) {
                       return other.second.mean * impl::kLongFactor <=
                              found->second.mean;
                     });
}

}  // namespace chicorystep
