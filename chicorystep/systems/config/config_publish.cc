#include "chicorystep/systems/config/config_publish.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/config_snapshot.h"
#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/systems/cells/membership.h"
#include "chicorystep/systems/config/config_stream.h"
#include "chicorystep/systems/requests/rendezvous.h"

namespace chicorystep {
namespace impl {

// Number of records after which a new snapshot is written, to bound the replay.
inline constexpr std::uint64_t kRecordsPerSnapshot = 1000;
// Number of snapshots written per retention period of the log.
inline constexpr int kSnapshotsPerRetention = 4;
// Delay until the next snapshot in a process that did not observe the arrival
// of the newest snapshot mark, so that the age of that snapshot is unknown.
inline constexpr Duration kUnknownMarkDelay = std::chrono::minutes(1);
inline constexpr Duration kRetryDelay = std::chrono::seconds(5);
// How long the listed capacity must differ before it is recorded. An increase
// is recorded soon; a decrease only after a replaced worker would have
// returned.
inline constexpr Duration kIncreaseDelay = std::chrono::seconds(5);
inline constexpr Duration kDecreaseDelay = std::chrono::minutes(10);

bool IsPublisher(const World& world, TimePoint now) {
  const std::uint64_t own = RendezvousWeight("config-publisher", world.self.id);
  return std::none_of(
      world.members.table.rows.begin(), world.members.table.rows.end(),
      [&](const Member& member) {
        return IsAlive(member, world.self, now) &&
               RendezvousWeight("config-publisher", member.id) > own;
      });
}

void StartAppend(World& world,
                 const Stream& stream,
                 std::string data,
                 Outbox& outbox) {
  ConfigPublishing& publishing = world.config_publishing;
  publishing.append_in_flight = RecordId(
      fmt::format("{}-{}-config-{}", world.self.id.value,
                  world.self.incarnation.value, ++publishing.records_written));
  outbox.appends.push_back(
      AppendRecord{stream, publishing.append_in_flight, std::move(data)});
}

void TrackNewestMark(World& world, TimePoint now) {
  ConfigPublishing& publishing = world.config_publishing;
  const Offset newest = world.config.snapshot_next;
  if (newest == publishing.newest_mark) {
    return;
  }
  const bool arrival_observed =
      publishing.newest_mark != Offset{} || newest.value == 0;
  publishing.newest_mark_at =
      arrival_observed
          ? now
          : now - world.self.log_retention / kSnapshotsPerRetention +
                kUnknownMarkDelay;
  publishing.newest_mark = newest;
}

void HandleAppendResults(World& world,
                         const Inbox& inbox,
                         TimePoint now,
                         Outbox& outbox) {
  ConfigPublishing& publishing = world.config_publishing;
  for (const AppendEnded& ended : inbox.appends_ended) {
    if (publishing.append_in_flight.empty() ||
        ended.id != publishing.append_in_flight) {
      continue;
    }
    publishing.append_in_flight = RecordId{};
    const Offset snapshot = std::exchange(publishing.snapshot_next, Offset{});
    if (!ended.acknowledged) {
      publishing.next_attempt = now + kRetryDelay;
    } else if (snapshot != Offset{}) {
      StartAppend(world, ConfigStream(),
                  EncodeSnapshotMark(SnapshotMark{snapshot}), outbox);
    }
  }
}

bool IsSnapshotDue(const World& world, TimePoint now) {
  const Config& config = world.config;
  const Duration age = now - world.config_publishing.newest_mark_at;
  return config.next != Offset{} &&
         (config.next.value - config.snapshot_next.value >
              kRecordsPerSnapshot ||
          age >= world.self.log_retention / kSnapshotsPerRetention);
}

std::int64_t CountAccelerators(const std::vector<WorkerGroup>& groups) {
  std::int64_t accelerators = 0;
  for (const WorkerGroup& group : groups) {
    accelerators +=
        group.racks * group.workers_per_rack * group.accelerators.value;
  }
  return accelerators;
}

bool HasDecreased(const ZoneCapacities& before, const ZoneCapacities& after) {
  return std::any_of(before.begin(), before.end(), [&](const auto& zone) {
    const auto found = after.find(zone.first);
    return found == after.end() ||
           CountAccelerators(found->second) < CountAccelerators(zone.second);
  });
}

void ReportCapacities(World& world, TimePoint now, Outbox& outbox) {
  ConfigPublishing& publishing = world.config_publishing;
  ZoneCapacities listed = ComputeZoneCapacities(world.instances);
  if (listed.empty() || listed == world.config.capacities) {
    publishing.differs_since = kNever;
    return;
  }
  if (publishing.differs_since == kNever) {
    publishing.differs_since = now;
  }
  const Duration delay = HasDecreased(world.config.capacities, listed)
                             ? kDecreaseDelay
                             : kIncreaseDelay;
  if (now - publishing.differs_since >= delay) {
    publishing.differs_since = kNever;
    StartAppend(world, ConfigStream(),
                EncodeCapacityReport(MakeCapacityReport(listed)), outbox);
  }
}

}  // namespace impl

void PublishConfigRecords(World& world,
                          const Inbox& inbox,
                          TimePoint now,
                          Outbox& outbox) {
  ConfigPublishing& publishing = world.config_publishing;
  impl::TrackNewestMark(world, now);
  impl::HandleAppendResults(world, inbox, now, outbox);
  if (!publishing.append_in_flight.empty() || now < publishing.next_attempt ||
      !world.config_ready || world.stopping || !impl::IsPublisher(world, now)) {
    return;
  }
  if (impl::IsSnapshotDue(world, now)) {
    std::string snapshot = EncodeSnapshot(world.config);
    Log(LogLevel::kInfo, "snapshot_written",
        {{"next", world.config.next.value}, {"bytes", snapshot.size()}});
    publishing.snapshot_next = world.config.next;
    impl::StartAppend(world, SnapshotStream(), std::move(snapshot), outbox);
    return;
  }
  impl::ReportCapacities(world, now, outbox);
}

}  // namespace chicorystep
