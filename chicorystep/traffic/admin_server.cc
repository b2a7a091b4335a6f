#include "chicorystep/traffic/admin_server.h"

#include <prometheus/text_serializer.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "chicorystep/encoding/state_dump.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {
namespace impl {

inline constexpr auto kDumpTimeout = std::chrono::seconds(5);

void HandleState(ControlLoop& loop, httplib::Response& response) {
  const auto dumped = std::make_shared<std::promise<std::string>>();
  auto dump = dumped->get_future();
  loop.Inspect([dumped](const World& world, TimePoint now) {
    dumped->set_value(EncodeStateDump(world, now));
  });
  if (dump.wait_for(kDumpTimeout) != std::future_status::ready) {
    response.status = 503;
    return;
  }
  response.set_content(dump.get(), kJsonType);
}

}  // namespace impl

void AddAdminRoutes(httplib::Server& server,
                    ControlLoop& loop,
                    prometheus::Registry& registry) {
  using httplib::Request;
  using httplib::Response;
  server.Get("/healthz", [](const Request&, Response& response) {
    response.set_content("ok\n", "text/plain");
  });
  server.Get("/readyz", [&loop](const Request&, Response& response) {
    const bool ready = loop.CurrentView()->ready;
    response.status = ready ? 200 : 503;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
  server.Get("/metrics", [&registry](const Request&, Response& response) {
    response.set_content(
        prometheus::TextSerializer().Serialize(registry.Collect()),
        "text/plain; version=0.0.4");
  });
  server.Get("/v1/state", [&loop](const Request&, Response& response) {
    impl::HandleState(loop, response);
  });
}

}  // namespace chicorystep
