#include "chicorystep/traffic/recent_refusals.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <utility>

#include "chicorystep/encoding/json.h"

namespace chicorystep {

void RecordRefusal(RecentRefusals& refusals, RefusedRequest refused) {
  const std::scoped_lock lock(refusals.mutex);
  refusals.rows.push_back(std::move(refused));
  if (refusals.rows.size() > RecentRefusals::kMaxRows) {
    refusals.rows.pop_front();
  }
}

std::string EncodeRefusals(RecentRefusals& refusals, const RequestId& id) {
  Json rows = Json::array();
  const std::scoped_lock lock(refusals.mutex);
  for (const RefusedRequest& row : refusals.rows) {
    if (row.id == id) {
      const auto at = std::chrono::system_clock::to_time_t(row.at);
      rows.push_back(
          {{"time", fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", fmt::gmtime(at))},
           {"workspace", row.workspace.value},
           {"kind", row.kind.value},
           {"outcome", EnumName(row.refusal.execution)},
           {"reason", EnumName(row.refusal.reason)},
           {"detail", row.refusal.detail},
           {"retry_after_us", row.refusal.retry_after.count()}});
    }
  }
  const Json document = {{"request_id", id.value},
                         {"refusals", std::move(rows)}};
  return document.dump(2, ' ', false, Json::error_handler_t::replace);
}

}  // namespace chicorystep
