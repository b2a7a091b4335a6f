#ifndef CHICORYSTEP_TRAFFIC_PEERS_H_
#define CHICORYSTEP_TRAFFIC_PEERS_H_

#include <functional>
#include <memory>
#include <thread>

#include "chicorystep/control/loop.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/jobs.h"
#include "chicorystep/tables/members.h"
#include "chicorystep/traffic/exchange.h"

namespace chicorystep {

namespace impl {
class PeerLoop;
}

// Talks with the other entry processes by Cap'n Proto RPC on one thread of its
// own, which its event loop is bound to.
class Peers {
 public:
  struct Options {
    Address listen;
    // A call that takes longer has failed.
    Duration call_timeout = std::chrono::seconds(5);
  };

  Peers(Options options, ControlLoop& control, ExchangeDesk& desk);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  ~Peers();

  // Whether the address could be bound; if not, nothing is sent either.
  [[nodiscard]] bool IsListening() const noexcept { return this->listening; }

  // All are safe from any thread and do not block. The answering heartbeat,
  // the configuration that was fetched and the answer of the job operation
  // reach the control loop and the exchange that waits.
  void Send(SendHeartbeat message);
  void Send(ForwardJobOperation message);
  void Send(FetchConfig message);

 private:
  std::unique_ptr<impl::PeerLoop> loop;
  std::thread thread;
  bool listening = false;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_PEERS_H_
