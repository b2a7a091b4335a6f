#define BOOST_TEST_MODULE bad_input
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "tests/support/cluster.h"
#include "tests/support/raw_http.h"

namespace chicorystep::testing {
namespace {

// One entry that serves published configuration tables.
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

  // The number of executions that the executors have recorded.
  [[nodiscard]] std::size_t CountExecutions() {
    auto& standin = this->executors.front().standin;
    const std::scoped_lock lock(standin.mutex);
    return standin.executions.size();
  }
};

std::string MakePost(const std::string& path,
                     const std::string& headers,
                     const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: e\r\n" + headers + "\r\n" + body;
}

const std::string kCallerHeaders = "Request-Id: raw-1\r\nWorkspace: w1\r\n";

std::string ContentLength(std::size_t bytes) {
  return fmt::format("Content-Length: {}\r\n", bytes);
}

// Bytes that a faulty or hostile caller sends, and the expected start of the
// answer. An empty `status` means that the connection is closed without an
// answer.
struct BytesCase {
  std::string name;
  std::string bytes;
  std::string status;
  std::string reason;
};

const std::vector<BytesCase> kBytesCases = {
    {"not HTTP", "hello\r\n\r\n", "400", "bad_request"},
    {"binary garbage", std::string("\0\x01\xff\xfe\r\n\r\n", 8), "400",
     "bad_request"},
    {"nothing", "", "", ""},
    {"request line truncated", "POST /v1/req", "400", "bad_request"},
    {"header truncated", "POST /v1/requests/echo HTTP/1.1\r\nReq", "400",
     "bad_request"},
    {"body shorter than its length",
     MakePost("/v1/requests/echo",
              kCallerHeaders + ContentLength(100),
              "short"),
     "400", "bad_request"},
    {"length is negative",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Content-Length: -5\r\n",
              "x"),
     "400", "bad_request"},
    {"length is not a number",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Content-Length: ten\r\n",
              "x"),
     "400", "bad_request"},
    {"length overflows",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Content-Length: 99999999999999999999999\r\n",
              "x"),
     "400", "bad_request"},
    {"two lengths",
     MakePost("/v1/requests/echo",
              kCallerHeaders + ContentLength(1) + ContentLength(5),
              "x"),
     "400", "bad_request"},
    {"length and chunked",
     MakePost(
         "/v1/requests/echo",
         kCallerHeaders + ContentLength(1) + "Transfer-Encoding: chunked\r\n",
         "1\r\nx\r\n0\r\n\r\n"),
     "400", "bad_request"},
    {"length over the listener's limit",
     MakePost("/v1/requests/echo",
              kCallerHeaders + ContentLength(9 << 20),
              "x"),
     "413", "too_large"},
    {"chunk size is not a number",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Transfer-Encoding: chunked\r\n",
              "zz\r\nx\r\n0\r\n\r\n"),
     "400", "bad_request"},
    {"chunked body truncated",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Transfer-Encoding: chunked\r\n",
              "5\r\nab"),
     "400", "bad_request"},
    {"chunked body over the listener's limit",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Transfer-Encoding: chunked\r\n",
              "900000\r\n" + std::string(9 << 20, 'x') + "\r\n0\r\n\r\n"),
     "413", "too_large"},
    {"one header of 64 KiB",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "X: " + std::string(64 << 10, 'x') + "\r\n",
              ""),
     "400", "bad_request"},
    {"request line of 64 KiB",
     MakePost("/v1/requests/" + std::string(64 << 10, 'x'), kCallerHeaders, ""),
     "414", "bad_request"},
    {"unknown method", "BREW /v1/jobs HTTP/1.1\r\n\r\n", "400", "bad_request"},
    {"unknown path",
     MakePost("/v2/nothing", kCallerHeaders + ContentLength(0), ""), "404",
     "bad_request"},
    {"kind that is not a name",
     MakePost("/v1/requests/a%2Fb", kCallerHeaders + ContentLength(0), ""),
     "404", "bad_request"},
    {"encoded NUL in the kind",
     MakePost("/v1/requests/echo%00", kCallerHeaders + ContentLength(0), ""),
     "404", "bad_request"},
    {"no headers", MakePost("/v1/requests/echo", ContentLength(1), "x"), "400",
     "bad_request"},
    {"id with a NUL",
     MakePost("/v1/requests/echo",
              std::string("Request-Id: a\0b\r\nWorkspace: w1\r\n", 31) +
                  ContentLength(1),
              "x"),
     "400", "bad_request"},
    {"id that is not UTF-8",
     MakePost("/v1/requests/echo",
              "Request-Id: \xc3\x28\r\nWorkspace: w1\r\n" + ContentLength(1),
              "x"),
     "400", "bad_request"},
    {"id of 65 characters",
     MakePost("/v1/requests/echo",
              "Request-Id: " + std::string(65, 'a') + "\r\nWorkspace: w1\r\n" +
                  ContentLength(1),
              "x"),
     "400", "bad_request"},
    {"two ids",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Request-Id: raw-2\r\n" + ContentLength(1),
              "x"),
     "400", "bad_request"},
    {"two workspaces",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Workspace: w2\r\n" + ContentLength(1),
              "x"),
     "400", "bad_request"},
    {"deadline of zero",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Deadline-Ms: 0\r\n" + ContentLength(1),
              "x"),
     "400", "bad_request"},
    {"negative deadline",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Deadline-Ms: -1\r\n" + ContentLength(1),
              "x"),
     "400", "bad_request"},
    {"deadline overflows",
     MakePost("/v1/requests/echo",
              kCallerHeaders + "Deadline-Ms: 9223372036854775808\r\n" +
                  ContentLength(1),
              "x"),
     "400", "bad_request"},
};

