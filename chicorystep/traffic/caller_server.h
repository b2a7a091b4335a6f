#ifndef CHICORYSTEP_TRAFFIC_CALLER_SERVER_H_
#define CHICORYSTEP_TRAFFIC_CALLER_SERVER_H_

#include "chicorystep/control/loop.h"
#include "chicorystep/settings/entry_settings.h"
#include "chicorystep/traffic/exchange.h"
#include "chicorystep/traffic/http_client.h"
#include "chicorystep/traffic/http_server.h"
#include "chicorystep/traffic/metrics.h"
#include "chicorystep/traffic/recent_refusals.h"

namespace chicorystep {

// Dependencies of the caller handlers; must outlive the server.
struct CallerContext {
  ControlLoop& loop;
  ExchangeDispatcher& dispatcher;
  HttpClientPool& executors;
  const EntrySettings& settings;
  RecentRefusals& refusals;
  Metrics& metrics;
};

// Adds the routes for requests and jobs to `server`. The handlers transfer data
// and wait; the systems on the control thread decide what happens to a request.
void AddCallerRoutes(httplib::Server& server, CallerContext& context);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_CALLER_SERVER_H_
