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

// How long a handler waits for the control thread to read the control state.
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

void HandleMetrics(AdminContext& context, httplib::Response& response) {
  const auto set = std::make_shared<std::promise<void>>();
  auto done = set->get_future();
  context.loop.Inspect([set, &context](const World& world, TimePoint now) {
    SetGauges(context.metrics, world, now);
    set->set_value();
  });
  if (context.received) {
    SetReceivedGauges(context.metrics, context.received());
  }
  // On time-out the last gauge values are served, so a control thread that does
  // not respond shows as gauges that no longer change.
  (void)done.wait_for(kDumpTimeout);
  response.set_content(prometheus::TextSerializer().Serialize(
                           context.metrics.registry.Collect()),
                       "text/plain; version=0.0.4");
}

}  // namespace impl

void AddAdminRoutes(httplib::Server& server, AdminContext& context) {
  using httplib::Request;
  using httplib::Response;
  server.Get("/healthz", [](const Request&, Response& response) {
    response.set_content("ok\n", "text/plain");
  });
  server.Get("/readyz", [&context](const Request&, Response& response) {
    const bool ready = context.loop.CurrentView()->ready;
    response.status = ready ? 200 : 503;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
  server.Get("/metrics", [&context](const Request&, Response& response) {
    impl::HandleMetrics(context, response);
  });
  server.Get(
      R"(/v1/refusals/([A-Za-z0-9._-]{1,64}))",
      [&context](const Request& request, Response& response) {
        response.set_content(
            EncodeRefusals(context.refusals, RequestId(request.matches[1])),
            kJsonType);
      });
  server.Get("/v1/state", [&context](const Request&, Response& response) {
    impl::HandleState(context.loop, response);
  });
}

}  // namespace chicorystep
