#define BOOST_TEST_MODULE workflow_standstill
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <vector>

#include "chicorystep/systems/workflows/workflow_holder.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

// The number of the workflow that each case observes.
constexpr int kObserved = 100;

// A situation in which a workflow is submitted although something is wrong with
// some workers. Others have room for it.
struct StandstillCase {
  std::string name;
  int workers;
  bool enforces_capacity = true;
  // Runs before the workflow is submitted, and after.
  std::function<void(Emulation&)> before;
  std::function<void(Emulation&)> after;
  StepSpec step;
  Duration work = milliseconds(500);
};

Emulation::Submitted MakeWork(Duration work, const StepSpec& step) {
  Emulation::Submitted what{.work = work};
  what.spec.payload = "p";
  what.spec.steps = {step};
  return what;
}

StepSpec MakeStepInRack(std::uint32_t count,
                        std::int64_t accelerators,
                        const std::string& rack,
                        bool gang = false) {
  StepSpec step = MakeStep(count, accelerators, gang);
  step.data_rack = Rack(rack);
  return step;
}

// Checks that the workflow of the case ends and never stands still for the
// bound.
void RunCase(const StandstillCase& sample) {
  BOOST_TEST_CONTEXT(sample.name) {
    Emulation run;
    run.store.configs.push_back(Emulation::MakeConfig(1));
    run.AddWorkers(sample.workers,
                   Service(sample.enforces_capacity ? "service" : "open"),
                   sample.enforces_capacity);
    run.AddEntries(2);
    BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
    // Leases that the workers had before have expired.
    run.RunFor(seconds(8));
    if (sample.before) {
      sample.before(run);
    }
    run.standstill.emplace();
    const WorkflowId id = Emulation::MakeId(kObserved);
    run.Submit(0, sample.enforces_capacity ? "normal" : "open", id,
               MakeWork(sample.work, sample.step));
    if (sample.after) {
      sample.after(run);
    }
    BOOST_TEST(run.RunFor(seconds(30), [&] {
      return run.FindTerminalState(id) == WorkflowState::kSucceeded;
    }));
    BOOST_TEST_MESSAGE(sample.name << ": stood still for up to "
                                   << WholeMillis(run.standstill->longest)
                                   << " ms");
    for (const std::string& violation : run.standstill->violations) {
      BOOST_ERROR(violation);
    }
    for (const std::string& violation : run.violations) {
      BOOST_ERROR(violation);
    }
  }
}

// Runs a workflow on the first worker, which meanwhile also gets a run that the
// tables do not know. Waits until both have ended.
void EndOrphanedRun(Emulation& run, const std::string& route) {
  run.Submit(0, route, Emulation::MakeId(1),
             MakeWork(milliseconds(500), MakeStep(1, 1)));
  run.RunFor(milliseconds(200));
  const WorkflowId orphan = Emulation::MakeId(2);
  run.submitted[orphan] = MakeWork(seconds(60), MakeStep(1, 1));
  run.workers[0].running[TaskKey{.workflow = orphan}] =
      EmulatedRun{.run = RunNumber(1),
                  .need = MakeStep(1, 1).need,
                  .present_since = run.now,
                  .work = seconds(60)};
  run.RunFor(seconds(5), [&] { return run.RunningTasks() == 0; });
  run.RunFor(seconds(2));
}

const std::vector<StandstillCase> kOrphanCases = {
    {.name = "a worker that enforces its capacity",
     .workers = 1,
     .before = [](Emulation& run) { EndOrphanedRun(run, "normal"); },
     .step = MakeStep(1, 1)},
    {.name = "a worker that does not",
     .workers = 1,
     .enforces_capacity = false,
     .before = [](Emulation& run) { EndOrphanedRun(run, "open"); },
     .step = MakeStep(1, 1)},
};

// Guards against a worker that gets no work any more because its last report
// showed an orphaned run, and because nothing asks an idle worker for another.
BOOST_AUTO_TEST_CASE(workers_are_used_again_after_an_orphaned_run) {
  for (const StandstillCase& sample : kOrphanCases) {
    RunCase(sample);
  }
}

void CutSecondRack(Emulation& run) {
  for (const auto& entry : run.entries) {
    entry->cut_workers = {WorkerId("w8"), WorkerId("w9")};
  }
}

