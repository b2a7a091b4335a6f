#ifndef CHICORYSTEP_TRAFFIC_EXECUTOR_ATTEMPT_H_
#define CHICORYSTEP_TRAFFIC_EXECUTOR_ATTEMPT_H_

#include <optional>
#include <string>
#include <string_view>

#include "chicorystep/core/ids.h"
#include "chicorystep/tables/requests.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {

// A caller's request as the traffic thread sends it to executors. Its body
// stays with the caller's connection, as each copy counts in the memory that a
// connection takes.
struct RequestMessage {
  RequestId id;
  Workspace workspace;
  Kind kind;
  std::string_view body;
  std::string content_type;
};

// The outcome of an attempt. `body` and `content_type` are valid only when
// `result` is kAnswered. `reported_busy` is the number of busy slots that the
// executor reported, if it reported one.
struct AttemptAnswer {
  AttemptResult result = AttemptResult::kLost;
  std::optional<Slots> reported_busy;
  std::string body;
  std::string content_type;
};

// Sends the request to the executor of `attempt` and reads the whole answer.
[[nodiscard]] AttemptAnswer RunAttempt(HttpClientPool& clients,
                                       const SendAttempt& attempt,
                                       const RequestMessage& request);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_EXECUTOR_ATTEMPT_H_
