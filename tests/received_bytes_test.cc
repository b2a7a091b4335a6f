#define BOOST_TEST_MODULE received_bytes
#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <chrono>
#include <string>
#include <vector>

#include "chicorystep/systems/intake/received_bytes.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMaxId = 12;
constexpr std::int64_t kMemory = 1000;
constexpr std::int64_t kMaxConnections = 8;

const ReceivedLimits kLimits{.memory = Bytes(kMemory),
                             .connections = Connections(kMaxConnections)};

// One event of a connection.
struct Event {
  enum class Kind : std::uint8_t {
    kOpen,
    kHold,
    kEnter,
    kClose,
    kTimeOut,
    kStall
  };
  Kind kind = Kind::kOpen;
  ConnectionId id;
  ConnectionStage stage = ConnectionStage::kIdle;
  Bytes size;
};

rc::Gen<Event> AnyEvent() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 6),
                     rc::gen::inRange<std::uint64_t>(1, kMaxId + 1),
                     rc::gen::inRange(0, 4),
                     rc::gen::inRange<std::int64_t>(0, kMemory / 2)),
      [](const auto& drawn) {
        const auto& [kind, id, stage, size] = drawn;
        return Event{.kind = static_cast<Event::Kind>(kind),
                     .id = ConnectionId(id),
                     .stage = static_cast<ConnectionStage>(stage),
                     .size = Bytes(size)};
      });
}

void Play(ReceivedBytes& account, const Event& event, TimePoint now) {
  const bool known = account.connections.contains(event.id);
  Admission admission;
  switch (event.kind) {
    case Event::Kind::kOpen:
      if (!known) {
        admission = OpenConnection(
            account, event.id,
            Address(event.id.value % 3 == 0 ? "10.0.0.1" : "10.0.0.2"),
            event.size, now);
      }
      break;
    case Event::Kind::kHold:
      admission = HoldBytes(account, event.id, event.stage, event.size, now);
      break;
    case Event::Kind::kEnter:
      EnterStage(account, event.id, event.stage, now);
      break;
    case Event::Kind::kClose:
      CloseConnection(account, event.id);
      break;
    case Event::Kind::kTimeOut:
      CloseConnection(account, event.id, ClosingReason::kUnfinished);
      break;
    case Event::Kind::kStall: {
      const auto closed = CloseStalled(account, event.id.value,
                                       now - milliseconds(event.size.value));
      RC_ASSERT(closed.size() <= event.id.value);
      for (const ConnectionId id : closed) {
        RC_ASSERT(!account.connections.contains(id));
      }
      break;
    }
  }
  for (const ConnectionId closed : admission.closes) {
    RC_ASSERT(closed != event.id);
    RC_ASSERT(!account.connections.contains(closed));
  }
}

// Compares the sums with the rows.
void CheckSums(const ReceivedBytes& account) {
  Bytes held;
  Bytes serving;
  std::size_t serving_count = 0;
  std::map<Address, Bytes> by_peer;
  for (const auto& [id, row] : account.connections) {
    held += row.held;
    by_peer[row.peer] += row.held;
    if (row.stage == ConnectionStage::kServing) {
      serving += row.held;
      ++serving_count;
    }
  }
  std::erase_if(by_peer,
                [](const auto& entry) { return entry.second == Bytes(0); });
  RC_ASSERT(account.held == held);
  RC_ASSERT(account.serving == serving);
  RC_ASSERT(account.serving_count == serving_count);
  RC_ASSERT(account.held_by_peer == by_peer);
}

RC_BOOST_PROP(the_account_returns_to_zero_after_any_events, ()) {
  const auto events = *rc::gen::container<std::vector<Event>>(AnyEvent());
  ReceivedBytes account{.limits = kLimits};
  TimePoint now{};
  for (const Event& event : events) {
    now += milliseconds(1);
    Play(account, event, now);
    CheckSums(account);
    RC_ASSERT(std::ssize(account.connections) <= kMaxConnections);
  }
  for (std::uint64_t id = 1; id <= kMaxId; ++id) {
    CloseConnection(account, ConnectionId(id));
  }
  RC_ASSERT(account.held == Bytes(0));
  RC_ASSERT(account.serving == Bytes(0));
  RC_ASSERT(account.serving_count == 0U);
  RC_ASSERT(account.held_by_peer.empty());
}

// What connections hold, in the order of their last progress, and what happens
// when the last one asks for `size` more.
struct HoldCase {
  struct Row {
    std::string peer;
    ConnectionStage stage;
    std::int64_t held;
  };
  std::string name;
  std::vector<Row> rows;
  ConnectionStage stage;
  std::int64_t size;
  bool admitted;
  std::vector<std::uint64_t> closes;
};

