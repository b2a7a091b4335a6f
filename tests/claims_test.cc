#define BOOST_TEST_MODULE claims
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/control/tick.h"
#include "chicorystep/encoding/claim_record.h"
#include "chicorystep/systems/cells/claims.h"
#include "chicorystep/systems/requests/executor_choice.h"
#include "tests/support/ready_config.h"

namespace chicorystep {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kWindow = seconds(60);

// One record of a claim stream whose records all belong to the same request.
struct Step {
  ClaimRecordKind kind;
  // The record id. Steps with the same id are duplicates of one append.
  std::string record;
  // Set only for ends: the offset of the claim, and its outcome.
  std::uint64_t claim = 0;
  Execution outcome = Execution::kUnknown;
};

Step ClaimStep(std::string record) {
  return {ClaimRecordKind::kClaim, std::move(record)};
}
Step EndStep(std::uint64_t claim, Execution outcome) {
  return {ClaimRecordKind::kEnd, "end", claim, outcome};
}

LogRecord MakeRecord(std::uint64_t offset, const Step& step) {
  return LogRecord{Offset(offset), RecordId(step.record),
                   EncodeClaimRecord(ClaimRecord{.kind = step.kind,
                                                 .workspace = Workspace("w1"),
                                                 .request = RequestId("r1"),
                                                 .claim = Offset(step.claim),
                                                 .outcome = step.outcome})};
}

struct FoldCase {
  std::string name;
  std::vector<Step> steps;
  // The records whose claims came into force, in order.
  std::vector<std::string> winners;
  std::optional<Execution> outcome;
};

const std::vector<FoldCase> kFoldCases = {
    {"first claim wins", {ClaimStep("a"), ClaimStep("b")}, {"a"}, std::nullopt},
    {"duplicate append counts once",
     {ClaimStep("a"), ClaimStep("a"), ClaimStep("b")},
     {"a"},
     std::nullopt},
    {"claim that ran stays in force",
     {ClaimStep("a"), EndStep(0, Execution::kRan), ClaimStep("b")},
     {"a"},
     Execution::kRan},
    {"claim with unknown outcome stays in force",
     {ClaimStep("a"), EndStep(0, Execution::kUnknown), ClaimStep("b")},
     {"a"},
     Execution::kUnknown},
    {"claim that did not run is released",
     {ClaimStep("a"), EndStep(0, Execution::kNotRun), ClaimStep("b"),
      ClaimStep("c")},
     {"a", "b"},
     std::nullopt},
    {"duplicate of a released claim stays released",
     {ClaimStep("a"), EndStep(0, Execution::kNotRun), ClaimStep("a")},
     {"a"},
     Execution::kNotRun},
    {"first outcome stays",
     {ClaimStep("a"), EndStep(0, Execution::kUnknown),
      EndStep(0, Execution::kNotRun), ClaimStep("b")},
     {"a"},
     Execution::kUnknown},
    {"end of another claim is ignored",
     {ClaimStep("a"), EndStep(7, Execution::kNotRun), ClaimStep("b")},
     {"a"},
     std::nullopt},
    {"end before any claim is ignored",
     {EndStep(0, Execution::kRan), ClaimStep("a")},
     {"a"},
     std::nullopt},
};

BOOST_AUTO_TEST_CASE(fold_brings_one_claim_into_force) {
  for (const FoldCase& sample : kFoldCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Claims claims;
      std::vector<std::string> winners;
      for (std::size_t i = 0; i < sample.steps.size(); ++i) {
        if (ApplyClaimRecord(claims, MakeRecord(i, sample.steps[i]), kStart)) {
          winners.push_back(sample.steps[i].record);
        }
      }
      BOOST_TEST(winners == sample.winners, boost::test_tools::per_element());
      const Claim* claim =
          claims.table.find(ClaimKey{Workspace("w1"), RequestId("r1")});
      BOOST_REQUIRE(claim != nullptr);
      BOOST_TEST((claim->outcome == sample.outcome));
    }
  }
}

World MakeWorld() {
  World world;
  world.self = Self{.id = EntryId("entry-1"),
                    .incarnation = Incarnation(1),
                    .zone = Zone("z1"),
                    .region = Region("r1"),
                    .heartbeat_interval = seconds(1),
                    .member_timeout = seconds(5),
                    .lease_time = seconds(10),
                    .worker_poll_interval = seconds(1),
                    .max_waiting_requests = 100,
                    .max_waiting_jobs = 100,
                    .max_claims = 4,
                    .claim_window = kWindow,
                    .claim_timeout = seconds(2)};
  testing::MakeConfigReady(world);
  world.claims.ready = true;
  world.config.routes[Kind("dispatch")] = Route{.kind = Kind("dispatch"),
                                                .service = Service("crews"),
                                                .pool = PoolName("field"),
                                                .deadline = seconds(10),
                                                .max_request = Bytes(1000),
                                                .max_answer = Bytes(1000),
                                                .max_attempts = 3};
  const PoolKey key{PoolName("field"), Workspace("w1")};
  world.config.pools[key] = Pool{.key = key, .weight = Weight(1)};
  world.requests.executors.insert(
      ExecutorId("x1"), Executor{.listed = {.id = ExecutorId("x1"),
                                            .zone = Zone("z1"),
                                            .region = Region("r1"),
                                            .service = Service("crews"),
                                            .slots = Slots(8)},
                                 .limit = Slots(8)});
  IndexExecutors(world);
  return world;
}

