#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <regex>
#include <set>
#include <string>
#include <vector>

#include "chicorystep/encoding/json.h"
#include "tests/support/program.h"

namespace chicorystep::testing {
namespace {

Outcome RunCtl(const std::vector<std::string>& arguments,
               const std::string& input = "") {
  return Run("chicorystepctl", arguments, input);
}

// A command line that runs without a service, its exit code, and texts that its
// standard output and standard error must contain.
struct OfflineCase {
  std::string name;
  std::vector<std::string> arguments;
  int code;
  std::string out;
  std::string err;
};

const std::vector<OfflineCase> kOfflineCases = {
    {"help", {"--help"}, 0, "Exit codes:", ""},
    {"help of a command", {"submit", "--help"}, 0, "--pieces", ""},
    {"version", {"--version"}, 0, "chicorystepctl 0.", ""},
    {"no command", {}, 2, "", "a command is required"},
    {"unknown command", {"sbmit"}, 2, "", "unknown command sbmit"},
    {"unknown option", {"state", "--colour"}, 2, "", "colour"},
    {"option of another command",
     {"state", "--pieces", "2"},
     2,
     "",
     "state takes no --pieces"},
    {"option without its value", {"submit", "x", "--pieces"}, 2, "", "pieces"},
    {"count that is not a number",
     {"submit", "x", "--pieces", "two"},
     2,
     "",
     "two"},
    {"unknown adjacency",
     {"submit", "x", "--adjacent", "near"},
     2,
     "",
     "none, rack or worker"},
    {"kind missing", {"request"}, 2, "", "expected one kind"},
    {"too many arguments", {"job", "a", "b"}, 2, "", "expected one job id"},
    {"state with an argument", {"state", "x"}, 2, "", "no argument"},
    {"explain of an unknown subject",
     {"explain", "weather"},
     2,
     "",
     "job JOB or request ID or placement FILE"},
    {"explain placement without a route",
     {"explain", "placement", "-", "--host", "host"},
     2,
     "",
     "needs --host and --path"},
    {"explain placement of a missing file",
     {"explain", "placement", "/nowhere/at/all", "--host", "host", "--path",
      "/a/"},
     2,
     "",
     "cannot read /nowhere/at/all"},
    {"explain placement without a service",
     {"explain", "placement", "-", "--host", "host", "--path", "/a/", "--admin",
      "127.0.0.1:1"},
     3,
     "",
     "no answer"},
    {"two bodies",
     {"request", "x", "--body", "a", "--body-file", "b"},
     2,
     "",
     "exclude each other"},
    {"body file missing",
     {"request", "x", "--body-file", "/nowhere/at/all"},
     2,
     "",
     "cannot read /nowhere/at/all"},
    {"check a missing file",
     {"check", "/nowhere.ini"},
     2,
     "",
     "a file that can be read"},
    {"no service", {"state", "--admin", "127.0.0.1:1"}, 3, "", "no answer"},
};

BOOST_AUTO_TEST_CASE(command_lines_end_as_documented) {
  for (const OfflineCase& sample : kOfflineCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const Outcome outcome = RunCtl(sample.arguments);
      BOOST_TEST(outcome.code == sample.code);
      BOOST_TEST(outcome.out.find(sample.out) != std::string::npos,
                 outcome.out);
      BOOST_TEST(outcome.err.find(sample.err) != std::string::npos,
                 outcome.err);
      BOOST_TEST((sample.code == 0 || outcome.out.empty()), outcome.out);
      BOOST_TEST((sample.code != 0 || outcome.err.empty()), outcome.err);
    }
  }
}

std::set<std::string> FindMatches(const std::string& text,
                                  const std::string& pattern) {
  const std::regex regex(pattern);
  std::set<std::string> found;
  for (auto match = std::sregex_iterator(text.begin(), text.end(), regex);
       match != std::sregex_iterator(); ++match) {
    found.insert((*match)[1]);
  }
  return found;
}

std::string ReadSourceFile(const std::string& name) {
  return ReadFile(std::string(CHICORYSTEP_SOURCE_DIR) + "/" + name);
}

BOOST_AUTO_TEST_CASE(manual_and_completion_name_every_command_and_option) {
  const auto commands = FindMatches(RunCtl({"--help"}).out, R"(\n  ([a-z]+) )");
  BOOST_REQUIRE(commands.size() > 5);
  std::string manual = ReadSourceFile("docs/man/chicorystepctl.1");
  manual.erase(std::remove(manual.begin(), manual.end(), '\\'), manual.end());
  const std::string completion =
      ReadSourceFile("completion/chicorystepctl.bash");
  const auto in_manual = FindMatches(manual, R"(\n\.B[IR]? ([a-z]+))");
  const auto completed = FindMatches(completion, R"(--([a-z][a-z-]+))");
  for (const std::string& command : commands) {
    BOOST_TEST_CONTEXT(command) {
      BOOST_TEST(in_manual.contains(command));
      BOOST_TEST(completion.find(command) != std::string::npos);
      for (const std::string& option : FindMatches(
               RunCtl({command, "--help"}).out, R"(--([a-z][a-z-]+))")) {
        BOOST_TEST(manual.find("--" + option) != std::string::npos, option);
        BOOST_TEST(completed.contains(option), option);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(explain_reports_why_work_waits_or_was_refused) {
  Cluster cluster(1, 1, 2);
  cluster.StartAll();
  BOOST_REQUIRE(Eventually([&] { return cluster.AllReady(); }));
  BOOST_REQUIRE_EQUAL(cluster.Publish(kTables), 0);
  const std::string entry = cluster.addresses[0].callers;
  const std::string admin = cluster.addresses[0].admin;

  BOOST_TEST(Eventually([&] {
    return RunCtl({"request", "echo", "--entry", entry, "--workspace", "w1",
                   "--body-file", "-"},
                  std::string("a\0b", 3))
               .out == std::string("a\0b", 3);
  }));
  const Outcome refused = RunCtl({"request", "nothing", "--entry", entry,
                                  "--workspace", "w1", "--id", "why-1"});
  BOOST_TEST(refused.code == 1);
  BOOST_TEST(refused.err.find("unknown_kind, outcome not_run") !=
             std::string::npos);
  const Outcome why = RunCtl({"explain", "request", "why-1", "--admin", admin});
  BOOST_TEST(why.code == 0);
  BOOST_TEST(why.out.find("unknown_kind") != std::string::npos, why.out);
  BOOST_TEST(RunCtl({"explain", "request", "why-2", "--admin", admin}).code ==
             1);
  const Outcome placement = RunCtl({"explain", "placement", "-", "--admin",
                                    admin, "--host", "h", "--path", "/a/"});
  BOOST_TEST(placement.code == 1);
  BOOST_TEST(placement.err.find("does not explain") != std::string::npos,
             placement.err);

  // The first gang occupies both workers, so the second has to wait.
  std::string job;
  for (const std::string id : {"first", "second"}) {
    BOOST_TEST(Eventually([&] {
      const Outcome submitted =
          RunCtl({"submit", "train", "--entry", entry, "--workspace", "w1",
                  "--id", id, "--pieces", "2", "--accelerators", "8",
                  "--command", "run-ms=600000"});
      job = submitted.out.substr(0, submitted.out.find(' '));
      return submitted.code == 0;
    }));
  }
  BOOST_TEST(Eventually([&] {
    const Outcome explained =
        RunCtl({"explain", "job", job, "--entry", entry, "--workspace", "w1"});
    return explained.out.find("0 of 2 pieces fit") != std::string::npos;
  }));

  const Outcome state = RunCtl({"state", "--admin", admin});
  BOOST_TEST(state.code == 0);
  BOOST_TEST(state.out.find("ready: true") != std::string::npos, state.out);
  BOOST_TEST(state.out.find(job) != std::string::npos, state.out);
  const Outcome json = RunCtl({"state", "--admin", admin, "--json"});
  BOOST_TEST(Json::accept(json.out));
}

}  // namespace
}  // namespace chicorystep::testing
