#define BOOST_TEST_MODULE standin_faults
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "tests/support/program.h"

namespace chicorystep::testing {
namespace {

// A call to a stand-in.
struct Call {
  std::string method;
  std::string path;
  std::string body;
};

const Call kAppend = {"POST", "/v1/streams/s/append",
                      R"({"records":[{"id":"a","data":"x"}]})"};
const Call kRead = {"GET", "/v1/streams/s/records?from=0&max=9&wait_ms=0", ""};
const Call kList = {"GET", "/v1/instances", ""};
const Call kRun = {"POST", "/v1/run/echo", "body"};
const Call kExecutions = {"GET", "/v1/executions", ""};
const Call kStart = {
    "POST", "/v1/commands",
    R"({"holder":"e","epoch":1,"sequence":1,"lease_time_us":9000000,"commands":[)"
    R"({"op":"reserve","lease":"j/1/0","job":"j","piece":0,"accelerators":1},)"
    R"({"op":"start","lease":"j/1/0","job":"j","piece":0}]})"};
const Call kPoll = {
    "POST", "/v1/commands",
    R"({"holder":"e","epoch":1,"sequence":2,"lease_time_us":9000000,"commands":[]})"};

// The expected status of a call's answer and a part of its body. The status is
// kNone when no answer is expected.
constexpr int kNone = 0;
struct ExpectedAnswer {
  Call call;
  int status;
  std::string contains;
};

// A fault of a stand-in, set on its command line or posted while it runs, and
// the expected answers to the calls that follow, each on its own connection.
struct SwitchCase {
  std::string name;
  std::string role;
  std::vector<std::string> arguments;
  std::string path;
  std::string faults;
  std::vector<ExpectedAnswer> expected;
};

const std::vector<SwitchCase> kSwitchCases = {
    {"log works", "log", {}, "", "", {{kAppend, 200, "\"first\":0"}}},
    {"log refuses once",
     "log",
     {"--refuse", "1"},
     "",
     "",
     {{kAppend, 503, ""}, {kAppend, 200, "\"first\":0"}}},
    {"log is down", "log", {"--down"}, "", "", {{kRead, 503, ""}}},
    {"log goes down",
     "log",
     {},
     "/v1/faults",
     R"({"down":true})",
     {{kRead, 503, ""}}},
    {"log loses an answer after the append",
     "log",
     {"--lose-answers", "1"},
     "",
     "",
     {{kAppend, kNone, ""}, {kRead, 200, "\"next\":1"}}},
    {"instance list refuses",
     "instances",
     {"--refuse", "1"},
     "",
     "",
     {{kList, 503, ""}, {kList, 200, ""}}},
    {"instance list refuses while it runs",
     "instances",
     {},
     "/v1/listener-faults",
     R"({"refuse":1})",
     {{kList, 503, ""}, {kList, 200, ""}}},
    {"executor refuses as not run",
     "executor",
     {},
     "/v1/faults",
     R"({"refuse":1})",
     {{kRun, 503, ""}, {kRun, 200, "body"}, {kExecutions, 200, ":1"}}},
    {"executor loses an answer after the run",
     "executor",
     {"--lose-answers", "1"},
     "",
     "",
     {{kRun, kNone, ""}, {kExecutions, 200, ":1"}}},
    {"executor cuts an answer",
     "executor",
     {"--cut-answers", "1"},
     "",
     "",
     {{kRun, kNone, ""}, {kRun, 200, "body"}}},
    {"worker fails all starts",
     "worker",
     {"--fail-starts"},
     "",
     "",
     {{kStart, 200, "failed"}}},
    {"worker begins to fail starts",
     "worker",
     {},
     "/v1/faults",
     R"({"fail_starts":true})",
     {{kStart, 200, "failed"}}},
    {"worker loses an answer after the effect",
     "worker",
     {"--lose-answers", "1"},
     "",
     "",
     {{kStart, kNone, ""}, {kPoll, 200, "j/1/0"}}},
    {"worker refuses",
     "worker",
     {"--refuse", "1"},
     "",
     "",
     {{kStart, 503, ""}}},
};

struct RunningStandin {
  std::uint16_t port = FreePort();
  ChildProcess process;

