#define BOOST_TEST_MODULE at_most_once
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"

namespace chicorystep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A cluster of three entries that serve requests: the configuration is in force
// and the claim stream has been read to its end.
struct ReadyCluster : Cluster {
  ReadyCluster() : Cluster(3, 3, 0) {
    this->StartAll();
    BOOST_REQUIRE(Eventually([&] { return this->AllReady(); }));
    BOOST_REQUIRE_EQUAL(this->Publish(kTables), 0);
    for (std::size_t i = 0; i < 3; ++i) {
      this->AwaitServing(i);
    }
  }

  void AwaitServing(std::size_t entry) {
    int attempts = 0;
    BOOST_REQUIRE(Eventually([&] {
      return this->Dispatch(entry, fmt::format("warm-{}-{}", entry, ++attempts))
                 .status == 200;
    }));
  }

  [[nodiscard]] httplib::Response Dispatch(std::size_t entry,
                                           const std::string& id) const {
    const auto response = this->Caller(entry)->Post(
        "/v1/requests/dispatch", CallHeaders(id), id, "text/plain");
    return response ? *response : httplib::Response{};
  }

  // The number of executions of the request over all executors.
  std::int64_t Executions(const std::string& id) {
    std::int64_t sum = 0;
    for (auto& executor : this->executors) {
      const std::scoped_lock lock(executor.standin.mutex);
      const auto found = executor.standin.executions.find(RequestId(id));
      sum += found == executor.standin.executions.end() ? 0 : found->second;
    }
    return sum;
  }

  void UpdateExecutors(const std::function<void(ExecutorStandin&)>& change) {
    for (auto& executor : this->executors) {
      const std::scoped_lock lock(executor.standin.mutex);
      change(executor.standin);
    }
  }

  void UpdateLogFaults(const std::function<void(LogFaults&)>& change) {
    const std::scoped_lock lock(this->log.standin.mutex);
    change(this->log.standin.faults);
  }
};

// A fault injected at the executors while the first request runs.
struct RepeatCase {
  std::string name;
  std::function<void(ExecutorStandin&)> fault;
  std::int64_t executions;
  // The outcome reported to repeats of the request.
  std::string outcome;
};

const std::vector<RepeatCase> kRepeatCases = {
    {"answered", [](ExecutorStandin&) {}, 1, "ran"},
    {"answer lost after the effect",
     [](ExecutorStandin& standin) { standin.faults.lose_answers = 1; }, 1,
     "unknown"},
    {"answer crossed",
     [](ExecutorStandin& standin) { standin.faults.cross_answers = 1; }, 1,
     "unknown"},
    {"answer cut short",
     [](ExecutorStandin& standin) { standin.faults.cut_answers = 1; }, 1,
     "unknown"},
};

BOOST_AUTO_TEST_CASE(repeats_through_every_entry_run_once) {
  ReadyCluster cluster;
  for (const RepeatCase& sample : kRepeatCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      cluster.UpdateExecutors([&](ExecutorStandin& standin) {
        standin.faults = ExecutorFaults{};
        sample.fault(standin);
      });
      std::string id = "repeat-" + sample.name;
      std::replace(id.begin(), id.end(), ' ', '-');
      (void)cluster.Dispatch(0, id);
      for (std::size_t entry = 0; entry < 3; ++entry) {
        BOOST_TEST(Eventually([&] {
          const auto repeat = cluster.Dispatch(entry, id);
          return repeat.status == 409 &&
                 repeat.get_header_value("Outcome") == sample.outcome;
        }));
      }
      BOOST_TEST(cluster.Executions(id) == sample.executions);
    }
  }
}

BOOST_AUTO_TEST_CASE(repeats_at_the_same_time_run_once) {
  ReadyCluster cluster;
  cluster.UpdateExecutors(
      [](ExecutorStandin& standin) { standin.run_time = milliseconds(20); });
  constexpr int kRequests = 40;
  for (int n = 0; n < kRequests; ++n) {
    const std::string id = fmt::format("race-{}", n);
    std::atomic<int> answered = 0;
    {
      std::vector<std::jthread> callers;
      for (std::size_t entry = 0; entry < 3; ++entry) {
        callers.emplace_back([&, entry] {
          answered += cluster.Dispatch(entry, id).status == 200 ? 1 : 0;
        });
      }
    }
    BOOST_TEST(answered == 1);
    BOOST_TEST(cluster.Executions(id) == 1);
  }
}

