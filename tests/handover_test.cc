#define BOOST_TEST_MODULE handover
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "chicorystep/control/loop.h"
#include "chicorystep/traffic/exchange.h"

namespace chicorystep {
namespace {

// The number of threads, and the number of requests that each of them posts.
struct HandoverCase {
  std::string name;
  int threads;
  int requests;
};

const std::vector<HandoverCase> kHandoverCases = {
    {"one thread", 1, 200},
    {"eight threads", 8, 100},
    {"many threads with one request each", 32, 1},
};

// A control loop on its own thread, and the dispatcher that delivers its
// decisions to the exchanges.
struct RunningLoop {
  ExchangeDispatcher dispatcher;
  ControlLoop control{
      World{.self = Self{.id = EntryId("e"),
                         .heartbeat_interval = std::chrono::milliseconds(1),
                         .max_waiting_requests = 100}},
      [this](Outbox&& outbox) {
        for (EndExchange& end : outbox.ended_exchanges) {
          const ExchangeId exchange = end.exchange;
          this->dispatcher.Deliver(exchange, std::move(end));
        }
      },
      [] {}};
  std::thread thread{[this] { this->control.Run(); }};

  ~RunningLoop() {
    this->control.Stop();
    this->thread.join();
  }
};

// Posts one request. Returns whether its refusal is delivered to its exchange.
bool PostIsRefused(RunningLoop& running) {
  const ExchangeId exchange = running.dispatcher.Open();
  running.control.Post([&](Inbox& inbox) {
    inbox.requests.push_back(RequestArrived{.exchange = exchange,
                                            .id = RequestId("r"),
                                            .workspace = Workspace("w"),
                                            .kind = Kind("unknown")});
  });
  const auto next =
      running.dispatcher.Await(exchange, std::chrono::seconds(30));
  running.dispatcher.Close(exchange);
  const auto* end = next ? std::get_if<EndExchange>(&*next) : nullptr;
  return end != nullptr && end->exchange == exchange && end->refusal;
}

BOOST_AUTO_TEST_CASE(each_thread_gets_the_decision_on_its_own_exchange) {
  for (const HandoverCase& sample : kHandoverCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      RunningLoop running;
      std::atomic<int> refused = 0;
      std::atomic<bool> finished = false;
      std::jthread reader([&] {
        while (!finished) {
          (void)running.control.CurrentView()->config_revision;
          std::promise<void> inspected;
          running.control.Inspect(
              [&](const World&, TimePoint) { inspected.set_value(); });
          inspected.get_future().wait();
        }
      });
      std::vector<std::jthread> callers;
      for (int i = 0; i < sample.threads; ++i) {
        callers.emplace_back([&] {
          for (int n = 0; n < sample.requests; ++n) {
            refused += PostIsRefused(running) ? 1 : 0;
          }
        });
      }
      callers.clear();
      finished = true;
      reader.join();
      BOOST_TEST(refused == sample.threads * sample.requests);
    }
  }
}

}  // namespace
}  // namespace chicorystep
