#include "chicorystep/systems/config_stream.h"

#include <algorithm>
#include <variant>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/systems/config_edits.h"

namespace chicorystep {
namespace impl {

void LogVerdict(const LogRecord& record,
                const Result<Revision, EditError>& verdict) {
  if (verdict) {
    Log(LogLevel::kInfo, "edit_in_force",
        {{"revision", verdict.value().value}});
    return;
  }
  Log(LogLevel::kInfo, "edit_rejected",
      {{"offset", record.offset.value},
       {"reason", NameOf(verdict.error().code)},
       {"detail", verdict.error().detail}});
}

}  // namespace impl

const Stream& ConfigStream() {
  static const Stream stream("config");
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

void ApplyConfigBatches(World& world, const Inbox& inbox) {
  for (const LogBatch& batch : inbox.log_batches) {
    if (batch.stream != ConfigStream()) {
      continue;
    }
    for (const LogRecord& record : batch.records) {
      if (record.offset >= world.config.next) {
        impl::LogVerdict(record, ApplyConfigRecord(world.config, record));
      }
    }
    if (batch.records.empty() && batch.next <= world.config.next) {
      world.config_ready = true;
    }
  }
}

}  // namespace chicorystep
