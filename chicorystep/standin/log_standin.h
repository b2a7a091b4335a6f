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

// What the log stand-in does wrong; changed while it runs by POST /v1/faults.
struct LogFaults {
  // Refuses everything with 503.
  bool down = false;
  // Added to every call.
  Duration delay{};
  // The next appends that take effect but whose answer is lost.
  std::int64_t lose_append_answers = 0;
};

// A small stand-in of the platform's log service.
struct LogStandin {
  struct StreamData {
    // The oldest offset kept.
    Offset first;
    std::vector<LogRecord> records;
  };

  std::mutex mutex;
  std::condition_variable appended;
  std::map<std::string, StreamData> streams;
  LogFaults faults;
  bool stopping = false;
};

// Adds the service's interface and its faults to `server`.
void AddLogRoutes(httplib::Server& server, LogStandin& standin);

// Drops records before `first`, as the service's retention does.
void ExpireRecords(LogStandin& standin, const Stream& stream, Offset first);

// Breaks the service's promise, which the checkers of histories must catch:
// loses the last record, so that the next one takes its offset.
void ForgetLastRecord(LogStandin& standin, const Stream& stream);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_LOG_STANDIN_H_
