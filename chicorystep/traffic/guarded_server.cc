#include "chicorystep/traffic/guarded_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <string>

#include "chicorystep/traffic/headers.h"

namespace chicorystep::impl {
namespace {

using Clock = std::chrono::steady_clock;

// A closing connection reads and discards what the caller still sends, up to
// this time and number of bytes. Closing a socket with unread bytes would reset
// the connection, and the caller could lose the answer.
inline constexpr auto kLingerTime = std::chrono::seconds(1);
inline constexpr std::size_t kMaxLingerBytes = std::size_t{16} << 20;

// Whether the response to the current request closes its connection. Set by the
// library's logger callback, which runs on the thread that serves the
// connection.
thread_local bool response_closes = false;

class GuardedStream;
// The stream of the connection that this thread serves.
thread_local GuardedStream* served_stream = nullptr;

int MillisecondsUntil(Clock::time_point end) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(end - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

// Waits for `events` on `socket`; returns false when `end` passes first.
bool WaitFor(socket_t socket, short events, Clock::time_point end) {
  while (true) {
    pollfd entry{socket, events, 0};
    const int ready = ::poll(&entry, 1, MillisecondsUntil(end));
    if (ready >= 0 || errno != EINTR) {
      return ready > 0;
    }
  }
}

// The stream through which the library reads and writes one connection. It
// enforces the time and size limits of a request.
class GuardedStream final : public httplib::Stream {
 public:
  GuardedStream(socket_t connection,
                const HttpServerOptions& server_options,
                SharedAccount& shared_account)
      : connection_socket(connection),
        options(server_options),
        account(shared_account),
        id(this->account.Open(connection, PeerAddress(connection))) {}
  GuardedStream(const GuardedStream&) = delete;
  GuardedStream& operator=(const GuardedStream&) = delete;
  ~GuardedStream() override { this->account.Close(this->id); }

  // Accounts for the end of the previous answer.
  void AwaitRequest() {
    this->request_size = 0;
    this->answer_size = 0;
    (void)this->Hold(ConnectionStage::kIdle);
  }
  // Accounts for a request that was received whole. Returns false if there is
  // no room for it.
  [[nodiscard]] bool BeginServing() {
    return this->Hold(ConnectionStage::kServing);
  }

  // Restarts the limits; the next byte read is the first of a new request.
  void BeginRequest() {
    this->receive_deadline = Clock::now() + this->options.receive_timeout;
    this->head_size = 0;
    this->consecutive_newlines = 0;
  }
  // Whether received bytes are waiting to be read, for instance those of a
  // pipelined request.
  [[nodiscard]] bool HasBufferedBytes() const noexcept {
    return this->begin != this->end;
  }
  // Whether the connection has failed and must be closed.
  [[nodiscard]] bool IsBroken() const noexcept { return this->broken; }

  [[nodiscard]] bool is_readable() const override {
    return this->HasBufferedBytes() ||
           WaitFor(this->connection_socket, POLLIN, this->ReadDeadline());
  }
  [[nodiscard]] bool is_writable() const override {
    return WaitFor(this->connection_socket, POLLOUT,
                   Clock::now() + this->options.read_timeout);
  }
  ssize_t read(char* target, size_t size) override;
  ssize_t write(const char* source, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    ip.clear();
    port = 0;
  }
  [[nodiscard]] socket_t socket() const override {
    return this->connection_socket;
  }

 private:
  static constexpr std::size_t kBufferSize = std::size_t{16} << 10;
  // An empty line, thus two consecutive line feeds, ends the head.
  static constexpr int kHeadEndNewlines = 2;

  [[nodiscard]] Clock::time_point ReadDeadline() const {
    return std::min(this->receive_deadline,
                    Clock::now() + this->options.read_timeout);
  }
  // Receives into the empty buffer. Returns the result of `recv`, or -1 on
  // time-out.
  ssize_t Fill();
  // Counts a byte of the head; returns false when the head exceeds its limit.
  [[nodiscard]] bool CountHeadByte(char byte);
  static Address PeerAddress(socket_t socket);
  // Accounts for the memory that the library and the handler take: the buffer
  // of the body, which may be twice its size, its copy, the answer and its
  // copy.
  [[nodiscard]] bool Hold(ConnectionStage stage) {
    return this->account.Hold(
        this->id, stage,
        Bytes(static_cast<std::int64_t>(sizeof(*this) + 3 * this->request_size +
                                        2 * this->answer_size)));
  }
  // Marks the connection as failed. Returns -1, the library's error value.
  ssize_t Fail() {
    this->broken = true;
    return -1;
  }

  socket_t connection_socket;
  const HttpServerOptions& options;
  SharedAccount& account;
  const ConnectionId id;
  std::size_t request_size = 0;
  std::size_t answer_size = 0;
  std::array<char, kBufferSize> buffer{};
  std::size_t begin = 0;
  std::size_t end = 0;
  Clock::time_point receive_deadline;
  std::int64_t head_size = 0;
  int consecutive_newlines = 0;
  bool broken = false;
};

bool GuardedStream::CountHeadByte(char byte) {
  if (byte == '\n') {
    ++this->consecutive_newlines;
  } else if (byte != '\r') {
    this->consecutive_newlines = 0;
  }
  return Bytes(++this->head_size) <= this->options.max_head;
}

ssize_t GuardedStream::Fill() {
  if (!WaitFor(this->connection_socket, POLLIN, this->ReadDeadline())) {
    return this->Fail();
  }
  ssize_t received = 0;
  do {
    received = ::recv(this->connection_socket, this->buffer.data(),
                      this->buffer.size(), 0);
  } while (received < 0 && errno == EINTR);
  this->begin = 0;
  this->end = received > 0 ? static_cast<std::size_t>(received) : 0;
  this->broken |= received <= 0;
  if (received > 0) {
    this->request_size += static_cast<std::size_t>(received);
    if (!this->Hold(ConnectionStage::kReceiving)) {
      // The caller is not at fault, so that the library must not answer.
      AbortConnection(this->connection_socket);
      return this->Fail();
    }
  }
  return received;
}

ssize_t GuardedStream::read(char* target, size_t size) {
  if (!this->HasBufferedBytes()) {
    if (const ssize_t received = this->Fill(); received <= 0) {
      return received;
    }
  }
  std::size_t copied = 0;
  while (copied < size && this->HasBufferedBytes()) {
    const char byte = this->buffer.at(this->begin);
    if (this->consecutive_newlines < kHeadEndNewlines &&
        !this->CountHeadByte(byte)) {
      // Reports the end of the stream, so that the library still answers the
      // request with an error.
      this->broken = true;
      return 0;
    }
    target[copied++] = byte;
    ++this->begin;
  }
  return static_cast<ssize_t>(copied);
}

void GuardedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  ip.clear();
  port = 0;
  if (::getpeername(this->connection_socket, reinterpret_cast<sockaddr*>(&peer),
                    &size) == 0 &&
      peer.sin_family == AF_INET) {
    port = ntohs(peer.sin_port);
  }
}

Address GuardedStream::PeerAddress(socket_t socket) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  std::array<char, INET_ADDRSTRLEN> text{};
  if (::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
      peer.sin_family == AF_INET) {
    ::inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
  }
  return Address(text.data());
}

ssize_t GuardedStream::write(const char* source, size_t size) {
  // The library passes the rest of the answer again after a partial write.
  this->answer_size = std::max(this->answer_size, size);
  if (!this->Hold(ConnectionStage::kAnswering)) {
    AbortConnection(this->connection_socket);
    return this->Fail();
  }
  if (!this->is_writable()) {
    return this->Fail();
  }
  ssize_t sent = 0;
  do {
    sent = ::send(this->connection_socket, source, size, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  this->broken |= sent < 0;
  return sent;
}

// Closes the connection after giving the caller time to read the answer.
void CloseGracefully(socket_t socket) {
  ::shutdown(socket, SHUT_WR);
  const auto end = Clock::now() + kLingerTime;
  std::array<char, std::size_t{16} << 10> rest{};
  std::size_t discarded = 0;
  while (discarded < kMaxLingerBytes && WaitFor(socket, POLLIN, end)) {
    const ssize_t received = ::recv(socket, rest.data(), rest.size(), 0);
    if (received <= 0) {
      break;
    }
    discarded += static_cast<std::size_t>(received);
  }
  ::close(socket);
}

// Removes the fields that would make the library parse a multipart or form body
// or reduce an answer to a byte range. The content type is kept in
// kBodyContentTypeHeader.
void HideContentHeaders(httplib::Request& request) {
  const std::string type = request.get_header_value("Content-Type");
  for (const char* field : {"Content-Type", kBodyContentTypeHeader, "Range"}) {
    request.headers.erase(field);
  }
  request.ranges.clear();
  if (!type.empty()) {
    request.headers.emplace(kBodyContentTypeHeader, type);
  }
}

}  // namespace

GuardedServer::GuardedServer(const HttpServerOptions& server_options)
    : options(server_options),
      account(server_options.max_received),
      stop_event(::eventfd(0, EFD_CLOEXEC)) {
  this->set_logger(
      [](const httplib::Request&, const httplib::Response& response) {
        response_closes = response.get_header_value("Connection") == "close";
      });
}

GuardedServer::~GuardedServer() {
  ::close(this->stop_event);
}

void GuardedServer::CloseIdleConnections() const {
  ::eventfd_write(this->stop_event, 1);
}

bool GuardedServer::AwaitRequest(socket_t socket) const {
  const auto end = Clock::now() + this->options.keep_alive_time;
  std::array<pollfd, 2> entries = {pollfd{socket, POLLIN, 0},
                                   pollfd{this->stop_event, POLLIN, 0}};
  int ready = 0;
  do {
    ready = ::poll(entries.data(), entries.size(), MillisecondsUntil(end));
  } while (ready < 0 && errno == EINTR);
  return ready > 0 && entries[0].revents != 0;
}

void GuardedServer::ServeConnection(socket_t socket) {
  GuardedStream stream(socket, this->options, this->account);
  served_stream = &stream;
  for (std::int64_t left = this->options.keep_alive_requests; left > 0;
       --left) {
    stream.AwaitRequest();
    if (!stream.HasBufferedBytes() && !this->AwaitRequest(socket)) {
      return;
    }
    stream.BeginRequest();
    response_closes = false;
    bool request_closes = false;
    if (!this->process_request(stream, left == 1, request_closes,
                               HideContentHeaders) ||
        request_closes || response_closes || stream.IsBroken()) {
      return;
    }
  }
}

bool GuardedServer::process_and_close_socket(socket_t socket) {
  this->ServeConnection(socket);
  served_stream = nullptr;
  CloseGracefully(socket);
  return true;
}

bool BeginServingRequest() {
  return served_stream == nullptr || served_stream->BeginServing();
}

}  // namespace chicorystep::impl
