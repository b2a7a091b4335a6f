#ifndef CHICORYSTEP_TRAFFIC_ADMIN_SERVER_H_
#define CHICORYSTEP_TRAFFIC_ADMIN_SERVER_H_

#include <httplib.h>
#include <functional>

#include "chicorystep/control/loop.h"
#include "chicorystep/traffic/metrics.h"
#include "chicorystep/traffic/recent_refusals.h"

namespace chicorystep {

// Dependencies of the admin handlers; must outlive the server.
struct AdminContext {
  ControlLoop& loop;
  Metrics& metrics;
  RecentRefusals& refusals;
  // Returns what the callers occupy; empty if there are none.
  std::function<ReceivedBytes()> received;
};

// Adds the operators' routes to `server`: /healthz, /readyz, /metrics,
// /v1/state and /v1/refusals/<request id>.
void AddAdminRoutes(httplib::Server& server, AdminContext& context);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_ADMIN_SERVER_H_
