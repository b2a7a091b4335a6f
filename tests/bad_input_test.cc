#define BOOST_TEST_MODULE bad_input
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "tests/support/cluster.h"
#include "tests/support/raw_http.h"

namespace chicorystep::testing {
namespace {

// One entry with tables in force, shared by the cases of this file.
struct ReadyEntry : Cluster {
  ReadyEntry() : Cluster(1, 1, 2) {
    this->StartAll();
    BOOST_REQUIRE(Eventually([&] { return this->AllReady(); }));
    BOOST_REQUIRE_EQUAL(this->Publish(kTables), 0);
    BOOST_REQUIRE(Eventually([&] { return this->Serves("warm-up"); }));
    BOOST_REQUIRE(Eventually([&] {
      const auto response = this->Caller(0)->Get(
          "/v1/jobs/all.0000000000000000", CallHeaders("-"));
      return response && response->status == 404;
    }));
  }

  [[nodiscard]] bool Serves(const std::string& id) const {
    const auto response = this->Caller(0)->Post(
        "/v1/requests/echo", CallHeaders(id), "whole", "text/plain");
    return response && response->status == 200 && response->body == "whole";
  }

  [[nodiscard]] std::string Exchange(std::string_view bytes) const {
    RawConnection connection(chicorystep::Address(this->addresses[0].callers));
    (void)connection.Send(bytes);
    connection.FinishSending();
    return connection.ReadToEnd();
  }

