#define BOOST_TEST_MODULE shared_state
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/state_cluster.h"

namespace chicorystep::testing {
namespace {

// A fault that is injected while edits are published, and its repair.
struct EditFault {
  std::string name;
  void (*begin)(StateCluster&);
  void (*end)(StateCluster&);
};

const std::vector<EditFault> kEditFaults = {
    {"none", [](StateCluster&) {}, [](StateCluster&) {}},
    {"answers of two appends lost",
     [](StateCluster& cluster) {
       cluster.SetLogFaults({.lose_append_answers = 2});
     },
     [](StateCluster&) {}},
    {"log slow",
     [](StateCluster& cluster) {
       cluster.SetLogFaults({.delay = std::chrono::milliseconds(300)});
     },
     [](StateCluster& cluster) { cluster.SetLogFaults({}); }},
    {"foreign records",
     [](StateCluster& cluster) {
       for (const std::string data : {"", "{}", "\x01\x02", "[[["}) {
         cluster.Append("foreign", data);
       }
     },
     [](StateCluster&) {}},
    {"reader killed",
     [](StateCluster& cluster) {
       cluster.entries[cluster.WaitForSingleReader()].reset();
     },
     [](StateCluster& cluster) {
       for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
         if (!cluster.entries[i]) {
           cluster.StartEntry(i);
         }
       }
     }},
};

BOOST_AUTO_TEST_CASE(edits_come_into_force_in_every_process) {
  StateCluster cluster;
  cluster.StartReady();
  int version = 0;
  for (const EditFault& fault : kEditFaults) {
    BOOST_TEST_CONTEXT(fault.name) {
      fault.begin(cluster);
      for (int i = 0; i < 2; ++i) {
        BOOST_TEST(cluster.Publish(Tables(++version)) == 0);
        BOOST_TEST(Eventually([&] { return cluster.AllServe(version); }));
      }
      fault.end(cluster);
      BOOST_TEST(Eventually([&] { return cluster.AllServe(version); }));
    }
  }
}

BOOST_AUTO_TEST_CASE(frozen_reader_is_replaced_and_resumes_up_to_date) {
  StateCluster cluster;
  cluster.StartReady();
  BOOST_REQUIRE(cluster.Publish(Tables(1, "old")) == 0);
  BOOST_REQUIRE(Eventually([&] { return cluster.AllServe(1); }));
  const std::size_t frozen = cluster.WaitForSingleReader();
  BOOST_REQUIRE(
      Eventually([&] { return cluster.Request(frozen, "old") == 200; }));
  const std::size_t other = (frozen + 1) % 3;

  cluster.entries[frozen]->Signal(SIGSTOP);
  for (int version = 2; version < 5; ++version) {
    BOOST_TEST(cluster.Publish(Tables(version, "new")) == 0);
    BOOST_TEST(Eventually([&] { return cluster.Serves(other, version); }));
  }
  // Waits until the member time-out has passed and another process considers
  // the frozen one dead.
  BOOST_REQUIRE(Eventually([&] {
    const auto state = cluster.FetchState(other);
    for (const json& member : (*state)["members"]) {
      if (member["id"] == cluster.addresses[frozen].id && !member["alive"]) {
        return true;
      }
    }
    return false;
  }));
  cluster.entries[frozen]->Signal(SIGCONT);
  // The route was deleted while the process was frozen, so it must not be
  // served.
  std::set<int> answers;
  BOOST_TEST(Eventually([&] {
    answers.insert(cluster.Request(frozen, "old"));
    return cluster.Serves(frozen, 4);
  }));
  BOOST_TEST(!answers.contains(200));
  BOOST_TEST(Eventually([&] { return cluster.Request(frozen, "new") == 200; }));
}

// A replacement of processes, one by one or together, while the log is up or
// down.
struct ReplaceCase {
  std::string name;
  bool log_down;
  bool one_by_one;
};

const std::vector<ReplaceCase> kReplaceCases = {
    {"one after another", false, true},
    {"all but one at once", false, false},
    {"one after another, log down", true, true},
    {"all but one at once, log down", true, false},
};

BOOST_AUTO_TEST_CASE(replaced_processes_obtain_the_tables) {
  StateCluster cluster;
  cluster.StartReady();
  int version = 0;
  for (const ReplaceCase& sample : kReplaceCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_REQUIRE(cluster.Publish(Tables(++version)) == 0);
      BOOST_REQUIRE(Eventually([&] { return cluster.AllServe(version); }));
      cluster.SetLogFaults({.down = sample.log_down});
      for (std::size_t i = sample.one_by_one ? 0 : 1; i < 3; ++i) {
        cluster.entries[i].reset();
        if (sample.one_by_one) {
          cluster.StartEntry(i);
          BOOST_TEST(Eventually([&] { return cluster.Serves(i, version); }));
        }
      }
      for (std::size_t i = 0; i < 3; ++i) {
        if (!cluster.entries[i]) {
          cluster.StartEntry(i);
        }
      }
      BOOST_TEST(Eventually([&] { return cluster.AllServe(version); }));
      cluster.SetLogFaults({});
    }
  }
}

BOOST_AUTO_TEST_CASE(processes_recover_expired_records_from_a_snapshot) {
  StateCluster cluster;
  // Snapshots are written four times per retention period, so every second.
  cluster.platform_settings = "log_retention = 4s\n";
  cluster.StartReady();
  BOOST_REQUIRE(cluster.Publish(Tables(1)) == 0);
  BOOST_REQUIRE(Eventually([&] { return cluster.AllServe(1); }));
  std::uint64_t covered = 0;
  BOOST_REQUIRE(Eventually([&] {
    covered = (*cluster.FetchState(0))["config"]["snapshot_next"];
    return covered > 0;
  }));
  ExpireRecords(cluster.log.standin, ConfigStream(), Offset(covered));
  for (auto& entry : cluster.entries) {
    entry.reset();
  }
  cluster.StartAll();
  BOOST_TEST(Eventually([&] { return cluster.AllServe(1); }));
  BOOST_TEST(cluster.Publish(Tables(2)) == 0);
  BOOST_TEST(Eventually([&] { return cluster.AllServe(2); }));
}

BOOST_AUTO_TEST_CASE(without_records_or_snapshot_no_process_is_ready) {
  StateCluster cluster(1);
  cluster.Append("a", "{}");
  cluster.Append("b", "{}");
  ExpireRecords(cluster.log.standin, ConfigStream(), Offset(1));
  cluster.StartAll();
  BOOST_REQUIRE(Eventually([&] { return cluster.FetchState(0).has_value(); }));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  BOOST_TEST(!cluster.IsReady(0));
}

}  // namespace
}  // namespace chicorystep::testing
