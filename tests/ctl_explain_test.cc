#define BOOST_TEST_MODULE ctl_explain
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "chicorystep/encoding/json.h"
#include "tests/support/platform_standin.h"
#include "tests/support/program.h"

namespace chicorystep::testing {
namespace {

constexpr const char* kConfig = R"({"Version": 1,
  "Routes": [{"Name": "bulk", "Host": "host", "PathPrefix": "/bulk/",
              "Service": "service", "Priority": 2, "MaxAttempts": 3,
              "Stretch": 2, "TargetDurationMs": 1000}],
  "Services": [{"Name": "service", "EnforcesCapacity": true}],
  "Tenants": [{"Name": "team", "ApiKeys": ["key"]}]})";
constexpr const char* kWorkflow =
    R"({"Spec": "x", "Steps": [{"Count": 3, "Cpu": 1000, "MemMb": 64, "Gpu": 1,
        "EstimateMs": 1000}]})";

// An edge process with a store and 2 workers.
class EdgeRun {
 public:
  EdgeRun() : platform(this->context, 1) {
    this->platform.fleet.AddWorkers(2);
    const Address workers = this->platform.ServeWorkers();
    for (EmulatedWorker& worker : this->platform.fleet.workers) {
      worker.started = BootTimeNow();
      worker.listing.address = workers;
      this->platform.List(worker);
    }
    this->platform.Put("keyed.op", "config", kConfig);
    const Address store = this->platform.ServeStore(0);
    this->admin = this->platform.addresses.Next().value;
    const std::size_t colon = this->admin.find(':');
    const std::string port = this->admin.substr(colon + 1);
    const std::string settings = this->folder.Write(
        "edge.toml",
        fmt::format("Node = \"entry-0\"\nZone = \"z\"\nIp = \"{}\"\n"
                    "InternalPortRange = [{}, {}]\n[Listen]\nFront = \"{}\"\n"
                    "Ready = \"{}\"\n[platform]\nAddress = \"{}\"\n",
                    this->admin.substr(0, colon), port, port,
                    this->platform.addresses.Next().value,
                    this->platform.addresses.Next().value, store.value));
    this->edge.emplace(std::vector<std::string>{Program("chicorystep-edge"),
                                                "--settings", settings},
                       this->folder.Write("edge.log", ""));
    this->traffic = std::thread([this] {
      while (!this->ended) {
        this->platform.Step();
        this->context.run_for(milliseconds(10));
      }
    });
  }
  ~EdgeRun() {
    this->ended = true;
    this->traffic.join();
  }

  Outcome Explain(const std::string& path, const std::string& workflow) {
    return Run("chicorystepctl",
               {"explain", "placement", "-", "--admin", this->admin, "--host",
                "host", "--path", path, "--workspace", "team", "--json"},
               workflow);
  }

  [[nodiscard]] Json State() const {
    return Json::parse(
        Run("chicorystepctl", {"state", "--admin", this->admin, "--json"}).out,
        nullptr, false);
  }

 private:
  ScratchFolder folder;
  std::string admin;
  asio::io_context context;
  PlatformStandin platform;
  std::optional<ChildProcess> edge;
  std::atomic<bool> ended = false;
  std::thread traffic;
};

// A question, and the exit code and the texts that the answer must contain.
struct ExplainCase {
  std::string name;
  std::string path;
  std::string workflow;
  int code;
  std::string out;
  std::string err;
};

const std::vector<ExplainCase> kCases = {
    {"a workflow", "/bulk/", kWorkflow, 0, "\"placed\": 3", ""},
    {"an unknown route", "/nowhere/", kWorkflow, 1, "\"accepted\": false",
     "no_route"},
    {"no workflow", "/bulk/", "{", 2, "\"accepted\": false", "malformed"},
    {"nothing", "/bulk/", "", 2, "\"accepted\": false", "malformed"},
    {"an id that is none", "/bulk/x", kWorkflow, 2, "", "hexadecimal"},
    {"too large", "/bulk/", std::string(300 << 10, 'x'), 1, "", "413"},
};

BOOST_AUTO_TEST_CASE(explain_placement_ends_as_documented) {
  EdgeRun run;
  BOOST_REQUIRE(Eventually([&] {
    return run.Explain("/bulk/", kWorkflow).out.find("\"placed\": 3") !=
           std::string::npos;
  }));
  for (const ExplainCase& sample : kCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const Outcome outcome = run.Explain(sample.path, sample.workflow);
      BOOST_TEST(outcome.code == sample.code);
      BOOST_TEST(outcome.out.find(sample.out) != std::string::npos,
                 outcome.out);
      BOOST_TEST(outcome.err.find(sample.err) != std::string::npos,
                 outcome.err);
      BOOST_TEST((sample.code != 0 || outcome.err.empty()), outcome.err);
    }
  }
  const Json state = run.State();
  BOOST_REQUIRE(state.is_object());
  BOOST_TEST(state.at("workflows") == 0);
  BOOST_TEST(state.at("calls_waiting_for_the_store") == 0);
}

}  // namespace
}  // namespace chicorystep::testing
