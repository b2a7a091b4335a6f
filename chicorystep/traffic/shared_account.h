#ifndef CHICORYSTEP_TRAFFIC_SHARED_ACCOUNT_H_
#define CHICORYSTEP_TRAFFIC_SHARED_ACCOUNT_H_

#include <condition_variable>
#include <map>
#include <mutex>

#include "chicorystep/tables/received_bytes.h"

namespace chicorystep::impl {

// Ends a connection that gives way, so that its thread stops reading and closes
// it. Closing it then resets it, unless a part of an answer is still to be
// sent: a peer whose send buffer is full does not learn of an ordinary close
// until its next probe of the window, which may take minutes.
void AbortConnection(int socket);

// The account of received bytes of a server whose connections have a thread
// each, and their sockets. Connections that give way are shut down; the threads
// that serve them then close them. Thread-safe.
class SharedAccount {
 public:
  explicit SharedAccount(Bytes memory);

  ConnectionId Open(int socket, const Address& peer);
  // Accounts for what the connection holds. Returns false if there is no room.
  // Waits until the connections that give way have freed their memory.
  [[nodiscard]] bool Hold(ConnectionId id, ConnectionStage stage, Bytes held);
  void Close(ConnectionId id);
  // Shuts up to `count` connections down that have made no progress lately.
  void FreeThreads(std::size_t count);

  [[nodiscard]] ReceivedBytes Copy() const;

 private:
  void ShutDown(const std::vector<ConnectionId>& ids);

  mutable std::mutex mutex;
  // Notified when a connection is closed.
  std::condition_variable closed;
  ReceivedBytes account;
  std::map<ConnectionId, int> sockets;
  ConnectionId last;
};

}  // namespace chicorystep::impl

#endif  // CHICORYSTEP_TRAFFIC_SHARED_ACCOUNT_H_
