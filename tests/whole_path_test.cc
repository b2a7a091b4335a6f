#define BOOST_TEST_MODULE whole_path
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "chicorystep/systems/cells/job_records.h"
#include "tests/support/cluster.h"

namespace chicorystep::testing {
namespace {

// Three entries in three zones that serve the published configuration tables.
struct ReadyCluster : Cluster {
  ReadyCluster() : Cluster(3, 3, 2) {
    this->StartAll();
    BOOST_REQUIRE(Eventually([&] { return this->AllReady(); }));
    BOOST_REQUIRE_EQUAL(this->Publish(kTables), 0);
    for (std::size_t i = 0; i < 3; ++i) {
      BOOST_REQUIRE(Eventually([&] {
        const auto response = this->Caller(i)->Post(
            "/v1/requests/echo", CallHeaders("warm-up"), "x", "text/plain");
        return response && response->status == 200;
      }));
    }
  }

  // Requests the state of a job from one entry.
  std::optional<JobState> GetJobState(std::size_t entry,
                                      const std::string& job) {
    const auto response =
        this->Caller(entry)->Get("/v1/jobs/" + job, CallHeaders("-"));
    if (!response || response->status != 200) {
      return std::nullopt;
    }
    const auto status = DecodeJobStatus(response->body);
    return status ? std::optional(status.value().state) : std::nullopt;
  }
};

// A caller's request and the expected answer.
struct RequestCase {
  std::string name;
  std::string kind;
  std::string workspace;
  std::string id;
  std::string body;
  int status;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& stream, const RequestCase& value) {
  return stream << value.name;
}

const std::vector<RequestCase> kRequestCases = {
    {"served", "echo", "w1", "r1", "hello", 200, "ran"},
    {"empty body", "echo", "w1", "r2", "", 200, "ran"},
    {"binary body", "echo", "w1", "r3", std::string("\0\xff\r\n\r\n", 6), 200,
     "ran"},
    {"not idempotent", "dispatch", "w1", "r4", "go", 200, "ran"},
    {"unknown kind", "nothing", "w1", "r5", "x", 404, "not_run"},
    {"unknown workspace", "echo", "w9", "r6", "x", 403, "not_run"},
    {"bad id", "echo", "w1", "a b", "x", 400, "not_run"},
    {"too large for the route", "dispatch", "w1", "r7",
     std::string(65 << 10, 'x'), 413, "not_run"},
};

BOOST_AUTO_TEST_CASE(requests_are_served_or_refused_by_every_entry) {
  ReadyCluster cluster;
  for (const RequestCase& sample : kRequestCases) {
    for (std::size_t entry = 0; entry < 3; ++entry) {
      BOOST_TEST_CONTEXT(sample.name << " through entry " << entry) {
        // Each entry gets its own request id: a repeat of an id through another
        // entry must not run again, which at_most_once_test checks.
        const std::string id = fmt::format("{}-{}", sample.id, entry);
        const auto response = cluster.Caller(entry)->Post(
            "/v1/requests/" + sample.kind, CallHeaders(id, sample.workspace),
            sample.body, "application/octet-stream");
        BOOST_REQUIRE(response);
        BOOST_TEST(response->status == sample.status);
        BOOST_TEST(response->get_header_value("Outcome") == sample.outcome);
        if (sample.status == 200) {
          BOOST_TEST(response->body == sample.body);
          BOOST_TEST(response->get_header_value("Request-Id") == id);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(gang_runs_all_pieces_and_ends_once) {
  ReadyCluster cluster;
  const JobSpec spec{.kind = Kind("train"),
                     .shape = Shape{.pieces = 2,
                                    .accelerators = Accelerators{8},
                                    .processors = Millicores{4000},
                                    .memory = Mebibytes{1024},
                                    .adjacency = Adjacency::kRack},
                     .command = "run-ms=200"};
  std::string job;
  BOOST_REQUIRE(Eventually([&] {
    const auto response = cluster.Caller(0)->Post(
        "/v1/jobs", CallHeaders("gang-1"), EncodeJobSpec(spec), kJsonType);
    if (!response || response->status != 202) {
      return false;
    }
    job = DecodeJobStatus(response->body).value().id.value;
    return true;
  }));
  for (std::size_t entry = 0; entry < 3; ++entry) {
    BOOST_TEST(Eventually(
        [&] { return cluster.GetJobState(entry, job) == JobState::kDone; }));
  }
  for (auto& worker : cluster.workers) {
    // The lease of a finished piece is released once the job's end is durable.
    BOOST_TEST(Eventually([&] {
      const std::scoped_lock lock(worker.standin.mutex);
      return worker.standin.leases.empty();
    }));
    const std::scoped_lock lock(worker.standin.mutex);
    std::vector<PieceState> states;
    for (const TaskEvent& event : worker.standin.events) {
      states.push_back(event.state);
    }
    BOOST_TEST(
        (states == std::vector{PieceState::kRunning, PieceState::kDone}));
  }
}

BOOST_AUTO_TEST_CASE(planned_stop_under_load_cuts_off_no_request) {
  ReadyCluster cluster;
  for (auto& executor : cluster.executors) {
    const std::scoped_lock lock(executor.standin.mutex);
    executor.standin.run_time = std::chrono::milliseconds(20);
  }
  // Emulates the load balancer, which sends to entry 0 only while it is ready.
  std::atomic<bool> entry_0_ready = true;
  std::atomic<bool> finished = false;
  std::jthread balancer([&] {
    while (!finished) {
      entry_0_ready = cluster.IsReady(0);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  constexpr int kCallers = 8;
  std::atomic<int> answered = 0;
  std::atomic<int> failed = 0;
  std::vector<std::jthread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; !finished; ++n) {
        const auto response =
            cluster.Caller(entry_0_ready ? 0 : 1)
                ->Post("/v1/requests/dispatch",
                       CallHeaders(fmt::format("stop-{}-{}", i, n)), "x",
                       "text/plain");
        const bool is_complete =
            response && response->status == 200 && response->body == "x";
        ++(is_complete ? answered : failed);
      }
    });
  }
  BOOST_TEST(Eventually([&] { return answered > 100; }));
  cluster.entries[0]->Signal(SIGTERM);
  BOOST_TEST(cluster.entries[0]->Wait() == 0);
  const int answered_at_exit = answered;
  BOOST_TEST(Eventually([&] { return answered > answered_at_exit + 50; }));
  finished = true;
  callers.clear();
  BOOST_TEST(failed == 0);
}

}  // namespace
}  // namespace chicorystep::testing