const std::vector<StandstillCase> kSilentCases = {
    {.name = "one task",
     .workers = 10,
     .before = CutSecondRack,
     .step = MakeStepInRack(1, 8, "r1")},
    {.name = "independent tasks",
     .workers = 10,
     .before = CutSecondRack,
     .step = MakeStepInRack(2, 8, "r1")},
    {.name = "a gang",
     .workers = 10,
     .before = CutSecondRack,
     .step = MakeStepInRack(3, 8, "r1", true)},
};

// Waits until the observed task runs in the second rack. Then its worker
// restarts, and no entry reaches the other worker of that rack.
void RestartWorkerAndCutNext(Emulation& run) {
  run.RunFor(milliseconds(500));
  EmulatedWorker& busy = *std::find_if(
      run.workers.begin(), run.workers.end(),
      [](const EmulatedWorker& worker) { return !worker.running.empty(); });
  const WorkerId other(busy.listing.id == WorkerId("w8") ? "w9" : "w8");
  for (const auto& entry : run.entries) {
    entry->cut_workers = {other};
  }
  Restart(busy, run.now);
}

const std::vector<StandstillCase> kSilentAgainCases = {
    {.name = "a task that has run before",
     .workers = 10,
     .after = RestartWorkerAndCutNext,
     .step = MakeStepInRack(1, 8, "r1"),
     .work = seconds(1)},
};

// Guards against a whole lease for the second run of a task on an idle worker
// that does not answer.
BOOST_AUTO_TEST_CASE(work_that_ran_before_passes_idle_workers_too) {
  for (const StandstillCase& sample : kSilentAgainCases) {
    RunCase(sample);
  }
}

// Submits as many workflows as there are workers, each as large as a worker,
// whose runs all fail by their own fault.
void FailRuns(Emulation& run, int rounds) {
  for (int i = 0; i < rounds * 4; ++i) {
    Emulation::Submitted what = MakeWork(milliseconds(100), MakeStep(1, 8));
    what.failing_runs = 3;
    run.Submit(0, "normal", Emulation::MakeId(10 + i), what);
    if (i % 4 == 3) {
      run.RunFor(i + 1 == rounds * 4 ? milliseconds(400) : milliseconds(3500));
    }
  }
}

const std::vector<StandstillCase> kFailingCases = {
    {.name = "one failed workflow for each worker",
     .workers = 4,
     .before = [](Emulation& run) { FailRuns(run, 1); },
     .step = MakeStep(1, 8)},
    {.name = "two failed workflows for each worker",
     .workers = 4,
     .before = [](Emulation& run) { FailRuns(run, 2); },
     .step = MakeStep(1, 8)},
};

// Guards against ready work that waits while every worker is excluded for the
// failures of other work.
BOOST_AUTO_TEST_CASE(ready_work_runs_though_other_work_fails_everywhere) {
  for (const StandstillCase& sample : kFailingCases) {
    RunCase(sample);
  }
}

// Guards against ready work that is placed on one worker after another that
// does not answer, and waits for a whole lease on each.
BOOST_AUTO_TEST_CASE(ready_work_passes_idle_workers_that_do_not_answer) {
  for (const StandstillCase& sample : kSilentCases) {
    RunCase(sample);
  }
}

const std::vector<StandstillCase> kDisplacedCases = {
    {.name = "one task",
     .workers = 10,
     .before =
         [](Emulation& run) {
           run.displaced_workers = {WorkerId("w8"), WorkerId("w9")};
         },
     .step = MakeStepInRack(1, 8, "r1")},
    {.name = "a gang",
     .workers = 10,
     .before =
         [](Emulation& run) {
           run.displaced_workers = {WorkerId("w8"), WorkerId("w9")};
         },
     .step = MakeStepInRack(3, 8, "r1", true)},
};

// Guards against ready work that is placed again and again on a listed worker
// at whose address another process answers.
BOOST_AUTO_TEST_CASE(ready_work_passes_workers_that_another_process_replaced) {
  for (const StandstillCase& sample : kDisplacedCases) {
    RunCase(sample);
  }
}

// Starts a small task in each of the first `racks` racks.
void OccupyRacks(Emulation& run, int racks) {
  for (int rack = 0; rack < racks; ++rack) {
    run.Submit(0, "bulk", Emulation::MakeId(10 + rack),
               MakeWork(seconds(60),
                        MakeStepInRack(1, 1, "r" + std::to_string(rack))));
  }
  run.RunFor(seconds(1));
}

StepSpec MakeRackGang(std::uint32_t count, std::int64_t accelerators) {
  StepSpec step = MakeStep(count, accelerators, true);
  step.same_rack = true;
  return step;
}

