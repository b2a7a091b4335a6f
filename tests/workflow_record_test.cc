#define BOOST_TEST_MODULE workflow_record
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "chicorystep/encoding/workflow_record.h"

namespace chicorystep {
namespace {

AcceptedRecord Accepted(EntryId entry) {
  return AcceptedRecord{.id = WorkflowId("1f"),
                        .spec = {.payload = "x", .steps = {{.count = 2}}},
                        .terms = {.route = RouteName("bulk"),
                                  .workspace = Workspace("team"),
                                  .service = Service("svc"),
                                  .priority = 1,
                                  .max_attempts = 3,
                                  .target = Duration(1000),
                                  .stretch = 1.5},
                        .accepted = UnixMillis(5),
                        .entry = std::move(entry)};
}

AcceptedRecord AcceptedWithProgram(std::string program) {
  AcceptedRecord record = Accepted(EntryId("e"));
  record.spec.steps[0].program = std::move(program);
  return record;
}

CancelRecord Cancel(Workspace workspace) {
  return CancelRecord{.id = WorkflowId("1f"),
                      .workspace = std::move(workspace)};
}

// The build that writes a record so.
enum class Writer : std::uint8_t { kThisBuild, kOtherBuild };

// A record of the journal as it is stored, and what it means.
struct RecordCase {
  std::string name;
  Writer writer;
  std::string key;
  std::optional<std::string> value;
  JournalRecord record;
};

const std::vector<RecordCase> kRecordCases = {
    {"an acceptance names the entry that wrote it", Writer::kThisBuild, "a-1f",
     R"({"at":5,"by":"edge-fes-2","ma":3,"p":"x","pr":1,"r":"bulk","s":"svc",)"
     R"("st":1.5,"steps":[{"n":2}],"ta":1000,"w":"team"})",
     Accepted(EntryId("edge-fes-2"))},
    {"an acceptance without its writer", Writer::kOtherBuild, "a-1f",
     R"({"at":5,"ma":3,"p":"x","pr":1,"r":"bulk","s":"svc",)"
     R"("st":1.5,"steps":[{"n":2}],"ta":1000,"w":"team"})",
     Accepted(EntryId())},
    {"an acceptance with a member that this build does not know",
     Writer::kOtherBuild, "a-1f",
     R"({"at":5,"by":"e","ma":3,"new":[1],"p":"x","pr":1,"r":"bulk",)"
     R"("s":"svc","st":1.5,"steps":[{"n":2}],"ta":1000,"w":"team"})",
     Accepted(EntryId("e"))},
    {"an acceptance names the program of a step", Writer::kThisBuild, "a-1f",
     R"({"at":5,"by":"e","ma":3,"p":"x","pr":1,"r":"bulk","s":"svc","st":1.5,)"
     R"("steps":[{"n":2,"prog":"scorer"}],"ta":1000,"w":"team"})",
     AcceptedWithProgram("scorer")},
    {"a cancel names the workspace of its caller", Writer::kThisBuild, "c-1f",
     R"({"w":"team"})", Cancel(Workspace("team"))},
    {"a cancel on an open route", Writer::kThisBuild, "c-1f", R"({"w":""})",
     Cancel(Workspace())},
    {"a cancel whose value is a number", Writer::kOtherBuild, "c-1f", "1",
     Cancel(Workspace())},
    {"a cancel without its workspace", Writer::kOtherBuild, "c-1f", "{}",
     Cancel(Workspace())},
    {"the removal of a cancel", Writer::kThisBuild, "c-1f", std::nullopt,
     CancelRemovalRecord{.id = WorkflowId("1f")}},
    {"a claim names the holder before it", Writer::kThisBuild, "holder",
     R"({"a":"a1","b":"e0","ba":"a0","e":7,"h":"e1","i":9,"o":5,"r":false})",
     HolderRecord{.epoch = Epoch(7),
                  .holder = EntryId("e1"),
                  .incarnation = Incarnation(9),
                  .address = Address("a1"),
                  .previous = {EntryId("e0"), Address("a0")},
                  .earlier_orders = Duration(5)}},
    {"a claim without addresses and earlier holders", Writer::kOtherBuild,
     "holder", R"({"e":7,"h":"e1","i":9,"r":false})",
     HolderRecord{.epoch = Epoch(7),
                  .holder = EntryId("e1"),
                  .incarnation = Incarnation(9)}},
    {"an entry has ended its orders", Writer::kThisBuild, "ended-e1",
     R"({"a":"a1","e":7})",
     OrdersEndedRecord{.entry = {EntryId("e1"), Address("a1")},
                       .epoch = Epoch(7)}},
};

BOOST_AUTO_TEST_CASE(records_are_decoded_as_their_writer_meant_them) {
  for (const RecordCase& sample : kRecordCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto encoded = EncodeJournalRecord(sample.record);
      if (sample.writer == Writer::kThisBuild) {
        const std::vector<KeyedValue> stored = {{sample.key, sample.value}};
        BOOST_TEST((encoded == stored));
      }
      const auto decoded = DecodeJournalRecord(sample.key, sample.value);
      BOOST_REQUIRE(decoded.has_value());
      BOOST_REQUIRE(decoded.value().has_value());
      BOOST_TEST(decoded.value()->index() == sample.record.index());
      // Records are compared by their encoding, which has every member.
      BOOST_TEST((EncodeJournalRecord(*decoded.value()) == encoded));
    }
  }
}

// The removal of a workflow's records, as readers apply it: the cancel goes by
// itself, and the workflow with its acceptance.
BOOST_AUTO_TEST_CASE(an_eviction_is_read_as_the_removal_of_each_record) {
  const WorkflowId id("1f");
  const auto stored = EncodeJournalRecord(EvictionRecord{.id = id});
  BOOST_REQUIRE_EQUAL(stored.size(), 3U);
  const auto cancel = DecodeJournalRecord(stored[0].key, stored[0].value);
  BOOST_TEST((std::get<CancelRemovalRecord>(cancel.value().value()).id == id));
  const auto state = DecodeJournalRecord(stored[1].key, stored[1].value);
  BOOST_TEST(!state.value().has_value());
  const auto accepted = DecodeJournalRecord(stored[2].key, stored[2].value);
  BOOST_TEST((std::get<EvictionRecord>(accepted.value().value()).id == id));
}

}  // namespace
}  // namespace chicorystep
