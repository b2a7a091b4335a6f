#define BOOST_TEST_MODULE workflow_previous_holders
#include "chicorystep/systems/workflows/workflow_previous_holders.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/systems/workflows/workflow_holder.h"
#include "chicorystep/systems/workflows/workflow_streams.h"

namespace chicorystep {
namespace {

using std::chrono::seconds;

constexpr TimePoint kBegin(seconds(1000));
const EntryId kSelf("self");
const Address kAddress("10.1.0.1:80");

HolderRecord Claim(std::uint64_t epoch,
                   const std::string& holder,
                   std::optional<Duration> earlier = std::nullopt) {
  return HolderRecord{.epoch = Epoch(epoch),
                      .holder = EntryId(holder),
                      .incarnation = Incarnation(epoch),
                      .address = kAddress,
                      .earlier_orders = earlier};
}

OrdersEndedRecord Ended(const std::string& entry,
                        std::uint64_t epoch,
                        const Address& address = kAddress) {
  return OrdersEndedRecord{.entry = {EntryId(entry), address},
                           .epoch = Epoch(epoch)};
}

HolderRecord Release(HolderRecord claim) {
  claim.released = true;
  return claim;
}

// Records of the journal in the order in which a process reads them, one each
// second, and how long after the first the last order of an earlier holder was
// sent at the latest.
struct OrdersEndCase {
  std::string name;
  std::vector<JournalRecord> records;
  Duration end;
};

const std::vector<OrdersEndCase> kOrdersEndCases = {
    {"a claim after another",
     {Claim(1, "a"), Claim(2, "b")},
     seconds(1) + kConfirmationBound},
    {"the earlier holder has ended its orders",
     {Claim(1, "a"), Claim(2, "b"), Ended("a", 1)},
     seconds(2)},
    {"it says so before the next claim is read",
     {Claim(1, "a"), Ended("a", 1), Claim(2, "b")},
     seconds(1)},
    {"it has ended those of an earlier claim only",
     {Claim(1, "a"), Claim(2, "b"), Claim(3, "a"), Ended("a", 1),
      Claim(4, "c")},
     seconds(4) + kConfirmationBound},
    {"a process of its name at another address has ended its orders",
     {Claim(1, "a"), Claim(2, "b"), Ended("a", 1, Address("x"))},
     seconds(1) + kConfirmationBound},
    {"it has released the role, and may not know that the store has it",
     {Claim(1, "a"), Release(Claim(1, "a")), Claim(2, "b")},
     seconds(2) + kConfirmationBound},
    {"one of two earlier holders has ended its orders",
     {Claim(1, "a"), Claim(2, "b"), Claim(3, "c"), Ended("b", 2)},
     seconds(1) + kConfirmationBound},
    {"the first claim that is read follows others",
     {Claim(5, "a")},
     kConfirmationBound},
    {"the claim says how long those may order",
     {Claim(5, "a", seconds(4))},
     seconds(4)},
    {"a later record of the claim does",
     {Claim(5, "a"), Claim(5, "a", seconds(1))},
     seconds(2)},
    {"a claim was not read",
     {Claim(1, "a"), Claim(3, "c")},
     seconds(1) + kConfirmationBound},
    {"the holder before the last one orders on for longer",
     {Claim(1, "a"), Claim(2, "b"), Ended("b", 2), Claim(2, "b"), Claim(2, "b"),
      Claim(2, "b"), Claim(2, "b"), Claim(2, "b"), Claim(2, "b"), Claim(2, "b"),
      Claim(2, "b"), Claim(2, "b"), Claim(2, "b"), Claim(3, "c")},
     seconds(1) + kConfirmationBound},
    {"the first holder", {Claim(1, "a")}, kDistantPast - kBegin},
};

BOOST_AUTO_TEST_CASE(orders_of_previous_holders_end_as_the_journal_shows) {
  for (const OrdersEndCase& sample : kOrdersEndCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      TimePoint now = kBegin;
      for (const JournalRecord& record : sample.records) {
        ApplyJournalRecord(world, record, WorkflowTime{.now = now});
        now += seconds(1);
      }
      BOOST_TEST((PreviousOrdersEnd(world.holding) - kBegin).count() ==
                 sample.end.count());
    }
  }
}

// The newest claim in the journal when a process starts, and the epoch up to
// which it records that its entry has ended its orders.
struct StartCase {
  std::string name;
  HolderRecord newest;
  std::optional<Epoch> ended;
};

HolderRecord ClaimAt(const EntryId& holder,
                     const Address& address,
                     const EntryAddress& previous = {}) {
  return HolderRecord{.epoch = Epoch(7),
                      .holder = holder,
                      .incarnation = Incarnation(1),
                      .address = address,
                      .previous = previous};
}

const std::vector<StartCase> kStartCases = {
    {"an earlier process at the same address holds the role",
     ClaimAt(kSelf, kAddress), Epoch(7)},
    {"it held the role before the present holder",
     ClaimAt(EntryId("other"), Address("x"), {kSelf, kAddress}), Epoch(6)},
    {"a process of the same name at another address",
     ClaimAt(kSelf, Address("x")), std::nullopt},
    {"a process of an earlier build", ClaimAt(kSelf, Address()), std::nullopt},
    {"another entry", ClaimAt(EntryId("other"), Address("x")), std::nullopt},
};

BOOST_AUTO_TEST_CASE(a_process_ends_the_orders_of_the_one_it_replaces) {
  for (const StartCase& sample : kStartCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      world.self = {
          .id = kSelf, .incarnation = Incarnation(2), .address = kAddress};
      ApplyJournalRecord(world, sample.newest, WorkflowTime{.now = kBegin});
      QueueOrdersEndedOfEarlierProcess(world);
      const auto& queued = world.callers.orders_ended;
      BOOST_TEST(queued.has_value() == sample.ended.has_value());
      if (queued && sample.ended) {
        BOOST_TEST((queued->entry == EntryAddress{kSelf, kAddress}));
        BOOST_TEST((queued->epoch == *sample.ended));
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