const std::vector<StandstillCase> kRackCases = {
    {.name = "a gang as large as a rack, and a task in each rack",
     .workers = 32,
     .before = [](Emulation& run) { OccupyRacks(run, 4); },
     .step = MakeRackGang(8, 8)},
    {.name = "a gang as large as a rack, and a rack without a task",
     .workers = 32,
     .before = [](Emulation& run) { OccupyRacks(run, 3); },
     .step = MakeRackGang(8, 8)},
};

// Guards against a gang that waits for a rack of its own for longer than a
// workflow may stand still.
BOOST_AUTO_TEST_CASE(a_gang_does_not_wait_for_one_rack_for_long) {
  for (const StandstillCase& sample : kRackCases) {
    RunCase(sample);
  }
}

// A worker that is lost while it runs a workflow's only task. The task may run
// on until its lease has expired.
struct LostWorkerCase {
  std::string name;
  std::function<void(Emulation&, EmulatedWorker&)> lose;
  // How long the fault and the takeover last at most.
  Duration fault = seconds(4);
};

EmulatedWorker& FindBusyWorker(Emulation& run) {
  return *std::find_if(
      run.workers.begin(), run.workers.end(),
      [](const EmulatedWorker& worker) { return !worker.running.empty(); });
}

// Claims the holder role for another entry while the present holder is alive.
void FreezeHolder(Emulation& run, Duration time) {
  run.entries[static_cast<std::size_t>(run.Holder())]->frozen_until =
      run.now + time;
}

const std::vector<LostWorkerCase> kLostWorkerCases = {
    {"it crashes",
     [](Emulation&, EmulatedWorker& worker) { worker.up = false; }},
    {"it rejects all orders, and its leases expire",
     [](Emulation& run, EmulatedWorker& worker) {
       run.unhealthy_workers.insert(worker.listing.id);
     }},
    {"it crashes, and the holder is frozen and loses its role",
     [](Emulation& run, EmulatedWorker& worker) {
       FreezeHolder(run, seconds(2));
       worker.up = false;
     }},
    {"the holder is frozen and loses its role, and the worker crashes",
     [](Emulation& run, EmulatedWorker& worker) {
       FreezeHolder(run, seconds(2));
       run.ScheduleAfter(milliseconds(1200), [&] { worker.up = false; });
     }},
    {"it crashes, and the holder is killed and restarted",
     [](Emulation& run, EmulatedWorker& worker) {
       const int holder = run.Holder();
       run.KillEntry(holder);
       worker.up = false;
       run.ScheduleAfter(seconds(1),
                         [&run, holder] { run.StartEntry(holder); });
     }},
    {"it crashes, the holder is killed and restarted, and claims are given up",
     [](Emulation& run, EmulatedWorker& worker) {
       const int holder = run.Holder();
       run.KillEntry(holder);
       worker.up = false;
       run.progress_up = false;
       run.ScheduleAfter(seconds(1),
                         [&run, holder] { run.StartEntry(holder); });
       run.ScheduleAfter(seconds(7), [&run] { run.progress_up = true; });
     },
     seconds(11)},
};

// Guards against tasks that wait for longer than one lease, and the fault that
// comes with it, when their worker is lost.
BOOST_AUTO_TEST_CASE(tasks_of_a_lost_worker_run_elsewhere_after_one_lease) {
  for (const LostWorkerCase& sample : kLostWorkerCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(8);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      run.RunFor(seconds(20));
      const WorkflowId id = Emulation::MakeId(kObserved);
      run.Submit(0, "normal", id, MakeWork(seconds(4), MakeStep(1, 8)));
      run.RunFor(seconds(2));
      BOOST_REQUIRE_EQUAL(run.starts, 1U);
      const TimePoint lost = run.now;
      sample.lose(run, FindBusyWorker(run));
      BOOST_TEST(run.RunFor(seconds(30), [&] { return run.starts == 2; }));
      BOOST_TEST_MESSAGE(sample.name << ": started again after "
                                     << WholeMillis(run.now - lost) << " ms");
      BOOST_TEST(WholeMillis(run.now - lost) <
                 WholeMillis(WorkflowSelf{}.lease + sample.fault));
      BOOST_TEST(
          run.RunFor(seconds(30), [&] { return run.AllWorkflowsEnded(); }));
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
    }
  }
}

// A task of 20 s on one of 8 workers, two seconds after its start.
void StartLongTask(Emulation& run) {
  run.store.configs.push_back(Emulation::MakeConfig(1));
  run.AddWorkers(8);
  run.AddEntries(3);
  BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
  run.RunFor(seconds(20));
  run.Submit(0, "normal", Emulation::MakeId(kObserved),
             MakeWork(seconds(20), MakeStep(1, 8)));
}

