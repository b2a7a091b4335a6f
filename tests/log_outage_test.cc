#define BOOST_TEST_MODULE log_outage
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "chicorystep/clients/config_reader.h"
#include "chicorystep/encoding/edit_record.h"
#include "tests/support/state_cluster.h"

namespace chicorystep::testing {
namespace {

// An action of a caller or operator during an outage of the log, and its
// expected outcome. The cases are the rows of the table in
// docs/design/state.md.
struct OutageCase {
  std::string name;
  std::string outcome;
  std::string (*act)(StateCluster&);
};

std::string DescribeOutcome(const httplib::Result& response) {
  return response ? fmt::format("{} {}", response->status,
                                response->get_header_value("Outcome"))
                  : "none";
}

std::string RunCtl(const StateCluster& cluster,
                   std::vector<std::string> arguments) {
  std::vector<std::string> words = {Program("chicorystepctl"), "--log",
                                    cluster.log.Address(), "--admin",
                                    cluster.addresses[0].admin};
  words.insert(words.end(), arguments.begin(), arguments.end());
  return fmt::format("exit {}", ChildProcess(words).Wait());
}

std::string WriteTablesFile(StateCluster& cluster, int version) {
  return cluster.folder.Write("outage.ini", Tables(version));
}

const std::vector<OutageCase> kOutageCases = {
    {"request of a known kind", "200 ran",
     [](StateCluster& cluster) {
       return DescribeOutcome(cluster.Caller(0)->Post(
           "/v1/requests/echo", CallHeaders("o1"), "x", "text/plain"));
     }},
    {"request of an unknown kind", "404 not_run",
     [](StateCluster& cluster) {
       return DescribeOutcome(cluster.Caller(0)->Post(
           "/v1/requests/none", CallHeaders("o2"), "x", "text/plain"));
     }},
    {"readiness", "200 ",
     [](StateCluster& cluster) {
       return DescribeOutcome(
           MakeHttpClient(chicorystep::Address(cluster.addresses[0].admin),
                          std::chrono::seconds(5))
               ->Get("/readyz"));
     }},
    {"check", "exit 0",
     [](StateCluster& cluster) {
       return RunCtl(cluster, {"check", WriteTablesFile(cluster, 2)});
     }},
    {"publish", "exit 3",
     [](StateCluster& cluster) {
       return RunCtl(cluster, {"publish", WriteTablesFile(cluster, 2)});
     }},
    {"show", "exit 3",
     [](StateCluster& cluster) { return RunCtl(cluster, {"show"}); }},
    {"history", "exit 3",
     [](StateCluster& cluster) { return RunCtl(cluster, {"history"}); }},
    {"rollback", "exit 3",
     [](StateCluster& cluster) {
       return RunCtl(cluster, {"rollback", "1"});
     }},
    {"state of a process", "exit 0",
     [](StateCluster& cluster) { return RunCtl(cluster, {"state"}); }},
    {"start of a process with a live peer", "ready",
     [](StateCluster& cluster) {
       cluster.entries[1].reset();
       cluster.StartEntry(1);
       return std::string(
           Eventually([&] { return cluster.Serves(1, 1); }) ? "ready" : "not");
     }},
    {"start of a process without a peer", "not ready",
     [](StateCluster& cluster) {
       for (auto& entry : cluster.entries) {
         entry.reset();
       }
       cluster.StartEntry(0);
       (void)Eventually([&] { return cluster.FetchState(0).has_value(); });
       std::this_thread::sleep_for(std::chrono::seconds(2));
       return std::string(cluster.IsReady(0) ? "ready" : "not ready");
     }},
    {"the same process after the log has recovered", "ready",
     [](StateCluster& cluster) {
       cluster.SetLogFaults({});
       return std::string(
           Eventually([&] { return cluster.Serves(0, 1); }) ? "ready" : "not");
     }},
};

BOOST_AUTO_TEST_CASE(actions_during_a_log_outage_have_documented_outcomes) {
  StateCluster cluster;
  cluster.StartReady();
  BOOST_REQUIRE(cluster.Publish(Tables(1)) == 0);
  BOOST_REQUIRE(Eventually([&] { return cluster.AllServe(1); }));
  cluster.SetLogFaults({.down = true});
  for (const OutageCase& sample : kOutageCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(sample.act(cluster) == sample.outcome);
    }
  }
}

// One of a sequence of operator commands, and its expected outcome.
struct OperatorCase {
  std::string name;
  std::vector<std::string> arguments;
  std::string outcome;
  // The version that must be in force after the command.
  int version;
};

BOOST_AUTO_TEST_CASE(operator_publishes_rolls_back_and_detects_lagging_entry) {
  StateCluster cluster;
  cluster.StartReady();
  const std::string first = cluster.folder.Write("v1.ini", Tables(1));
  const std::string second = cluster.folder.Write("v2.ini", Tables(2));
  const std::vector<OperatorCase> cases = {
      {"publishes and waits", {"publish", first, "--wait"}, "exit 0", 1},
      {"publishes as a dry run", {"publish", second, "--dry-run"}, "exit 0", 1},
      {"publishes the second version",
       {"publish", second, "--wait"},
       "exit 0",
       2},
      {"publishes the same version", {"publish", second}, "exit 0", 2},
      {"rolls back to an unknown revision", {"rollback", "9"}, "exit 1", 2},
      {"rolls back to a malformed revision", {"rollback", "x"}, "exit 2", 2},
      {"rolls back", {"rollback", "1", "--wait"}, "exit 0", 1},
      {"rolls forward", {"rollback", "2", "--wait"}, "exit 0", 2},
      {"history", {"history"}, "exit 0", 2},
  };
  for (const OperatorCase& sample : cases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(RunCtl(cluster, sample.arguments) == sample.outcome);
      BOOST_TEST(Eventually([&] { return cluster.AllServe(sample.version); }));
    }
  }
  cluster.entries[1]->Signal(SIGSTOP);
  BOOST_TEST(RunCtl(cluster, {"publish", first, "--wait", "--wait-ms",
                              "2000"}) == "exit 1");
  cluster.entries[1]->Signal(SIGCONT);
  BOOST_TEST(RunCtl(cluster, {"publish", second, "--wait"}) == "exit 0");
}

