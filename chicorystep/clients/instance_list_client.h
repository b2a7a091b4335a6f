#ifndef CHICORYSTEP_CLIENTS_INSTANCE_LIST_CLIENT_H_
#define CHICORYSTEP_CLIENTS_INSTANCE_LIST_CLIENT_H_

#include <functional>
#include <thread>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/instances.h"

namespace chicorystep {

struct InstanceListOptions {
  Address address;
  Duration interval = std::chrono::seconds(1);
  Duration timeout = std::chrono::seconds(5);
};

// Polls the platform's instance list on its own thread and calls `on_change`
// with each list that differs from the previous one.
class InstanceListClient {
 public:
  InstanceListClient(InstanceListOptions options,
                     std::function<void(InstanceList)> on_change);

 private:
  void Run(const std::stop_token& stop);

  InstanceListOptions options;
  std::function<void(InstanceList)> on_change;
  std::jthread reader;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_INSTANCE_LIST_CLIENT_H_