// What happens to the task's worker and to the holder. Afterwards no other
// entry reaches the worker.
struct UnreachableRunCase {
  std::string name;
  std::function<void(Emulation&)> happen;
};

// The holder is stopped. Its release is written but the answer is lost, and it
// does not reach the store any more. It is killed when its time is up.
void LoseAnswerToRelease(Emulation& run) {
  run.RunFor(seconds(2));
  const int holder = run.Holder();
  Emulation::Entry& stopped = *run.entries[static_cast<std::size_t>(holder)];
  const WorkerId worker = FindBusyWorker(run).listing.id;
  run.rates.lost_appends = 1000;
  stopped.inbox.stop = true;
  stopped.due = run.now;
  BOOST_REQUIRE(run.RunFor(seconds(1), [&] {
    return std::any_of(
        run.entries.begin(), run.entries.end(), [&](const auto& entry) {
          return entry.get() != &stopped && entry->world.holding.released;
        });
  }));
  run.rates.lost_appends = 0;
  stopped.store_reachable = false;
  for (const auto& entry : run.entries) {
    if (entry.get() != &stopped) {
      entry->cut_workers = {worker};
    }
  }
  run.ScheduleAfter(stopped.world.self.stop_timeout,
                    [&run, holder] { run.KillEntry(holder); });
}

// The start is carried out late, by the worker's next incarnation. The holder
// is killed at once and restarted.
void StartLateOnNextIncarnation(Emulation& run) {
  const int holder = run.Holder();
  run.rates.late_orders = 1000;
  const auto placed = [&]() -> const Task* {
    const Workflow* workflow =
        run.entries[static_cast<std::size_t>(holder)]->world.workflows.find(
            Emulation::MakeId(kObserved));
    return workflow == nullptr || workflow->runs.empty() ||
                   workflow->runs[0].tasks[0].state != TaskState::kStarting
               ? nullptr
               : &workflow->runs[0].tasks[0];
  };
  BOOST_REQUIRE(run.RunFor(seconds(2), [&] { return placed() != nullptr; }));
  EmulatedWorker& worker = *run.FindWorker(placed()->worker);
  run.RunFor(milliseconds(50));
  run.KillEntry(holder);
  run.rates.late_orders = 0;
  for (const auto& entry : run.entries) {
    entry->cut_workers = {worker.listing.id};
  }
  Restart(worker, run.now);
  List(run.store, worker.listing);
  run.ScheduleAfter(seconds(1), [&run, holder] { run.StartEntry(holder); });
}

// The start is carried out by the worker's next incarnation, which is listed
// after the next takeover. The holder reaches neither the store nor any other
// worker, and renews the run's lease for as long as it may.
void RenewOnNextIncarnation(Emulation& run) {
  run.longest_lease = seconds(6);
  for (const auto& entry : run.entries) {
    entry->world.self.longest_lease = run.longest_lease;
  }
  Emulation::Entry& holder =
      *run.entries[static_cast<std::size_t>(run.Holder())];
  const auto placed = [&]() -> const Task* {
    const Workflow* workflow =
        holder.world.workflows.find(Emulation::MakeId(kObserved));
    return workflow == nullptr || workflow->runs.empty() ||
                   workflow->runs[0].tasks[0].state != TaskState::kStarting
               ? nullptr
               : &workflow->runs[0].tasks[0];
  };
  BOOST_REQUIRE(run.RunFor(seconds(2), [&] { return placed() != nullptr; }));
  EmulatedWorker& worker = *run.FindWorker(placed()->worker);
  Restart(worker, run.now);
  BOOST_REQUIRE(
      run.RunFor(milliseconds(100), [&] { return run.starts == 1U; }));
  run.RunFor(milliseconds(500));
  holder.store_reachable = false;
  for (const auto& entry : run.entries) {
    if (entry.get() != &holder) {
      entry->cut_workers = {worker.listing.id};
    }
  }
  // The others would show the holder that it has been superseded.
  for (const EmulatedWorker& other : run.workers) {
    if (other.listing.id != worker.listing.id) {
      holder.cut_workers.insert(other.listing.id);
    }
  }
  run.ScheduleAfter(seconds(4),
                    [&run, &worker] { List(run.store, worker.listing); });
}

const std::vector<UnreachableRunCase> kUnreachableRunCases = {
    {"the answer to the release of a stopping holder is lost",
     LoseAnswerToRelease},
    {"a start is carried out late by the worker's next incarnation",
     StartLateOnNextIncarnation},
    {"the earlier holder renews a run on the worker's next incarnation",
     RenewOnNextIncarnation},
};