  // How often the executors ran anything.
  [[nodiscard]] std::size_t Executions() {
    auto& standin = this->executors.front().standin;
    const std::scoped_lock lock(standin.mutex);
    return standin.executions.size();
  }
};

std::string Post(const std::string& path,
                 const std::string& headers,
                 const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: e\r\n" + headers + "\r\n" + body;
}

const std::string kCaller = "Request-Id: raw-1\r\nWorkspace: w1\r\n";

std::string Length(std::size_t bytes) {
  return fmt::format("Content-Length: {}\r\n", bytes);
}

// Bytes as a broken or hostile caller sends them, and how the answer begins;
// an empty `status` asks that the connection is closed without an answer.
struct BytesCase {
  std::string name;
  std::string bytes;
  std::string status;
  std::string reason;
};

const std::vector<BytesCase> kBytesCases = {
    {"not HTTP", "hello\r\n\r\n", "400", "bad_request"},
    {"binary rubbish", std::string("\0\x01\xff\xfe\r\n\r\n", 8), "400",
     "bad_request"},
    {"nothing", "", "", ""},
    {"request line cut", "POST /v1/req", "400", "bad_request"},
    {"header cut", "POST /v1/requests/echo HTTP/1.1\r\nReq", "400",
     "bad_request"},
    {"body shorter than its length",
     Post("/v1/requests/echo", kCaller + Length(100), "short"), "400",
     "bad_request"},
    {"length is negative",
     Post("/v1/requests/echo", kCaller + "Content-Length: -5\r\n", "x"), "400",
     "bad_request"},
    {"length is no number",
     Post("/v1/requests/echo", kCaller + "Content-Length: ten\r\n", "x"), "400",
     "bad_request"},
    {"length overflows",
     Post("/v1/requests/echo",
          kCaller + "Content-Length: 99999999999999999999999\r\n",
          "x"),
     "400", "bad_request"},
    {"two lengths",
     Post("/v1/requests/echo", kCaller + Length(1) + Length(5), "x"), "400",
     "bad_request"},
    {"length and chunked",
     Post("/v1/requests/echo",
          kCaller + Length(1) + "Transfer-Encoding: chunked\r\n",
          "1\r\nx\r\n0\r\n\r\n"),
     "400", "bad_request"},
    {"length over the listener's limit",
     Post("/v1/requests/echo", kCaller + Length(9 << 20), "x"), "413",
     "too_large"},
    {"chunk size is no number",
     Post("/v1/requests/echo",
          kCaller + "Transfer-Encoding: chunked\r\n",
          "zz\r\nx\r\n0\r\n\r\n"),
     "400", "bad_request"},
    {"chunked body cut",
     Post("/v1/requests/echo",
          kCaller + "Transfer-Encoding: chunked\r\n",
          "5\r\nab"),
     "400", "bad_request"},
    {"chunked body over the listener's limit",
     Post("/v1/requests/echo",
          kCaller + "Transfer-Encoding: chunked\r\n",
          "900000\r\n" + std::string(9 << 20, 'x') + "\r\n0\r\n\r\n"),
     "413", "too_large"},
    {"one header of 64 KiB",
     Post("/v1/requests/echo",
          kCaller + "X: " + std::string(64 << 10, 'x') + "\r\n",
          ""),
     "400", "bad_request"},
    {"request line of 64 KiB",
     Post("/v1/requests/" + std::string(64 << 10, 'x'), kCaller, ""), "414",
     "bad_request"},
    {"unknown method", "BREW /v1/jobs HTTP/1.1\r\n\r\n", "400", "bad_request"},
    {"unknown path", Post("/v2/nothing", kCaller + Length(0), ""), "404",
     "bad_request"},
    {"kind that is no name",
     Post("/v1/requests/a%2Fb", kCaller + Length(0), ""), "404", "bad_request"},
    {"encoded NUL in the kind",
     Post("/v1/requests/echo%00", kCaller + Length(0), ""), "404",
     "bad_request"},
    {"no headers", Post("/v1/requests/echo", Length(1), "x"), "400",
     "bad_request"},
    {"id with a NUL",
     Post("/v1/requests/echo",
          std::string("Request-Id: a\0b\r\nWorkspace: w1\r\n", 31) + Length(1),
          "x"),
     "400", "bad_request"},
    {"id that is not UTF-8",
     Post("/v1/requests/echo",
          "Request-Id: \xc3\x28\r\nWorkspace: w1\r\n" + Length(1),
          "x"),
     "400", "bad_request"},
    {"id of 65 characters",
     Post("/v1/requests/echo",
          "Request-Id: " + std::string(65, 'a') + "\r\nWorkspace: w1\r\n" +
              Length(1),
          "x"),
     "400", "bad_request"},
    {"two ids",
     Post("/v1/requests/echo",
          kCaller + "Request-Id: raw-2\r\n" + Length(1),
          "x"),
     "400", "bad_request"},
    {"two workspaces",
     Post("/v1/requests/echo", kCaller + "Workspace: w2\r\n" + Length(1), "x"),
     "400", "bad_request"},
    {"deadline of zero",
     Post("/v1/requests/echo", kCaller + "Deadline-Ms: 0\r\n" + Length(1), "x"),
     "400", "bad_request"},
    {"negative deadline",
     Post("/v1/requests/echo",
          kCaller + "Deadline-Ms: -1\r\n" + Length(1),
          "x"),
     "400", "bad_request"},
    {"deadline overflows",
     Post("/v1/requests/echo",
          kCaller + "Deadline-Ms: 9223372036854775808\r\n" + Length(1),
          "x"),
     "400", "bad_request"},
};

BOOST_AUTO_TEST_CASE(broken_bytes_get_a_clear_error_and_run_nothing) {
  ReadyEntry entry;
  const std::size_t before = entry.Executions();
  for (const BytesCase& sample : kBytesCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const std::string answer = entry.Exchange(sample.bytes);
      const std::string begin =
          sample.status.empty() ? "" : "HTTP/1.1 " + sample.status;
      BOOST_TEST(answer.substr(0, begin.empty() ? 1 : begin.size()) == begin,
                 answer);
      BOOST_TEST(answer.find(sample.reason) != std::string::npos, answer);
      if (!sample.status.empty()) {
        BOOST_TEST(answer.find("\"outcome\":\"not_run\"") != std::string::npos,
                   answer);
      }
    }
  }
  BOOST_TEST(entry.Executions() == before);
  BOOST_TEST(entry.Serves("after"));
}

// A job's body, and the refusal it gets.
struct JobCase {
  std::string name;
  std::string body;
  int status;
  std::string reason;
};

std::string JobWith(const std::string& shape, const std::string& rest = "") {
  return R"({"kind":"train","shape":{)" + shape + "}" + rest + "}";
}

const std::string kMostNegative = "-9223372036854775808";
const std::string kMost = "9223372036854775807";

const std::vector<JobCase> kJobCases = {
    {"empty", "", 400, "bad_request"},
    {"not JSON", "{", 400, "bad_request"},
    {"a list", "[]", 400, "bad_request"},
    {"a number", "7", 400, "bad_request"},
    {"null", "null", 400, "bad_request"},
    {"embedded NUL", std::string("{\"kind\":\"tr\0ain\"}", 17), 400,
     "bad_request"},
    {"escaped NUL in the kind", R"({"kind":"train\u0000"})", 400,
     "bad_request"},
    {"escaped NUL in the command", JobWith("", R"(,"command":"a\u0000b")"), 400,
     "bad_request"},
    {"not UTF-8", "{\"kind\":\"\xc3\x28\"}", 400, "bad_request"},
    {"nested 100,000 deep", std::string(100'000, '['), 400, "bad_request"},
    {"two documents", "{}{}", 400, "bad_request"},
    {"kind missing", R"({"shape":{"pieces":1}})", 400, "bad_request"},
    {"kind that is no name", R"({"kind":"a b"})", 400, "bad_request"},
    {"kind of another type", R"({"kind":7})", 400, "bad_request"},
    {"unknown kind", R"({"kind":"nothing","shape":{"millicores":1}})", 404,
     "unknown_kind"},
    {"no pieces", JobWith(R"("pieces":0)"), 400, "bad_request"},
    {"negative pieces", JobWith(R"("pieces":-1)"), 400, "bad_request"},
    {"most negative pieces", JobWith(R"("pieces":)" + kMostNegative), 400,
     "bad_request"},
    {"more pieces than any gang has", JobWith(R"("pieces":)" + kMost), 400,
     "bad_request"},
    {"pieces overflow", JobWith(R"("pieces":9223372036854775808)"), 400,
     "bad_request"},
    {"pieces in halves", JobWith(R"("pieces":1.5)"), 400, "bad_request"},
    {"pieces as text", JobWith(R"("pieces":"2")"), 400, "bad_request"},
    {"negative accelerators", JobWith(R"("accelerators":-8)"), 400,
     "bad_request"},
    {"accelerators overflow with the pieces",
     JobWith(R"("pieces":1024,"accelerators":)" + kMost), 400, "bad_request"},
    {"negative processors", JobWith(R"("millicores":-1)"), 400, "bad_request"},
    {"processors overflow", JobWith(R"("millicores":)" + kMost), 400,
     "bad_request"},
    {"negative memory", JobWith(R"("memory_mib":-1)"), 400, "bad_request"},
    {"memory overflows", JobWith(R"("memory_mib":)" + kMost), 400,
     "bad_request"},
    {"nothing asked for", JobWith(R"("pieces":1)"), 400, "bad_request"},
    {"unknown adjacency", JobWith(R"("adjacent":"near")"), 400, "bad_request"},
    {"negative run time", JobWith("", R"(,"declared_run_time_us":-1)"), 400,
     "bad_request"},
    {"command of 1 MiB",
     JobWith(R"("millicores":1)",
             R"(,"command":")" + std::string(1 << 20, 'x') + "\""),
     413, "too_large"},
};

BOOST_AUTO_TEST_CASE(bad_jobs_get_a_clear_error_and_are_not_accepted) {
  ReadyEntry entry;
  std::size_t number = 0;
  for (const JobCase& sample : kJobCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto response = entry.Caller(0)->Post(
          "/v1/jobs", CallHeaders(fmt::format("job-{}", ++number)), sample.body,
          kJsonType);
      BOOST_REQUIRE(response);
      BOOST_TEST(response->status == sample.status, response->body);
      const auto refusal = DecodeRefusal(response->body);
      BOOST_REQUIRE(refusal);
      BOOST_TEST(NameOf(refusal.value().reason) == sample.reason);
      BOOST_TEST((refusal.value().execution == Execution::kNotRun));
      BOOST_TEST(!refusal.value().detail.empty());
    }
  }
  const auto& streams = entry.log.standin.streams;
  for (const auto& [name, data] : streams) {
    for (const LogRecord& record : data.records) {
      BOOST_TEST(record.data.find("job_accepted") == std::string::npos);
    }
  }
  BOOST_TEST(entry.Serves("after"));
}

// Records that some other writer left in a cell's stream.
const std::vector<std::string> kBadRecords = {
    "",
    "no JSON",
    R"({"kind":"job_accepted"})",
    R"({"kind":"job_accepted","job":{"id":"all.1","shape":{"pieces":-1}}})",
    R"({"kind":"job_accepted","job":{"id":"all.2","shape":{"pieces":)" + kMost +
        "}}}",
};

BOOST_AUTO_TEST_CASE(bad_records_of_a_cell_stop_no_holder) {
  Cluster cluster(1, 1, 2);
  for (const std::string& data : kBadRecords) {
    cluster.log.standin.streams["cell.z1"].records.push_back(
        LogRecord{Offset(cluster.log.standin.streams["cell.z1"].records.size()),
                  RecordId("other"), data});
  }
  cluster.StartAll();
  BOOST_REQUIRE(Eventually([&] { return cluster.AllReady(); }));
  BOOST_REQUIRE_EQUAL(cluster.Publish(kTables), 0);
  BOOST_TEST(Eventually([&] {
    const auto response =
        cluster.Caller(0)->Post("/v1/jobs", CallHeaders("after"),
                                JobWith(R"("millicores":1)"), kJsonType);
    return response && response->status == 202;
  }));
}

BOOST_AUTO_TEST_CASE(slow_and_silent_senders_hold_no_thread_for_long) {
  Cluster cluster(1, 1, 2);
  cluster.caller_threads = 4;
  cluster.caller_settings = "read_timeout = 200ms\nreceive_timeout = 600ms\n";
  cluster.StartAll();
  BOOST_REQUIRE(Eventually([&] { return cluster.AllReady(); }));
  BOOST_REQUIRE_EQUAL(cluster.Publish(kTables), 0);
  const chicorystep::Address address(cluster.addresses[0].callers);
  std::vector<std::unique_ptr<RawConnection>> silent;
  for (int i = 0; i < 3; ++i) {
    silent.push_back(std::make_unique<RawConnection>(address));
    BOOST_TEST(silent.back()->Send("POST /v1/requests/echo HTTP/1.1\r\n"));
  }
  RawConnection slow(address);
  const auto begin = std::chrono::steady_clock::now();
  const std::string text =
      Post("/v1/requests/echo", kCaller + Length(1000), "") +
      std::string(1000, 'x');
  std::size_t sent = 0;
  while (sent < text.size() && slow.Send(text.substr(sent, 1)) &&
         slow.ReadToEnd(std::chrono::milliseconds(20)).empty() &&
         !slow.HasEnded()) {
    ++sent;
  }
  BOOST_TEST(sent < text.size());
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begin < std::chrono::seconds(15)));
  for (auto& connection : silent) {
    (void)connection->ReadToEnd();
    BOOST_TEST(connection->HasEnded());
  }
  BOOST_TEST(Eventually([&] {
    const auto response = cluster.Caller(0)->Post(
        "/v1/requests/echo", CallHeaders("after"), "x", "text/plain");
    return response && response->status == 200;
  }));
}

