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

// Address, time-outs and limits for the use of the log service.
struct LogServiceOptions {
  Address address;
  Duration timeout = std::chrono::seconds(5);
  // Maximum number of attempts for one append, including the first.
  std::int64_t append_attempts = 8;
  // How long the service may hold a read open while there are no new records.
  Duration read_wait = std::chrono::seconds(1);
  // Average rate in bytes per second for the reads of one stream (zero means no
  // limit), and the bytes that may be read at once in excess of it.
  Bytes read_rate;
  Bytes read_burst{4 << 20};
  // Seed of the back-off jitter.
  std::uint64_t seed = 1;
};

// Approximate bytes of one exchange with the log service, including headers.
struct LogTraffic {
  Bytes sent;
  Bytes received;
};

enum class LogErrorCode : std::uint8_t {
  // The connection failed, so nothing was sent.
  kUnreachable,
  // The request may have been sent but no answer arrived; an append may have
  // taken effect.
  kNoAnswer,
  // The service rejected the request, or its answer could not be decoded.
  kRejected,
  // The requested records are no longer retained.
  kExpired,
};
struct LogError {
  LogErrorCode code = LogErrorCode::kUnreachable;
  // Set for kExpired only: the oldest retained offset.
  Offset first;
};

// Sends one append request, without retries.
[[nodiscard]] Result<AppendAnswer, LogError> AppendOnce(
    const LogServiceOptions& options,
    const Stream& stream,
    const std::vector<LogRecord>& records);

// Sends one read request for the records from `from` on. The service holds it
// open for up to `wait` when there is no record yet.
[[nodiscard]] Result<ReadAnswer, LogError> ReadOnce(
    const LogServiceOptions& options,
    const Stream& stream,
    Offset from,
    Duration wait);

// Appends and reads on its own threads. Results are reported through callbacks,
// which run on those threads and must not block.
class LogClient {
 public:
  struct Callbacks {
    std::function<void(AppendEnded)> append_ended;
    std::function<void(LogBatch)> batch;
    // Called when the health of a stream's reads changes.
    std::function<void(LogHealthChange)> health_changed;
    // Called after each exchange with its approximate size on the wire.
    std::function<void(LogTraffic)> traffic;
  };

  LogClient(LogServiceOptions options, Callbacks callbacks);
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;
  ~LogClient();

  // Queues an append, which is retried with back-off until it is acknowledged
  // or its attempts are exhausted. Each stream has its own bounded queue; when
  // the queue is full the append fails immediately.
  void Append(AppendRecord record);
  // Reads a stream from an offset on until Unfollow is called. An empty batch
  // is reported the first time that the end of the stream is reached.
  void Follow(const FollowStream& follow);
  void Unfollow(const Stream& stream);

 private:
  // Queue and sender thread for the appends to one stream.
  struct Appender {
    std::deque<AppendRecord> queue;
    std::jthread thread;
  };

  void RunAppends(const std::stop_token& stop,
                  const Stream& stream,
                  Appender& appender);
  void ReportHealth(const Stream& stream,
                    LogHealth& reported,
                    LogHealth current);
  void AppendBatch(const std::stop_token& stop,
                   const Stream& stream,
                   std::vector<LogRecord> records);
  void RunReads(const std::stop_token& stop, const FollowStream& follow);

  LogServiceOptions options;
  Callbacks callbacks;
  std::mutex mutex;
  std::condition_variable_any queued;
  std::map<Stream, std::jthread> readers;
  // Readers with a stop request; they are joined on destruction.
  std::vector<std::jthread> stopped_readers;
  std::map<Stream, Appender> appenders;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_LOG_CLIENT_H_
