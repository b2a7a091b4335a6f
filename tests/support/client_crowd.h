#ifndef TESTS_SUPPORT_CLIENT_CROWD_H_
#define TESTS_SUPPORT_CLIENT_CROWD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/settings/values.h"

namespace chicorystep::testing {

// The highest resident memory of a process so far, or 0 when it has ended.
inline Bytes PeakMemory(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return Bytes(std::stoll(line.substr(line.find_first_of("0123456789"))) *
                   1024);
    }
  }
  return Bytes(0);
}

// The number of open descriptors of a process.
inline std::size_t OpenDescriptors(pid_t pid) {
  std::error_code error;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator
           at("/proc/" + std::to_string(pid) + "/fd", error),
       end;
       !error && at != end; at.increment(error)) {
    ++count;
  }
  return count;
}

// The bytes that the kernel has received for the connections of the listener at
// `address` and that its process has not read.
inline std::uint64_t UnreadBytes(const Address& address) {
  const auto parts = SplitAddress(address);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::uint64_t unread = 0;
  while (std::getline(table, line)) {
    unsigned local = 0;
    unsigned port = 0;
    unsigned state = 0;
    unsigned long queued = 0;
    constexpr unsigned kEstablished = 1;
    if (std::sscanf(line.c_str(), " %*d: %x:%x %*x:%*x %x %*x:%lx", &local,
                    &port, &state, &queued) == 4 &&
        local == ::inet_addr(std::string(parts->host).c_str()) &&
        port == parts->port && state == kEstablished) {
      unread += queued;
    }
  }
  return unread;
}

// Connections that each send the same bytes, piece by piece in turn, and stay
// open. None of them reads.
class ClientCrowd {
 public:
  ClientCrowd(const Address& address, std::size_t size) {
    const auto parts = SplitAddress(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(parts->port);
    peer.sin_addr.s_addr = ::inet_addr(std::string(parts->host).c_str());
    for (std::size_t i = 0; i < size; ++i) {
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer),
                    sizeof(peer)) != 0) {
        ::close(socket);
        continue;
      }
      ::fcntl(socket, F_SETFL, O_NONBLOCK);
      this->members.push_back(Member{.socket = socket});
    }
  }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;
  ~ClientCrowd() {
    for (const Member& member : this->members) {
      ::close(member.socket);
    }
  }

  // Sends `bytes` on every connection in pieces of at most `piece` bytes, until
  // each has sent all or is closed by the peer. Returns false when some could
  // do neither within `limit`.
  bool SendAll(std::string_view bytes,
               std::size_t piece,
               std::chrono::seconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
      std::vector<pollfd> waiting;
      for (Member& member : this->members) {
        SendPiece(member, bytes, piece);
        if (!member.closed && member.sent < bytes.size()) {
          waiting.push_back(pollfd{member.socket, POLLOUT, 0});
        }
      }
      if (waiting.empty()) {
        return true;
      }
      ::poll(waiting.data(), waiting.size(), 100);
    }
    return false;
  }

 private:
  struct Member {
    int socket = -1;
    std::size_t sent = 0;
    bool closed = false;
  };

  static void SendPiece(Member& member,
                        std::string_view bytes,
                        std::size_t piece) {
    if (member.closed || member.sent == bytes.size()) {
      return;
    }
    const std::string_view rest = bytes.substr(member.sent, piece);
    const ssize_t sent =
        ::send(member.socket, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      member.sent += static_cast<std::size_t>(sent);
    } else if (errno != EAGAIN && errno != EINTR) {
      member.closed = true;
    }
  }

  std::vector<Member> members;
};

// Waits until the process behind `address` has read everything that was sent,
// or reads no more: its unread bytes stay the same for a second. Returns false
// when neither happens within `limit`.
inline bool AwaitReading(const Address& address, std::chrono::seconds limit) {
  constexpr int kSamples = 10;
  const auto end = std::chrono::steady_clock::now() + limit;
  std::uint64_t last = UnreadBytes(address);
  for (int same = 0; std::chrono::steady_clock::now() < end;) {
    if (last == 0 || same == kSamples) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const std::uint64_t unread = UnreadBytes(address);
    same = unread == last ? same + 1 : 0;
    last = unread;
  }
  return false;
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_CLIENT_CROWD_H_
