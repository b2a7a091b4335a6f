#define BOOST_TEST_MODULE platform_store
#include "platform/store.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform/codec.h"
#include "platform/http_server.h"

namespace chicorystep::platform {
namespace {

// A store that gives every request the same answer, and a client, on this
// thread.
struct FakeStore {
  asio::io_context context;
  ServedResponse answer;
  // Number of requests whose connection ends without an answer.
  int unanswered = 0;
  int appends = 0;
  HttpServer server{
      context, [this](const ServedRequest& request, const Respond& respond) {
        this->appends += request.path.ends_with("log-append") ? 1 : 0;
        if (this->unanswered > 0) {
          --this->unanswered;
        } else {
          respond(this->answer);
        }
      }};
  HttpClient client{context};
  Store store{.client = &client};

  FakeStore() {
    // These ports are below the ephemeral range; other tests may use some of
    // them.
    for (int port = 20'500; port < 20'900; ++port) {
      this->store.address = Address("127.0.0.1:" + std::to_string(port));
      if (this->server.Listen(this->store.address)) {
        return;
      }
    }
    BOOST_FAIL("no free port");
  }

  StreamRead Read(Offset from) {
    std::optional<StreamRead> got;
    CarryOutRead(this->store,
                 ReadStream{.stream = FollowedStream::kJournal, .from = from},
                 [&](const StreamRead& read) { got = read; });
    while (!got) {
      this->context.run_one();
    }
    return *got;
  }

  JournalAppended Append() {
    std::optional<JournalAppended> got;
    CarryOutAppend(this->store,
                   AppendJournal{.records = {CancelRecord{
                                     .id = WorkflowId("0123456789abcdef")}}},
                   [&](const JournalAppended& appended) { got = appended; });
    while (!got) {
      this->context.run_one();
    }
    return *got;
  }
};

// How a store ends an append on a reused connection, and the outcome.
struct AppendCase {
  std::string name;
  // Whether the connection ends after the append was received.
  bool broken;
  // The status of every answer.
  int status;
  AppendOutcome outcome;
};

const std::vector<AppendCase> kAppendCases = {
    {"written", false, 200, AppendOutcome::kWritten},
    {"rejected", false, 503, AppendOutcome::kRejected},
    {"over the rate limit", false, 429, AppendOutcome::kRejected},
    {"the store is full", false, 507, AppendOutcome::kRejected},
    {"an undocumented status", false, 500, AppendOutcome::kUnknown},
    {"the connection ends, then the store is back", true, 200,
     AppendOutcome::kUnknown},
    {"the connection ends, then the store rejects", true, 503,
     AppendOutcome::kUnknown},
    {"the connection ends, then the rate limit rejects", true, 429,
     AppendOutcome::kUnknown},
};

// Guards against a submission that is refused although its append was carried
// out: the connection ended after the append, and a second send was rejected.
BOOST_AUTO_TEST_CASE(an_append_has_the_outcome_of_its_only_send) {
  for (const AppendCase& sample : kAppendCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      FakeStore fake;
      fake.answer = ServedResponse{.body = "{}"};
      // Leaves a connection to reuse.
      (void)fake.Append();
      fake.answer.status = sample.status;
      fake.unanswered = sample.broken ? 1 : 0;
      BOOST_TEST(EnumName(fake.Append().outcome) == EnumName(sample.outcome));
      BOOST_TEST(fake.appends == 2);
    }
  }
}

std::string BigEndian8(std::uint64_t value) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes += static_cast<char>((value >> shift) & 0xff);
  }
  return bytes;
}

// An answer to a read from offset 10.
struct ReadCase {
  std::string name;
  int status;
  std::uint64_t end;
  int records;
  // Bytes cut off from the end of the body.
  std::size_t missing;
  bool ok;
  bool compacted;
  // The next offset to read, and whether the read reached the end of the log.
  std::uint64_t next;
  bool at_end;
};

const std::vector<ReadCase> kReadCases = {
    {"nothing new", 200, 10, 0, 0, true, false, 10, true},
    {"all that is new", 200, 13, 3, 0, true, false, 13, true},
    {"the first of more", 200, 900, 3, 0, true, false, 13, false},
    {"more, but none of it in this page", 200, 11, 0, 0, true, false, 10,
     false},
    {"a truncated record", 200, 13, 3, 1, false, false, 0, true},
    {"no header", 200, 13, 0, 9, false, false, 0, true},
    {"records have been compacted", 410, 10, 0, 0, true, true, 0, true},
    {"the log was rewound", 200, 4, 0, 0, true, true, 0, true},
    {"refused", 503, 10, 0, 0, false, false, 0, true},
};

BOOST_AUTO_TEST_CASE(a_read_reports_whether_it_reached_the_end) {
  for (const ReadCase& sample : kReadCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      FakeStore fake;
      fake.answer.status = sample.status;
      fake.answer.body = BigEndian8(sample.end) + BigEndian8(0) +
                         EncodeLogRecords(std::vector<KeyedValue>(
                             static_cast<std::size_t>(sample.records),
                             KeyedValue{.key = "holder", .value = "?"}));
      fake.answer.body.resize(fake.answer.body.size() - sample.missing);
      const StreamRead read = fake.Read(Offset(10));
      BOOST_TEST(read.ok == sample.ok);
      BOOST_TEST(read.compacted == sample.compacted);
      if (sample.ok && !sample.compacted) {
        BOOST_TEST(read.next.value == sample.next);
        BOOST_TEST(read.at_end == sample.at_end);
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep::platform
