#ifndef CHICORYSTEP_CLIENTS_LOG_CLIENT_H_
#define CHICORYSTEP_CLIENTS_LOG_CLIENT_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <stop_token>
#include <thread>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/result.h"
#include "chicorystep/core/units.h"
#include "chicorystep/encoding/log_messages.h"
#include "chicorystep/tables/log.h"

namespace chicorystep {

// How the log service is reached and how long it may take.
struct LogServiceOptions {
  Address address;
  Duration timeout = std::chrono::seconds(5);
  // Attempts for one append, the first included.
  std::int64_t append_attempts = 8;
  // How long one read waits at the service for new records.
  Duration read_wait = std::chrono::seconds(1);
  // Bytes a second that the reads of one stream may take on average, and at
  // once beyond that; zero for no limit.
  Bytes read_rate;
  Bytes read_burst{4 << 20};
  // Seeds the jitter of the backoff.
  std::uint64_t seed = 1;
};

// Bytes of one exchange with the log service, headers included.
struct LogTraffic {
  Bytes sent;
  Bytes received;
};

enum class LogErrorCode : std::uint8_t {
  // Nothing was sent.
  kUnreachable,
  // Something was sent; an append may have taken effect.
  kNoAnswer,
  // The service refused, or its answer could not be read.
  kRejected,
  // The records asked for are no longer kept.
  kExpired,
};
struct LogError {
  LogErrorCode code = LogErrorCode::kUnreachable;
  // With kExpired: the oldest offset that is kept.
  Offset first;
};

// One append, without a repeat.
[[nodiscard]] Result<AppendAnswer, LogError> AppendOnce(
    const LogServiceOptions& options,
    const Stream& stream,
    const std::vector<LogRecord>& records);

// One read of the records from `from` on; waits up to `wait` for the first.
[[nodiscard]] Result<ReadAnswer, LogError> ReadOnce(
    const LogServiceOptions& options,
    const Stream& stream,
    Offset from,
    Duration wait);

// Appends and reads on threads of its own and reports through callbacks, which
// run on those threads and must not block.
class LogClient {
 public:
  struct Callbacks {
    std::function<void(AppendEnded)> append_ended;
    std::function<void(LogBatch)> batch;
    // Called when the health of a stream's reads changes.
    std::function<void(LogReadState)> read_state;
    // Called after each exchange with about what it took on the wire.
    std::function<void(LogTraffic)> traffic;
  };

  LogClient(LogServiceOptions options, Callbacks callbacks);
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;
  ~LogClient();

  // Queues an append; repeated with backoff until acknowledged or given up.
  // Each stream has its own queue, and a full one refuses at once.
  void Append(AppendRecord record);
  // Reads a stream from an offset on until told to stop. The first time that
  // the end is reached an empty batch is reported.
  void Follow(const FollowStream& follow);
  void Unfollow(const Stream& stream);

 private:
  // The appends to one stream and the thread that sends them.
  struct Appender {
    std::deque<AppendRecord> queue;
    std::jthread thread;
  };

  void RunAppends(const std::stop_token& stop,
                  const Stream& stream,
                  Appender& appender);
  void ReportHealth(const Stream& stream, LogHealth& known, LogHealth now);
  void AppendBatch(const std::stop_token& stop,
                   const Stream& stream,
                   std::vector<LogRecord> records);
  void RunReads(const std::stop_token& stop, const FollowStream& follow);

  LogServiceOptions options;
  Callbacks callbacks;
  std::mutex mutex;
  std::condition_variable_any queued;
  std::map<Stream, std::jthread> readers;
  // Readers told to stop, joined at the end.
  std::vector<std::jthread> stopped_readers;
  std::map<Stream, Appender> appenders;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_LOG_CLIENT_H_
