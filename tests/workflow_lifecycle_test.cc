#define BOOST_TEST_MODULE workflow_lifecycle
#include <boost/test/unit_test.hpp>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

// An emulation of 3 entries and 8 workers, run until there is a holder.
struct Fixture {
  Emulation run;

  Fixture() {
    this->run.store.configs.push_back(Emulation::MakeConfig(1));
    this->run.AddWorkers(8);
    this->run.AddEntries(3);
    BOOST_REQUIRE(
        this->run.RunFor(seconds(5), [&] { return this->run.Holder() >= 0; }));
  }
};

// A workflow and the state in which it must end.
struct EndCase {
  std::string name;
  Emulation::Submitted what;
  WorkflowState state;
  // Total number of starts of its tasks.
  std::uint64_t starts;
};

Emulation::Submitted MakeSubmission(std::vector<StepSpec> steps,
                                    std::uint32_t failing_runs = 0) {
  Emulation::Submitted what{.work = milliseconds(300),
                            .failing_runs = failing_runs};
  what.spec.steps = std::move(steps);
  return what;
}

StepSpec After(StepSpec step, std::uint32_t needed) {
  step.depends_on = {StepIndex(needed)};
  return step;
}

Emulation::Submitted MakeTimedSubmission(std::uint32_t times) {
  Emulation::Submitted what = MakeSubmission({MakeStep(2, 1)});
  what.spec.occurrences = times;
  what.spec.first_due = UnixMillis(Emulation::kWallClockStartMs + 2000);
  what.spec.interval = milliseconds(500);
  return what;
}

const std::vector<EndCase> kEndCases = {
    {"one task", MakeSubmission({MakeStep(1, 1)}), WorkflowState::kSucceeded,
     1},
    {"a gang", MakeSubmission({MakeStep(4, 8, true)}),
     WorkflowState::kSucceeded, 4},
    {"steps that depend on each other",
     MakeSubmission(
         {MakeStep(2, 1), After(MakeStep(3, 1), 0), After(MakeStep(1, 1), 1)}),
     WorkflowState::kSucceeded, 6},
    {"a task that fails and then succeeds", MakeSubmission({MakeStep(1, 1)}, 2),
     WorkflowState::kSucceeded, 3},
    {"a task that always fails", MakeSubmission({MakeStep(1, 1)}, 99),
     WorkflowState::kFailed, 3},
    {"a gang that always fails", MakeSubmission({MakeStep(2, 1, true)}, 99),
     WorkflowState::kFailed, 6},
    {"occurrences", MakeTimedSubmission(3), WorkflowState::kSucceeded, 6},
};

