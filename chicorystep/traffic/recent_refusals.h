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

// The newest refusals of this process, kept so that operators can look up why a
// request was refused. The functions below are thread-safe.
struct RecentRefusals {
  // The oldest row is evicted beyond this number.
  static constexpr std::size_t kMaxRows = 1000;

  std::mutex mutex;
  std::deque<RefusedRequest> rows;
};

void RecordRefusal(RecentRefusals& refusals, RefusedRequest refused);

// Encodes the refusals kept for the request `id` as JSON, oldest first.
[[nodiscard]] std::string EncodeRefusals(RecentRefusals& refusals,
                                         const RequestId& id);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_RECENT_REFUSALS_H_
