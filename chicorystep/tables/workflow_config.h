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

// Orders the published configurations; versions rise in uneven steps.
using ConfigVersion = Id<struct ConfigVersionTag, std::uint64_t>;
// A secret by which a caller proves its workspace; never logged.
using ApiKey = Id<struct ApiKeyTag, std::string>;

// Which workflows a queue takes and how they are treated.
struct WorkflowRoute {
  RouteName name;
  std::string host;
  std::string path_prefix;
  Service service;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  Duration target{};
  double stretch = 1.0;
  // Callers need no key.
  bool open = false;
  // Workers of this queue need a ticket of the advice service.
  bool needs_advice = false;
};

struct WorkflowService {
  // Workers reject what does not fit.
  bool enforces_capacity = true;
  // The pool's workers are switched off.
  bool standby = false;
};

struct WorkflowWorkspace {
  // Accelerators that its most urgent work can always have.
  Accelerators guaranteed;
};

// Bounds on what a caller may send.
struct CallLimits {
  Bytes max_head{16 << 10};
  Bytes max_body{256 << 10};
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// One whole published configuration.
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
