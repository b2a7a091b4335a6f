#ifndef CHICORYSTEP_TRAFFIC_EXCHANGE_H_
#define CHICORYSTEP_TRAFFIC_EXCHANGE_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/jobs.h"
#include "chicorystep/tables/requests.h"

namespace chicorystep {

// What the control thread tells the traffic thread of one exchange to do.
using Instruction = std::variant<SendAttempt, EndExchange, EndJobOperation>;

// Hands instructions from the control thread to the traffic threads that wait
// for them, each for its own exchange.
class ExchangeDesk {
 public:
  // Opens an exchange; the id is never used again in this process.
  [[nodiscard]] ExchangeId Open();
  // Opens an exchange whose instructions go to `handler`, on the thread that
  // delivers them, in place of being waited for.
  [[nodiscard]] ExchangeId Open(std::function<void(Instruction)> handler);
  // Closes it; later instructions for it are dropped.
  void Close(ExchangeId exchange);

  // Hands an instruction over; safe from any thread.
  void Deliver(ExchangeId exchange, Instruction instruction);

  // Waits for the next instruction of `exchange`; empty after `timeout`.
  [[nodiscard]] std::optional<Instruction> Await(ExchangeId exchange,
                                                 Duration timeout);

 private:
  struct Slot {
    std::mutex mutex;
    std::condition_variable ready;
    std::deque<Instruction> instructions;
    std::function<void(Instruction)> handler;
  };

  [[nodiscard]] std::shared_ptr<Slot> Find(ExchangeId exchange);

  std::atomic<std::uint64_t> last_id = 0;
  std::mutex mutex;
  std::unordered_map<ExchangeId, std::shared_ptr<Slot>> slots;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_EXCHANGE_H_
