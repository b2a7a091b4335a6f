#ifndef CHICORYSTEP_TABLES_WORKFLOW_CONFIG_H_
#define CHICORYSTEP_TABLES_WORKFLOW_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/workflows.h"

namespace chicorystep {

// Version of a published configuration. Versions increase, but not by one.
using ConfigVersion = Id<struct ConfigVersionTag, std::uint64_t>;
// Secret that authenticates a caller as a member of a workspace. Never logged.
using ApiKey = Id<struct ApiKeyTag, std::string>;

// Maps a host and path prefix to a service, with the terms of the workflows
// that are submitted there.
struct WorkflowRoute {
  RouteName name;
  std::string host;
  std::string path_prefix;
  Service service;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  Duration target{};
  double stretch = 1.0;
  // Callers need no API key.
  bool open = false;
  // Workers that serve this route need a ticket from the platform's advice
  // service. The scheduler does not use this.
  bool needs_advice = false;
};

struct WorkflowService {
  // Workers reject a task that exceeds their free capacity.
  bool enforces_capacity = true;
  // The workers of the service are switched off.
  bool standby = false;
};

struct WorkflowWorkspace {
  // Accelerators that are always available to the most urgent work of the
  // workspace.
  Accelerators guaranteed;
};

// Limits on the requests of callers.
struct CallLimits {
  Bytes max_head{16 << 10};
  Bytes max_body{256 << 10};
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// One complete published configuration.
struct WorkflowConfig {
  ConfigVersion version;
  std::vector<WorkflowRoute> routes;
  std::map<Service, WorkflowService> services;
  std::map<Workspace, WorkflowWorkspace> workspaces;
  std::map<ApiKey, Workspace> keys;
  CallLimits limits;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_WORKFLOW_CONFIG_H_
