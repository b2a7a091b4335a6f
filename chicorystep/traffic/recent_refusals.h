#ifndef CHICORYSTEP_TRAFFIC_RECENT_REFUSALS_H_
#define CHICORYSTEP_TRAFFIC_RECENT_REFUSALS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/outcome.h"

namespace chicorystep {

// A request that this process refused.
struct RefusedRequest {
  std::chrono::system_clock::time_point at;
  RequestId id;
  Workspace workspace;
  Kind kind;
  Refusal refusal;
};

// The newest refusals, so that operators can ask why; safe from any thread.
struct RecentRefusals {
  static constexpr std::size_t kKept = 1000;

  std::mutex mutex;
  std::deque<RefusedRequest> rows;
};

void Remember(RecentRefusals& refusals, RefusedRequest refused);

// The refusals of requests with this id as JSON, oldest first.
[[nodiscard]] std::string EncodeRefusalsOf(RecentRefusals& refusals,
                                           const RequestId& id);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_RECENT_REFUSALS_H_
