#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/control/tick.h"
#include "chicorystep/systems/requests/executor_choice.h"
#include "chicorystep/systems/requests/queues.h"
#include "tests/support/ready_config.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));

struct ExecutorRow {
  std::string id;
  std::string zone = "z1";
  std::string region = "north";
  std::int64_t slots = 1;
};

// Runs the systems of an entry without its threads.
struct Harness {
  World world;
  std::uint64_t last_exchange = 0;
  TimePoint now = kStart;

  explicit Harness(const std::vector<ExecutorRow>& executors) {
    this->world.self = Self{.id = EntryId("entry-1"),
                            .zone = Zone("z1"),
                            .region = Region("north"),
                            .heartbeat_interval = seconds(1),
                            .member_timeout = seconds(5),
                            .max_waiting_requests = 8,
                            .link_bytes_per_second = Bytes(1000),
                            .max_claims = 100};
    testing::MakeConfigReady(this->world);
    this->AddRoute("dispatch", Priority::kUrgent);
    this->AddRoute("verify", Priority::kNormal);
    this->AddRoute("match", Priority::kBulk);
    for (const auto& [name, weight] :
         {std::pair("w1", 1), std::pair("w3", 3)}) {
      const PoolKey key{PoolName("field"), Workspace(name)};
      this->world.config.pools[key] =
          Pool{.key = key, .weight = Weight(weight)};
    }
    for (const ExecutorRow& row : executors) {
      this->world.requests.executors.insert(
          ExecutorId(row.id), Executor{.listed = {.id = ExecutorId(row.id),
                                                  .address = Address(row.id),
                                                  .zone = Zone(row.zone),
                                                  .region = Region(row.region),
                                                  .service = Service("cases"),
                                                  .slots = Slots(row.slots)},
                                       .limit = Slots(row.slots)});
    }
    IndexExecutors(this->world);
  }

  void AddRoute(const std::string& kind, Priority priority) {
    this->world.config.routes[Kind(kind)] = Route{.kind = Kind(kind),
                                                  .service = Service("cases"),
                                                  .pool = PoolName("field"),
                                                  .priority = priority,
                                                  .deadline = seconds(10),
                                                  .idempotent = true,
                                                  .max_request = Bytes(5000),
                                                  .max_answer = Bytes(5000),
                                                  .max_attempts = 5};
  }

  Outbox Arrive(const std::string& kind,
                const std::string& workspace = "w1",
                std::optional<Duration> deadline = std::nullopt,
                Bytes size = Bytes{100}) {
    Inbox inbox;
    inbox.requests.push_back(
        RequestArrived{.exchange = ExchangeId(++this->last_exchange),
                       .id = RequestId("r"),
                       .workspace = Workspace(workspace),
                       .kind = Kind(kind),
                       .size = size,
                       .deadline = deadline});
    return Tick(this->world, inbox, this->now);
  }

  Outbox End(const SendAttempt& sent, AttemptResult result) {
    Inbox inbox;
    inbox.attempts_ended.push_back(AttemptEnded{
        .exchange = sent.exchange, .attempt = sent.attempt, .result = result});
    return Tick(this->world, inbox, this->now);
  }
};

struct RetryCase {
  std::string name;
  AttemptResult result;
  bool idempotent;
  bool retried;
  Execution execution;
};

const std::vector<RetryCase> kRetryCases = {
    {"refused", AttemptResult::kRefused, false, true, Execution::kNotRun},
    {"not sent", AttemptResult::kNotSent, false, true, Execution::kNotRun},
    {"lost", AttemptResult::kLost, false, false, Execution::kUnknown},
    {"cut short", AttemptResult::kCutShort, false, false, Execution::kUnknown},
    {"mismatched", AttemptResult::kMismatched, false, false,
     Execution::kUnknown},
    {"idempotent, lost", AttemptResult::kLost, true, true, Execution::kUnknown},
    {"idempotent, cut short", AttemptResult::kCutShort, true, true,
     Execution::kUnknown},
};

