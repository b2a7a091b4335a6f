#define BOOST_TEST_MODULE hostile_clients
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/client_crowd.h"
#include "tests/support/cluster.h"
#include "tests/support/platform_standin.h"
#include "tests/support/process.h"

namespace chicorystep::testing {
namespace {

using std::chrono::seconds;

// The limits that the settings of the entry give, and those of the
// configuration that its callers keep to.
constexpr std::int64_t kMemoryMb = 48;
constexpr std::size_t kMaxBody = 256 << 10;
constexpr std::size_t kMaxHead = 16 << 10;
// Within this the crowd has sent its bytes, however slow the machine.
constexpr seconds kSendLimit(120);

// What each client of a crowd sends, and how.
struct CrowdCase {
  std::string name;
  std::size_t clients;
  // The size of the pieces, in bytes, in which the clients send in turn.
  std::size_t piece;
  // Descriptors that the entry may have.
  std::size_t max_descriptors;
  // Whether the store leaves every call unanswered meanwhile.
  bool store_hangs;
  std::string (*make_request)();
};

std::string MakeHead(const std::string& path, const std::string& length) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: host\r\nAuthorization: Token key\r\n"
      "X-Deadline-Ms: 20000\r\n{}\r\n\r\n",
      path, length);
}

std::string MakeSizedHead(std::size_t size) {
  return MakeHead("/jobs/00000000000000aa",
                  fmt::format("Content-Length: {}", size));
}

// A job padded with spaces to the largest legal size.
std::string MakeWholeBody() {
  std::string body = R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1}]})";
  body.resize(kMaxBody, ' ');
  return MakeSizedHead(body.size()) + body;
}

std::string MakeUnfinishedBody() {
  return MakeSizedHead(kMaxBody) + std::string(kMaxBody - 1, 'x');
}

// Chunks of `size` bytes that add up to one byte less than the largest legal
// body, without the last chunk.
std::string MakeUnfinishedChunks(std::size_t size) {
  std::string text =
      MakeHead("/jobs/00000000000000aa", "Transfer-Encoding: chunked");
  for (std::size_t left = kMaxBody - 1; left > 0;) {
    const std::size_t chunk = std::min(size, left);
    text += fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'x'));
    left -= chunk;
  }
  return text;
}

// A head of as many different headers as fit into the largest legal one,
// without the empty line that ends it.
std::string MakeTinyHeaders() {
  constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz";
  std::string text = "POST /jobs/00000000000000aa HTTP/1.1\r\nHost: host\r\n";
  std::size_t size = text.size();
  for (std::size_t i = 0; size + 3 < kMaxHead; ++i, size += 3) {
    const std::size_t letters = kLetters.size();
    text += fmt::format("{}{}{}:\r\n", kLetters[i % letters],
                        kLetters[i / letters % letters],
                        kLetters[i / letters / letters % letters]);
  }
  return text;
}

// A job of the largest number of steps, which takes more memory than its text.
std::string MakeManySteps() {
  std::string body = R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1})";
  for (int i = 1; i < 1000; ++i) {
    body += ",{}";
  }
  body += "]}";
  return MakeSizedHead(body.size()) + body;
}

const std::vector<CrowdCase> kCrowdCases = {
    {"whole bodies", 240, 16 << 10, 1000, true, MakeWholeBody},
    {"whole bodies, piece by piece", 240, 1 << 10, 1000, true, MakeWholeBody},
    {"unfinished bodies", 240, 4 << 10, 1000, false, MakeUnfinishedBody},
    {"unfinished, in large chunks", 240, 16 << 10, 1000, false,
     [] { return MakeUnfinishedChunks(64 << 10); }},
    {"unfinished, in chunks of one byte", 240, 16 << 10, 1000, false,
     [] { return MakeUnfinishedChunks(1); }},
    {"heads of tiny headers", 240, 4 << 10, 1000, false, MakeTinyHeaders},
    {"jobs of many steps", 480, 4 << 10, 1000, true, MakeManySteps},
    {"connections that send nothing", 400, 1, 200, false,
     [] { return std::string(); }},
    {"unfinished bodies on many connections", 400, 4 << 10, 200, false,
     MakeUnfinishedBody},
};

