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

// Exchanges messages with the other entry processes over Cap'n Proto RPC. One
// dedicated thread runs the event loop, because a KJ event loop is bound to its
// thread.
class Peers {
 public:
  struct Options {
    Address listen;
    // A call without an answer after this time counts as failed.
    Duration call_timeout = std::chrono::seconds(5);
  };

  Peers(Options options, ControlLoop& control, ExchangeDispatcher& dispatcher);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  ~Peers();

  // Whether the address was bound. If it was not, messages are not sent either.
  [[nodiscard]] bool IsListening() const noexcept { return this->listening; }

  // These are thread-safe and do not block. Heartbeats received in answer and
  // the results of configuration fetches are posted to the control loop; the
  // result of a job operation is delivered to its exchange.
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
