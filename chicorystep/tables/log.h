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

// One record as read back from the log service.
struct LogRecord {
  Offset offset;
  RecordId id;
  std::string data;
};

// Consecutive records of one stream. An empty batch tells that the stream has
// been read up to `next`.
struct LogBatch {
  Stream stream;
  std::vector<LogRecord> records;
  Offset next;
  // The offset that was read from; beyond what the reader asked for when older
  // records are no longer kept.
  Offset from;
};

// How the log service answers the reads of a stream.
enum class LogHealth : std::uint8_t {
  kWorking,
  // It answers, but late.
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

// That the health of a stream's reads has changed.
struct LogReadState {
  Stream stream;
  LogHealth health = LogHealth::kWorking;
};

// Appends one record; the client repeats it until it is acknowledged or its
// attempts are used up.
struct AppendRecord {
  Stream stream;
  RecordId id;
  std::string data;
};

// How an append ended. When `acknowledged` is false the record may be in the
// stream all the same.
struct AppendEnded {
  Stream stream;
  RecordId id;
  bool acknowledged = false;
  // Whether the record certainly is not in the stream.
  bool certainly_absent = false;
};

// Begins or stops reading a stream.
struct FollowStream {
  Stream stream;
  Offset from;
};
struct UnfollowStream {
  Stream stream;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_LOG_H_
