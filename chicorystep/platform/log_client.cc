#include "chicorystep/platform/log_client.h"

#include <fmt/format.h>
#include <httplib.h>

#include <chrono>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/platform/backoff.h"
#include "chicorystep/traffic/headers.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {
namespace impl {

inline constexpr std::size_t kMaxBatch = 256;
inline constexpr int kGone = 410;
// Consecutive reads that must fail before the stream counts as failing.
inline constexpr int kFailingAfter = 2;

LogError ErrorOf(const httplib::Result& response) {
  if (response) {
    if (response->status == kGone) {
      const auto answer = DecodeReadAnswer(response->body);
      return {LogErrorCode::kExpired, answer ? answer.value().first : Offset{}};
    }
    return {LogErrorCode::kRejected, Offset{}};
  }
  const bool unsent = response.error() == httplib::Error::Connection ||
                      response.error() == httplib::Error::ConnectionTimeout;
  return {unsent ? LogErrorCode::kUnreachable : LogErrorCode::kNoAnswer,
          Offset{}};
}

// What a request without its body takes on the wire.
inline constexpr std::size_t kRequestOverhead = 200;

LogTraffic TrafficOf(const httplib::Result& response, std::size_t sent) {
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

Result<AppendAnswer, LogError> AppendWith(httplib::Client& client,
                                          const Stream& stream,
                                          const std::vector<LogRecord>& records,
                                          LogTraffic& traffic) {
  const std::string body = EncodeAppendBody(AppendBody{records});
  const auto response = client.Post(
      fmt::format("/v1/streams/{}/append", stream.value), body, kJsonType);
  traffic = TrafficOf(response, body.size());
  if (!response || response->status != 200) {
    return failure(ErrorOf(response));
  }
  auto answer = DecodeAppendAnswer(response->body);
  if (!answer) {
    return failure(LogError{LogErrorCode::kRejected, Offset{}});
  }
  return answer.value();
}

Result<ReadAnswer, LogError> ReadWith(httplib::Client& client,
                                      const Stream& stream,
                                      Offset from,
                                      Duration wait,
                                      LogTraffic& traffic) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const auto response =
      client.Get(fmt::format("/v1/streams/{}/records?from={}&max={}&wait_ms={}",
                             stream.value, from.value, kMaxBatch, wait_ms));
  traffic = TrafficOf(response, 0);
  if (!response || response->status != 200) {
    return failure(ErrorOf(response));
  }
  auto answer = DecodeReadAnswer(response->body);
  if (!answer) {
    return failure(LogError{LogErrorCode::kRejected, Offset{}});
  }
  return std::move(answer.value());
}

std::unique_ptr<httplib::Client> Connect(const LogServiceOptions& options,
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
  return impl::AppendWith(*impl::Connect(options), stream, records, traffic);
}

Result<ReadAnswer, LogError> ReadOnce(const LogServiceOptions& options,
                                      const Stream& stream,
                                      Offset from,
                                      Duration wait) {
  LogTraffic traffic;
  return impl::ReadWith(*impl::Connect(options, wait), stream, from, wait,
                        traffic);
}

LogClient::LogClient(LogServiceOptions options, Callbacks callbacks)
    : options(std::move(options)),
      callbacks(std::move(callbacks)),
      appender(
          [this](const std::stop_token& stop) { this->RunAppends(stop); }) {}

LogClient::~LogClient() {
  this->appender.request_stop();
  for (auto& [stream, reader] : this->readers) {
    reader.request_stop();
  }
}

void LogClient::Append(AppendRecord record) {
  {
    const std::scoped_lock lock(this->mutex);
    this->appends.push_back(std::move(record));
  }
  this->queued.notify_one();
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

void LogClient::RunAppends(const std::stop_token& stop) {
  while (true) {
    std::unique_lock lock(this->mutex);
    if (!this->queued.wait(lock, stop,
                           [this] { return !this->appends.empty(); })) {
      return;
    }
    const Stream stream = this->appends.front().stream;
    std::vector<LogRecord> records;
    while (!this->appends.empty() && this->appends.front().stream == stream &&
           records.size() < impl::kMaxBatch) {
      AppendRecord& next = this->appends.front();
      records.push_back(
          LogRecord{Offset{}, std::move(next.id), std::move(next.data)});
      this->appends.pop_front();
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
  for (std::int64_t attempt = 1; attempt <= this->options.append_attempts;
       ++attempt) {
    LogTraffic traffic;
    const auto answer = impl::AppendWith(*impl::Connect(this->options), stream,
                                         records, traffic);
    this->callbacks.traffic(traffic);
    if (answer) {
      acknowledged = true;
      break;
    }
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
        AppendEnded{stream, std::move(record.id), acknowledged});
  }
}

void LogClient::RunReads(const std::stop_token& stop,
                         const FollowStream& follow) {
  Backoff backoff{.random = std::minstd_rand(this->options.seed)};
  Offset next = follow.from;
  bool end_reported = false;
  int failures = 0;
  auto client = impl::Connect(this->options, this->options.read_wait);
  while (!stop.stop_requested()) {
    LogTraffic traffic;
    auto answer = impl::ReadWith(
        *client, follow.stream, next,
        end_reported ? this->options.read_wait : Duration{}, traffic);
    this->callbacks.traffic(traffic);
    if (!answer) {
      Log(LogLevel::kWarn, "read_failed",
          {{"stream", follow.stream.value},
           {"code", static_cast<int>(answer.error().code)}});
      if (answer.error().code == LogErrorCode::kExpired) {
        next = answer.error().first;
      } else if (++failures == impl::kFailingAfter) {
        this->callbacks.read_state(LogReadState{follow.stream, true});
      }
      WaitUnlessStopped(stop, NextDelay(backoff));
      continue;
    }
    Reset(backoff);
    if (std::exchange(failures, 0) >= impl::kFailingAfter) {
      this->callbacks.read_state(LogReadState{follow.stream, false});
    }
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
