#ifndef CHICORYSTEP_TRAFFIC_HTTP_SERVER_H_
#define CHICORYSTEP_TRAFFIC_HTTP_SERVER_H_

#include <httplib.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/received_bytes.h"

namespace chicorystep {

// Limits of one listener; they replace the HTTP library's defaults.
struct HttpServerOptions {
  // Each open connection occupies a thread, so this is also the maximum number
  // of connections served at once.
  std::int64_t threads = 16;
  // Requests served on one connection before it is closed.
  std::int64_t keep_alive_requests = 1'000'000;
  // How long an idle connection is kept open.
  Duration keep_alive_time = std::chrono::seconds(60);
  // The longest pause between two bytes of a request or an answer.
  Duration read_timeout = std::chrono::seconds(10);
  // The longest time from the first byte of a request to its last.
  Duration receive_timeout = std::chrono::seconds(60);
  // Maximum size of the request line and all header fields of a request.
  Bytes max_head{32 << 10};
  Bytes max_body{8 << 20};
  // Limit on the memory of all requests and answers together.
  Bytes max_received{1 << 30};
  // Whether connections that stall are closed when others wait for a thread.
  // Handlers must then begin with `BeginServingRequest`.
  bool closes_stalled = false;
};

namespace impl {
class GuardedServer;
}

// An HTTP listener on its own thread. The destructor stops it as `Stop` does.
class HttpServer {
 public:
  explicit HttpServer(const HttpServerOptions& options);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // The HTTP library's server, to which handlers are added before `Start`.
  [[nodiscard]] httplib::Server& Routes() noexcept;

  // Binds the address and starts serving; returns false when it cannot be
  // bound. With port 0 the system chooses a free port.
  [[nodiscard]] bool Start(std::string_view host, std::uint16_t port);
  [[nodiscard]] bool Start(const Address& address);

  [[nodiscard]] std::uint16_t Port() const noexcept { return this->port; }

  // What the requests and answers of all connections occupy. Thread-safe.
  [[nodiscard]] ReceivedBytes Received() const;

  // Stops accepting connections, closes idle ones, and returns when the
  // exchanges in flight have finished.
  void Stop();

 private:
  std::unique_ptr<impl::GuardedServer> server;
  std::thread listener;
  socket_t listening_socket = INVALID_SOCKET;
  std::uint16_t port = 0;
};

// Returns the content type of a request's body. The listener moves it out of
// the Content-Type field, because the library would parse multipart and form
// bodies.
[[nodiscard]] std::string GetContentType(const httplib::Request& request);

// Makes the listener close the connection after sending `response`.
void CloseConnectionAfter(httplib::Response& response);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_HTTP_SERVER_H_
