#ifndef CHICORYSTEP_TRAFFIC_GUARDED_SERVER_H_
#define CHICORYSTEP_TRAFFIC_GUARDED_SERVER_H_

#include <httplib.h>

#include "chicorystep/traffic/http_server.h"
#include "chicorystep/traffic/shared_account.h"

namespace chicorystep::impl {

// The HTTP library's server with its connection handling replaced:
// - An idle connection blocks until bytes arrive or the server stops; the
//   library polls every 10 ms.
// - The time to receive a request and the size of its head are limited.
// - A caller that has shut down its sending side still gets its answer.
// - Requests and answers are accounted for, and connections that stall give
// way.
// - Multipart and form bodies are passed on unparsed.
class GuardedServer final : public httplib::Server {
 public:
  explicit GuardedServer(const HttpServerOptions& server_options);
  GuardedServer(const GuardedServer&) = delete;
  GuardedServer& operator=(const GuardedServer&) = delete;
  ~GuardedServer() override;

  [[nodiscard]] SharedAccount& Account() noexcept { return this->account; }

  // Closes the idle connections. Thread-safe.
  void CloseIdleConnections() const;

 private:
  bool process_and_close_socket(socket_t socket) override;
  // Serves requests one after the other until the connection has to be closed.
  void ServeConnection(socket_t socket);
  // Waits for the first byte of a request; returns false when the keep-alive
  // time has passed or the server stops.
  [[nodiscard]] bool AwaitRequest(socket_t socket) const;

  HttpServerOptions options;
  SharedAccount account;
  // An eventfd that becomes readable when the server stops; it is never read,
  // so it stays readable for every connection.
  int stop_event;
};

// Accounts for the request that the calling thread has received whole. Returns
// false if there is no room for it, in which case it has to be refused.
[[nodiscard]] bool BeginServingRequest();

}  // namespace chicorystep::impl

#endif  // CHICORYSTEP_TRAFFIC_GUARDED_SERVER_H_
