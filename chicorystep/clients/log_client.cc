#include "chicorystep/clients/log_client.h"

#include <fmt/format.h>
#include <httplib.h>

#include <chrono>
#include <utility>

#include "chicorystep/clients/backoff.h"
#include "chicorystep/clients/byte_budget.h"
#include "chicorystep/core/logging.h"
#include "chicorystep/traffic/headers.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {
namespace impl {

inline constexpr std::size_t kMaxBatchRecords = 256;
inline constexpr int kHttpGone = 410;
// Bound of the append queue of one stream.
inline constexpr std::size_t kMaxQueuedAppends = 10'000;
// A read is slow when it exceeds its requested wait time by more than this.
inline constexpr Duration kSlowReadMargin = std::chrono::milliseconds(500);
// Consecutive failed reads after which the reads count as down.
inline constexpr int kFailuresUntilDown = 2;

TimePoint SteadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

LogError ToLogError(const httplib::Result& response) {
  if (response) {
    if (response->status == kHttpGone) {
      const auto answer = DecodeReadAnswer(response->body);
      return {LogErrorCode::kExpired, answer ? answer.value().first : Offset{}};
    }
    return {LogErrorCode::kRejected, Offset{}};
  }
  const bool not_sent = response.error() == httplib::Error::Connection ||
                        response.error() == httplib::Error::ConnectionTimeout;
  return {not_sent ? LogErrorCode::kUnreachable : LogErrorCode::kNoAnswer,
          Offset{}};
}

// Estimated size in bytes of a request's line and headers on the wire.
inline constexpr std::size_t kRequestOverhead = 200;

LogTraffic MeasureTraffic(const httplib::Result& response, std::size_t sent) {
  std::size_t received = 0;
  if (response) {
    received = response->body.size();
    for (const auto& [key, value] : response->headers) {
      received += key.size() + value.size() + 4;
    }
  }
  return {Bytes{static_cast<std::int64_t>(sent + kRequestOverhead)},
          Bytes{static_cast<std::int64_t>(received)}};
}

Result<AppendAnswer, LogError> SendAppend(httplib::Client& client,
                                          const Stream& stream,
                                          const std::vector<LogRecord>& records,
                                          LogTraffic& traffic) {
  const std::string body = EncodeAppendBody(AppendBody{records});
  const auto response = client.Post(
      fmt::format("/v1/streams/{}/append", stream.value), body, kJsonType);
  traffic = MeasureTraffic(response, body.size());
  if (!response || response->status != 200) {
    return failure(ToLogError(response));
  }
  auto answer = DecodeAppendAnswer(response->body);
  if (!answer) {
    return failure(LogError{LogErrorCode::kRejected, Offset{}});
  }
  return answer.value();
}

Result<ReadAnswer, LogError> SendRead(httplib::Client& client,
                                      const Stream& stream,
                                      Offset from,
                                      Duration wait,
                                      LogTraffic& traffic) {
  const auto response = client.Get(fmt::format(
      "/v1/streams/{}/records?from={}&max={}&wait_ms={}", stream.value,
      from.value, kMaxBatchRecords, WholeMillis(wait)));
  traffic = MeasureTraffic(response, 0);
  if (!response || response->status != 200) {
    return failure(ToLogError(response));
  }
  auto answer = DecodeReadAnswer(response->body);
  if (!answer) {
    return failure(LogError{LogErrorCode::kRejected, Offset{}});
  }
  return std::move(answer.value());
}

std::unique_ptr<httplib::Client> MakeClient(const LogServiceOptions& options,
                                            Duration wait = Duration{}) {
  auto client = MakeHttpClient(options.address, options.timeout);
  SetExchangeTimeout(*client, options.timeout + wait);
  return client;
}

}  // namespace impl

Result<AppendAnswer, LogError> AppendOnce(
    const LogServiceOptions& options,
    const Stream& stream,
    const std::vector<LogRecord>& records) {
  LogTraffic traffic;
  return impl::SendAppend(*impl::MakeClient(options), stream, records, traffic);
}

Result<ReadAnswer, LogError> ReadOnce(const LogServiceOptions& options,
                                      const Stream& stream,
                                      Offset from,
                                      Duration wait) {
  LogTraffic traffic;
  return impl::SendRead(*impl::MakeClient(options, wait), stream, from, wait,
                        traffic);
}

LogClient::LogClient(LogServiceOptions options, Callbacks callbacks)
    : options(std::move(options)), callbacks(std::move(callbacks)) {}

LogClient::~LogClient() {
  for (auto& [stream, appender] : this->appenders) {
    appender.thread.request_stop();
  }
  for (auto& [stream, reader] : this->readers) {
    reader.request_stop();
  }
}

void LogClient::Append(AppendRecord record) {
  {
    const std::scoped_lock lock(this->mutex);
    Appender& appender = this->appenders[record.stream];
    if (appender.queue.size() < impl::kMaxQueuedAppends) {
      if (!appender.thread.joinable()) {
        appender.thread =
            std::jthread([this, stream = record.stream,
                          &appender](const std::stop_token& stop) {
              this->RunAppends(stop, stream, appender);
            });
      }
      appender.queue.push_back(std::move(record));
      this->queued.notify_all();
      return;
    }
  }
  this->callbacks.append_ended(
      AppendEnded{record.stream, std::move(record.id), false, true});
}