  explicit RunningStandin(const SwitchCase& sample)
      : process(MakeCommand(sample, this->port)) {
    BOOST_REQUIRE(Eventually([&] {
      const auto client = this->Connect();
      return client->Post("/v1/listener-faults", "-", "text/plain") != nullptr;
    }));
  }

  static std::vector<std::string> MakeCommand(const SwitchCase& sample,
                                              std::uint16_t port) {
    std::vector<std::string> command = {Program("chicorystep-standin"),
                                        sample.role, "--port",
                                        std::to_string(port)};
    command.insert(command.end(), sample.arguments.begin(),
                   sample.arguments.end());
    return command;
  }

  [[nodiscard]] std::unique_ptr<httplib::Client> Connect() const {
    auto client = MakeHttpClient(Address(fmt::format("127.0.0.1:{}", port)),
                                 std::chrono::seconds(5));
    SetExchangeTimeout(*client, std::chrono::seconds(20));
    return client;
  }
};

httplib::Result Send(httplib::Client& client, const Call& call) {
  return call.method == "GET"
             ? client.Get(call.path)
             : client.Post(call.path, CallHeaders("r1"), call.body,
                           "application/octet-stream");
}

BOOST_AUTO_TEST_CASE(each_switch_does_what_it_says) {
  for (const SwitchCase& sample : kSwitchCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const RunningStandin standin(sample);
      if (!sample.path.empty()) {
        const auto changed =
            standin.Connect()->Post(sample.path, sample.faults, kJsonType);
        BOOST_REQUIRE(changed);
        BOOST_TEST(changed->status == 200);
      }
      for (const ExpectedAnswer& expected : sample.expected) {
        const auto response = Send(*standin.Connect(), expected.call);
        BOOST_TEST((response ? response->status : kNone) == expected.status);
        BOOST_TEST((!response || response->body.find(expected.contains) !=
                                     std::string::npos),
                   expected.contains);
      }
    }
  }
}

// Every role must support `silence_open`: open connections get no answers while
// new ones work.
struct SilenceCase {
  std::string role;
  Call call;
};

const std::vector<SilenceCase> kSilenceCases = {{"log", kRead},
                                                {"instances", kList},
                                                {"executor", kRun},
                                                {"worker", kPoll}};

BOOST_AUTO_TEST_CASE(open_connections_go_silent_while_new_ones_work) {
  for (const SilenceCase& sample : kSilenceCases) {
    BOOST_TEST_CONTEXT(sample.role) {
      const RunningStandin standin(SwitchCase{.role = sample.role});
      const auto open = standin.Connect();
      BOOST_REQUIRE(Send(*open, sample.call));
      BOOST_REQUIRE(standin.Connect()->Post(
          "/v1/listener-faults", R"({"silence_open":true})", kJsonType));
      SetExchangeTimeout(*open, std::chrono::milliseconds(300));
      BOOST_TEST(!Send(*open, sample.call));
      BOOST_TEST(!!Send(*standin.Connect(), sample.call));
    }
  }
}

BOOST_AUTO_TEST_CASE(calls_are_delayed_and_lists_lag) {
  const SwitchCase delayed{.role = "instances",
                           .arguments = {"--delay-ms", "300"}};
  const RunningStandin standin(delayed);
  const auto begin = std::chrono::steady_clock::now();
  BOOST_REQUIRE(Send(*standin.Connect(), kList));
  BOOST_TEST((std::chrono::steady_clock::now() - begin >=
              std::chrono::milliseconds(300)));

  const RunningStandin lagging(
      SwitchCase{.role = "instances", .arguments = {"--lag-ms", "500"}});
  const std::string list =
      R"({"workers":[{"id":"w","address":"127.0.0.1:1","zone":"z1"}]})";
  BOOST_REQUIRE(lagging.Connect()->Put("/v1/instances", list, kJsonType));
  BOOST_TEST(Send(*lagging.Connect(), kList)->body.find("\"w\"") ==
             std::string::npos);
  BOOST_TEST(Eventually([&] {
    return Send(*lagging.Connect(), kList)->body.find("\"w\"") !=
           std::string::npos;
  }));
}

}  // namespace
}  // namespace chicorystep::testing
