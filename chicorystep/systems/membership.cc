#include "chicorystep/systems/membership.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

#include "chicorystep/systems/executor_choice.h"

namespace chicorystep {
namespace impl {

void ListEntries(World& world, const InstanceList& list) {
  for (Member& member : world.members.table.rows) {
    member.listed = false;
  }
  for (const ListedEntry& entry : list.entries) {
    if (entry.id == world.self.id) {
      continue;
    }
    Member* member = world.members.table.find(entry.id);
    if (member == nullptr) {
      member = &world.members.table.insert(entry.id, Member{.id = entry.id});
    }
    member->address = entry.address;
    member->zone = entry.zone;
    member->region = entry.region;
    member->listed = true;
    member->leaving = entry.state == InstanceState::kLeaving;
  }
}

// A new executor begins with an equal part of its slots, so that a starting
// entry does not take them all.
Executor NewExecutor(const ListedExecutor& executor, const InstanceList& list) {
  const auto entries = std::max<std::int64_t>(1, std::ssize(list.entries));
  const auto part = (executor.slots.value + entries - 1) / entries;
  return Executor{.listed = executor,
                  .limit = Slots(std::max<std::int64_t>(1, part))};
}

void ListExecutors(World& world, const InstanceList& list) {
  std::unordered_set<ExecutorId> listed;
  for (const ListedExecutor& executor : list.executors) {
    listed.insert(executor.id);
    if (Executor* known = world.requests.executors.find(executor.id)) {
      known->listed = executor;
    } else {
      world.requests.executors.insert(executor.id,
                                      impl::NewExecutor(executor, list));
    }
  }
  world.requests.executors.EraseIf(
      [&](const ExecutorId& id, const Executor& row) {
        return !listed.contains(id) && row.in_flight == Slots{0};
      });
  for (Executor& executor : world.requests.executors.rows) {
    if (!listed.contains(executor.listed.id)) {
      executor.listed.state = InstanceState::kLeaving;
    }
  }
  IndexExecutors(world);
}

}  // namespace impl

void ApplyInstanceLists(World& world, const Inbox& inbox) {
  if (inbox.instance_lists.empty()) {
    return;
  }
  world.instances = inbox.instance_lists.back();
  impl::ListEntries(world, world.instances);
  impl::ListExecutors(world, world.instances);
}

void ExchangeHeartbeats(World& world,
                        const Inbox& inbox,
                        TimePoint now,
                        Outbox& outbox) {
  for (const Heartbeat& beat : inbox.heartbeats) {
    Member* member = world.members.table.find(beat.id);
    if (member == nullptr) {
      continue;
    }
    member->incarnation = beat.incarnation;
    member->config_next = beat.config_next;
    member->stopping = beat.stopping;
    member->heard = now;
  }
  if (now < world.members.next_heartbeat) {
    return;
  }
  world.members.next_heartbeat = now + world.self.heartbeat_interval;
  const Heartbeat own{.id = world.self.id,
                      .incarnation = world.self.incarnation,
                      .zone = world.self.zone,
                      .region = world.self.region,
                      .config_next = world.config.next,
                      .stopping = world.stopping};
  for (const Member& member : world.members.table.rows) {
    if (member.listed) {
      outbox.heartbeats.push_back(SendHeartbeat{member.address, own});
    }
  }
}

bool IsAlive(const Member& member, const Self& self, TimePoint now) noexcept {
  return !member.stopping && member.heard != TimePoint::min() &&
         now - member.heard <= self.member_timeout;
}

}  // namespace chicorystep
