#ifndef CHICORYSTEP_TRAFFIC_GUARDED_SERVER_H_
#define CHICORYSTEP_TRAFFIC_GUARDED_SERVER_H_

#include <httplib.h>

#include "chicorystep/traffic/http_server.h"

namespace chicorystep::impl {

// The library's server with connections of its own: an idle connection blocks
// until bytes come or the server stops, where the library's looks every 10 ms;
// a request has a time and a size to arrive in; a caller that has shut down
// its sending side still gets its answer; bodies are never taken apart.
class GuardedServer final : public httplib::Server {
 public:
  explicit GuardedServer(const HttpServerOptions& server_options);
  GuardedServer(const GuardedServer&) = delete;
  GuardedServer& operator=(const GuardedServer&) = delete;
  ~GuardedServer() override;

  // Ends the idle connections; safe from any thread.
  void EndIdleConnections() const;

 private:
  bool process_and_close_socket(socket_t socket) override;
  // Serves one request after the other; returns when the connection is over.
  void ServeConnection(socket_t socket);
  // Waits for the first byte of a request; false when there will be none.
  [[nodiscard]] bool AwaitRequest(socket_t socket) const;

  HttpServerOptions options;
  // An eventfd that becomes readable for good when the server stops.
  int stop_event;
};

}  // namespace chicorystep::impl

#endif  // CHICORYSTEP_TRAFFIC_GUARDED_SERVER_H_
