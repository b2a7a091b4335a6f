#include "chicorystep/standin/log_standin.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "chicorystep/encoding/json.h"
#include "chicorystep/encoding/log_messages.h"
#include "chicorystep/settings/values.h"
#include "chicorystep/standin/lost_answer.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, LogFaults& faults) {
  archive("down", faults.down);
  archive("delay_us", faults.delay);
  archive("lose_append_answers", faults.lose_append_answers);
}

namespace impl {

inline constexpr int kBadRequest = 400;
inline constexpr int kGone = 410;
inline constexpr int kUnavailable = 503;

// Applies the faults that affect every call; false when the call is refused.
bool ApplyFaults(LogStandin& standin, httplib::Response& response) {
  Duration delay{};
  {
    const std::scoped_lock lock(standin.mutex);
    if (standin.faults.down) {
      response.status = kUnavailable;
      return false;
    }
    delay = standin.faults.delay;
  }
  std::this_thread::sleep_for(delay);
  return true;
}

Offset NextOffset(const LogStandin::StreamData& data) {
  return Offset(data.first.value + data.records.size());
}

// Appends the records and returns whether the answer must be lost.
bool Append(LogStandin& standin,
            const std::string& stream,
            std::vector<LogRecord> records,
            AppendAnswer& answer) {
  const std::scoped_lock lock(standin.mutex);
  LogStandin::StreamData& data = standin.streams[stream];
  answer.first = NextOffset(data);
  for (LogRecord& record : records) {
    record.offset = NextOffset(data);
    data.records.push_back(std::move(record));
  }
  standin.appended.notify_all();
  if (standin.faults.lose_append_answers > 0) {
    --standin.faults.lose_append_answers;
    return true;
  }
  return false;
}

void HandleAppend(LogStandin& standin,
                  const httplib::Request& request,
                  httplib::Response& response) {
  if (!ApplyFaults(standin, response)) {
    return;
  }
  auto body = DecodeAppendBody(request.body);
  if (!body) {
    response.status = kBadRequest;
    response.set_content(body.error().detail, "text/plain");
    return;
  }
  AppendAnswer answer;
  if (Append(standin, request.matches[1], std::move(body.value().records),
             answer)) {
    LoseAnswer(response);
    return;
  }
  response.set_content(EncodeAppendAnswer(answer), kJsonType);
}

std::int64_t GetNumberParam(const httplib::Request& request, const char* name) {
  return ParseCount(request.get_param_value(name)).value_or(0);
}

void HandleRead(LogStandin& standin,
                const httplib::Request& request,
                httplib::Response& response) {
  if (!ApplyFaults(standin, response)) {
    return;
  }
  const Offset from(
      static_cast<std::uint64_t>(GetNumberParam(request, "from")));
  const auto max = static_cast<std::size_t>(GetNumberParam(request, "max"));
  const std::chrono::milliseconds wait(GetNumberParam(request, "wait_ms"));
  std::unique_lock lock(standin.mutex);
  LogStandin::StreamData& data = standin.streams[request.matches[1]];
  standin.appended.wait_for(
      lock, wait, [&] { return standin.stopping || NextOffset(data) > from; });
  ReadAnswer answer{.first = data.first, .next = from};
  if (from < data.first) {
    response.status = kGone;
  } else if (from < NextOffset(data)) {
    const auto begin =
        data.records.begin() +
        static_cast<std::ptrdiff_t>(from.value - data.first.value);
    const auto available = static_cast<std::size_t>(data.records.end() - begin);
    const auto count = std::min(max, available);
    answer.records.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    answer.next = Offset(from.value + count);
  }
  response.set_content(EncodeReadAnswer(answer), kJsonType);
}

}  // namespace impl

void AddLogRoutes(httplib::Server& server, LogStandin& standin) {
  using httplib::Request;
  using httplib::Response;
  server.Post(R"(/v1/streams/([A-Za-z0-9._-]+)/append)",
              [&standin](const Request& request, Response& response) {
                impl::HandleAppend(standin, request, response);
              });
  server.Get(R"(/v1/streams/([A-Za-z0-9._-]+)/records)",
             [&standin](const Request& request, Response& response) {
               impl::HandleRead(standin, request, response);
             });
  server.Post("/v1/faults",
              [&standin](const Request& request, Response& response) {
                const auto faults = DecodeJson<LogFaults>(request.body);
                if (!faults) {
                  response.status = impl::kBadRequest;
                  return;
                }
                const std::scoped_lock lock(standin.mutex);
                standin.faults = faults.value();
              });
}

void DropLastRecord(LogStandin& standin, const Stream& stream) {
  const std::scoped_lock lock(standin.mutex);
  std::vector<LogRecord>& records = standin.streams[stream.value].records;
  if (!records.empty()) {
    records.pop_back();
  }
}

void ExpireRecords(LogStandin& standin, const Stream& stream, Offset first) {
  const std::scoped_lock lock(standin.mutex);
  LogStandin::StreamData& data = standin.streams[stream.value];
  while (data.first < first && !data.records.empty()) {
    data.records.erase(data.records.begin());
    data.first = Offset(data.first.value + 1);
  }
}

}  // namespace chicorystep
