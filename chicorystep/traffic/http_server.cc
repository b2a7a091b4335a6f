#include "chicorystep/traffic/http_server.h"

#include <sys/socket.h>

#include <string>

#include "chicorystep/settings/values.h"
#include "chicorystep/traffic/guarded_server.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {
namespace impl {

// The library listens with a backlog of 5, which a burst of new connections
// overflows; listening again on the bound socket raises it.
inline constexpr int kListenBacklog = 4096;

inline constexpr auto kStartPoll = std::chrono::milliseconds(1);

}  // namespace impl

HttpServer::HttpServer(const HttpServerOptions& options)
    : server(std::make_unique<impl::GuardedServer>(options)) {
  const auto threads = static_cast<std::size_t>(options.threads);
  this->server->new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  this->server->set_tcp_nodelay(true);
  this->server->set_payload_max_length(
      static_cast<std::size_t>(options.max_body.value));
  this->server->set_socket_options([this](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    this->listening_socket = socket;
  });
}

HttpServer::~HttpServer() {
  this->Stop();
}

httplib::Server& HttpServer::Routes() noexcept {
  return *this->server;
}

bool HttpServer::Start(std::string_view host, std::uint16_t wanted) {
  const std::string name(host);
  if (wanted == 0) {
    const int bound = this->server->bind_to_any_port(name);
    if (bound < 0) {
      return false;
    }
    this->port = static_cast<std::uint16_t>(bound);
  } else {
    if (!this->server->bind_to_port(name, wanted)) {
      return false;
    }
    this->port = wanted;
  }
  ::listen(this->listening_socket, impl::kListenBacklog);
  this->listener = std::thread([this] { this->server->listen_after_bind(); });
  // The library ignores a stop that comes before its loop runs, and offers
  // nothing to wait on.
  while (!this->server->is_running()) {
    std::this_thread::sleep_for(impl::kStartPoll);
  }
  return true;
}

bool HttpServer::Start(const Address& address) {
  const auto parts = SplitAddress(address);
  return parts && this->Start(parts->host, parts->port);
}

void HttpServer::Stop() {
  if (this->listener.joinable()) {
    this->server->stop();
    this->server->EndIdleConnections();
    this->listener.join();
  }
}

std::string ContentTypeOf(const httplib::Request& request) {
  return request.get_header_value(kBodyTypeHeader);
}

void CloseAfter(httplib::Response& response) {
  response.headers.erase("Connection");
  response.set_header("Connection", "close");
}

}  // namespace chicorystep
