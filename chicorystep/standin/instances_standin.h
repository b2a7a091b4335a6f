#ifndef CHICORYSTEP_STANDIN_INSTANCES_STANDIN_H_
#define CHICORYSTEP_STANDIN_INSTANCES_STANDIN_H_

#include <chrono>
#include <deque>
#include <mutex>
#include <string>

#include "chicorystep/core/units.h"
#include "chicorystep/tables/instances.h"
#include "chicorystep/traffic/http_server.h"

namespace chicorystep {

// A minimal instance list of the platform for tests. Readers see a change only
// after `lag`.
struct InstancesStandin {
  struct Change {
    std::chrono::steady_clock::time_point visible_from;
    std::string list;
  };

  std::mutex mutex;
  Duration lag{};
  std::string shown = "{}";
  std::deque<Change> changes;
};

// Adds GET and PUT /v1/instances to `server`.
void AddInstancesRoutes(httplib::Server& server, InstancesStandin& standin);

// Replaces the list.
void SetInstances(InstancesStandin& standin, const InstanceList& list);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_INSTANCES_STANDIN_H_
