#ifndef CHICORYSTEP_TRAFFIC_ADMIN_SERVER_H_
#define CHICORYSTEP_TRAFFIC_ADMIN_SERVER_H_

#include <httplib.h>
#include <prometheus/registry.h>

#include "chicorystep/control/loop.h"

namespace chicorystep {

// Adds the operators' interface: /healthz, /readyz, /metrics and /v1/state.
void AddAdminRoutes(httplib::Server& server,
                    ControlLoop& loop,
                    prometheus::Registry& registry);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_ADMIN_SERVER_H_