Inbox Arrival(std::uint64_t exchange, const std::string& id) {
  Inbox inbox;
  inbox.requests.push_back(RequestArrived{.exchange = ExchangeId(exchange),
                                          .id = RequestId(id),
                                          .workspace = Workspace("w1"),
                                          .kind = Kind("dispatch")});
  return inbox;
}

// A read that returns the appended records, with offsets from `first` on.
Inbox ReadBack(const Outbox& outbox, std::uint64_t first) {
  LogBatch batch{.stream = ClaimStream()};
  for (const AppendRecord& append : outbox.appends) {
    batch.records.push_back(LogRecord{Offset(first + batch.records.size()),
                                      append.id, append.data});
  }
  batch.next = Offset(first + batch.records.size());
  Inbox inbox;
  inbox.log_batches.push_back(std::move(batch));
  return inbox;
}

Inbox AttemptEnd(const SendAttempt& sent, AttemptResult result) {
  Inbox inbox;
  inbox.attempts_ended.push_back(AttemptEnded{
      .exchange = sent.exchange, .attempt = sent.attempt, .result = result});
  return inbox;
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_before_the_claim_is_read_back) {
  World world = MakeWorld();
  const Outbox arrived = Tick(world, Arrival(1, "r1"), kStart);
  BOOST_TEST(arrived.attempts.empty());
  BOOST_REQUIRE_EQUAL(arrived.appends.size(), 1U);
  const Outbox won = Tick(world, ReadBack(arrived, 0), kStart);
  BOOST_TEST(won.attempts.size() == 1U);
  // A duplicate of the same append changes nothing.
  const Outbox again = Tick(world, ReadBack(arrived, 1), kStart);
  BOOST_TEST(again.attempts.empty());
  BOOST_TEST(again.appends.empty());
}

// How the attempt of the first request ended.
struct RepeatCase {
  std::string name;
  AttemptResult result;
  // The outcome recorded in the end of the claim.
  Execution outcome;
  // The outcome reported to the repeat.
  std::optional<Execution> reported;
};

const std::vector<RepeatCase> kRepeatCases = {
    {"answered", AttemptResult::kAnswered, Execution::kRan, Execution::kRan},
    {"lost", AttemptResult::kLost, Execution::kUnknown, Execution::kUnknown},
    {"cut short", AttemptResult::kCutShort, Execution::kUnknown,
     Execution::kUnknown},
    {"mismatched", AttemptResult::kMismatched, Execution::kUnknown,
     Execution::kUnknown},
};

BOOST_AUTO_TEST_CASE(repeat_gets_the_first_outcome) {
  for (const RepeatCase& sample : kRepeatCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld();
      const Outbox arrived = Tick(world, Arrival(1, "r1"), kStart);
      const Outbox sent = Tick(world, ReadBack(arrived, 0), kStart);
      BOOST_REQUIRE_EQUAL(sent.attempts.size(), 1U);
      const Outbox ended =
          Tick(world, AttemptEnd(sent.attempts[0], sample.result), kStart);
      BOOST_REQUIRE_EQUAL(ended.ended_exchanges.size(), 1U);
      BOOST_TEST(ended.attempts.empty());
      BOOST_REQUIRE_EQUAL(ended.appends.size(), 1U);
      BOOST_TEST((DecodeClaimRecord(ended.appends[0].data).value().outcome ==
                  sample.outcome));
      (void)Tick(world, ReadBack(ended, 1), kStart);
      const Outbox repeat = Tick(world, Arrival(2, "r1"), kStart);
      BOOST_TEST(repeat.appends.empty());
      BOOST_REQUIRE_EQUAL(repeat.ended_exchanges.size(), 1U);
      const Refusal& refusal = *repeat.ended_exchanges[0].refusal;
      BOOST_TEST((refusal.reason == Reason::kAlreadyClaimed));
      BOOST_TEST((refusal.execution == *sample.reported));
    }
  }
}

