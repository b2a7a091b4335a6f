#ifndef TESTS_SUPPORT_RAW_HTTP_H_
#define TESTS_SUPPORT_RAW_HTTP_H_

#include <poll.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/settings/values.h"

namespace chicorystep::testing {

// A TCP connection that sends the given bytes unchanged.
class RawConnection {
 public:
  explicit RawConnection(const Address& address) : socket(this->context) {
    const auto parts = SplitAddress(address);
    this->socket.connect(
        {asio::ip::make_address(std::string(parts->host)), parts->port});
  }

  // Returns false when the peer closed the connection before all bytes were
  // sent.
  [[nodiscard]] bool Send(std::string_view bytes) {
    std::error_code error;
    asio::write(this->socket, asio::buffer(bytes), error);
    return !error;
  }

  // Closes the sending direction; the peer reads an end of stream.
  void FinishSending() {
    std::error_code error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  }

  // Returns all bytes up to the end of the stream, or those received within
  // `limit`.
  [[nodiscard]] std::string ReadToEnd(
      std::chrono::milliseconds limit = std::chrono::seconds(30)) {
    const auto end = std::chrono::steady_clock::now() + limit;
    std::string text;
    while (true) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          end - std::chrono::steady_clock::now());
      pollfd ready{this->socket.native_handle(), POLLIN, 0};
      if (left.count() <= 0 ||
          ::poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
        return text;
      }
      std::vector<char> buffer(64 << 10);
      std::error_code error;
      const auto size = this->socket.read_some(asio::buffer(buffer), error);
      if (error || size == 0) {
        this->ended = true;
        return text;
      }
      text.append(buffer.data(), size);
    }
  }

  // Whether `ReadToEnd` has reached the end of the stream.
  [[nodiscard]] bool HasEnded() const noexcept { return this->ended; }

 private:
  asio::io_context context;
  asio::ip::tcp::socket socket;
  bool ended = false;
};

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_RAW_HTTP_H_
