#include "chicorystep/systems/config_publish.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/config_snapshot.h"
#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/systems/config_stream.h"
#include "chicorystep/systems/membership.h"
#include "chicorystep/systems/rendezvous.h"

namespace chicorystep {
namespace impl {

// Records after which a new snapshot shortens the replay.
inline constexpr std::uint64_t kSnapshotRecords = 1000;
// Snapshots written within the time for which records are kept.
inline constexpr int kSnapshotsPerRetention = 4;
// A process that did not see the newest mark arrive writes a snapshot this
// soon, because it cannot know how old that one is.
inline constexpr Duration kUnknownMarkDelay = std::chrono::minutes(1);
inline constexpr Duration kRetryDelay = std::chrono::seconds(5);
// A zone that holds more is believed soon; one that holds less only after a
// replaced worker would have come back.
inline constexpr Duration kRaiseDelay = std::chrono::seconds(5);
inline constexpr Duration kLowerDelay = std::chrono::minutes(10);

bool IsPublisher(const World& world, TimePoint now) {
  const std::uint64_t own = RendezvousWeight("config-publisher", world.self.id);
  return std::none_of(
      world.members.table.rows.begin(), world.members.table.rows.end(),
      [&](const Member& member) {
        return IsAlive(member, world.self, now) &&
               RendezvousWeight("config-publisher", member.id) > own;
      });
}

void Append(World& world, const Stream& stream, std::string data, Outbox& out) {
  ConfigPublishing& publishing = world.config_publishing;
  publishing.append = RecordId(
      fmt::format("{}-{}-config-{}", world.self.id.value,
                  world.self.incarnation.value, ++publishing.records_written));
  out.appends.push_back(
      AppendRecord{stream, publishing.append, std::move(data)});
}

void NoticeMark(World& world, TimePoint now) {
  ConfigPublishing& publishing = world.config_publishing;
  const Offset newest = world.config.snapshot_next;
  if (newest == publishing.marked) {
    return;
  }
  const bool seen_arriving = publishing.marked != Offset{} || newest.value == 0;
  publishing.marked_at =
      seen_arriving ? now
                    : now - world.self.log_retention / kSnapshotsPerRetention +
                          kUnknownMarkDelay;
  publishing.marked = newest;
}

void EndAppends(World& world,
                const Inbox& inbox,
                TimePoint now,
                Outbox& outbox) {
  ConfigPublishing& publishing = world.config_publishing;
  for (const AppendEnded& ended : inbox.appends_ended) {
    if (publishing.append.empty() || ended.id != publishing.append) {
      continue;
    }
    publishing.append = RecordId{};
    const Offset snapshot = std::exchange(publishing.snapshot_next, Offset{});
    if (!ended.acknowledged) {
      publishing.next_attempt = now + kRetryDelay;
    } else if (snapshot != Offset{}) {
      Append(world, ConfigStream(), EncodeSnapshotMark(SnapshotMark{snapshot}),
             outbox);
    }
  }
}

bool IsSnapshotDue(const World& world, TimePoint now) {
  const Config& config = world.config;
  const Duration age = now - world.config_publishing.marked_at;
  return config.next != Offset{} &&
         (config.next.value - config.snapshot_next.value > kSnapshotRecords ||
          age >= world.self.log_retention / kSnapshotsPerRetention);
}

std::int64_t Total(const std::vector<WorkerGroup>& groups) {
  std::int64_t accelerators = 0;
  for (const WorkerGroup& group : groups) {
    accelerators +=
        group.racks * group.workers_per_rack * group.accelerators.value;
  }
  return accelerators;
}

bool IsLowered(const ZoneCapacities& before, const ZoneCapacities& after) {
  return std::any_of(before.begin(), before.end(), [&](const auto& zone) {
    const auto found = after.find(zone.first);
    return found == after.end() || Total(found->second) < Total(zone.second);
  });
}

void ReportCapacities(World& world, TimePoint now, Outbox& outbox) {
  ConfigPublishing& publishing = world.config_publishing;
  ZoneCapacities listed = CapacitiesOf(world.instances);
  if (listed.empty() || listed == world.config.capacities) {
    publishing.differs_since = kNever;
    return;
  }
  if (publishing.differs_since == kNever) {
    publishing.differs_since = now;
  }
  const Duration delay =
      IsLowered(world.config.capacities, listed) ? kLowerDelay : kRaiseDelay;
  if (now - publishing.differs_since >= delay) {
    publishing.differs_since = kNever;
    Append(world, ConfigStream(),
           EncodeCapacityReport(MakeCapacityReport(listed)), outbox);
  }
}

}  // namespace impl

void PublishConfigRecords(World& world,
                          const Inbox& inbox,
                          TimePoint now,
                          Outbox& outbox) {
  ConfigPublishing& publishing = world.config_publishing;
  impl::NoticeMark(world, now);
  impl::EndAppends(world, inbox, now, outbox);
  if (!publishing.append.empty() || now < publishing.next_attempt ||
      !world.config_ready || world.stopping || !impl::IsPublisher(world, now)) {
    return;
  }
  if (impl::IsSnapshotDue(world, now)) {
    std::string snapshot = EncodeSnapshot(world.config);
    Log(LogLevel::kInfo, "snapshot_written",
        {{"next", world.config.next.value}, {"bytes", snapshot.size()}});
    publishing.snapshot_next = world.config.next;
    impl::Append(world, SnapshotStream(), std::move(snapshot), outbox);
    return;
  }
  impl::ReportCapacities(world, now, outbox);
}

}  // namespace chicorystep