BOOST_AUTO_TEST_CASE(workflows_end_as_their_tasks_do) {
  for (const EndCase& sample : kEndCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Fixture fixture;
      Emulation& run = fixture.run;
      const WorkflowId id = Emulation::MakeId(1);
      const ExchangeId call = run.Submit(0, "normal", id, sample.what);
      BOOST_TEST(
          run.RunFor(seconds(30), [&] { return run.AllWorkflowsEnded(); }));
      BOOST_REQUIRE(run.AnswerTo(call).has_value());
      BOOST_TEST((run.AnswerTo(call)->result == CallResult::kOk));
      BOOST_TEST((run.FindTerminalState(id) == sample.state));
      BOOST_TEST(run.starts == sample.starts);
      BOOST_TEST(run.violations.empty());
      // Every end that a worker has reported is acknowledged.
      run.RunFor(seconds(2));
      for (const EmulatedWorker& worker : run.workers) {
        BOOST_TEST(worker.ended.empty());
      }
      // Every entry reports the same state.
      for (int entry = 0; entry < 3; ++entry) {
        const ExchangeId get =
            run.CallWorkflow(entry, CallKind::kGet, "normal", id);
        run.RunFor(seconds(1));
        BOOST_TEST((run.AnswerTo(get)->state == sample.state));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(occurrences_begin_when_due) {
  Fixture fixture;
  Emulation& run = fixture.run;
  run.Submit(0, "normal", Emulation::MakeId(1), MakeTimedSubmission(3));
  run.RunFor(seconds(10));
  BOOST_REQUIRE(run.start_times.size() == 6U);
  for (std::size_t i = 0; i < run.start_times.size(); ++i) {
    const TimePoint due =
        TimePoint(milliseconds(2000 + 500 * static_cast<int>(i / 2)));
    BOOST_TEST((run.start_times[i] >= due));
    BOOST_TEST((run.start_times[i] < due + milliseconds(300)));
  }
}

// When a workflow is cancelled after its submission, and through which entry.
struct CancelCase {
  std::string name;
  Duration after;
  int entry;
  // The holder is killed right after the cancel is acknowledged.
  bool kill_holder;
};

const std::vector<CancelCase> kCancelCases = {
    {"at once", milliseconds(0), 0, false},
    {"while it runs", milliseconds(500), 0, false},
    {"through another entry", milliseconds(500), 2, false},
    {"before a takeover", milliseconds(500), 1, true},
};

BOOST_AUTO_TEST_CASE(cancelled_work_stops_in_time) {
  for (const CancelCase& sample : kCancelCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Fixture fixture;
      Emulation& run = fixture.run;
      const WorkflowId id = Emulation::MakeId(1);
      Emulation::Submitted what = MakeSubmission({MakeStep(6, 2)});
      what.work = seconds(60);
      run.Submit(sample.entry, "bulk", id, what);
      run.RunFor(milliseconds(300) + sample.after);
      const ExchangeId cancel =
          run.CallWorkflow(sample.entry, CallKind::kCancel, "bulk", id);
      run.RunFor(seconds(1), [&] { return run.AnswerTo(cancel).has_value(); });
      BOOST_REQUIRE(run.AnswerTo(cancel).has_value());
      BOOST_TEST((run.AnswerTo(cancel)->result == CallResult::kOk));
      if (sample.kill_holder) {
        run.KillEntry(run.Holder());
      }
      // The shortest bound of any deployment, and the grace period of a stop
      // order.
      run.RunFor(seconds(3) + run.stop_grace);
      BOOST_TEST(run.RunningTasks() == 0U);
      BOOST_TEST((run.FindTerminalState(id) == WorkflowState::kCancelled));
    }
  }
}

BOOST_AUTO_TEST_CASE(ended_workflows_are_evicted_after_their_retention) {
  Fixture fixture;
  Emulation& run = fixture.run;
  for (const auto& entry : run.entries) {
    entry->world.self.status_retention = seconds(20);
  }
  const WorkflowId id = Emulation::MakeId(1);
  run.Submit(0, "normal", id, MakeSubmission({MakeStep(1, 1)}));
  run.RunFor(seconds(20));
  BOOST_TEST((run.FindTerminalState(id) == WorkflowState::kSucceeded));
  run.RunFor(seconds(60));
  for (const auto& entry : run.entries) {
    BOOST_TEST((entry->world.workflows.find(id) == nullptr));
  }
  // Only the holder's claims are left.
  BOOST_TEST(run.store.journal.newest.size() == 1U);
  BOOST_TEST(run.store.progress.newest.size() == 1U);
}

// The speed of a degraded worker, and whether an urgent workflow that runs
// there must move to another worker.
struct DegradedWorkerCase {
  std::string name;
  double speed;
  bool moved;
};

const std::vector<DegradedWorkerCase> kDegradedWorkerCases = {
    {"healthy", 1.0, false},
    {"as slow as measurement noise can make a healthy worker appear", 0.6,
     false},
    {"five times slower", 0.2, true},
    {"making no progress", 0.0, true},
};

BOOST_AUTO_TEST_CASE(urgent_work_leaves_slow_workers) {
  for (const DegradedWorkerCase& sample : kDegradedWorkerCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Fixture fixture;
      Emulation& run = fixture.run;
      Emulation::Submitted what = MakeSubmission({MakeStep(1, 8)});
      what.work = seconds(2);
      what.spec.steps[0].estimate = seconds(2);
      run.Submit(0, "urgent", Emulation::MakeId(1), what);
      run.RunFor(seconds(2), [&] { return run.RunningTasks() > 0; });
      for (EmulatedWorker& worker : run.workers) {
        worker.speed = worker.running.empty() ? 1.0 : sample.speed;
      }
      run.RunFor(seconds(20), [&] { return run.AllWorkflowsEnded(); });
      BOOST_TEST(run.AllWorkflowsEnded());
      BOOST_TEST((run.starts > 1) == sample.moved);
      BOOST_TEST(run.violations.empty());
    }
  }
}

// Workers that reject starts while workflows wait.
struct WaitingCase {
  std::string name;
  bool rejects_starts;
  // Whether another entry holds the role when the workflows are counted.
  bool kill_holder;
  std::int64_t waiting;
};

const std::vector<WaitingCase> kWaitingCases = {
    {"starts are confirmed", false, false, 0},
    {"starts are rejected", true, false, 8},
    {"starts are confirmed, and the holder is killed", false, true, 0},
    {"starts are rejected, and the holder is killed", true, true, 8},
};

// Pattern: a worker that answers reports rejects starts for seconds. Guards
// against workflows that are shown as running before any of their tasks has
// started (review/9).
BOOST_AUTO_TEST_CASE(workflows_wait_until_a_start_is_confirmed) {
  constexpr int kWorkflows = 8;
  for (const WaitingCase& sample : kWaitingCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(1);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      const WorkerId worker = run.workers.front().listing.id;
      // Reports are answered; only starts are rejected.
      run.rejects_starts =
          sample.rejects_starts ? std::set{worker} : std::set<WorkerId>{};
      for (int i = 1; i <= kWorkflows; ++i) {
        Emulation::Submitted what{.work = seconds(20)};
        what.spec.steps = {MakeStep(1, 1)};
        run.Submit(0, "bulk", Emulation::MakeId(i), what);
      }
      run.RunFor(seconds(3));
      if (sample.kill_holder) {
        run.KillEntry(run.Holder());
        run.RunFor(seconds(4));
      }
      for (std::size_t i = 0; i < run.entries.size(); ++i) {
        if (!run.entries[i]->up) {
          continue;
        }
        const ExchangeId count =
            run.Call(static_cast<int>(i),
                     WorkflowCall{.kind = CallKind::kCount, .path = "/bulk/"});
        run.RunFor(seconds(1));
        const auto answer = run.AnswerTo(count);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST((answer->waiting == sample.waiting));
      }
      run.rejects_starts.clear();
      BOOST_TEST(
          run.RunFor(seconds(60), [&] { return run.AllWorkflowsEnded(); }));
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
