#include "chicorystep/traffic/executor_attempt.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "chicorystep/core/outcome.h"
#include "chicorystep/settings/values.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {
namespace impl {

httplib::Headers MakeHeaders(const SendAttempt& attempt,
                             const RequestMessage& request) {
  return {{kRequestIdHeader, request.id.value},
          {kWorkspaceHeader, request.workspace.value},
          {kAttemptHeader, std::to_string(attempt.attempt.value)},
          {kDeadlineHeader, std::to_string(WholeMillis(attempt.timeout))}};
}

AttemptResult ClassifyError(httplib::Error error, bool headers_received) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return AttemptResult::kNotSent;
    default:
      return headers_received ? AttemptResult::kCutShort : AttemptResult::kLost;
  }
}

// The part of the answer received so far; receiving stops beyond `limit`.
struct AnswerReceiver {
  Bytes limit;
  bool headers_received = false;
  std::string body;
};

AttemptResult ClassifyResponse(const httplib::Response& response,
                               const RequestMessage& request) {
  if (response.get_header_value(kRequestIdHeader) != request.id.value) {
    return AttemptResult::kMismatched;
  }
  if (response.get_header_value(kOutcomeHeader) ==
      EnumName(Execution::kNotRun)) {
    return AttemptResult::kRefused;
  }
  return response.status == 200 ? AttemptResult::kAnswered
                                : AttemptResult::kLost;
}

}  // namespace impl

AttemptAnswer RunAttempt(HttpClientPool& clients,
                         const SendAttempt& attempt,
                         const RequestMessage& request) {
  auto client = clients.Acquire(attempt.address);
  SetExchangeTimeout(*client, attempt.timeout);

  impl::AnswerReceiver receiver{.limit = attempt.max_answer};
  httplib::Request message;
  message.method = "POST";
  message.path = "/v1/run/" + request.kind.value;
  message.headers = impl::MakeHeaders(attempt, request);
  message.body = request.body;
  message.set_header("Content-Type", request.content_type);
  message.response_handler = [&](const httplib::Response& head) {
    receiver.headers_received = true;
    const Bytes length(
        ParseCount(head.get_header_value("Content-Length")).value_or(0));
    receiver.body.reserve(
        static_cast<std::size_t>(std::min(length, receiver.limit).value));
    return true;
  };
  message.content_receiver = [&](const char* data, std::size_t length,
                                 std::uint64_t, std::uint64_t) {
    receiver.body.append(data, length);
    return std::cmp_less_equal(receiver.body.size(), receiver.limit.value);
  };

  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (!client->send(message, response, error)) {
    return {.result = impl::ClassifyError(error, receiver.headers_received)};
  }
  AttemptAnswer answer{
      .result = impl::ClassifyResponse(response, request),
      .body = std::move(receiver.body),
      .content_type = response.get_header_value("Content-Type")};
  if (const auto busy =
          ParseCount(response.get_header_value(kBusySlotsHeader))) {
    answer.reported_busy = Slots(*busy);
  }
  clients.Release(attempt.address, std::move(client));
  return answer;
}

}  // namespace chicorystep
