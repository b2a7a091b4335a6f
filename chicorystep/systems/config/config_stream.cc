#include "chicorystep/systems/config/config_stream.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <variant>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/config_snapshot.h"
#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/systems/config/config_edits.h"

namespace chicorystep {
namespace impl {

void LogEditResult(const LogRecord& record,
                   const Result<Revision, EditError>& verdict) {
  if (verdict) {
    Log(LogLevel::kInfo, "edit_in_force",
        {{"revision", verdict.value().value}});
    return;
  }
  Log(LogLevel::kInfo, "edit_rejected",
      {{"offset", record.offset.value},
       {"reason", EnumName(verdict.error().code)},
       {"detail", verdict.error().detail}});
}

// Size limit of the recent records kept for peers. A peer that needs older
// records gets a snapshot.
inline constexpr Bytes kMaxRecentSize{1 << 20};

Bytes RecordSize(const LogRecord& record) {
  return Bytes{static_cast<std::int64_t>(sizeof(record) + record.data.size())};
}

void CacheForPeers(ConfigSync& sync, const LogRecord& record) {
  sync.recent.push_back(record);
  sync.recent_size += RecordSize(record);
  while (sync.recent_size > kMaxRecentSize) {
    sync.recent_size -= RecordSize(sync.recent.front());
    sync.recent_from = Offset(sync.recent.front().offset.value + 1);
    sync.recent.pop_front();
  }
}

}  // namespace impl

const Stream& ConfigStream() {
  static const Stream stream("config");
  return stream;
}

const Stream& SnapshotStream() {
  static const Stream stream("config.snapshots");
  return stream;
}

Result<Revision, EditError> ApplyConfigRecord(Config& config,
                                              const LogRecord& record) {
  config.next = Offset(record.offset.value + 1);
  const auto decoded = DecodeConfigRecord(record.data);
  if (!decoded) {
    return failure(
        EditError{EditErrorCode::kMalformed, decoded.error().detail});
  }
  if (const auto* edit = std::get_if<Edit>(&decoded.value())) {
    return ApplyEdit(config, *edit, record.id, record.offset);
  }
  if (const auto* report = std::get_if<CapacityReport>(&decoded.value())) {
    ApplyCapacityReport(config, *report);
  } else if (const auto* mark = std::get_if<SnapshotMark>(&decoded.value())) {
    config.snapshot_next = std::max(config.snapshot_next, mark->next);
  }
  return config.revision;
}

void ApplyRecord(World& world, const LogRecord& record) {
  if (record.offset < world.config.next) {
    return;
  }
  const Revision before = world.config.revision;
  const auto verdict = ApplyConfigRecord(world.config, record);
  if (!verdict || verdict.value() != before) {
    impl::LogEditResult(record, verdict);
  }
  impl::CacheForPeers(world.config_sync, record);
}

void AdoptSnapshot(World& world, std::string_view data) {
  auto decoded = DecodeSnapshot(data);
  if (!decoded) {
    Log(LogLevel::kWarn, "snapshot_skipped",
        {{"error", decoded.error().detail}});
    return;
  }
  if (decoded.value().next <= world.config.next) {
    return;
  }
  world.config = std::move(decoded.value());
  ConfigSync& sync = world.config_sync;
  sync.recent.clear();
  sync.recent_size = Bytes{};
  sync.recent_from = world.config.next;
  Log(LogLevel::kInfo, "snapshot_adopted",
      {{"next", world.config.next.value}, {"bytes", data.size()}});
}

void ApplyConfigBatches(World& world, const Inbox& inbox) {
  ConfigSync& sync = world.config_sync;
  for (const LogBatch& batch : inbox.log_batches) {
    if (batch.stream != ConfigStream()) {
      continue;
    }
    if (batch.from > world.config.next) {
      Log(LogLevel::kWarn, "records_expired",
          {{"next", world.config.next.value}, {"first", batch.from.value}});
      sync.has_base = false;
      sync.caught_up = false;
      continue;
    }
    for (const LogRecord& record : batch.records) {
      ApplyRecord(world, record);
    }
    sync.caught_up |= sync.has_base && batch.records.empty() &&
                      batch.next <= world.config.next;
  }
}

}  // namespace chicorystep
