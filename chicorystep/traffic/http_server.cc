#include "chicorystep/traffic/http_server.h"

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <string>
#include <utility>

#include "chicorystep/settings/values.h"
#include "chicorystep/traffic/guarded_server.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {
namespace impl {

// Backlog set by a second `listen` call on the bound socket: the library's own
// backlog of 5 overflows in a burst of new connections.
inline constexpr int kListenBacklog = 4096;

inline constexpr auto kStartPollInterval = std::chrono::milliseconds(1);

// How often connections that wait for a thread are looked for while no new one
// arrives, in seconds.
inline constexpr time_t kIdleInterval = 1;

// The library's pool, in which stalled connections give their threads to those
// that wait.
class SharedThreadPool final : public httplib::ThreadPool {
 public:
  SharedThreadPool(std::size_t size, SharedAccount& shared_account)
      : httplib::ThreadPool(size), threads(size), account(shared_account) {}

  void enqueue(std::function<void()> serve) override {
    ++this->connections;
    httplib::ThreadPool::enqueue([this, serve = std::move(serve)] {
      serve();
      --this->connections;
    });
    this->FreeThreads();
  }
  void on_idle() override { this->FreeThreads(); }

 private:
  void FreeThreads() {
    if (const std::size_t open = this->connections; open > this->threads) {
      this->account.FreeThreads(open - this->threads);
    }
  }

  std::size_t threads;
  SharedAccount& account;
  std::atomic<std::size_t> connections = 0;
};

}  // namespace impl

HttpServer::HttpServer(const HttpServerOptions& options)
    : server(std::make_unique<impl::GuardedServer>(options)) {
  const auto threads = static_cast<std::size_t>(options.threads);
  if (options.closes_stalled) {
    this->server->new_task_queue = [this, threads] {
      return new impl::SharedThreadPool(threads, this->server->Account());
    };
    this->server->set_idle_interval(impl::kIdleInterval);
  } else {
    this->server->new_task_queue = [threads] {
      return new httplib::ThreadPool(threads);
    };
  }
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

ReceivedBytes HttpServer::Received() const {
  return this->server->Account().Copy();
}

httplib::Server& HttpServer::Routes() noexcept {
  return *this->server;
}

bool HttpServer::Start(std::string_view host, std::uint16_t requested_port) {
  const std::string name(host);
  if (requested_port == 0) {
    const int bound = this->server->bind_to_any_port(name);
    if (bound < 0) {
      return false;
    }
    this->port = static_cast<std::uint16_t>(bound);
  } else {
    if (!this->server->bind_to_port(name, requested_port)) {
      return false;
    }
    this->port = requested_port;
  }
  ::listen(this->listening_socket, impl::kListenBacklog);
  this->listener = std::thread([this] { this->server->listen_after_bind(); });
  // The library ignores a stop request made before its accept loop runs, and
  // has no blocking wait for the start, so the state is polled.
  while (!this->server->is_running()) {
    std::this_thread::sleep_for(impl::kStartPollInterval);
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
    this->server->CloseIdleConnections();
    this->listener.join();
  }
}

std::string GetContentType(const httplib::Request& request) {
  return request.get_header_value(kBodyContentTypeHeader);
}

void CloseConnectionAfter(httplib::Response& response) {
  response.headers.erase("Connection");
  response.set_header("Connection", "close");
}

}  // namespace chicorystep
