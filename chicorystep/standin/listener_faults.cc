#include "chicorystep/standin/listener_faults.h"

#include <string_view>
#include <thread>

#include "chicorystep/encoding/json.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, ListenerFaults& faults) {
  archive("refuse", faults.refuse);
  archive("delay_us", faults.delay);
  archive("silent_after", faults.silent_after);
  archive("silence_open", faults.silence_open);
}

namespace impl {

using HandlerResponse = httplib::Server::HandlerResponse;

inline constexpr std::string_view kFaultsPath = "/v1/listener-faults";
inline constexpr int kBadRequest = 400;
inline constexpr int kUnavailable = 503;

// Counts the call and returns whether it must stay without an answer.
bool CountAndCheckSilent(FaultyListener& listener, std::int64_t port) {
  const std::int64_t call = ++listener.calls[port];
  const std::int64_t limit = listener.faults.silent_after;
  return listener.silent[port] || (limit > 0 && call > limit);
}

HandlerResponse ApplyFaults(FaultyListener& listener,
                            const httplib::Request& request,
                            httplib::Response& response) {
  if (request.path == kFaultsPath) {
    return HandlerResponse::Unhandled;
  }
  std::unique_lock lock(listener.mutex);
  if (CountAndCheckSilent(listener, request.remote_port)) {
    listener.stop_signal.wait(lock, [&] { return listener.stopping; });
    CloseConnectionAfter(response);
    return HandlerResponse::Handled;
  }
  if (listener.faults.refuse > 0) {
    --listener.faults.refuse;
    response.status = kUnavailable;
    return HandlerResponse::Handled;
  }
  const Duration delay = listener.faults.delay;
  lock.unlock();
  std::this_thread::sleep_for(delay);
  return HandlerResponse::Unhandled;
}

void ChangeFaults(FaultyListener& listener, const ListenerFaults& faults) {
  const std::scoped_lock lock(listener.mutex);
  listener.faults = faults;
  if (faults.silence_open) {
    for (const auto& [port, calls] : listener.calls) {
      listener.silent[port] = true;
    }
  }
}

}  // namespace impl

void AddListenerFaults(httplib::Server& server, FaultyListener& listener) {
  using httplib::Request;
  using httplib::Response;
  server.set_pre_routing_handler(
      [&listener](const Request& request, Response& response) {
        return impl::ApplyFaults(listener, request, response);
      });
  server.Post(std::string(impl::kFaultsPath),
              [&listener](const Request& request, Response& response) {
                const auto faults = DecodeJson<ListenerFaults>(request.body);
                if (!faults) {
                  response.status = impl::kBadRequest;
                  response.set_content(faults.error().detail, "text/plain");
                  return;
                }
                impl::ChangeFaults(listener, faults.value());
              });
}

void ReleaseSilentCalls(FaultyListener& listener) {
  const std::scoped_lock lock(listener.mutex);
  listener.stopping = true;
  listener.stop_signal.notify_all();
}

}  // namespace chicorystep
