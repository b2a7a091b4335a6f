#ifndef CHICORYSTEP_TRAFFIC_HTTP_SERVER_H_
#define CHICORYSTEP_TRAFFIC_HTTP_SERVER_H_

#include <httplib.h>

#include <chrono>
#include <cstdint>
#include <string_view>
#include <thread>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// What a listener of this project sets instead of the library's defaults.
struct HttpServerOptions {
  // A held connection holds a thread, so this bounds the callers connected.
  std::int64_t threads = 16;
  std::int64_t keep_alive_requests = 1'000'000;
  Duration keep_alive_time = std::chrono::seconds(60);
  Duration read_timeout = std::chrono::seconds(10);
  Bytes max_body{8 << 20};
};

// A listener on a thread of its own; the destructor finishes the exchanges
// under way.
class HttpServer {
 public:
  explicit HttpServer(const HttpServerOptions& options);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // The library's server, for adding handlers before `Start`.
  [[nodiscard]] httplib::Server& Routes() noexcept { return this->server; }

  // Binds and begins to serve; false when the address cannot be bound. Port 0
  // takes a free port.
  [[nodiscard]] bool Start(std::string_view host, std::uint16_t port);
  [[nodiscard]] bool Start(const Address& address);

  // The port that the listener is bound to.
  [[nodiscard]] std::uint16_t Port() const noexcept { return this->port; }

  // Takes no new connections, finishes the exchanges under way and returns.
  void Stop();

 private:
  httplib::Server server;
  std::thread listener;
  socket_t listening_socket = INVALID_SOCKET;
  std::uint16_t port = 0;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_HTTP_SERVER_H_
