#ifndef CHICORYSTEP_TABLES_LOG_H_
#define CHICORYSTEP_TABLES_LOG_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"

namespace chicorystep {

// One record read from the log service.
struct LogRecord {
  Offset offset;
  RecordId id;
  std::string data;
};

// Consecutive records of one stream. An empty batch means that the stream has
// been read up to its end, `next`.
struct LogBatch {
  Stream stream;
  std::vector<LogRecord> records;
  Offset next;
  // The offset at which the read started. It is higher than the offset that the
  // reader had reached when older records are no longer retained.
  Offset from;
};

// Health of the reads of a stream.
enum class LogHealth : std::uint8_t {
  kWorking,
  // Reads succeed, but exceed their expected duration.
  kSlow,
  // Reads fail.
  kDown,
};
template <>
inline constexpr std::array kEnumNames<LogHealth> = {
    std::string_view("working"),
    std::string_view("slow"),
    std::string_view("down"),
};

// Reports a change in the health of a stream's reads.
struct LogHealthChange {
  Stream stream;
  LogHealth health = LogHealth::kWorking;
};

// Appends one record. The log client retries until the record is acknowledged
// or its attempts are exhausted.
struct AppendRecord {
  Stream stream;
  RecordId id;
  std::string data;
};

// The result of an append. When `acknowledged` is false the record may still be
// in the stream, unless `certainly_absent` is set.
struct AppendEnded {
  Stream stream;
  RecordId id;
  bool acknowledged = false;
  // Whether the record is guaranteed not to be in the stream.
  bool certainly_absent = false;
};

// Starts reading a stream continuously from the offset `from`.
struct FollowStream {
  Stream stream;
  Offset from;
};
// Stops reading a stream.
struct UnfollowStream {
  Stream stream;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_LOG_H_
