// The checkers over live runs: each stand-in can break one promise, and the
// checker of that promise must catch it.

#define BOOST_TEST_MODULE planted
#include <boost/test/unit_test.hpp>

#include <string>

#include "chicorystep/systems/config_stream.h"
#include "tests/support/faults.h"

namespace chicorystep::testing {
namespace {

constexpr std::uint64_t kSeed = 1;

// A run in which the platform breaks `promise`.
struct PlantedFault {
  std::string name;
  proof::Promise promise;
  void (*plant)(HistoryRun&);
};

void IgnoreStops(HistoryRun& run) {
  for (auto& worker : run.cluster.workers) {
    const std::scoped_lock lock(worker.standin.mutex);
    worker.standin.faults.ignore_stops = true;
  }
}

// One of two workers goes on with its piece when the gang is cancelled.
void RunInPart(HistoryRun& run) {
  const JobId job = proof::Snapshot(run.recorder).jobs.front().job;
  for (auto& worker : run.cluster.workers) {
    const std::scoped_lock lock(worker.standin.mutex);
    for (const auto& [id, lease] : worker.standin.leases) {
      worker.standin.faults.ignore_stops |=
          lease.command.job == job && lease.command.piece == PieceIndex{0};
    }
  }
  (void)Eventually([&] {
    const auto response = run.cluster.Caller(0)->Delete("/v1/jobs/" + job.value,
                                                        CallHeaders("-", "w2"));
    return response && response->status == 200;
  });
  Pause(proof::Bounds{}.partial_gang + milliseconds(1500));
}

void SwapAnswers(HistoryRun& run) {
  PassExecutorFaults(run, {.swap_answers = 2});
}
void DenyExecutions(HistoryRun& run) {
  // Every attempt is denied, so that the refusal reaches the caller.
  PassExecutorFaults(run, {.deny_executions = 1000});
}
void ExecuteTwice(HistoryRun& run) {
  PassExecutorFaults(run, {.execute_twice = 20});
}

void HideLeaving(HistoryRun& run) {
  run.cluster.instances.standin.lag = std::chrono::hours(1);
  proof::Record(run.recorder, [&](proof::History& history) {
    history.leaving.push_back(
        {proof::TimeNow(), proof::TargetId("executor-0")});
  });
  Pause(proof::Bounds{}.leaving + milliseconds(1500));
}

// The platform kills an instance right after it has told it to stop.
void KillWhileStopping(HistoryRun& run) {
  for (auto& executor : run.cluster.executors) {
    const std::scoped_lock lock(executor.standin.mutex);
    executor.standin.run_time = milliseconds(500);
  }
  Pause(milliseconds(700));
  proof::Record(run.recorder, [&](proof::History& history) {
    history.stopping.push_back({proof::TimeNow(), EntryName(0)});
  });
  run.cluster.entries[0]->Signal(SIGTERM);
  Pause(milliseconds(50));
  run.cluster.entries[0]->Signal(SIGKILL);
  const bool clean = run.cluster.entries[0]->Wait() == 0;
  proof::Record(run.recorder, [&](proof::History& history) {
    history.ended.push_back({proof::TimeNow(), EntryName(0), clean});
  });
}

// The log loses an accepted edit, and no instance is left that has seen it.
void ForgetEdit(HistoryRun& run) {
  BOOST_REQUIRE(Eventually([&] { return PublishEdit(run, 1, 50); }));
  const Revision lost = proof::Snapshot(run.recorder).edits.back().revision;
  BOOST_REQUIRE(Eventually([&] {
    return proof::Snapshot(run.recorder).revisions.back().revision == lost;
  }));
  ForgetLastRecord(run.cluster.log.standin, ConfigStream());
  run.cluster.entries.clear();
  run.cluster.entries.resize(kRunEntries);
  BOOST_REQUIRE(Eventually([&] { return PublishEdit(run, 1, 60); }));
  run.cluster.StartAll();
  BOOST_REQUIRE(Eventually([&] { return run.cluster.AllReady(); }));
}

const std::vector<PlantedFault> kPlantedFaults = {
    {"workers ignore stops", proof::Promise::kGuaranteeReclaimed, IgnoreStops},
    {"one worker ignores stops", proof::Promise::kGangWhole, RunInPart},
    {"executors answer other bytes", proof::Promise::kAnswerWhole, SwapAnswers},
    {"executors deny what they ran", proof::Promise::kNotRunTrue,
     DenyExecutions},
    {"executors run twice", proof::Promise::kAtMostOnce, ExecuteTwice},
    {"list hides leaving", proof::Promise::kLeavingSpared, HideLeaving},
    {"kill while stopping", proof::Promise::kStopGraceful, KillWhileStopping},
    {"log forgets an edit", proof::Promise::kEditInForce, ForgetEdit},
};

BOOST_AUTO_TEST_CASE(broken_promises_are_caught) {
  for (const PlantedFault& fault : kPlantedFaults) {
    BOOST_TEST_CONTEXT(fault.name << ", seed " << kSeed) {
      HistoryRun run;
      run.seed = kSeed;
      BOOST_REQUIRE(StartRun(run, 0));
      fault.plant(run);
      DemandGuarantee(run);
      const proof::History history = FinishRun(run);
      for (const proof::Checker& checker : proof::kCheckers) {
        if (checker.promise == fault.promise) {
          BOOST_TEST(
              !checker.check(history, proof::Bounds{}).violations.empty());
        }
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