BOOST_AUTO_TEST_CASE(retried_only_when_not_run_or_idempotent) {
  for (const RetryCase& sample : kRetryCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Harness harness({{"x1"}, {"x2"}});
      const Outbox sent = harness.Arrive("verify");
      BOOST_REQUIRE_EQUAL(sent.attempts.size(), 1U);
      harness.world.requests.table.find(ExchangeId(1))->idempotent =
          sample.idempotent;
      const Outbox ended = harness.End(sent.attempts[0], sample.result);
      BOOST_REQUIRE_EQUAL(ended.attempts.size(), sample.retried ? 1U : 0U);
      if (sample.retried) {
        BOOST_TEST((ended.attempts[0].address != sent.attempts[0].address));
        Request& request = *harness.world.requests.table.find(ExchangeId(1));
        request.refusals = 100;
        harness.world.requests.retry_tokens = RetryTokens{0};
        const Outbox last = harness.End(ended.attempts[0], sample.result);
        BOOST_REQUIRE_EQUAL(last.ended_exchanges.size(), 1U);
        BOOST_TEST(
            (last.ended_exchanges[0].refusal->execution == sample.execution));
      } else {
        BOOST_REQUIRE_EQUAL(ended.ended_exchanges.size(), 1U);
        BOOST_TEST(
            (ended.ended_exchanges[0].refusal->execution == sample.execution));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(total_failure_keeps_attempts_near_the_requests) {
  for (const AttemptResult result :
       {AttemptResult::kRefused, AttemptResult::kNotSent,
        AttemptResult::kLost}) {
    std::vector<ExecutorRow> rows;
    for (int i = 0; i < 10; ++i) {
      rows.push_back({"x" + std::to_string(i)});
    }
    Harness harness(rows);
    constexpr std::size_t kRequests = 1000;
    std::size_t attempts = 0;
    std::size_t sent_requests = 0;
    for (std::size_t n = 0; n < kRequests; ++n) {
      harness.now += milliseconds(20);
      Outbox outbox = harness.Arrive("verify", "w1", milliseconds(500));
      while (!outbox.attempts.empty()) {
        attempts += outbox.attempts.size();
        sent_requests += outbox.attempts[0].attempt == Attempt(1) ? 1 : 0;
        outbox = harness.End(outbox.attempts[0], result);
      }
    }
    // Retries add at most a tenth of the requests: first attempts pay off the
    // initial retry budget before they add to it. Refused requests stay
    // queued and few of them receive all attempts, so all requests are counted
    // there.
    const std::size_t counted =
        result == AttemptResult::kRefused ? kRequests : sent_requests;
    BOOST_TEST(attempts <= counted + counted / 10);
    BOOST_TEST(harness.world.requests.executors.size() == 10U);
  }
}

BOOST_AUTO_TEST_CASE(failing_executor_is_ejected_and_then_probed) {
  Harness harness({{"x1", "z1", "north", 4},
                   {"x2", "z1", "north", 4},
                   {"x3", "z1", "north", 4}});
  const auto fail_on_x1 = [&] {
    const Outbox sent = harness.Arrive("verify");
    BOOST_REQUIRE_EQUAL(sent.attempts.size(), 1U);
    const bool at_x1 = sent.attempts[0].address == Address("x1");
    Outbox next =
        harness.End(sent.attempts[0],
                    at_x1 ? AttemptResult::kLost : AttemptResult::kAnswered);
    while (!next.attempts.empty()) {
      next = harness.End(next.attempts[0], AttemptResult::kAnswered);
    }
    return at_x1;
  };
  for (int n = 0, failed = 0; n < 200 && failed < 3; ++n) {
    failed += fail_on_x1() ? 1 : 0;
  }
  const Executor& x1 = *harness.world.requests.executors.find(ExecutorId("x1"));
  BOOST_REQUIRE(x1.ejected_until > harness.now);
  for (int n = 0; n < 100; ++n) {
    BOOST_TEST(!fail_on_x1());
  }
  // After the ejection, the executor gets one attempt at a time.
  harness.now = x1.ejected_until;
  std::size_t at_x1 = 0;
  for (int n = 0; n < 9; ++n) {
    for (const SendAttempt& sent : harness.Arrive("verify").attempts) {
      at_x1 += sent.address == Address("x1") ? 1U : 0U;
    }
  }
  BOOST_TEST(at_x1 == 1U);
}

BOOST_AUTO_TEST_CASE(ejections_are_ignored_when_most_executors_are_ejected) {
  Harness harness({{"x1"}, {"x2"}, {"x3"}, {"x4"}});
  for (Executor& executor : harness.world.requests.executors.rows) {
    executor.ejections = 1;
    executor.ejected_until = harness.now + seconds(10);
  }
  BOOST_TEST(harness.Arrive("verify").attempts.size() == 1U);
}

struct DistanceCase {
  std::string name;
  std::vector<ExecutorRow> executors;
  // Addresses in the order of sending; no request is answered in between.
  std::vector<std::string> sent;
};

const std::vector<DistanceCase> kDistanceCases = {
    {"same zone first",
     {{"far", "z9", "south"}, {"region", "z2"}, {"zone", "z1"}},
     {"zone", "region", "far"}},
    {"link between regions only within its allowance",
     {{"far", "z9", "south", 4}},
     // The link allowance is 1000 bytes and each request takes 600, so the
     // second overdraws it and the third waits.
     {"far", "far"}},
};

BOOST_AUTO_TEST_CASE(nearest_executor_first_and_link_within_allowance) {
  for (const DistanceCase& sample : kDistanceCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Harness harness(sample.executors);
      std::vector<std::string> sent;
      for (int n = 0; n < 3; ++n) {
        for (const SendAttempt& attempt :
             harness.Arrive("verify", "w1", std::nullopt, Bytes{600})
                 .attempts) {
          sent.push_back(attempt.address.value);
        }
      }
      BOOST_TEST(sent == sample.sent, boost::test_tools::per_element());
    }
  }
}

struct ShedCase {
  std::string name;
  std::vector<std::string> waiting;
  std::string arrival;
  // The exchange that is refused; 10 is the arrival itself.
  std::uint64_t refused;
};

const std::vector<ShedCase> kShedCases = {
    {"bulk is shed for urgent",
     {"match", "verify", "match", "dispatch", "verify", "verify", "verify",
      "verify"},
     "dispatch",
     4},
    {"normal is shed when no bulk waits",
     {"verify", "verify", "dispatch", "dispatch", "dispatch", "dispatch",
      "dispatch", "dispatch"},
     "dispatch",
     3},
    {"bulk is refused when all is urgent",
     {"dispatch", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch",
      "dispatch", "dispatch"},
     "match",
     10},
};

BOOST_AUTO_TEST_CASE(full_queues_shed_the_lowest_class_first) {
  for (const ShedCase& sample : kShedCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Harness harness({{"x1"}});
      // The first request takes the only slot.
      BOOST_REQUIRE_EQUAL(harness.Arrive("dispatch").attempts.size(), 1U);
      for (const std::string& kind : sample.waiting) {
        BOOST_TEST(harness.Arrive(kind).ended_exchanges.empty());
      }
      const Outbox outbox = harness.Arrive(sample.arrival);
      BOOST_REQUIRE_EQUAL(outbox.ended_exchanges.size(), 1U);
      const EndExchange& end = outbox.ended_exchanges[0];
      BOOST_TEST(end.exchange.value == sample.refused);
      BOOST_TEST((end.refusal->reason == Reason::kOverloaded));
      BOOST_TEST((end.refusal->execution == Execution::kNotRun));
    }
  }
}

BOOST_AUTO_TEST_CASE(workspaces_share_slot_time_by_weight) {
  Harness harness({{"x1"}});
  harness.world.self.max_waiting_requests = 1000;
  std::vector<SendAttempt> running = harness.Arrive("verify", "w1").attempts;
  for (int n = 0; n < 100; ++n) {
    (void)harness.Arrive("verify", "w1");
    (void)harness.Arrive("verify", "w3");
  }
  int served_w3 = 0;
  for (int n = 0; n < 80; ++n) {
    harness.now += milliseconds(1);
    running = harness.End(running.at(0), AttemptResult::kAnswered).attempts;
    const Request* request =
        harness.world.requests.table.find(running.at(0).exchange);
    served_w3 += request->workspace == Workspace("w3") ? 1 : 0;
  }
  BOOST_TEST(served_w3 >= 56);
  BOOST_TEST(served_w3 <= 64);
}

BOOST_AUTO_TEST_CASE(unreachable_deadline_is_refused_before_it_is_sent) {
  Harness harness({{"x1"}});
  for (int n = 0; n < 8; ++n) {
    const Outbox sent = harness.Arrive("verify");
    harness.now += milliseconds(100);
    (void)harness.End(sent.attempts.at(0), AttemptResult::kAnswered);
  }
  const Outbox refused = harness.Arrive("verify", "w1", milliseconds(50));
  BOOST_REQUIRE_EQUAL(refused.ended_exchanges.size(), 1U);
  BOOST_TEST((refused.ended_exchanges[0].refusal->reason ==
              Reason::kDeadlineUnreachable));
  // At ten answers per second, the queue of 5 puts a deadline of 300 ms out of
  // reach, too.
  for (int n = 0; n < 6; ++n) {
    (void)harness.Arrive("verify");
  }
  const Outbox queued = harness.Arrive("verify", "w1", milliseconds(300));
  BOOST_REQUIRE_EQUAL(queued.ended_exchanges.size(), 1U);
  BOOST_TEST(queued.attempts.empty());
}

// A pause without requests before a burst, and the answers before the pause.
struct IdleCase {
  std::string name;
  int answers;
  Duration pause;
};

const std::vector<IdleCase> kIdleCases = {
    {"no pause", 8, Duration()},
    {"a pause of a minute", 8, seconds(60)},
    {"the first requests of the process", 0, seconds(600)},
};

// Pattern: a burst after a pause. The time without requests says nothing about
// how fast requests are answered.
BOOST_AUTO_TEST_CASE(a_burst_after_a_pause_is_admitted) {
  for (const IdleCase& sample : kIdleCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Harness harness({{"x1"}});
      for (int n = 0; n < sample.answers; ++n) {
        const Outbox sent = harness.Arrive("verify");
        harness.now += milliseconds(100);
        (void)harness.End(sent.attempts.at(0), AttemptResult::kAnswered);
      }
      for (Duration idle{}; idle < sample.pause; idle += milliseconds(100)) {
        harness.now += milliseconds(100);
        (void)Tick(harness.world, Inbox{}, harness.now);
      }
      const Outbox first = harness.Arrive("verify");
      for (int n = 0; n < 5; ++n) {
        BOOST_TEST(harness.Arrive("verify").ended_exchanges.empty());
      }
      harness.now += milliseconds(100);
      (void)harness.End(first.attempts.at(0), AttemptResult::kAnswered);
      // At ten answers per second, the five that wait take half a second.
      BOOST_TEST(
          harness.Arrive("verify", "w1", seconds(5)).ended_exchanges.empty());
    }
  }
}

