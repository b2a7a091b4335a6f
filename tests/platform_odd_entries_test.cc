#define BOOST_TEST_MODULE platform_odd_entries
#include <boost/test/unit_test.hpp>

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/encoding/workflow_record.h"
#include "platform/callers.h"
#include "platform/codec.h"
#include "platform/http_server.h"
#include "platform/store.h"

namespace chicorystep::platform {
namespace {

std::string Repeat(std::string_view text, std::size_t times) {
  std::string repeated;
  for (std::size_t i = 0; i < times; ++i) {
    repeated += text;
  }
  return repeated;
}

// As deep as the largest record of the store allows.
constexpr std::size_t kDeepest = 260'000;

std::string Listing(const std::string& fields) {
  return R"({"Service":"s","State":"ready","Capacity":{"Cpu":1},)"
         R"("Address":"10.0.0.1:80")" +
         fields + "}";
}

std::string ListingAt(const std::string& address) {
  return R"({"Service":"s","State":"ready","Capacity":{},"Address":")" +
         address + "\"}";
}

// An entry among those of the workers, written by another process.
struct OddEntry {
  std::string name;
  std::string key;
  std::string text;
};

const std::vector<OddEntry> kOddEntries = {
    {"nested lists", "i", Repeat("[", kDeepest)},
    {"closed nested lists", "i",
     Repeat("[", kDeepest / 2) + Repeat("]", kDeepest / 2)},
    {"nested objects", "i", Repeat("{\"a\":", kDeepest / 5)},
    {"nested labels", "i",
     Listing(",\"Labels\":" + Repeat("[", 50'000) + Repeat("]", 50'000))},
    {"a number beyond a double", "i", Listing(",\"born\":1e999")},
    {"a number beyond 64 bits", "i",
     Listing(",\"born\":99999999999999999999999")},
    {"a time beyond its bound", "i", Listing(",\"RemainingMs\":1e18")},
    {"a negative capacity", "i",
     R"({"Service":"s","State":"ready","Capacity":{"Gpu":-1},"Address":"10.0.0.1:80"})"},
    {"a capacity of another type", "i",
     R"({"Service":"s","State":"ready","Capacity":[1],"Address":"10.0.0.1:80"})"},
    {"a port out of range", "i", ListingAt("10.0.0.1:65536")},
    {"a port far out of range", "i",
     ListingAt("10.0.0.1:99999999999999999999")},
    {"a negative port", "i", ListingAt("10.0.0.1:-1")},
    {"port zero", "i", ListingAt("10.0.0.1:0")},
    {"text after the port", "i", ListingAt("10.0.0.1:80x")},
    {"no port", "i", ListingAt("10.0.0.1")},
    {"a host name", "i", ListingAt("worker:80")},
    {"an empty address", "i", ListingAt("")},
    {"a huge text", "i", ListingAt(std::string(200'000, '1'))},
    {"labels that are numbers", "i", Listing(",\"Labels\":[1,2]")},
    {"a key with a line break", "i\r\nX-Other: 1", Listing("")},
    {"a key that is not UTF-8", "\xff\xfe", Listing("")},
    {"a key with a space", "i 1", Listing("")},
    {"an empty key", "", Listing("")},
    {"nothing", "i", ""},
    {"null", "i", "null"},
    {"a text that is not closed", "i", "\"" + std::string(100'000, 'x')},
};

BOOST_AUTO_TEST_CASE(odd_entries_name_no_worker) {
  for (const OddEntry& entry : kOddEntries) {
    BOOST_TEST_CONTEXT(entry.name) {
      BOOST_TEST(!DecodeListing(entry.key, entry.text).has_value());
    }
  }
}

// A store that answers each request from a function, and a client, on this
// thread.
struct FakeStore {
  std::function<ServedResponse(const ServedRequest&)> answer;
  asio::io_context context;
  HttpServer server{
      context, [this](const ServedRequest& request, const Respond& respond) {
        respond(this->answer(request));
      }};
  HttpClient client{context};
  Store store{.client = &client};

  FakeStore() {
    for (int port = 20'900; port < 21'300; ++port) {
      this->store.address = Address("127.0.0.1:" + std::to_string(port));
      if (this->server.Listen(this->store.address)) {
        return;
      }
    }
    BOOST_FAIL("no free port");
  }

  StreamRead Read(const ReadStream& what) {
    std::optional<StreamRead> got;
    CarryOutRead(this->store, what,
                 [&](const StreamRead& read) { got = read; });
    while (!got) {
      this->context.run_one();
    }
    return *got;
  }
};

BOOST_AUTO_TEST_CASE(the_list_is_followed_past_odd_entries) {
  std::vector<KeyedValue> records;
  for (const OddEntry& entry : kOddEntries) {
    records.push_back(KeyedValue{.key = entry.key, .value = entry.text});
  }
  records.push_back(KeyedValue{.key = "sound", .value = Listing("")});
  FakeStore fake;
  fake.answer = [&](const ServedRequest&) {
    const std::string end(1, static_cast<char>(records.size()));
    return ServedResponse{.body = std::string(7, '\0') + end +
                                  std::string(8, '\0') +
                                  EncodeLogRecords(records)};
  };
  const StreamRead read = fake.Read(
      ReadStream{.stream = FollowedStream::kWorkers, .from = Offset(0)});
  BOOST_TEST(read.ok);
  BOOST_TEST(read.at_end);
  std::vector<std::string> listed;
  for (const auto& [id, listing] : read.workers) {
    // An entry without a text removes its key.
    if (listing) {
      listed.push_back(id.value);
    }
  }
  BOOST_TEST(listed == std::vector<std::string>{"sound"},
             boost::test_tools::per_element());
}

// Records of the operator, newest last, and the zones that they evacuate.
BOOST_AUTO_TEST_CASE(evacuations_are_followed_past_odd_records) {
  const std::vector<KeyedValue> records = {
      {"evacuate/", "{}"},    {"evacuate/a", "{}"},
      {"evacuate/b", "\xff"}, {"evacuate/a", std::nullopt},
      {"config", "?"},        {"other/a", "{}"},
  };
  FakeStore fake;
  fake.answer = [&](const ServedRequest&) {
    const std::string end(1, static_cast<char>(records.size()));
    return ServedResponse{.body = std::string(7, '\0') + end +
                                  std::string(8, '\0') +
                                  EncodeLogRecords(records)};
  };
  const StreamRead read = fake.Read(
      ReadStream{.stream = FollowedStream::kConfig, .from = Offset(0)});
  BOOST_TEST(read.ok);
  BOOST_TEST(read.at_end);
  BOOST_TEST(!read.evacuations_complete);
  const std::vector<EvacuationChange> changes = {
      {Zone("a"), true}, {Zone("b"), true}, {Zone("a"), false}};
  BOOST_TEST((read.evacuations == changes));
}

// Keys at which a page of the newest records may end.
const std::vector<std::string> kPageKeys = {
    "plain", "with space",         "a&b=c",   "a#b",
    "a%20b", "line\r\nX-Other: 1", "slash/?",
};

BOOST_AUTO_TEST_CASE(pages_continue_after_odd_keys) {
  for (const std::string& key : kPageKeys) {
    BOOST_TEST_CONTEXT(key) {
      FakeStore fake;
      std::vector<std::string> targets;
      fake.answer = [&](const ServedRequest& request) {
        targets.push_back(request.query);
        std::string escaped;
        for (const char c : key) {
          escaped += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
        }
        return ServedResponse{
            .body = targets.size() == 1
                        ? R"({"End":2,"HasMore":true,"items":[{"Key":")" +
                              escaped + R"(","Value":"e30=","Offset":0}]})"
                        : R"({"End":2,"items":[]})"};
      };
      const StreamRead read =
          fake.Read(ReadStream{.stream = FollowedStream::kWorkers});
      BOOST_TEST(read.ok);
      BOOST_REQUIRE(targets.size() == 2U);
      // Only characters that need no escape remain in the request line.
      BOOST_TEST(targets[1].find_first_of(" #\r\n") == std::string::npos);
      if (key == "a&b=c") {
        BOOST_TEST(targets[1].ends_with("a%26b%3Dc"));
      }
    }
  }
}

// An answer with fields of the wrong type, and the status it came with.
struct OddAnswer {
  std::string name;
  int status;
  std::string body;
};

const std::vector<OddAnswer> kOddAnswers = {
    {"a reason that is a number", 409, R"({"Reason":7})"},
    {"a reason that is a list", 409, R"({"Reason":[]})"},
    {"a reason that is null", 409, R"({"Reason":null})"},
    {"a clock that is a list", 200, R"({"ClockMs":[],"Running":[]})"},
    {"a clock beyond 64 bits", 200, R"({"ClockMs":1e300})"},
    {"lists of another type", 200, R"({"Running":7,"Finished":{"a":1}})"},
    {"nested lists", 200, Repeat("[", kDeepest)},
    {"nested rows", 200,
     R"({"Running":)" + Repeat("[", 90'000) + Repeat("]", 90'000) + "}"},
    {"a run beyond its type", 200,
     R"({"Running":[["a.0.0.1",1e300,"",1]],"Finished":[]})"},
    {"bytes that are not UTF-8", 200, "{\"Running\":\"\xff\"}"},
};

BOOST_AUTO_TEST_CASE(odd_answers_raise_no_exception) {
  for (const OddAnswer& answer : kOddAnswers) {
    BOOST_TEST_CONTEXT(answer.name) {
      for (const OrderKind kind :
           {OrderKind::kHold, OrderKind::kStart, OrderKind::kStop}) {
        OrderResult ended{.kind = kind};
        BOOST_CHECK_NO_THROW(
            DecodeOrderAnswer(answer.status, answer.body, ended));
      }
      JournalAppended appended;
      BOOST_CHECK_NO_THROW(
          DecodeAppendAnswer(answer.status, answer.body, appended));
    }
  }
}

// The length of a checkpoint that a worker reports, and whether it is kept.
struct CheckpointCase {
  std::string name;
  std::size_t length;
  bool kept;
};

const std::vector<CheckpointCase> kCheckpointCases = {
    {"none", 0, true},
    {"of the usual length", 16, true},
    {"the longest", 128, true},
    {"longer", 129, false},
    {"larger than a record of the store", 300'000, false},
};

// Guards against progress that no longer fits a record of the store: its append
// would be repeated for ever, and nothing would be started meanwhile.
BOOST_AUTO_TEST_CASE(long_checkpoints_are_not_taken_into_the_progress) {
  for (const CheckpointCase& sample : kCheckpointCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const std::string checkpoint(sample.length, 'x');
      OrderResult ended{.kind = OrderKind::kHold};
      DecodeOrderAnswer(
          200,
          fmt::format(R"({{"Running":[["1f.0.0.1",1,"{0}",9]],)"
                      R"("Finished":[[1,"1f.0.0.2",1,"stopped","{0}"]]}})",
                      checkpoint),
          ended);
      BOOST_TEST((ended.outcome == OrderOutcome::kDone));
      BOOST_REQUIRE_EQUAL(ended.running.size(), 1U);
      BOOST_REQUIRE_EQUAL(ended.ended.size(), 1U);
      const std::string expected = sample.kept ? checkpoint : "";
      BOOST_TEST((ended.running[0].checkpoint == expected));
      BOOST_TEST((ended.ended[0].checkpoint == expected));
    }
  }
}

// A record of the journal or of the progress stream that no entry writes.
struct OddRecord {
  std::string name;
  std::string key;
  std::string value;
};

const std::vector<OddRecord> kOddRecords = {
    {"a step of four billion tasks", "p-1",
     R"({"e":1,"s":"running","t":[[0,0,4294967295,"",[]]]})"},
    {"an accepted step of four billion tasks", "a-1",
     R"({"p":"","at":1,"r":"r","w":"w","s":"s","pr":0,"ma":1,"ta":1,"st":1,)"
     R"("steps":[{"n":4294967295}]})"},
    {"nested lists", "p-1", Repeat("[", kDeepest)},
    {"a row that names no task", "p-1",
     R"({"e":1,"s":"running","t":[[0,0,1,"",[[7,1,0,"",0]]]]})"},
    {"a number beyond a double", "s-1", R"({"e":1e999,"s":"running"})"},
    {"an unknown state", "s-1", R"({"e":1,"s":"odd"})"},
    {"a holder that is a list", "holder", "[]"},
    {"an unknown key", "x", "{}"},
    {"an empty key", "", "{}"},
};

BOOST_AUTO_TEST_CASE(odd_records_are_rejected) {
  for (const OddRecord& record : kOddRecords) {
    BOOST_TEST_CONTEXT(record.name) {
      BOOST_TEST(!DecodeJournalRecord(record.key, record.value).has_value());
    }
  }
}

// The body of a submission that no caller should send.
struct OddBody {
  std::string name;
  std::string body;
};

const std::vector<OddBody> kOddBodies = {
    {"nothing", ""},
    {"a character outside ASCII", "\xc3\xa9"},
    {"half a character", "\xc3"},
    {"bytes that are not UTF-8", "\xff\xfe\xfd"},
    {"a text that is not UTF-8", "{\"Spec\":\"\xff\"}"},
    {"a member name that is not UTF-8", "{\"\xff\":1}"},
    {"a number beyond a double", R"({"Spec":"s","Steps":[{"Count":1e999}]})"},
    {"nested lists", Repeat("[", 100'000)},
};

// Guards against an exception while the answer is encoded, which quotes the
// body: the calls, reads and orders of the same tick were lost with it.
BOOST_AUTO_TEST_CASE(odd_submissions_are_answered) {
  for (const OddBody& sample : kOddBodies) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto call = DecodeCall(
          ServedRequest{.method = "POST", .path = "/p", .body = sample.body},
          ExchangeId(1));
      BOOST_REQUIRE(call.has_value());
      BOOST_TEST(!call->spec.has_value());
      ServedResponse response;
      BOOST_CHECK_NO_THROW(
          response = EncodeCallAnswer(CallAnswer{
              .result = CallResult::kMalformed, .detail = call->malformed}));
      BOOST_TEST(response.status == 400);
      BOOST_TEST(nlohmann::json::accept(response.body));
    }
  }
}

}  // namespace
}  // namespace chicorystep::platform