// The platform's stand-in on a thread of its own, and one entry process.
class EdgeUnderCrowd {
 public:
  explicit EdgeUnderCrowd(const CrowdCase& sample) : platform(context, 1) {
    const nlohmann::json config = {
        {"Version", 1},
        {"Routes",
         {{{"Name", "jobs"},
           {"Host", "host"},
           {"PathPrefix", "/jobs/"},
           {"Service", "service"},
           {"Priority", 0},
           {"MaxAttempts", 3}}}},
        {"Services", {{{"Name", "service"}, {"EnforcesCapacity", true}}}},
        {"Tenants", {{{"Name", "team"}, {"ApiKeys", {"key"}}}}},
        {"Limits",
         {{"MaxHeaderBytes", kMaxHead},
          {"MaxBodyBytes", kMaxBody},
          {"HeaderTimeoutMs", 60'000},
          {"IdleTimeoutMs", 60'000}}}};
    this->platform.Put("keyed.op", "config", config.dump());
    const Address store = this->platform.ServeStore(0);
    this->callers = this->platform.addresses.Next();
    const std::string settings = this->folder.Write(
        "node.toml",
        fmt::format("Node = \"entry-0\"\nZone = \"z\"\n[Listen]\nFront = "
                    "\"{}\"\nReady = \"{}\"\n[platform]\nAddress = \"{}\"\n"
                    "[Limits]\nMemoryMb = {}\nMaxFds = {}\n",
                    this->callers.value, this->platform.addresses.Next().value,
                    store.value, kMemoryMb, sample.max_descriptors));
    this->serving = std::thread([this] { this->context.run(); });
    this->process.emplace(std::vector<std::string>{Program("chicorystep-edge"),
                                                   "--settings", settings},
                          this->folder.Write("log", ""));
  }
  EdgeUnderCrowd(const EdgeUnderCrowd&) = delete;
  EdgeUnderCrowd& operator=(const EdgeUnderCrowd&) = delete;
  ~EdgeUnderCrowd() {
    this->context.stop();
    this->serving.join();
  }

  // Lets the store leave every call unanswered, or answer again.
  void SetStoreHangs(bool hangs) {
    std::promise<void> done;
    asio::post(this->context, [&] {
      this->platform.all_store_faults.delay =
          hangs ? Duration(seconds(600)) : Duration();
      done.set_value();
    });
    done.get_future().get();
  }

  // Whether a small job is accepted, on a connection of its own.
  bool AcceptsJob() {
    const std::string body = R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1}]})";
    const auto caller = MakeHttpClient(this->callers, seconds(5));
    SetExchangeTimeout(*caller, seconds(10));
    const auto answer =
        caller->Post(fmt::format("/jobs/{:016x}", ++this->last_job),
                     {{"Host", "host"}, {"Authorization", "Token key"}}, body,
                     "application/json");
    return answer && answer->status == 200;
  }

  Address callers;
  std::optional<ChildProcess> process;

 private:
  ScratchFolder folder;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> guard{
      context.get_executor()};
  PlatformStandin platform;
  std::thread serving;
  std::uint64_t last_job = 0xb00;
};

// Guards against a process that runs out of memory or descriptors because many
// clients each stay inside the limits of one request.
BOOST_AUTO_TEST_CASE(an_edge_outlives_crowds_inside_the_limits) {
  for (const CrowdCase& sample : kCrowdCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      EdgeUnderCrowd edge(sample);
      BOOST_TEST_REQUIRE(Eventually([&] { return edge.AcceptsJob(); }));
      const Bytes calm = PeakMemory(edge.process->Pid());
      edge.SetStoreHangs(sample.store_hangs);
      ClientCrowd crowd(edge.callers, sample.clients);
      BOOST_TEST(
          crowd.SendAll(sample.make_request(), sample.piece, kSendLimit));
      BOOST_TEST(AwaitReading(edge.callers, kSendLimit));
      std::size_t descriptors = OpenDescriptors(edge.process->Pid());
      edge.SetStoreHangs(false);
      BOOST_TEST(Eventually([&] { return edge.AcceptsJob(); }, kSendLimit));
      descriptors = std::max(descriptors, OpenDescriptors(edge.process->Pid()));
      BOOST_TEST(!edge.process->HasEnded());
      const Bytes peak = PeakMemory(edge.process->Pid());
      BOOST_TEST(peak.value <= kMemoryMb << 20);
      BOOST_TEST(descriptors <= sample.max_descriptors);
      BOOST_TEST_MESSAGE(fmt::format(
          "{}: {} KiB in calm, {} KiB at most, {} descriptors", sample.name,
          calm.value >> 10, peak.value >> 10, descriptors));
    }
  }
}

