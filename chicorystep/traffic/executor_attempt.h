#ifndef CHICORYSTEP_TRAFFIC_EXECUTOR_ATTEMPT_H_
#define CHICORYSTEP_TRAFFIC_EXECUTOR_ATTEMPT_H_

#include <optional>
#include <string>

#include "chicorystep/core/ids.h"
#include "chicorystep/tables/requests.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {

// What a traffic thread holds of a caller's request.
struct RequestBytes {
  RequestId id;
  Workspace workspace;
  Kind kind;
  std::string body;
  std::string content_type;
};

// How an attempt ended; the answer counts only when `result` is kAnswered.
struct AttemptAnswer {
  AttemptResult result = AttemptResult::kLost;
  std::optional<Slots> reported_busy;
  std::string body;
  std::string content_type;
};

// Sends the request to an executor and reads the whole answer.
[[nodiscard]] AttemptAnswer RunAttempt(HttpClientPool& clients,
                                       const SendAttempt& attempt,
                                       const RequestBytes& request);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_EXECUTOR_ATTEMPT_H_
