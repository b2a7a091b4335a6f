#ifndef TESTS_SUPPORT_RELAY_H_
#define TESTS_SUPPORT_RELAY_H_

#include <sys/socket.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "platform/endpoint.h"

namespace chicorystep::testing {

// Faults that a relay applies to the bytes it forwards.
struct LinkFaults {
  // Added latency of each forwarded block.
  Duration delay{};
  // Bytes per second for each connection and direction; 0 means no limit.
  Bytes rate;
  // Block all bytes to the server, or all bytes from it.
  bool cut_to_server = false;
  bool cut_from_server = false;
};

namespace impl {

// A client's connection and the matching connection to the server.
struct RelayedConnection {
  explicit RelayedConnection(asio::io_context& context)
      : client_side(context), server_side(context) {}
  asio::ip::tcp::socket client_side;
  asio::ip::tcp::socket server_side;
  // Drops all bytes while both connections stay open, so that neither end
  // notices.
  bool silent = false;
  // Drops the bytes to the server only.
  bool deaf = false;

  void Close() {
    std::error_code ignored;
    this->client_side.close(ignored);
    this->server_side.close(ignored);
  }
  // Whether the end that sends in a direction has reset its connection.
  [[nodiscard]] bool IsResetBySender(bool from_server) {
    auto& sender = from_server ? this->server_side : this->client_side;
    char byte = 0;
    return ::recv(sender.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
               0 &&
           errno == ECONNRESET;
  }
  // Closes both connections with a TCP reset.
  void Reset() {
    std::error_code ignored;
    const asio::socket_base::linger abort(true, 0);
    this->client_side.set_option(abort, ignored);
    this->server_side.set_option(abort, ignored);
    this->Close();
  }
};

// Forwards one direction of a connection.
struct Pump {
  explicit Pump(asio::io_context& context) : timer(context) {}
  asio::steady_timer timer;
  std::array<char, 8192> buffer{};
  bool from_server = false;
};

}  // namespace impl

// A TCP proxy on loopback in front of a server, with faults that can be changed
// while it runs. Everything runs on the thread that runs the context.
class Relay {
 public:
  Relay(asio::io_context& io_context, Address server_address)
      : context(io_context),
        acceptor(io_context,
                 asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        server(std::move(server_address)),
        address("127.0.0.1:" +
                std::to_string(this->acceptor.local_endpoint().port())) {
    this->Accept();
  }

  // Listens on the given address. An address that no other process uses can be
  // listened on again after `StopListening`.
  Relay(asio::io_context& io_context, Address server_address, Address listen)
      : context(io_context),
        acceptor(io_context),
        server(std::move(server_address)),
        address(std::move(listen)) {
    this->Listen();
  }

  LinkFaults faults;

  [[nodiscard]] Address ListenAddress() const { return this->address; }

  // Refuses new connections until `Listen`.
  void StopListening() {
    std::error_code ignored;
    this->acceptor.close(ignored);
  }
  void Listen() {
    if (!this->acceptor.is_open()) {
      const auto endpoint = *platform::ParseEndpoint(this->address);
      this->acceptor.open(endpoint.protocol());
      this->acceptor.set_option(asio::socket_base::reuse_address(true));
      this->acceptor.bind(endpoint);
      this->acceptor.listen();
      this->Accept();
    }
  }

  // Resets every open connection.
  void Reset() {
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        connection->Reset();
      }
    }
    this->connections.clear();
  }

  // Silences every open connection permanently; new ones work.
  void Silence() {
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        connection->silent = true;
        this->silenced.push_back(connection);
      }
    }
  }

  // The same, but answers to what has reached the server still pass.
  void Deafen() {
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        connection->deaf = true;
        this->silenced.push_back(connection);
      }
    }
  }

 private:
  using Connection = std::shared_ptr<impl::RelayedConnection>;
  // How often a block held by a cut checks whether the cut has ended.
  static constexpr Duration kCutPollInterval = std::chrono::milliseconds(20);

  void Accept() {
    auto connection = std::make_shared<impl::RelayedConnection>(this->context);
    this->acceptor.async_accept(
        connection->client_side,
        [this, connection](const std::error_code& error) {
          if (error) {
            return;
          }
          this->Connect(connection);
          this->Accept();
        });
  }

  void Connect(const Connection& connection) {
    std::erase_if(this->connections,
                  [](const auto& weak) { return weak.expired(); });
    this->connections.push_back(connection);
    connection->server_side.async_connect(
        *platform::ParseEndpoint(this->server),
        [this, connection](const std::error_code& error) {
          if (error) {
            connection->Reset();
            return;
          }
          this->Read(connection, std::make_shared<impl::Pump>(this->context));
          auto return_pump = std::make_shared<impl::Pump>(this->context);
          return_pump->from_server = true;
          this->Read(connection, return_pump);
        });
  }

  void Read(const Connection& connection,
            const std::shared_ptr<impl::Pump>& pump) {
    auto& from =
        pump->from_server ? connection->server_side : connection->client_side;
    from.async_read_some(asio::buffer(pump->buffer),
                         [this, connection, pump](const std::error_code& error,
                                                  std::size_t size) {
                           if (error) {
                             // A silenced connection stays open, so that the
                             // other end does not notice.
                             if (!connection->silent) {
                               connection->Close();
                             }
                             return;
                           }
                           Duration wait = this->faults.delay;
                           if (this->faults.rate > Bytes(0)) {
                             wait +=
                                 Duration(static_cast<std::int64_t>(size) *
                                          1'000'000 / this->faults.rate.value);
                           }
                           this->ForwardAfter(connection, pump, size, wait);
                         });
  }

  void ForwardAfter(const Connection& connection,
                    const std::shared_ptr<impl::Pump>& pump,
                    std::size_t size,
                    Duration wait) {
    pump->timer.expires_after(wait);
    pump->timer.async_wait([this, connection, pump,
                            size](const std::error_code&) {
      if (connection->silent || (connection->deaf && !pump->from_server)) {
        return;
      }
      // Bytes that are held up are lost with a reset of their sender, but not
      // with an orderly close.
      if (connection->IsResetBySender(pump->from_server)) {
        connection->Close();
        return;
      }
      if (pump->from_server ? this->faults.cut_from_server
                            : this->faults.cut_to_server) {
        this->ForwardAfter(connection, pump, size, kCutPollInterval);
        return;
      }
      auto& to =
          pump->from_server ? connection->client_side : connection->server_side;
      asio::async_write(
          to, asio::buffer(pump->buffer.data(), size),
          [this, connection, pump](const std::error_code& error, std::size_t) {
            if (error) {
              connection->Close();
            } else {
              this->Read(connection, pump);
            }
          });
    });
  }

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  Address server;
  Address address;
  std::vector<std::weak_ptr<impl::RelayedConnection>> connections;
  // Silenced connections, kept open.
  std::vector<Connection> silenced;
};

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_RELAY_H_