// The bound on the memory of an entry, its limit on bodies and its threads.
constexpr std::int64_t kEntryMemoryMb = 96;
constexpr std::size_t kEntryMaxBody = 2 << 20;
constexpr int kEntryThreads = 48;
constexpr std::size_t kEntryClients = 64;
// Until the crowd has sent all or knows that its connections are closed; half
// of the read timeout of the entry.
constexpr seconds kEntrySendLimit(30);

std::string MakeEntryHead(const std::string& length) {
  return fmt::format(
      "POST /v1/requests/echo HTTP/1.1\r\nHost: h\r\n{}: id\r\n{}: w1\r\n"
      "{}\r\n\r\n",
      kRequestIdHeader, kWorkspaceHeader, length);
}

std::string MakeEntryBody(std::size_t size, std::size_t missing) {
  return MakeEntryHead(fmt::format("Content-Length: {}", size)) +
         std::string(size - missing, 'x');
}

// Chunks of `size` bytes that add up to `total`, without the last chunk.
std::string MakeEntryChunks(std::size_t total, std::size_t size) {
  std::string text = MakeEntryHead("Transfer-Encoding: chunked");
  for (std::size_t sent = 0; sent < total; sent += size) {
    text += fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
  }
  return text;
}

struct EntryCrowdCase {
  std::string name;
  std::size_t piece;
  std::string (*make_request)();
};

const std::vector<EntryCrowdCase> kEntryCrowdCases = {
    {"whole bodies whose answers are not read", 64 << 10,
     [] { return MakeEntryBody(1 << 20, 0); }},
    {"unfinished bodies", 16 << 10,
     [] { return MakeEntryBody(kEntryMaxBody, 1); }},
    {"unfinished, in large chunks", 64 << 10,
     [] { return MakeEntryChunks(kEntryMaxBody - (64 << 10), 64 << 10); }},
    {"unfinished, in chunks of four bytes", 64 << 10,
     [] { return MakeEntryChunks(kEntryMaxBody - 4, 4); }},
    {"connections that send nothing", 1, [] { return std::string(); }},
};

// The same for the entry with the product's own interface, and against clients
// that wait for minutes because nothing tells them that they were cut off.
BOOST_AUTO_TEST_CASE(an_entry_outlives_crowds_inside_the_limits) {
  for (const EntryCrowdCase& sample : kEntryCrowdCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Cluster cluster(1, 1, 0);
      cluster.caller_threads = kEntryThreads;
      cluster.caller_settings = fmt::format(
          "max_body = {}B\nread_timeout = 60s\nmax_received = 32MiB\n",
          kEntryMaxBody);
      BOOST_TEST_REQUIRE(cluster.Publish(kTables) == 0);
      cluster.StartAll();
      BOOST_TEST_REQUIRE(Eventually([&] { return cluster.AllReady(); }));
      int calls = 0;
      const auto is_served = [&] {
        const auto answer = cluster.Caller(0)->Post(
            "/v1/requests/echo", CallHeaders(fmt::format("call-{}", ++calls)),
            "hello", "text/plain");
        return answer && answer->status == 200;
      };
      BOOST_TEST_REQUIRE(Eventually(is_served));
      const pid_t entry = cluster.entries[0]->Pid();
      const Bytes calm = PeakMemory(entry);
      const Address callers(cluster.addresses[0].callers);
      ClientCrowd crowd(callers, kEntryClients);
      BOOST_TEST(
          crowd.SendAll(sample.make_request(), sample.piece, kEntrySendLimit));
      BOOST_TEST(AwaitReading(callers, kSendLimit));
      BOOST_TEST(Eventually(is_served, kSendLimit));
      BOOST_TEST(!cluster.entries[0]->HasEnded());
      const Bytes peak = PeakMemory(entry);
      BOOST_TEST(peak.value <= kEntryMemoryMb << 20);
      BOOST_TEST_MESSAGE(fmt::format("{}: {} KiB in calm, {} KiB at most",
                                     sample.name, calm.value >> 10,
                                     peak.value >> 10));
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
