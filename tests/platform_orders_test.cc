#define BOOST_TEST_MODULE platform_orders
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "platform/http_server.h"
#include "platform/workers.h"

namespace chicorystep::platform {
namespace {

const std::string kEmptyLists =
    R"({"ClockMs":5,"born":7,"Running":[],"Finished":[]})";

// A worker that gives every order the same answer, and a client, on this
// thread.
struct FakeWorker {
  asio::io_context context;
  ServedResponse answer{.body = kEmptyLists};
  // Number of orders whose connection ends without an answer.
  int unanswered = 0;
  int received = 0;
  HttpServer server{context,
                    [this](const ServedRequest&, const Respond& respond) {
                      ++this->received;
                      if (this->unanswered > 0) {
                        --this->unanswered;
                      } else {
                        respond(this->answer);
                      }
                    }};
  HttpClient client{context};
  Address address;

  FakeWorker() {
    for (int port = 21'400; port < 21'600; ++port) {
      this->address = Address("127.0.0.1:" + std::to_string(port));
      if (this->server.Listen(this->address)) {
        return;
      }
    }
    BOOST_FAIL("no free port");
  }

  OrderOutcome Order(OrderKind kind) { return this->Send(kind).outcome; }

  OrderResult Send(OrderKind kind) {
    std::optional<OrderResult> got;
    CarryOutOrder(
        this->client,
        WorkerOrder{.kind = kind,
                    .worker = WorkerId("w"),
                    .address = this->address,
                    .task = {.workflow = WorkflowId("0123456789abcdef")},
                    .run = RunNumber(1),
                    .until = WorkerClock(1000)},
        [&](const OrderResult& ended) { got = ended; });
    while (!got) {
      this->context.run_one();
    }
    return *got;
  }
};

// An order on a reused connection: how often the worker ends the connection
// without an answer, the answer to what it receives then, the outcome, and how
// often the worker received the order.
struct OrderCase {
  std::string name;
  OrderKind kind;
  int unanswered;
  int status;
  std::string body;
  OrderOutcome outcome;
  int received;
};

const std::vector<OrderCase> kOrderCases = {
    {"a start is carried out", OrderKind::kStart, 0, 200, R"({"ClockMs":5})",
     OrderOutcome::kDone, 1},
    {"an unhealthy worker has done nothing", OrderKind::kStart, 0, 503, "{}",
     OrderOutcome::kUnhealthy, 1},
    {"a start that the worker cannot read", OrderKind::kStart, 0, 400, "{}",
     OrderOutcome::kRejected, 1},
    {"the connection of a start ends, then the worker rejects",
     OrderKind::kStart, 1, 503, "{}", OrderOutcome::kUnknown, 1},
    {"the connection of a stop ends, then the worker rejects", OrderKind::kStop,
     1, 503, "{}", OrderOutcome::kUnknown, 1},
    {"the connection of a hold ends, and the hold is repeated",
     OrderKind::kHold, 1, 200, kEmptyLists, OrderOutcome::kDone, 2},
    {"the connections of a hold end twice", OrderKind::kHold, 2, 200,
     kEmptyLists, OrderOutcome::kUnknown, 2},
    {"an error inside the worker leaves the outcome open", OrderKind::kStart, 0,
     500, "{}", OrderOutcome::kUnknown, 1},
    {"a gateway without an answer", OrderKind::kStart, 0, 502, "",
     OrderOutcome::kUnknown, 1},
    {"a gateway that timed out", OrderKind::kStop, 0, 504, "",
     OrderOutcome::kUnknown, 1},
    {"success with an unreadable body", OrderKind::kStart, 0, 200, "{",
     OrderOutcome::kUnknown, 1},
};

// Guards against a task that is placed on a second worker while it runs on the
// first: the first has carried out the start and rejects a repeat of it, or
// answers with a status that does not say whether it did.
BOOST_AUTO_TEST_CASE(an_order_counts_as_rejected_only_if_no_send_can_count) {
  for (const OrderCase& sample : kOrderCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      FakeWorker worker;
      // Leaves a connection to reuse.
      BOOST_TEST((worker.Order(OrderKind::kHold) == OrderOutcome::kDone));
      worker.unanswered = sample.unanswered;
      worker.answer =
          ServedResponse{.status = sample.status, .body = sample.body};
      BOOST_TEST(EnumName(worker.Order(sample.kind)) ==
                 EnumName(sample.outcome));
      BOOST_TEST(worker.received - 1 == sample.received);
    }
  }
}

// How often the worker ends the connection of a second order, and whether the
// result names the connection of the first.
struct ConnectionCase {
  std::string name;
  OrderKind kind;
  int unanswered;
  bool same_connection;
};

const std::vector<ConnectionCase> kConnectionCases = {
    {"an answered start", OrderKind::kStart, 0, true},
    {"a start whose connection ends", OrderKind::kStart, 1, true},
    {"a hold that is repeated on a new connection", OrderKind::kHold, 1, false},
    {"a hold whose repeat ends, too", OrderKind::kHold, 2, false},
};

// Guards against an order that counts as sent to the process at the other end
// of an older connection (issue 42).
BOOST_AUTO_TEST_CASE(results_name_the_connection_of_the_order) {
  for (const ConnectionCase& sample : kConnectionCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      FakeWorker worker;
      const OrderResult first = worker.Send(OrderKind::kHold);
      worker.unanswered = sample.unanswered;
      const OrderResult second = worker.Send(sample.kind);
      BOOST_TEST((first.connected >= first.sent));
      BOOST_TEST((first.connected <= first.answered));
      BOOST_TEST((second.connected == first.connected) ==
                 sample.same_connection);
      BOOST_TEST((second.connected <= second.answered));
      BOOST_TEST(second.leases);
    }
  }
}

// Guards against a wait for leases of an order that no process has received.
BOOST_AUTO_TEST_CASE(orders_without_a_connection_are_not_sent) {
  FakeWorker worker;
  worker.address = Address("127.0.0.1:21399");
  BOOST_TEST(EnumName(worker.Order(OrderKind::kStart)) ==
             EnumName(OrderOutcome::kNotSent));
}

// Guards against an order that a paused process sends when it goes on, after
// its permission to order has run out.
BOOST_AUTO_TEST_CASE(an_order_is_not_sent_after_its_time_out) {
  FakeWorker worker;
  std::optional<OrderResult> got;
  CarryOutOrder(
      worker.client,
      WorkerOrder{.kind = OrderKind::kStart,
                  .worker = WorkerId("w"),
                  .address = worker.address,
                  .task = {.workflow = WorkflowId("0123456789abcdef")},
                  .run = RunNumber(1)},
      [&](const OrderResult& ended) { got = ended; });
  // Longer than the time-out of a start.
  std::this_thread::sleep_for(std::chrono::milliseconds(900));
  worker.context.run_for(std::chrono::milliseconds(200));
  BOOST_REQUIRE(got.has_value());
  BOOST_TEST(EnumName(got->outcome) == EnumName(OrderOutcome::kNotSent));
  BOOST_TEST(worker.received == 0);
}

}  // namespace
}  // namespace chicorystep::platform