// Guards against a second run of a task while a worker that the new holder does
// not reach may still run it.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_out_of_reach_do_not_run_twice) {
  for (const UnreachableRunCase& sample : kUnreachableRunCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      StartLongTask(run);
      const TimePoint began = run.now;
      sample.happen(run);
      run.RunFor(seconds(40), [&] { return run.AllWorkflowsEnded(); });
      for (const TimePoint start : run.start_times) {
        BOOST_TEST_MESSAGE(sample.name << ": started after "
                                       << WholeMillis(start - began) << " ms");
      }
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
    }
  }
}

// Guards against a run that loses its lease because the answer to one hold is
// lost.
BOOST_AUTO_TEST_CASE(a_run_outlasts_the_loss_of_one_answer) {
  Emulation run;
  // As long as the product waits for an answer.
  run.order_timeout = milliseconds(700);
  run.hold_timeout = milliseconds(1600);
  StartLongTask(run);
  BOOST_REQUIRE(run.RunFor(seconds(1), [&] { return run.starts == 1; }));
  const WorkerId worker = FindBusyWorker(run).listing.id;
  run.RunFor(milliseconds(400));
  for (const auto& entry : run.entries) {
    entry->cut_workers = {worker};
  }
  run.RunFor(milliseconds(200));
  for (const auto& entry : run.entries) {
    entry->cut_workers.clear();
  }
  run.RunFor(seconds(10));
  BOOST_TEST(run.starts == 1U);
}

// How the holder connects to a worker on which a long task runs when the answer
// to the start of another one is lost.
struct LostStartAnswerCase {
  std::string name;
  bool connects_anew;
};

const std::vector<LostStartAnswerCase> kLostStartAnswerCases = {
    {"on an open connection", false},
    {"on a new connection", true},
};

// Guards against a worker that isn't asked for a report while an order without
// an answer counts for its next incarnation, so that its leases run out (issue
// 42).
BOOST_AUTO_TEST_CASE(runs_outlast_the_loss_of_the_answer_to_another_start) {
  for (const LostStartAnswerCase& sample : kLostStartAnswerCases) {
    for (int offset = 0; offset < 1000; offset += 50) {
      BOOST_TEST_CONTEXT(sample.name << ", offset " << offset) {
        Emulation run;
        run.connects_anew = sample.connects_anew;
        // As long as the product waits for an answer.
        run.order_timeout = milliseconds(700);
        run.hold_timeout = milliseconds(1600);
        run.store.configs.push_back(Emulation::MakeConfig(1));
        run.AddWorkers(1);
        run.AddEntries(2);
        BOOST_REQUIRE(
            run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
        run.Submit(0, "bulk", Emulation::MakeId(1),
                   MakeWork(seconds(30), MakeStep(1, 1)));
        run.RunFor(milliseconds(2000 + offset));
        BOOST_REQUIRE_EQUAL(run.starts, 1U);
        run.rates.lost_orders = 1000;
        run.Submit(0, "bulk", Emulation::MakeId(kObserved),
                   MakeWork(seconds(3), MakeStep(1, 1)));
        BOOST_REQUIRE(run.RunFor(seconds(1), [&] { return run.starts == 2U; }));
        run.rates.lost_orders = 0;
        run.RunFor(seconds(15));
        BOOST_TEST(run.starts == 2U);
        BOOST_TEST(run.RunningTasks() == 1U);
        BOOST_TEST((run.FindTerminalState(Emulation::MakeId(kObserved)) ==
                    WorkflowState::kSucceeded));
      }
    }
  }
}

// Guards against a holder that ticks all the time while it may not order,
// because some hold is overdue.
BOOST_AUTO_TEST_CASE(a_holder_without_the_store_waits_between_ticks) {
  Emulation run;
  run.store.configs.push_back(Emulation::MakeConfig(1));
  run.AddWorkers(8);
  run.AddEntries(1);
  BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
  run.RunFor(seconds(20));
  run.store_up = false;
  run.RunFor(kConfirmationBound + seconds(20));
  const std::size_t before = run.holder_ticks.size();
  run.RunFor(seconds(10));
  const std::size_t ticks = run.holder_ticks.size() - before;
  BOOST_TEST_MESSAGE(ticks << " ticks in 10 s");
  BOOST_TEST(ticks < 1000U);
}

}  // namespace
}  // namespace chicorystep
