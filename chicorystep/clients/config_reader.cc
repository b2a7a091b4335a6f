#include "chicorystep/clients/config_reader.h"

#include <utility>

#include "chicorystep/encoding/config_snapshot.h"
#include "chicorystep/systems/config/config_stream.h"

namespace chicorystep {
namespace impl {

// Returns the oldest offset of `stream` that the log service still retains.
Result<Offset, LogError> ReadOldestOffset(const LogServiceOptions& options,
                                          const Stream& stream) {
  auto answer = ReadOnce(options, stream, Offset{}, Duration{});
  if (answer) {
    return answer.value().first;
  }
  if (answer.error().code == LogErrorCode::kExpired) {
    return answer.error().first;
  }
  return failure(answer.error());
}

bool CanReplayFrom(const Result<Config, DecodingError>& snapshot,
                   Offset first,
                   Offset limit) {
  return snapshot && snapshot.value().next >= first &&
         snapshot.value().next <= limit;
}

}  // namespace impl

Result<Config, LogError> ReadConfigBase(const LogServiceOptions& options,
                                        Offset limit,
                                        SnapshotChoice choice) {
  BOOST_OUTCOME_TRY(first, impl::ReadOldestOffset(options, ConfigStream()));
  if (first == Offset{}) {
    return Config{};
  }
  Config base;
  BOOST_OUTCOME_TRY(next, impl::ReadOldestOffset(options, SnapshotStream()));
  while (true) {
    BOOST_OUTCOME_TRY(answer,
                      ReadOnce(options, SnapshotStream(), next, Duration{}));
    if (answer.records.empty()) {
      break;
    }
    for (const LogRecord& record : answer.records) {
      auto snapshot = DecodeSnapshot(record.data);
      const bool wanted =
          base.next == Offset{} || choice == SnapshotChoice::kNewest;
      if (impl::CanReplayFrom(snapshot, first, limit) && wanted &&
          snapshot.value().next > base.next) {
        base = std::move(snapshot.value());
      }
    }
    next = answer.next;
  }
  if (base.next == Offset{}) {
    return failure(LogError{LogErrorCode::kExpired, first});
  }
  return base;
}

Result<void, LogError> ReplayConfig(const LogServiceOptions& options,
                                    Offset limit,
                                    Config& config,
                                    const ConfigVisitor& visit) {
  while (config.next < limit) {
    BOOST_OUTCOME_TRY(
        answer, ReadOnce(options, ConfigStream(), config.next, Duration{}));
    if (answer.records.empty()) {
      break;
    }
    for (const LogRecord& record : answer.records) {
      if (record.offset < limit) {
        visit(record, ApplyConfigRecord(config, record));
      }
    }
  }
  return success();
}

}  // namespace chicorystep