BOOST_AUTO_TEST_CASE(one_of_twenty_concurrent_edits_of_a_row_is_in_force) {
  StateCluster cluster;
  cluster.StartReady();
  BOOST_REQUIRE(cluster.Publish(Tables(1)) == 0);
  const LogServiceOptions options{
      .address = chicorystep::Address(cluster.log.Address())};
  const Offset end(1 << 20);
  Config config;
  BOOST_REQUIRE(
      ReplayConfig(options, end, config, [](const auto&, const auto&) {}));
  cluster.SetLogFaults({.lose_append_answers = 10});
  std::vector<std::jthread> operators;
  for (int i = 0; i < 20; ++i) {
    operators.emplace_back([&, i] {
      Route route = config.routes.begin()->second;
      route.max_attempts = 10 + i;
      const LogRecord record{
          Offset{}, RecordId(fmt::format("op-{}", i)),
          EncodeEdit(Edit{"op", {{route.kind, route.revision, route}}, {}})};
      // Each operator repeats its append, as it would after a lost answer.
      (void)AppendOnce(options, ConfigStream(), {record});
      (void)AppendOnce(options, ConfigStream(), {record});
    });
  }
  operators.clear();
  int accepted = 0;
  BOOST_REQUIRE(ReplayConfig(options, end, config,
                             [&](const LogRecord&, const auto& verdict) {
                               accepted += verdict ? 1 : 0;
                             }));
  BOOST_TEST(accepted == 1);
  const auto winner = config.routes.begin()->second.max_attempts;
  BOOST_TEST(
      Eventually([&] { return cluster.AllServe(static_cast<int>(winner)); }));
}

}  // namespace
}  // namespace chicorystep::testing
