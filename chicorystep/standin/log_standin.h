#ifndef CHICORYSTEP_STANDIN_LOG_STANDIN_H_
#define CHICORYSTEP_STANDIN_LOG_STANDIN_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/log.h"
#include "chicorystep/traffic/http_server.h"

namespace chicorystep {

// Faults of the log stand-in, set by POST /v1/faults.
struct LogFaults {
  // Answers every call with 503.
  bool down = false;
  // Added to every call.
  Duration delay{};
  // How many of the next appends take effect although their answer is lost.
  std::int64_t lose_append_answers = 0;
};

// A minimal log service of the platform for tests.
struct LogStandin {
  struct StreamData {
    // The oldest retained offset.
    Offset first;
    std::vector<LogRecord> records;
  };

  std::mutex mutex;
  std::condition_variable appended;
  std::map<std::string, StreamData> streams;
  LogFaults faults;
  bool stopping = false;
};

// Adds the append and read calls of the service and POST /v1/faults to
// `server`.
void AddLogRoutes(httplib::Server& server, LogStandin& standin);

// Drops the records before `first`, as the service's retention does.
void ExpireRecords(LogStandin& standin, const Stream& stream, Offset first);

// Drops the last record, so that the next append reuses its offset. This
// violates the service's contract, and the history checkers must detect it.
void DropLastRecord(LogStandin& standin, const Stream& stream);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_LOG_STANDIN_H_
