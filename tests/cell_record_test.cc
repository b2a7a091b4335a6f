#define BOOST_TEST_MODULE cell_record
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "chicorystep/encoding/job_record.h"

namespace chicorystep {
namespace {

CellRecord AcceptedJob() {
  return CellRecord{.kind = CellRecordKind::kJobAccepted,
                    .holder = EntryId("entry-1"),
                    .epoch = Epoch(3),
                    .job = JobSpec{.id = JobId("z1.0001"),
                                   .workspace = Workspace("w1"),
                                   .kind = Kind("train")}};
}

struct RecordCase {
  std::string name;
  std::string data;
  bool accepted;
};

const std::string kEncodedRecord = EncodeCellRecord(AcceptedJob());

const std::vector<RecordCase> kRecordCases = {
    {"complete", kEncodedRecord, true},
    {"truncated to half", kEncodedRecord.substr(0, kEncodedRecord.size() / 2),
     false},
    {"empty", "", false},
    {"empty object", "{}", false},
    {"a list", "[]", false},
    {"a claim without its holder", R"({"kind":"claim"})", false},
    {"an edit", R"({"type":"edit","content":{}})", false},
    {"unknown kind", R"({"kind":"other","holder":"e","epoch":1,"job":{}})",
     false},
    {"epoch of another type",
     R"({"kind":"claim","holder":"e","epoch":"1","job":{}})", false},
};

BOOST_AUTO_TEST_CASE(malformed_records_are_rejected) {
  for (const RecordCase& sample : kRecordCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(DecodeCellRecord(sample.data).has_value() == sample.accepted);
    }
  }
}

BOOST_AUTO_TEST_CASE(record_reads_back_as_written) {
  const auto decoded = DecodeCellRecord(kEncodedRecord);
  BOOST_REQUIRE(decoded);
  BOOST_TEST(EncodeCellRecord(decoded.value()) == kEncodedRecord);
}

}  // namespace
}  // namespace chicorystep
