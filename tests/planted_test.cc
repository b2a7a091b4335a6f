// Runs the checkers on histories of real processes in which a stand-in or the
// test breaks one promise, and requires that the checker of that promise
// reports a violation.

#define BOOST_TEST_MODULE planted
#include <boost/test/unit_test.hpp>

#include <string>

#include "chicorystep/systems/config/config_stream.h"
#include "tests/support/faults.h"

namespace chicorystep::testing {
namespace {

constexpr std::uint64_t kSeed = 1;

// A fault of the platform that breaks `promise`.
struct InjectedFault {
  std::string name;
  proof::Promise promise;
  void (*inject)(HistoryRun&);
};

void IgnoreStops(HistoryRun& run) {
  for (auto& worker : run.cluster.workers) {
    const std::scoped_lock lock(worker.standin.mutex);
    worker.standin.faults.ignore_stops = true;
  }
}

// One of two workers keeps its piece running after the gang is cancelled.
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
  InjectExecutorFaults(run, {.swap_answers = 2});
}
void DenyExecutions(HistoryRun& run) {
  // Every attempt is denied, so that the refusal reaches the caller.
  InjectExecutorFaults(run, {.deny_executions = 1000});
}
void ExecuteTwice(HistoryRun& run) {
  InjectExecutorFaults(run, {.execute_twice = 20});
}

void HideLeaving(HistoryRun& run) {
  run.cluster.instances.standin.lag = std::chrono::hours(1);
  proof::Record(run.recorder, [&](proof::History& history) {
    history.leaving.push_back(
        {proof::TimeNow(), proof::TargetId("executor-0")});
  });
  Pause(proof::Bounds{}.leaving + milliseconds(1500));
}

// The platform kills an entry process 50 ms after the signal to stop.
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

// The log loses an accepted edit, and every entry that has read it is killed.
void LoseEdit(HistoryRun& run) {
  BOOST_REQUIRE(Eventually([&] { return PublishEdit(run, 1, 50); }));
  const Revision lost = proof::Snapshot(run.recorder).edits.back().revision;
  BOOST_REQUIRE(Eventually([&] {
    return proof::Snapshot(run.recorder).revisions.back().revision == lost;
  }));
  DropLastRecord(run.cluster.log.standin, ConfigStream());
  run.cluster.entries.clear();
  run.cluster.entries.resize(kRunEntries);
  BOOST_REQUIRE(Eventually([&] { return PublishEdit(run, 1, 60); }));
  run.cluster.StartAll();
  BOOST_REQUIRE(Eventually([&] { return run.cluster.AllReady(); }));
}

const std::vector<InjectedFault> kInjectedFaults = {
    {"workers ignore stops", proof::Promise::kGuaranteeReclaimed, IgnoreStops},
    {"one worker ignores stops", proof::Promise::kGangWhole, RunInPart},
    {"executors swap answers", proof::Promise::kAnswerWhole, SwapAnswers},
    {"executors deny what they ran", proof::Promise::kNotRunTrue,
     DenyExecutions},
    {"executors run twice", proof::Promise::kAtMostOnce, ExecuteTwice},
    {"instance list hides that a target leaves", proof::Promise::kLeavingSpared,
     HideLeaving},
    {"entry is killed while it stops", proof::Promise::kStopGraceful,
     KillWhileStopping},
    {"log loses an edit", proof::Promise::kEditInForce, LoseEdit},
};

BOOST_AUTO_TEST_CASE(broken_promises_are_caught) {
  for (const InjectedFault& fault : kInjectedFaults) {
    BOOST_TEST_CONTEXT(fault.name << ", seed " << kSeed) {
      HistoryRun run;
      run.seed = kSeed;
      BOOST_REQUIRE(StartRun(run, 0));
      fault.inject(run);
      SubmitGuaranteedGang(run);
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
