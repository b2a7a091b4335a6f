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

namespace chicorystep {

// What a listener of this project sets instead of the library's defaults.
struct HttpServerOptions {
  // A held connection holds a thread, so this bounds the callers connected.
  std::int64_t threads = 16;
  std::int64_t keep_alive_requests = 1'000'000;
  Duration keep_alive_time = std::chrono::seconds(60);
  // The longest pause between two bytes of a request or an answer.
  Duration read_timeout = std::chrono::seconds(10);
  // From the first byte of a request to its last.
  Duration receive_timeout = std::chrono::seconds(60);
  // The request line and all headers of one request.
  Bytes max_head{32 << 10};
  Bytes max_body{8 << 20};
};

namespace impl {
class GuardedServer;
}

// A listener on a thread of its own; the destructor finishes the exchanges
// under way.
class HttpServer {
 public:
  explicit HttpServer(const HttpServerOptions& options);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // The library's server, for adding handlers before `Start`.
  [[nodiscard]] httplib::Server& Routes() noexcept;

  // Binds and begins to serve; false when the address cannot be bound. Port 0
  // takes a free port.
  [[nodiscard]] bool Start(std::string_view host, std::uint16_t port);
  [[nodiscard]] bool Start(const Address& address);

  // The port that the listener is bound to.
  [[nodiscard]] std::uint16_t Port() const noexcept { return this->port; }

  // Takes no new connections, finishes the exchanges under way and returns.
  void Stop();

 private:
  std::unique_ptr<impl::GuardedServer> server;
  std::thread listener;
  socket_t listening_socket = INVALID_SOCKET;
  std::uint16_t port = 0;
};

// The content type of a request's body. The library would take multipart and
// form bodies apart, so its own header field is not set.
[[nodiscard]] std::string ContentTypeOf(const httplib::Request& request);

// Ends the connection once `response` is sent.
void CloseAfter(httplib::Response& response);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_HTTP_SERVER_H_