constexpr auto kIdle = ConnectionStage::kIdle;
constexpr auto kReceiving = ConnectionStage::kReceiving;
constexpr auto kServing = ConnectionStage::kServing;
constexpr auto kAnswering = ConnectionStage::kAnswering;

const std::vector<HoldCase> kHoldCases = {
    {"there is room",
     {{"a", kReceiving, 400}, {"b", kIdle, 10}},
     kReceiving,
     500,
     true,
     {}},
    {"a request that is alone is larger than the memory",
     {{"a", kIdle, 10}},
     kReceiving,
     1500,
     true,
     {}},
    {"a whole request that is alone exceeds the part for these",
     {{"a", kReceiving, 900}},
     kServing,
     900,
     true,
     {}},
    {"the request without progress for the longest time gives way",
     {{"a", kReceiving, 400}, {"a", kReceiving, 400}, {"b", kIdle, 10}},
     kReceiving,
     300,
     true,
     {1}},
    {"the peer above its share gives way, though others waited longer",
     {{"b", kReceiving, 200}, {"a", kReceiving, 600}, {"b", kIdle, 10}},
     kReceiving,
     300,
     true,
     {2}},
    {"idle connections give way last",
     {{"a", kIdle, 10},
      {"a", kAnswering, 300},
      {"a", kReceiving, 300},
      {"b", kIdle, 10}},
     kReceiving,
     500,
     true,
     {3}},
    {"whole requests are not closed",
     {{"a", kServing, 700}, {"b", kIdle, 10}},
     kReceiving,
     400,
     false,
     {}},
    {"whole requests leave a quarter to others",
     {{"a", kServing, 500}, {"b", kReceiving, 300}},
     kServing,
     300,
     false,
     {}},
    {"a decoded request is smaller",
     {{"a", kServing, 500}, {"b", kReceiving, 300}},
     kServing,
     200,
     true,
     {}},
};

BOOST_AUTO_TEST_CASE(requests_give_way_in_a_fixed_order) {
  for (const HoldCase& sample : kHoldCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      ReceivedBytes account{.limits = kLimits};
      TimePoint now{};
      ConnectionId id;
      for (const HoldCase::Row& row : sample.rows) {
        now += milliseconds(1);
        ++id.value;
        BOOST_TEST(OpenConnection(account, id, Address(row.peer), Bytes(0), now)
                       .admitted);
        BOOST_TEST(
            HoldBytes(account, id, row.stage, Bytes(row.held), now).admitted);
      }
      const Admission admission =
          HoldBytes(account, id, sample.stage, Bytes(sample.size), now);
      BOOST_TEST(admission.admitted == sample.admitted);
      std::vector<std::uint64_t> closes;
      for (const ConnectionId closed : admission.closes) {
        closes.push_back(closed.value);
      }
      BOOST_TEST(closes == sample.closes, boost::test_tools::per_element());
    }
  }
}

// The stages of all connections when one more arrives at the limit, and which
// one gives way; 0 for the new one.
struct OpenCase {
  std::string name;
  std::vector<ConnectionStage> stages;
  std::uint64_t closed;
};

const std::vector<OpenCase> kOpenCases = {
    {"all are idle", std::vector(kMaxConnections, kIdle), 1},
    {"one is idle",
     {kReceiving, kReceiving, kServing, kIdle, kServing, kServing, kAnswering,
      kServing},
     4},
    {"one receives",
     {kServing, kServing, kServing, kServing, kServing, kAnswering, kReceiving,
      kServing},
     7},
    {"all are being served", std::vector(kMaxConnections, kServing), 0},
};

BOOST_AUTO_TEST_CASE(a_new_connection_replaces_the_least_active) {
  for (const OpenCase& sample : kOpenCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      ReceivedBytes account{.limits = kLimits};
      TimePoint now{};
      ConnectionId id;
      for (const ConnectionStage stage : sample.stages) {
        now += milliseconds(1);
        ++id.value;
        BOOST_TEST(
            OpenConnection(account, id, Address("a"), Bytes(10), now).admitted);
        EnterStage(account, id, stage, now);
      }
      const Admission admission = OpenConnection(account, ConnectionId(kMaxId),
                                                 Address("a"), Bytes(10), now);
      BOOST_TEST(admission.admitted == (sample.closed != 0));
      BOOST_TEST(admission.closes.size() == (sample.closed != 0 ? 1U : 0U));
      for (const ConnectionId closed : admission.closes) {
        BOOST_TEST(closed.value == sample.closed);
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