BOOST_AUTO_TEST_CASE(malformed_bytes_get_a_clear_error_and_run_nothing) {
  ReadyEntry entry;
  const std::size_t before = entry.CountExecutions();
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
  BOOST_TEST(entry.CountExecutions() == before);
  BOOST_TEST(entry.Serves("after"));
}

// The body of a job submission and the expected refusal.
struct JobCase {
  std::string name;
  std::string body;
  int status;
  std::string reason;
};

std::string MakeJobBody(const std::string& shape,
                        const std::string& rest = "") {
  return R"({"kind":"train","shape":{)" + shape + "}" + rest + "}";
}

const std::string kInt64Min = "-9223372036854775808";
const std::string kInt64Max = "9223372036854775807";

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
    {"escaped NUL in the command", MakeJobBody("", R"(,"command":"a\u0000b")"),
     400, "bad_request"},
    {"not UTF-8", "{\"kind\":\"\xc3\x28\"}", 400, "bad_request"},
    {"nested 100,000 deep", std::string(100'000, '['), 400, "bad_request"},
    {"two documents", "{}{}", 400, "bad_request"},
    {"kind missing", R"({"shape":{"pieces":1}})", 400, "bad_request"},
    {"kind that is not a name", R"({"kind":"a b"})", 400, "bad_request"},
    {"kind of another type", R"({"kind":7})", 400, "bad_request"},
    {"unknown kind", R"({"kind":"nothing","shape":{"millicores":1}})", 404,
     "unknown_kind"},
    {"no pieces", MakeJobBody(R"("pieces":0)"), 400, "bad_request"},
    {"negative pieces", MakeJobBody(R"("pieces":-1)"), 400, "bad_request"},
    {"most negative pieces", MakeJobBody(R"("pieces":)" + kInt64Min), 400,
     "bad_request"},
    {"more pieces than any gang has", MakeJobBody(R"("pieces":)" + kInt64Max),
     400, "bad_request"},
    {"pieces overflow", MakeJobBody(R"("pieces":9223372036854775808)"), 400,
     "bad_request"},
    {"fractional pieces", MakeJobBody(R"("pieces":1.5)"), 400, "bad_request"},
    {"pieces as text", MakeJobBody(R"("pieces":"2")"), 400, "bad_request"},
    {"negative accelerators", MakeJobBody(R"("accelerators":-8)"), 400,
     "bad_request"},
    {"accelerators overflow with the pieces",
     MakeJobBody(R"("pieces":1024,"accelerators":)" + kInt64Max), 400,
     "bad_request"},
    {"negative processors", MakeJobBody(R"("millicores":-1)"), 400,
     "bad_request"},
    {"processors overflow", MakeJobBody(R"("millicores":)" + kInt64Max), 400,
     "bad_request"},
    {"negative memory", MakeJobBody(R"("memory_mib":-1)"), 400, "bad_request"},
    {"memory overflows", MakeJobBody(R"("memory_mib":)" + kInt64Max), 400,
     "bad_request"},
    {"no resources requested", MakeJobBody(R"("pieces":1)"), 400,
     "bad_request"},
    {"unknown adjacency", MakeJobBody(R"("adjacent":"near")"), 400,
     "bad_request"},
    {"negative run time", MakeJobBody("", R"(,"declared_run_time_us":-1)"), 400,
     "bad_request"},
    {"command of 1 MiB",
     MakeJobBody(R"("millicores":1)",
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
      BOOST_TEST(EnumName(refusal.value().reason) == sample.reason);
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

// Malformed records that another writer has appended to a cell's stream.
const std::vector<std::string> kBadRecords = {
    "",
    "no JSON",
    R"({"kind":"job_accepted"})",
    R"({"kind":"job_accepted","job":{"id":"all.1","shape":{"pieces":-1}}})",
    R"({"kind":"job_accepted","job":{"id":"all.2","shape":{"pieces":)" +
        kInt64Max + "}}}",
};

BOOST_AUTO_TEST_CASE(malformed_records_of_a_cell_do_not_stop_the_holder) {
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
                                MakeJobBody(R"("millicores":1)"), kJsonType);
    return response && response->status == 202;
  }));
}

BOOST_AUTO_TEST_CASE(slow_and_idle_senders_do_not_occupy_threads_for_long) {
  Cluster cluster(1, 1, 2);
  cluster.caller_threads = 4;
  cluster.caller_settings = "read_timeout = 200ms\nreceive_timeout = 600ms\n";
  cluster.StartAll();
  BOOST_REQUIRE(Eventually([&] { return cluster.AllReady(); }));
  BOOST_REQUIRE_EQUAL(cluster.Publish(kTables), 0);
  const chicorystep::Address address(cluster.addresses[0].callers);
  std::vector<std::unique_ptr<RawConnection>> idle_senders;
  for (int i = 0; i < 3; ++i) {
    idle_senders.push_back(std::make_unique<RawConnection>(address));
    BOOST_TEST(
        idle_senders.back()->Send("POST /v1/requests/echo HTTP/1.1\r\n"));
  }
  RawConnection slow_sender(address);
  const auto begin = std::chrono::steady_clock::now();
  const std::string text =
      MakePost("/v1/requests/echo", kCallerHeaders + ContentLength(1000), "") +
      std::string(1000, 'x');
  std::size_t sent = 0;
  while (sent < text.size() && slow_sender.Send(text.substr(sent, 1)) &&
         slow_sender.ReadToEnd(std::chrono::milliseconds(20)).empty() &&
         !slow_sender.HasEnded()) {
    ++sent;
  }
  BOOST_TEST(sent < text.size());
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begin < std::chrono::seconds(15)));
  for (auto& connection : idle_senders) {
    (void)connection->ReadToEnd();
    BOOST_TEST(connection->HasEnded());
  }
  BOOST_TEST(Eventually([&] {
    const auto response = cluster.Caller(0)->Post(
        "/v1/requests/echo", CallHeaders("after"), "x", "text/plain");
    return response && response->status == 200;
  }));
}

// Bodies of types that an HTTP front end might parse or rewrite.
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
