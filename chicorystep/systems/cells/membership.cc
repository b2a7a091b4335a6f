#include "chicorystep/systems/cells/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <unordered_set>
#include <vector>

#include "chicorystep/systems/requests/executor_choice.h"

namespace chicorystep {
namespace impl {

MemberHash HashEntryId(const EntryId& id) {
  return MemberHash(static_cast<std::uint32_t>(
      XXH3_64bits(id.value.data(), id.value.size())));
}

Member& FindOrInsert(Members& members, const EntryId& id) {
  if (Member* known = members.table.find(id)) {
    return *known;
  }
  return members.table.insert(id, Member{.id = id, .hash = HashEntryId(id)});
}

void UpdateListedEntries(World& world, const InstanceList& list) {
  for (Member& member : world.members.table.rows) {
    member.listed = false;
  }
  for (const ListedEntry& entry : list.entries) {
    if (entry.id == world.self.id) {
      continue;
    }
    Member& member = FindOrInsert(world.members, entry.id);
    member.address = entry.address;
    member.zone = entry.zone;
    member.region = entry.region;
    member.listed = true;
    member.leaving = entry.state == InstanceState::kLeaving;
  }
}

// A new executor's limit starts at an equal share of its slots among the
// entries, so that a starting entry does not use all of them.
Executor MakeExecutor(const ListedExecutor& executor,
                      const InstanceList& list) {
  const auto entries = std::max<std::int64_t>(1, std::ssize(list.entries));
  const auto share = (executor.slots.value + entries - 1) / entries;
  return Executor{.listed = executor,
                  .limit = Slots(std::max<std::int64_t>(1, share))};
}

void UpdateListedExecutors(World& world, const InstanceList& list) {
  std::unordered_set<ExecutorId> listed;
  for (const ListedExecutor& executor : list.executors) {
    listed.insert(executor.id);
    if (Executor* known = world.requests.executors.find(executor.id)) {
      known->listed = executor;
    } else {
      world.requests.executors.insert(executor.id,
                                      impl::MakeExecutor(executor, list));
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

// Heartbeats sent per interval, and members listed in each. These bounds keep
// the traffic of a process independent of the number of members. Each heartbeat
// is answered with a heartbeat.
inline constexpr std::size_t kHeartbeatsPerInterval = 4;
inline constexpr std::size_t kMaxSeen = 24;
// An unlisted member is evicted when it has not been seen for this many member
// time-outs.
inline constexpr int kEvictionTimeouts = 10;

void ApplySeen(Members& members, const SeenMember& seen, TimePoint now) {
  for (Member& member : members.table.rows) {
    if (member.hash == seen.member) {
      member.last_seen = std::max(member.last_seen, now - seen.age);
    }
  }
}

void ApplyHeartbeat(World& world, const Heartbeat& beat, TimePoint now) {
  if (beat.id == world.self.id) {
    return;
  }
  Member& member = FindOrInsert(world.members, beat.id);
  // Ignores a late heartbeat of an earlier incarnation. Incarnation numbers
  // come from clocks that may disagree, so a lower number is accepted from a
  // member that has been unresponsive.
  if (beat.incarnation < member.incarnation &&
      IsAlive(member, world.self, now)) {
    return;
  }
  member.incarnation = beat.incarnation;
  member.address = beat.address;
  member.zone = beat.zone;
  member.region = beat.region;
  member.config_next = beat.config_next;
  member.stopping = beat.stopping;
  member.log_failing = beat.log_failing;
  member.last_seen = now;
  for (const SeenMember& seen : beat.seen) {
    ApplySeen(world.members, seen, now);
  }
}

void EvictLostMembers(World& world, TimePoint now) {
  world.members.table.EraseIf([&](const EntryId&, const Member& member) {
    return !member.listed &&
           (member.last_seen == TimePoint::min() ||
            now - member.last_seen >
                kEvictionTimeouts * world.self.member_timeout);
  });
}

// Returns up to kMaxSeen live members; successive calls rotate through all.
std::vector<SeenMember> NextSeenMembers(World& world, TimePoint now) {
  const auto& rows = world.members.table.rows;
  std::vector<SeenMember> seen;
  for (std::size_t i = 0; i < rows.size() && seen.size() < kMaxSeen; ++i) {
    const Member& member = rows[world.members.seen_cursor++ % rows.size()];
    if (IsAlive(member, world.self, now)) {
      seen.push_back(SeenMember{member.hash, now - member.last_seen});
    }
  }
  return seen;
}

// Sends heartbeats to the next members in turn, or to all when this process is
// stopping.
void SendHeartbeats(World& world, TimePoint now, Outbox& outbox) {
  const auto& rows = world.members.table.rows;
  const std::size_t count = world.stopping
                                ? rows.size()
                                : std::min(rows.size(), kHeartbeatsPerInterval);
  Heartbeat own = MakeHeartbeat(world);
  if (rows.size() > kHeartbeatsPerInterval) {
    own.seen = NextSeenMembers(world, now);
  }
  for (std::size_t i = 0; i < count; ++i) {
    const Member& member = rows[world.members.heartbeat_cursor++ % rows.size()];
    outbox.heartbeats.push_back(SendHeartbeat{member.address, own});
  }
}

}  // namespace impl

void ApplyInstanceLists(World& world, const Inbox& inbox) {
  if (inbox.instance_lists.empty()) {
    return;
  }
  world.instances = inbox.instance_lists.back();
  impl::UpdateListedEntries(world, world.instances);
  impl::UpdateListedExecutors(world, world.instances);
}

Heartbeat MakeHeartbeat(const World& world) {
  return Heartbeat{.id = world.self.id,
                   .incarnation = world.self.incarnation,
                   .zone = world.self.zone,
                   .region = world.self.region,
                   .config_next = world.config.next,
                   .stopping = world.stopping,
                   .address = world.self.address,
                   .log_failing = world.config_sync.log_failing};
}

void ExchangeHeartbeats(World& world,
                        const Inbox& inbox,
                        TimePoint now,
                        Outbox& outbox) {
  for (const Heartbeat& beat : inbox.heartbeats) {
    impl::ApplyHeartbeat(world, beat, now);
  }
  if (now < world.members.next_heartbeat) {
    return;
  }
  world.members.next_heartbeat = now + world.self.heartbeat_interval;
  impl::EvictLostMembers(world, now);
  impl::SendHeartbeats(world, now, outbox);
}

bool IsAlive(const Member& member, const Self& self, TimePoint now) noexcept {
  return !member.stopping && member.last_seen != TimePoint::min() &&
         now - member.last_seen <= self.member_timeout;
}

}  // namespace chicorystep
