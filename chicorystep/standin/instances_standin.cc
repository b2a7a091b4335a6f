#include "chicorystep/standin/instances_standin.h"

#include <utility>

#include "chicorystep/encoding/instance_list.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {
namespace impl {

inline constexpr int kBadList = 400;

std::string CurrentList(InstancesStandin& standin) {
  const std::scoped_lock lock(standin.mutex);
  const auto now = std::chrono::steady_clock::now();
  while (!standin.changes.empty() &&
         standin.changes.front().visible_from <= now) {
    standin.shown = std::move(standin.changes.front().list);
    standin.changes.pop_front();
  }
  return standin.shown;
}

}  // namespace impl

void SetInstances(InstancesStandin& standin, const InstanceList& list) {
  const std::scoped_lock lock(standin.mutex);
  standin.changes.push_back(
      InstancesStandin::Change{std::chrono::steady_clock::now() + standin.lag,
                               EncodeInstanceList(list)});
}

void AddInstancesRoutes(httplib::Server& server, InstancesStandin& standin) {
  using httplib::Request;
  using httplib::Response;
  server.Get("/v1/instances", [&standin](const Request&, Response& response) {
    response.set_content(impl::CurrentList(standin), kJsonType);
  });
  server.Put("/v1/instances",
             [&standin](const Request& request, Response& response) {
               if (const auto list = DecodeInstanceList(request.body)) {
                 SetInstances(standin, list.value());
               } else {
                 response.status = impl::kBadList;
                 response.set_content(list.error().detail, "text/plain");
               }
             });
}

}  // namespace chicorystep
