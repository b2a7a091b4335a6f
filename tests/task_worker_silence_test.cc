#define BOOST_TEST_MODULE task_worker_silence
#include "chicorystep/systems/workflows/task_unresponsive_workers.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "chicorystep/encoding/workflow_record.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/workflow_holder.h"
#include "chicorystep/systems/workflows/workflow_streams.h"

namespace chicorystep {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow(seconds(1000));
const WorkerId kWorker("w0");

// Records of earlier holders, read at `kNow`, and how long after `kNow` the
// holder of epoch 7, which claimed then, waits for the leases on the worker to
// expire.
struct LeaseExpiryCase {
  std::string name;
  std::vector<UnresponsiveWorkersRecord> records;
  Duration wait;
};

// The time for which the previous holder may still send orders, and a lease of
// 5 s when both clocks run 2% slow.
constexpr Duration kFullWait =
    kConfirmationBound + std::chrono::milliseconds(5200);

const std::vector<LeaseExpiryCase> kLeaseExpiryCases = {
    {"no record", {}, kFullWait},
    {"the previous holder recorded it",
     {{Epoch(6), {{kWorker, seconds(3)}}}},
     std::chrono::milliseconds(3120)},
    {"the previous holder recorded another worker",
     {{Epoch(6), {{WorkerId("w1"), seconds(3)}}}},
     kFullWait},
    {"the previous holder recorded it and then that it answered",
     {{Epoch(6), {{kWorker, seconds(3)}}}, {Epoch(6), {}}},
     kFullWait},
    {"an earlier holder recorded it",
     {{Epoch(4), {{kWorker, seconds(3)}}}},
     kFullWait},
    {"only the holder before the previous one recorded it",
     {{Epoch(5), {{kWorker, seconds(3)}}}},
     kFullWait},
    {"only the holder before the previous one recorded it, with a lease that "
     "is "
     "longer than its own",
     {{Epoch(5), {{kWorker, seconds(20)}}}},
     std::chrono::milliseconds(20'800)},
    {"both recorded it",
     {{Epoch(5), {{kWorker, seconds(3)}}}, {Epoch(6), {{kWorker, seconds(1)}}}},
     std::chrono::milliseconds(1040)},
    {"the previous holder recorded a lease that is longer than its own",
     {{Epoch(6), {{kWorker, seconds(20)}}}},
     std::chrono::milliseconds(20'800)},
};

BOOST_AUTO_TEST_CASE(the_next_holder_uses_the_record_of_the_previous_one) {
  for (const LeaseExpiryCase& sample : kLeaseExpiryCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      world.holding.own_epoch = Epoch(7);
      for (const std::uint64_t epoch : {6U, 7U}) {
        ApplyJournalRecord(
            world,
            HolderRecord{.epoch = Epoch(epoch),
                         .holder = EntryId(fmt::format("entry-{}", epoch)),
                         .earlier_orders = Duration()},
            WorkflowTime{.now = kNow});
      }
      for (const UnresponsiveWorkersRecord& record : sample.records) {
        // Encode and decode it as the journal does.
        const std::vector<KeyedValue> encoded = EncodeJournalRecord(record);
        BOOST_REQUIRE_EQUAL(encoded.size(), 1U);
        const auto decoded =
            DecodeJournalRecord(encoded[0].key, encoded[0].value);
        BOOST_REQUIRE(decoded.has_value());
        const auto& read =
            std::get<UnresponsiveWorkersRecord>(*decoded.value());
        BOOST_TEST((read.epoch == record.epoch));
        BOOST_TEST((read.workers == record.workers));
        ApplyUnresponsiveRecord(world.holding, read, kNow);
      }
      BOOST_TEST((InheritedLeaseExpiry(world, kWorker) - kNow).count() ==
                 sample.wait.count());
    }
  }
}

// An order that is sent at `kNow` and gets no answer, to a worker that answered
// a hold one second earlier.
struct UnansweredOrderCase {
  std::string name;
  OrderOutcome outcome;
  bool leases;
  // When the connection of the order was opened, from `kNow` on.
  Duration connected;
  // When a hold was sent that the worker answers next, from `kNow` on; none if
  // zero.
  Duration next_hold;
  Duration wait;
};

// The delay of the order, and a lease of 10 s when both clocks run 2% slow.
constexpr Duration kUnidentifiedWait =
    kMaxOrderDelay + std::chrono::milliseconds(10'400);

const std::vector<UnansweredOrderCase> kUnansweredOrderCases = {
    {"on a connection to the incarnation that answered", OrderOutcome::kUnknown,
     true, seconds(-2), Duration(), Duration()},
    {"on a newer connection", OrderOutcome::kUnknown, true, Duration(),
     Duration(), kUnidentifiedWait},
    {"without a lease", OrderOutcome::kUnknown, false, Duration(), Duration(),
     Duration()},
    {"without a connection", OrderOutcome::kNotSent, true, Duration(),
     Duration(), Duration()},
    {"rejected", OrderOutcome::kNoCapacity, true, Duration(), Duration(),
     Duration()},
    {"then a hold is answered that was sent later", OrderOutcome::kUnknown,
     true, Duration(), seconds(1), Duration()},
    {"then a hold is answered that was sent earlier", OrderOutcome::kUnknown,
     true, Duration(), -std::chrono::milliseconds(500), kUnidentifiedWait},
    {"then a hold is answered that was sent before the connection was opened",
     OrderOutcome::kUnknown, true, std::chrono::milliseconds(600),
     std::chrono::milliseconds(300),
     kUnidentifiedWait + std::chrono::milliseconds(600)},
};

// Guards against an order without an answer that a later incarnation of the
// worker carries out under a longer lease than the holder waits for (issue 42).
BOOST_AUTO_TEST_CASE(unanswered_orders_count_for_unknown_incarnations) {
  for (const UnansweredOrderCase& sample : kUnansweredOrderCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      TaskWorker worker{.listing = {.id = kWorker}};
      NoteIdentified(worker, OrderResult{.sent = kNow - seconds(1)});
      NoteUnansweredOrder(worker,
                          OrderResult{.kind = OrderKind::kStart,
                                      .outcome = sample.outcome,
                                      .leases = sample.leases,
                                      .connected = kNow + sample.connected,
                                      .sent = kNow},
                          seconds(10));
      if (sample.next_hold != Duration()) {
        NoteIdentified(worker, OrderResult{.sent = kNow + sample.next_hold});
      }
      BOOST_TEST(WholeMillis(TimeUntilLeasesExpire(worker, kNow)) ==
                 WholeMillis(sample.wait));
    }
  }
}

}  // namespace
}  // namespace chicorystep
