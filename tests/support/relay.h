#ifndef TESTS_SUPPORT_RELAY_H_
#define TESTS_SUPPORT_RELAY_H_

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
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

// What a relay does to the bytes that pass it.
struct LinkFaults {
  // How much later each piece arrives.
  Duration delay{};
  // Bytes a second of each connection and way; none is no limit.
  Bytes rate;
  // Nothing passes towards the server, or back from it.
  bool cut_there = false;
  bool cut_back = false;
};

namespace impl {

// One connection and its counterpart at the server.
struct RelayedConnection {
  explicit RelayedConnection(asio::io_context& context)
      : near(context), far(context) {}
  asio::ip::tcp::socket near;
  asio::ip::tcp::socket far;
  // Nothing passes any more, and neither end hears of it.
  bool silent = false;

  void Close() {
    std::error_code ignored;
    this->near.close(ignored);
    this->far.close(ignored);
  }
  // Ends both with a reset.
  void Reset() {
    std::error_code ignored;
    const asio::socket_base::linger abort(true, 0);
    this->near.set_option(abort, ignored);
    this->far.set_option(abort, ignored);
    this->Close();
  }
};

// One way of a connection.
struct Pump {
  explicit Pump(asio::io_context& context) : timer(context) {}
  asio::steady_timer timer;
  std::array<char, 8192> buffer{};
  bool back = false;
};

}  // namespace impl

// A proxy on loopback that passes connections to a server, with faults that can
// be changed while it runs. All on the thread that runs the context.
class Relay {
 public:
  Relay(asio::io_context& io_context, Address server_address)
      : context(io_context),
        acceptor(io_context,
                 asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        server(std::move(server_address)) {
    this->Accept();
  }

  LinkFaults faults;

  [[nodiscard]] Address Listening() const {
    return Address("127.0.0.1:" +
                   std::to_string(this->acceptor.local_endpoint().port()));
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

  // Silences every open connection for good; new ones work.
  void Silence() {
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        connection->silent = true;
        this->dark.push_back(connection);
      }
    }
  }

 private:
  using Connection = std::shared_ptr<impl::RelayedConnection>;
  // How often a piece that is held up looks whether it may pass.
  static constexpr Duration kHeldUp = std::chrono::milliseconds(20);

  void Accept() {
    auto connection = std::make_shared<impl::RelayedConnection>(this->context);
    this->acceptor.async_accept(
        connection->near, [this, connection](const std::error_code& error) {
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
    connection->far.async_connect(
        *platform::ParseEndpoint(this->server),
        [this, connection](const std::error_code& error) {
          if (error) {
            connection->Reset();
            return;
          }
          this->Read(connection, std::make_shared<impl::Pump>(this->context));
          auto back = std::make_shared<impl::Pump>(this->context);
          back->back = true;
          this->Read(connection, back);
        });
  }

  void Read(const Connection& connection,
            const std::shared_ptr<impl::Pump>& pump) {
    auto& from = pump->back ? connection->far : connection->near;
    from.async_read_some(asio::buffer(pump->buffer),
                         [this, connection, pump](const std::error_code& error,
                                                  std::size_t size) {
                           if (error) {
                             // A connection that has gone silent keeps its ends
                             // in the dark.
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
                           this->PassAfter(connection, pump, size, wait);
                         });
  }

  void PassAfter(const Connection& connection,
                 const std::shared_ptr<impl::Pump>& pump,
                 std::size_t size,
                 Duration wait) {
    pump->timer.expires_after(wait);
    pump->timer.async_wait([this, connection, pump,
                            size](const std::error_code&) {
      if (connection->silent) {
        return;
      }
      if (pump->back ? this->faults.cut_back : this->faults.cut_there) {
        this->PassAfter(connection, pump, size, kHeldUp);
        return;
      }
      auto& to = pump->back ? connection->near : connection->far;
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
  std::vector<std::weak_ptr<impl::RelayedConnection>> connections;
  // Silenced connections, kept open.
  std::vector<Connection> dark;
};

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_RELAY_H_
