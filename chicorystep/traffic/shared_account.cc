#include "chicorystep/traffic/shared_account.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <limits>

#include "chicorystep/systems/intake/received_bytes.h"

namespace chicorystep::impl {
namespace {

// A connection without progress for this long gives its thread to one that
// waits. A caller that goes on sending is faster than that.
constexpr Duration kStallTime = std::chrono::seconds(1);

TimePoint Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace

void AbortConnection(int socket) {
  int unsent = 0;
  if (::ioctl(socket, SIOCOUTQ, &unsent) == 0 && unsent == 0) {
    constexpr linger kResetAtClose{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &kResetAtClose,
                 sizeof(kResetAtClose));
  }
  ::shutdown(socket, SHUT_RDWR);
}

SharedAccount::SharedAccount(Bytes memory) {
  // The number of threads bounds the connections.
  this->account.limits = ReceivedLimits{
      .memory = memory,
      .connections = Connections(std::numeric_limits<std::int64_t>::max())};
}

ConnectionId SharedAccount::Open(int socket, const Address& peer) {
  const std::scoped_lock lock(this->mutex);
  const ConnectionId id(++this->last.value);
  this->sockets.emplace(id, socket);
  this->ShutDown(
      OpenConnection(this->account, id, peer, Bytes(0), Now()).closes);
  return id;
}

bool SharedAccount::Hold(ConnectionId id, ConnectionStage stage, Bytes held) {
  std::unique_lock lock(this->mutex);
  const Admission admission = HoldBytes(this->account, id, stage, held, Now());
  this->ShutDown(admission.closes);
  this->account.declined +=
      !admission.admitted && stage == ConnectionStage::kServing ? 1 : 0;
  // Their threads still have to free the memory. No cycle of waits arises, as a
  // connection that has given way admits and closes nothing any more.
  this->closed.wait(lock, [&] {
    return std::none_of(
        admission.closes.begin(), admission.closes.end(),
        [this](ConnectionId other) { return this->sockets.contains(other); });
  });
  return admission.admitted && this->account.connections.contains(id);
}

void SharedAccount::Close(ConnectionId id) {
  const std::scoped_lock lock(this->mutex);
  CloseConnection(this->account, id);
  this->sockets.erase(id);
  this->closed.notify_all();
}

void SharedAccount::FreeThreads(std::size_t count) {
  const std::scoped_lock lock(this->mutex);
  this->ShutDown(CloseStalled(this->account, count, Now() - kStallTime));
}

ReceivedBytes SharedAccount::Copy() const {
  const std::scoped_lock lock(this->mutex);
  return this->account;
}

void SharedAccount::ShutDown(const std::vector<ConnectionId>& ids) {
  for (const ConnectionId id : ids) {
    if (const auto found = this->sockets.find(id);
        found != this->sockets.end()) {
      AbortConnection(found->second);
    }
  }
}

}  // namespace chicorystep::impl
