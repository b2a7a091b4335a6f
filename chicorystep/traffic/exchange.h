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

// An instruction from the control thread to the traffic thread that serves an
// exchange.
using Instruction = std::variant<SendAttempt, EndExchange, EndJobOperation>;

// Delivers instructions from the control thread to the traffic threads. Each
// traffic thread waits for the instructions of its own exchange. Thread-safe.
class ExchangeDispatcher {
 public:
  // Opens an exchange. Its id is not reused within this process.
  [[nodiscard]] ExchangeId Open();
  // Opens an exchange whose instructions are passed to `handler` on the
  // delivering thread instead of being queued for `Await`.
  [[nodiscard]] ExchangeId Open(std::function<void(Instruction)> handler);
  // Closes the exchange; instructions delivered later are dropped.
  void Close(ExchangeId exchange);

  // Queues an instruction for `exchange` or passes it to the handler.
  void Deliver(ExchangeId exchange, Instruction instruction);

  // Waits for the next instruction of `exchange`. Returns nothing on time-out
  // or when the exchange is not open.
  [[nodiscard]] std::optional<Instruction> Await(ExchangeId exchange,
                                                 Duration timeout);

 private:
  struct InstructionQueue {
    std::mutex mutex;
    std::condition_variable ready;
    std::deque<Instruction> instructions;
    std::function<void(Instruction)> handler;
  };

  [[nodiscard]] std::shared_ptr<InstructionQueue> Find(ExchangeId exchange);

  std::atomic<std::uint64_t> last_id = 0;
  std::mutex mutex;
  std::unordered_map<ExchangeId, std::shared_ptr<InstructionQueue>> queues;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_EXCHANGE_H_