// Bodies that a front end could be tempted to take apart.
struct BodyCase {
  std::string name;
  std::string content_type;
  std::string body;
};

const std::vector<BodyCase> kBodyCases = {
    {"form", "application/x-www-form-urlencoded", "a=1&b=%20"},
    {"form over 8 KiB", "application/x-www-form-urlencoded",
     "a=" + std::string(9000, 'x')},
    {"multipart", "multipart/form-data; boundary=b",
     "--b\r\nContent-Disposition: form-data; name=\"photo\"\r\n\r\n"
     "\xff\xd8\r\n--b--\r\n"},
    {"broken multipart", "multipart/form-data", "--b"},
    {"JSON", "application/json", "{\"a\": 1}"},
};

BOOST_AUTO_TEST_CASE(bodies_reach_the_executor_and_come_back_unaltered) {
  ReadyEntry entry;
  auto client = entry.Caller(0);
  for (const BodyCase& sample : kBodyCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      auto headers = CallHeaders("body-1");
      headers.emplace("Range", "bytes=0-1");
      const auto response =
          client->Post("/v1/requests/echo", headers, sample.body,
                       sample.content_type.c_str());
      BOOST_REQUIRE(response);
      BOOST_TEST(response->status == 200);
      BOOST_TEST(response->body == sample.body);
      BOOST_TEST(response->get_header_value("Content-Type") ==
                 sample.content_type);
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