void LogClient::Follow(const FollowStream& follow) {
  this->Unfollow(follow.stream);
  const std::scoped_lock lock(this->mutex);
  this->readers.emplace(follow.stream,
                        [this, follow](const std::stop_token& stop) {
                          this->RunReads(stop, follow);
                        });
}

void LogClient::Unfollow(const Stream& stream) {
  const std::scoped_lock lock(this->mutex);
  if (const auto found = this->readers.find(stream);
      found != this->readers.end()) {
    found->second.request_stop();
    this->stopped_readers.push_back(std::move(found->second));
    this->readers.erase(found);
  }
}

void LogClient::RunAppends(const std::stop_token& stop,
                           const Stream& stream,
                           Appender& appender) {
  while (true) {
    std::unique_lock lock(this->mutex);
    if (!this->queued.wait(lock, stop,
                           [&] { return !appender.queue.empty(); })) {
      return;
    }
    std::vector<LogRecord> records;
    while (!appender.queue.empty() && records.size() < impl::kMaxBatchRecords) {
      AppendRecord& next = appender.queue.front();
      records.push_back(
          LogRecord{Offset{}, std::move(next.id), std::move(next.data)});
      appender.queue.pop_front();
    }
    lock.unlock();
    this->AppendBatch(stop, stream, std::move(records));
  }
}

void LogClient::AppendBatch(const std::stop_token& stop,
                            const Stream& stream,
                            std::vector<LogRecord> records) {
  Backoff backoff{.random = std::minstd_rand(this->options.seed)};
  bool acknowledged = false;
  bool certainly_absent = true;
  for (std::int64_t attempt = 1; attempt <= this->options.append_attempts;
       ++attempt) {
    LogTraffic traffic;
    const auto answer = impl::SendAppend(*impl::MakeClient(this->options),
                                         stream, records, traffic);
    this->callbacks.traffic(traffic);
    acknowledged = answer.has_value();
    if (acknowledged) {
      break;
    }
    certainly_absent &= answer.error().code == LogErrorCode::kUnreachable;
    Log(LogLevel::kWarn, "append_failed",
        {{"stream", stream.value},
         {"attempt", attempt},
         {"code", static_cast<int>(answer.error().code)}});
    if (!WaitUnlessStopped(stop, NextDelay(backoff))) {
      break;
    }
  }
  for (LogRecord& record : records) {
    this->callbacks.append_ended(
        AppendEnded{stream, std::move(record.id), acknowledged,
                    !acknowledged && certainly_absent});
  }
}

void LogClient::ReportHealth(const Stream& stream,
                             LogHealth& reported,
                             LogHealth current) {
  if (std::exchange(reported, current) != current) {
    this->callbacks.health_changed(LogHealthChange{stream, current});
  }
}

void LogClient::RunReads(const std::stop_token& stop,
                         const FollowStream& follow) {
  Backoff backoff{.random = std::minstd_rand(this->options.seed)};
  Offset next = follow.from;
  bool end_reported = false;
  int failures = 0;
  LogHealth health = LogHealth::kWorking;
  ByteBudget budget{.rate = this->options.read_rate,
                    .burst = this->options.read_burst};
  auto client = impl::MakeClient(this->options, this->options.read_wait);
  while (!stop.stop_requested()) {
    LogTraffic traffic;
    const Duration wait = end_reported ? this->options.read_wait : Duration{};
    const auto sent_at = std::chrono::steady_clock::now();
    auto answer = impl::SendRead(*client, follow.stream, next, wait, traffic);
    this->callbacks.traffic(traffic);
    if (const Duration delay =
            Charge(budget, traffic.received, impl::SteadyNow());
        delay > Duration::zero()) {
      Log(LogLevel::kWarn, "read_budget_used_up",
          {{"stream", follow.stream.value}, {"wait_us", delay.count()}});
      WaitUnlessStopped(stop, delay);
    }
    if (!answer) {
      Log(LogLevel::kWarn, "read_failed",
          {{"stream", follow.stream.value},
           {"code", static_cast<int>(answer.error().code)}});
      if (answer.error().code == LogErrorCode::kExpired) {
        next = answer.error().first;
      } else if (++failures >= impl::kFailuresUntilDown) {
        this->ReportHealth(follow.stream, health, LogHealth::kDown);
      }
      WaitUnlessStopped(stop, NextDelay(backoff));
      continue;
    }
    Reset(backoff);
    failures = 0;
    const bool slow = std::chrono::steady_clock::now() - sent_at >
                      wait + impl::kSlowReadMargin;
    this->ReportHealth(follow.stream, health,
                       slow ? LogHealth::kSlow : LogHealth::kWorking);
    ReadAnswer& batch = answer.value();
    const Offset from = std::exchange(next, batch.next);
    if (batch.records.empty() && std::exchange(end_reported, true)) {
      continue;
    }
    this->callbacks.batch(
        LogBatch{follow.stream, std::move(batch.records), next, from});
  }
}

}  // namespace chicorystep
