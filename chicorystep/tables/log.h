#ifndef CHICORYSTEP_TABLES_LOG_H_
#define CHICORYSTEP_TABLES_LOG_H_

#include <string>
#include <vector>

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

// That reads of a stream have begun to fail, or succeed again.
struct LogReadState {
  Stream stream;
  bool failing = false;
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