// Answers that arrive together after a standstill, and the requests that come
// in the same tick or after it.
struct TogetherCase {
  std::string name;
  // Answers before the standstill.
  int before;
  Duration standstill;
  bool same_tick;
};

const std::vector<TogetherCase> kTogetherCases = {
    {"the first answers of the process", 0, seconds(1), false},
    {"requests of the same tick", 0, seconds(1), true},
    {"after other answers", 16, seconds(1), false},
    {"a short standstill", 16, milliseconds(300), true},
};

// Guards against a rate that counts one of the answers of a tick: a burst after
// a standstill of the process was refused with deadline_unreachable.
BOOST_AUTO_TEST_CASE(answers_that_arrive_together_count_together) {
  constexpr int kSlots = 8;
  for (const TogetherCase& sample : kTogetherCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Harness harness({{"x1", "z1", "north", kSlots}});
      harness.world.self.max_waiting_requests = 100;
      for (int n = 0; n < sample.before; ++n) {
        const Outbox sent = harness.Arrive("verify");
        harness.now += milliseconds(15);
        (void)harness.End(sent.attempts.at(0), AttemptResult::kAnswered);
      }
      Inbox inbox;
      for (int n = 0; n < kSlots; ++n) {
        const Outbox sent = harness.Arrive("verify");
        inbox.attempts_ended.push_back(
            AttemptEnded{.exchange = sent.attempts.at(0).exchange,
                         .attempt = sent.attempts.at(0).attempt,
                         .result = AttemptResult::kAnswered});
      }
      harness.now += sample.standstill;
      // At eight answers in a standstill of a second, the 20 that wait take 2.5
      // seconds.
      Inbox burst;
      for (int n = 0; n < kSlots + 20; ++n) {
        burst.requests.push_back(
            RequestArrived{.exchange = ExchangeId(++harness.last_exchange),
                           .id = RequestId("r"),
                           .workspace = Workspace("w1"),
                           .kind = Kind("verify"),
                           .size = Bytes(100),
                           .deadline = seconds(5)});
      }
      if (sample.same_tick) {
        burst.attempts_ended = inbox.attempts_ended;
      } else {
        (void)Tick(harness.world, inbox, harness.now);
      }
      const Outbox sent = Tick(harness.world, burst, harness.now);
      const auto refused = std::count_if(
          sent.ended_exchanges.begin(), sent.ended_exchanges.end(),
          [](const EndExchange& end) { return end.refusal.has_value(); });
      BOOST_TEST(refused == 0);
      BOOST_TEST(sent.attempts.size() == static_cast<std::size_t>(kSlots));
    }
  }
}