// An entry is killed when `kill_after` has passed since the requests were sent.
// The delays determine the state of the requests at that time.
struct KillCase {
  std::string name;
  // How long the log delays each answer.
  milliseconds log_delay;
  milliseconds run_time;
  milliseconds kill_after;
};

const std::vector<KillCase> kKillCases = {
    {"claim pending", milliseconds(300), milliseconds(0), milliseconds(150)},
    {"claim appended, not read back", milliseconds(300), milliseconds(0),
     milliseconds(450)},
    {"attempt in flight", milliseconds(0), milliseconds(800),
     milliseconds(400)},
};

BOOST_AUTO_TEST_CASE(entry_killed_while_requests_are_claimed) {
  ReadyCluster cluster;
  for (const KillCase& sample : kKillCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      cluster.UpdateExecutors([&](ExecutorStandin& standin) {
        standin.run_time = sample.run_time;
      });
      cluster.UpdateLogFaults(
          [&](LogFaults& faults) { faults.delay = sample.log_delay; });
      constexpr int kRequests = 8;
      const auto id = [&](int n) {
        return fmt::format("kill-{}-{}", sample.kill_after.count(), n);
      };
      {
        std::vector<std::jthread> callers;
        for (int n = 0; n < kRequests; ++n) {
          callers.emplace_back([&, n] { (void)cluster.Dispatch(0, id(n)); });
        }
        std::this_thread::sleep_for(sample.kill_after);
        cluster.entries[0]->Signal(SIGKILL);
        (void)cluster.entries[0]->Wait();
      }
      cluster.UpdateLogFaults([](LogFaults& faults) { faults = LogFaults{}; });
      cluster.UpdateExecutors(
          [](ExecutorStandin& standin) { standin.run_time = {}; });
      cluster.StartEntry(0);
      cluster.AwaitServing(0);
      for (int n = 0; n < kRequests; ++n) {
        for (std::size_t entry : {1U, 2U, 0U}) {
          const auto repeat = cluster.Dispatch(entry, id(n));
          BOOST_TEST((repeat.status == 200 || repeat.status == 409));
        }
        BOOST_TEST(cluster.Executions(id(n)) <= 1);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(claims_whose_answer_was_lost_still_run_once) {
  ReadyCluster cluster;
  cluster.UpdateLogFaults(
      [](LogFaults& faults) { faults.lose_append_answers = 6; });
  for (int n = 0; n < 6; ++n) {
    const std::string id = fmt::format("lost-{}", n);
    BOOST_TEST(cluster.Dispatch(0, id).status == 200);
    BOOST_TEST(cluster.Dispatch(1, id).status == 409);
    BOOST_TEST(cluster.Executions(id) == 1);
  }
}

BOOST_AUTO_TEST_CASE(log_outage_refuses_as_not_run_and_ends) {
  ReadyCluster cluster;
  cluster.UpdateLogFaults([](LogFaults& faults) { faults.down = true; });
  for (int n = 0; n < 3; ++n) {
    const auto refused = cluster.Dispatch(0, fmt::format("outage-{}", n));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.get_header_value("Outcome") == "not_run");
  }
  // Idempotent requests do not need the log.
  const auto echo = cluster.Caller(0)->Post(
      "/v1/requests/echo", CallHeaders("outage-echo"), "x", "text/plain");
  BOOST_REQUIRE(echo);
  BOOST_TEST(echo->status == 200);

  cluster.UpdateLogFaults([](LogFaults& faults) { faults.down = false; });
  cluster.AwaitServing(0);
  for (int n = 0; n < 3; ++n) {
    const std::string id = fmt::format("outage-{}", n);
    BOOST_TEST(cluster.Executions(id) == 0);
    // A request refused as not run may be repeated through any entry.
    BOOST_TEST(
        Eventually([&] { return cluster.Dispatch(1, id).status == 200; }));
    BOOST_TEST(cluster.Executions(id) == 1);
  }
}

}  // namespace
}  // namespace chicorystep::testing
