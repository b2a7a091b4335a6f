#include "chicorystep/systems/config/config_sync.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <tuple>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/config_snapshot.h"
#include "chicorystep/systems/cells/membership.h"
#include "chicorystep/systems/config/config_stream.h"
#include "chicorystep/systems/requests/rendezvous.h"

namespace chicorystep {
namespace impl {

// Number of peers that each process notifies of new records.
inline constexpr std::size_t kRelayFanout = 4;
// How long a process without a base waits for peers before it reads snapshots
// from the log.
inline constexpr Duration kPeerGrace = std::chrono::milliseconds(500);
// How long the log, or a peer in the same region, may take to deliver records
// that a peer has reported before they are fetched from another region.
inline constexpr Duration kNearSourceGrace = std::chrono::milliseconds(300);
// A process whose tables have been older than a peer's for longer than this is
// not ready.
inline constexpr Duration kMaxLag = std::chrono::seconds(1);
// How long a process whose reads failed leaves the reader role to others.
inline constexpr Duration kReaderHoldOff = std::chrono::seconds(10);
inline constexpr Duration kFetchRetryDelay = std::chrono::milliseconds(200);
// Limits on the records in one answer to a fetch.
inline constexpr std::size_t kMaxAnswerRecords = 256;
inline constexpr Bytes kMaxAnswer{256 << 10};

// Detects that the process was paused for longer than the member time-out.
// Others have then considered it dead, and its tables may be out of date.
void DetectPause(World& world, TimePoint now) {
  ConfigSync& sync = world.config_sync;
  if (sync.grace_start == kNever) {
    sync.grace_start = now;
  }
  if (const TimePoint last = std::exchange(sync.last_tick, now);
      last != kNever && now - last > world.self.member_timeout) {
    sync.caught_up = false;
    sync.not_ready_until = now + world.self.member_timeout;
    sync.grace_start = now;
    Log(LogLevel::kWarn, "paused",
        {{"for_ms", (now - last) / std::chrono::milliseconds(1)}});
  }
}

void ApplyLogHealth(ConfigSync& sync, const Inbox& inbox, TimePoint now) {
  for (const LogHealthChange& state : inbox.log_health_changes) {
    if (state.stream == ConfigStream()) {
      sync.log_health = state.health;
      sync.log_failing = state.health == LogHealth::kDown;
      sync.log_failing_until = now + kReaderHoldOff;
      Log(LogLevel::kWarn, "log_health", {{"health", EnumName(state.health)}});
    }
  }
  if (!sync.follows_log && now >= sync.log_failing_until) {
    sync.log_failing = false;
  }
}

void ApplyFetched(World& world, const ConfigFetched& fetched, TimePoint now) {
  ConfigSync& sync = world.config_sync;
  const Offset before = world.config.next;
  sync.fetching_from = EntryId{};
  const ConfigAnswer& answer = fetched.answer;
  if (fetched.answered && (answer.ready || sync.has_base)) {
    if (!answer.snapshot.empty()) {
      AdoptSnapshot(world, answer.snapshot);
    }
    for (const LogRecord& record : answer.records) {
      ApplyRecord(world, record);
    }
    sync.max_peer_offset = std::max(sync.max_peer_offset, answer.next);
    const bool complete = world.config.next >= answer.next;
    sync.has_base |= answer.ready && complete;
    sync.caught_up |= answer.ready && complete;
  }
  if (answer.ready || world.config.next > before) {
    sync.failed_fetches = 0;
    sync.next_fetch = now;
  } else {
    ++sync.failed_fetches;
    sync.next_fetch = now + kFetchRetryDelay;
  }
}

void ApplySnapshots(World& world, const Inbox& inbox) {
  ConfigSync& sync = world.config_sync;
  for (const LogBatch& batch : inbox.log_batches) {
    if (batch.stream != SnapshotStream() || !sync.follows_snapshots) {
      continue;
    }
    for (const LogRecord& record : batch.records) {
      AdoptSnapshot(world, record.data);
    }
    // The end is reached: without a snapshot, the beginning of the stream is
    // the base.
    sync.has_base |= batch.records.empty();
  }
}

bool ShouldFollowSnapshots(const ConfigSync& sync,
                           std::size_t peers,
                           TimePoint now) {
  const bool peers_tried = peers > 0 && sync.failed_fetches >= peers;
  return !sync.has_base &&
         (peers_tried || now >= sync.grace_start + kPeerGrace);
}

void UpdateFollow(bool wanted,
                  bool& follows,
                  const FollowStream& follow,
                  Outbox& outbox) {
  if (wanted && !follows) {
    outbox.follows.push_back(follow);
  } else if (!wanted && follows) {
    outbox.unfollows.push_back(UnfollowStream{follow.stream});
  }
  follows = wanted;
}

bool CanServeFetch(const Member& member) {
  return !member.address.empty() && !member.stopping &&
         (member.listed || member.last_seen != TimePoint::min());
}

// Returns the peers to fetch from, in order of preference: live ones first,
// then those of the same region, then those that have applied the most.
std::vector<const Member*> RankSources(const World& world, TimePoint now) {
  const ConfigSync& sync = world.config_sync;
  const bool any_peer = !sync.has_base || !sync.caught_up;
  const bool include_far =
      any_peer || (sync.behind_since != kNever &&
                   now >= sync.behind_since + kNearSourceGrace);
  std::vector<const Member*> sources;
  for (const Member& member : world.members.table.rows) {
    const bool near = member.region == world.self.region;
    const bool newer = member.config_next > world.config.next;
    if (CanServeFetch(member) &&
        (any_peer || (newer && (near || include_far)))) {
      sources.push_back(&member);
    }
  }
  const auto rank = [&](const Member* member) {
    return std::tuple(!IsAlive(*member, world.self, now),
                      member->region != world.self.region,
                      Offset(~member->config_next.value), member->id);
  };
  std::sort(
      sources.begin(), sources.end(),
      [&](const Member* a, const Member* b) { return rank(a) < rank(b); });
  return sources;
}

bool NeedsFetch(const World& world, TimePoint now) {
  const ConfigSync& sync = world.config_sync;
  if (!sync.has_base || !sync.caught_up) {
    return true;
  }
  if (sync.behind_since == kNever) {
    return false;
  }
  const bool log_may_deliver = sync.follows_log && !sync.log_failing;
  return !log_may_deliver || now >= sync.behind_since + kNearSourceGrace;
}

void StartFetch(World& world,
                const std::vector<const Member*>& sources,
                Outbox& outbox) {
  ConfigSync& sync = world.config_sync;
  const Member& source = *sources[sync.failed_fetches % sources.size()];
  sync.fetching_from = source.id;
  outbox.config_fetches.push_back(FetchConfig{
      source.id, source.address, sync.has_base ? world.config.next : Offset{}});
}

void ChooseSources(World& world, TimePoint now, Outbox& outbox) {
  ConfigSync& sync = world.config_sync;
  const auto sources = RankSources(world, now);
  UpdateFollow(ShouldFollowSnapshots(sync, sources.size(), now),
               sync.follows_snapshots, FollowStream{SnapshotStream(), Offset{}},
               outbox);
  const bool is_reader = ComputeRelayOrder(world, now).front() == world.self.id;
  // After a pause or the loss of the base the follow is restarted, because each
  // follow reports only once that it has reached the end of the stream.
  if (sync.follows_log && is_reader && sync.grace_start == now) {
    UpdateFollow(false, sync.follows_log, {ConfigStream(), Offset{}}, outbox);
  }
  UpdateFollow(sync.has_base && is_reader, sync.follows_log,
               FollowStream{ConfigStream(), world.config.next}, outbox);
  if (sync.fetching_from.empty() && !sources.empty() &&
      now >= sync.next_fetch && NeedsFetch(world, now)) {
    StartFetch(world, sources, outbox);
  }
}

// Notifies the children of this process in the relay tree of new records, by a
// heartbeat.
void NotifyRelayChildren(const World& world, TimePoint now, Outbox& outbox) {
  const std::vector<EntryId> order = ComputeRelayOrder(world, now);
  const auto self = static_cast<std::size_t>(
      std::find(order.begin(), order.end(), world.self.id) - order.begin());
  const std::size_t first = kRelayFanout * self + 1;
  for (std::size_t i = first; i < std::min(first + kRelayFanout, order.size());
       ++i) {
    if (const Member* member = world.members.table.find(order[i])) {
      outbox.heartbeats.push_back(
          SendHeartbeat{member->address, MakeHeartbeat(world)});
    }
  }
}

void UpdateReadiness(World& world, TimePoint now) {
  ConfigSync& sync = world.config_sync;
  if (sync.max_peer_offset <= world.config.next) {
    sync.behind_since = kNever;
  } else if (sync.behind_since == kNever) {
    sync.behind_since = now;
  }
  const bool too_far_behind =
      sync.behind_since != kNever && now - sync.behind_since > kMaxLag;
  const bool ready = sync.has_base && sync.caught_up && !too_far_behind &&
                     now >= sync.not_ready_until;
  if (std::exchange(world.config_ready, ready) != ready) {
    Log(LogLevel::kInfo, ready ? "config_ready" : "config_not_ready",
        {{"next", world.config.next.value},
         {"shown", sync.max_peer_offset.value}});
  }
}

}  // namespace impl

std::vector<EntryId> ComputeRelayOrder(const World& world, TimePoint now) {
  using Ranked = std::tuple<bool, bool, std::uint64_t, EntryId>;
  const auto rank = [](bool stopping, bool failing, const EntryId& id) {
    return Ranked(stopping, failing, ~RendezvousWeight("config-reader", id),
                  id);
  };
  std::vector<Ranked> ranked = {
      rank(world.stopping, world.config_sync.log_failing, world.self.id)};
  for (const Member& member : world.members.table.rows) {
    if (member.region == world.self.region &&
        IsAlive(member, world.self, now)) {
      ranked.push_back(rank(false, member.log_failing, member.id));
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<EntryId> order;
  for (Ranked& entry : ranked) {
    order.push_back(std::move(std::get<EntryId>(entry)));
  }
  return order;
}

ConfigAnswer AnswerConfigFetch(const World& world, Offset from) {
  const ConfigSync& sync = world.config_sync;
  ConfigAnswer answer{.ready = world.config_ready, .next = world.config.next};
  if (!sync.has_base || from >= world.config.next) {
    return answer;
  }
  if (from < sync.recent_from) {
    answer.snapshot = EncodeSnapshot(world.config);
    return answer;
  }
  Bytes size;
  for (const LogRecord& record : sync.recent) {
    if (record.offset >= from) {
      answer.records.push_back(record);
      size += Bytes{static_cast<std::int64_t>(record.data.size())};
    }
    if (answer.records.size() >= impl::kMaxAnswerRecords ||
        size >= impl::kMaxAnswer) {
      break;
    }
  }
  return answer;
}

void SyncConfig(World& world,
                const Inbox& inbox,
                TimePoint now,
                Outbox& outbox) {
  ConfigSync& sync = world.config_sync;
  const Offset before = world.config.next;
  impl::DetectPause(world, now);
  impl::ApplyLogHealth(sync, inbox, now);
  for (const Heartbeat& beat : inbox.heartbeats) {
    sync.max_peer_offset = std::max(sync.max_peer_offset, beat.config_next);
  }
  impl::ApplySnapshots(world, inbox);
  const bool was_based = sync.has_base;
  ApplyConfigBatches(world, inbox);
  if (was_based && !sync.has_base) {
    sync.grace_start = now;
  }
  for (const ConfigFetched& fetched : inbox.configs_fetched) {
    impl::ApplyFetched(world, fetched, now);
  }
  impl::UpdateReadiness(world, now);
  impl::ChooseSources(world, now, outbox);
  if (world.config.next > before) {
    impl::NotifyRelayChildren(world, now, outbox);
  }
}

}  // namespace chicorystep