BOOST_AUTO_TEST_CASE(long_kinds_leave_slots_to_short_ones) {
  Harness harness({{"x1", "z1", "north", 8}});
  harness.world.self.max_waiting_requests = 100;
  const auto record_run_times = [&](const std::string& kind,
                                    Duration run_time) {
    for (int n = 0; n < 8; ++n) {
      const Outbox sent = harness.Arrive(kind);
      harness.now += run_time;
      (void)harness.End(sent.attempts.at(0), AttemptResult::kAnswered);
    }
  };
  record_run_times("verify", milliseconds(1));
  record_run_times("match", milliseconds(500));
  std::size_t long_sent = 0;
  for (int n = 0; n < 20; ++n) {
    long_sent += harness.Arrive("match").attempts.size();
  }
  BOOST_TEST(long_sent == 6U);
  BOOST_TEST(harness.Arrive("verify").attempts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(late_or_repeated_ends_of_attempts_change_nothing) {
  Harness harness({{"x1"}, {"x2"}});
  const Outbox sent = harness.Arrive("verify");
  const Outbox retried = harness.End(sent.attempts.at(0), AttemptResult::kLost);
  BOOST_REQUIRE_EQUAL(retried.attempts.size(), 1U);
  const Outbox late =
      harness.End(sent.attempts.at(0), AttemptResult::kAnswered);
  BOOST_TEST(late.ended_exchanges.empty());
  const Outbox ended =
      harness.End(retried.attempts[0], AttemptResult::kAnswered);
  BOOST_TEST(ended.ended_exchanges.size() == 1U);
  BOOST_TEST(harness.End(retried.attempts[0], AttemptResult::kAnswered)
                 .ended_exchanges.empty());
  for (const Executor& executor : harness.world.requests.executors.rows) {
    BOOST_TEST((executor.in_flight == Slots{0}));
  }
}

BOOST_AUTO_TEST_CASE(leaving_executor_receives_no_new_requests) {
  Harness harness({{"x1"}, {"x2"}});
  InstanceList list;
  for (const Executor& executor : harness.world.requests.executors.rows) {
    list.executors.push_back(executor.listed);
  }
  list.executors[0].state = InstanceState::kLeaving;
  Inbox inbox;
  inbox.instance_lists.push_back(list);
  (void)Tick(harness.world, inbox, harness.now);
  for (int n = 0; n < 20; ++n) {
    for (const SendAttempt& sent : harness.Arrive("verify").attempts) {
      BOOST_TEST((sent.address == list.executors[1].address));
      (void)harness.End(sent, AttemptResult::kAnswered);
    }
  }
}

BOOST_AUTO_TEST_CASE(refusals_shrink_the_limit_and_answers_grow_it) {
  Harness harness({{"x1", "z1", "north", 8}, {"x2", "z1", "north", 8}});
  Executor& x1 = *harness.world.requests.executors.find(ExecutorId("x1"));
  std::vector<SendAttempt> at_x1;
  for (int n = 0; n < 8; ++n) {
    for (const SendAttempt& sent : harness.Arrive("verify").attempts) {
      if (sent.address == Address("x1")) {
        at_x1.push_back(sent);
      }
    }
  }
  BOOST_REQUIRE(at_x1.size() >= 2);
  (void)harness.End(at_x1.back(), AttemptResult::kRefused);
  BOOST_TEST((x1.limit == Slots(static_cast<std::int64_t>(at_x1.size()) - 1)));
  BOOST_TEST((x1.paused_until > harness.now));
}

}  // namespace
}  // namespace chicorystep