BOOST_AUTO_TEST_CASE(repeat_during_the_first_reports_outcome_unknown) {
  World world = MakeWorld();
  const Outbox first = Tick(world, Arrival(1, "r1"), kStart);
  // The repeat arrives before the claim is read back, so both are appended.
  const Outbox second = Tick(world, Arrival(2, "r1"), kStart);
  BOOST_REQUIRE_EQUAL(second.appends.size(), 1U);
  BOOST_TEST(Tick(world, ReadBack(first, 0), kStart).attempts.size() == 1U);
  const Outbox lost = Tick(world, ReadBack(second, 1), kStart);
  BOOST_TEST(lost.attempts.empty());
  BOOST_REQUIRE_EQUAL(lost.ended_exchanges.size(), 1U);
  BOOST_TEST(
      (lost.ended_exchanges[0].refusal->execution == Execution::kUnknown));
}

BOOST_AUTO_TEST_CASE(unconfirmed_claim_is_refused_and_released_when_read_back) {
  for (const bool append_failed : {false, true}) {
    World world = MakeWorld();
    const Outbox first = Tick(world, Arrival(1, "r1"), kStart);
    Inbox failed;
    if (append_failed) {
      failed.appends_ended.push_back(
          AppendEnded{ClaimStream(), first.appends[0].id, false});
    }
    const Outbox refused =
        Tick(world, failed, append_failed ? kStart : kStart + seconds(2));
    BOOST_REQUIRE_EQUAL(refused.ended_exchanges.size(), 1U);
    const Refusal& refusal = *refused.ended_exchanges[0].refusal;
    BOOST_TEST((refusal.execution == Execution::kNotRun));
    BOOST_TEST((refusal.reason == Reason::kLogUnavailable));
    // The append has taken effect although it was not confirmed in time.
    const Outbox released =
        Tick(world, ReadBack(first, 0), kStart + seconds(3));
    BOOST_TEST(released.attempts.empty());
    BOOST_REQUIRE_EQUAL(released.appends.size(), 1U);
    const auto end = DecodeClaimRecord(released.appends[0].data).value();
    BOOST_TEST((end.kind == ClaimRecordKind::kEnd));
    BOOST_TEST((end.outcome == Execution::kNotRun));
  }
}

BOOST_AUTO_TEST_CASE(one_claim_probes_a_failing_log) {
  World world = MakeWorld();
  (void)Tick(world, Arrival(1, "r1"), kStart);
  (void)Tick(world, Inbox{}, kStart + seconds(2));
  const Outbox probe = Tick(world, Arrival(2, "r2"), kStart + seconds(2));
  BOOST_TEST(probe.appends.size() == 1U);
  const Outbox refused = Tick(world, Arrival(3, "r3"), kStart + seconds(2));
  BOOST_TEST(refused.appends.empty());
  BOOST_REQUIRE_EQUAL(refused.ended_exchanges.size(), 1U);
  BOOST_TEST(
      (refused.ended_exchanges[0].refusal->execution == Execution::kNotRun));
  (void)Tick(world, ReadBack(probe, 0), kStart + seconds(3));
  const Outbox open = Tick(world, Arrival(4, "r4"), kStart + seconds(3));
  BOOST_TEST(open.appends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(table_is_bounded_and_evicts_claims_after_the_window) {
  World world = MakeWorld();
  for (std::uint64_t i = 0; i < 4; ++i) {
    const Outbox arrived =
        Tick(world, Arrival(i, "r" + std::to_string(i)), kStart);
    (void)Tick(world, ReadBack(arrived, i), kStart);
  }
  const Outbox full = Tick(world, Arrival(9, "r9"), kStart);
  BOOST_REQUIRE_EQUAL(full.ended_exchanges.size(), 1U);
  BOOST_TEST((full.ended_exchanges[0].refusal->reason == Reason::kOverloaded));
  // Advances in steps, because a longer gap between ticks counts as a pause of
  // the process.
  for (TimePoint now = kStart; now <= kStart + kWindow; now += seconds(1)) {
    (void)Tick(world, Inbox{}, now);
  }
  BOOST_TEST(world.claims.table.empty());
  const Outbox open = Tick(world, Arrival(10, "r10"), kStart + kWindow);
  BOOST_TEST(open.appends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(end_is_appended_until_the_log_acknowledges_it) {
  World world = MakeWorld();
  const Outbox arrived = Tick(world, Arrival(1, "r1"), kStart);
  const Outbox sent = Tick(world, ReadBack(arrived, 0), kStart);
  const Outbox ended = Tick(
      world, AttemptEnd(sent.attempts[0], AttemptResult::kAnswered), kStart);
  Inbox failed;
  failed.appends_ended.push_back(
      AppendEnded{ClaimStream(), ended.appends[0].id, false});
  const Outbox again = Tick(world, failed, kStart);
  BOOST_REQUIRE_EQUAL(again.appends.size(), 1U);
  BOOST_TEST((again.appends[0].id == ended.appends[0].id));
  BOOST_TEST(again.appends[0].data == ended.appends[0].data);
}

}  // namespace
}  // namespace chicorystep
