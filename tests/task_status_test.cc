#define BOOST_TEST_MODULE task_status
#include "chicorystep/systems/workflows/task_status.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "chicorystep/encoding/workflow_dump.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

const WorkflowId kId = Emulation::MakeId(1);

// Makes a holder's world with one worker and a workflow of two steps. The
// second depends on the first, and neither has begun.
WorkflowWorld MakeWorld() {
  WorkflowWorld world;
  world.config = Emulation::MakeConfig(1);
  world.holding.state = HoldingState::kHolding;
  const WorkerListing listing{
      .id = WorkerId("w0"),
      .service = Service("service"),
      .capacity =
          Capacity{Accelerators(8), Millicores(32'000), Mebibytes(131'072)},
      .labels = {"fast"}};
  world.scheduling.workers.insert(
      listing.id, TaskWorker{.listing = listing, .fenced = true});
  Workflow workflow;
  workflow.spec.steps = {MakeStep(2, 1), MakeStep(2, 1)};
  workflow.spec.steps[1].depends_on = {StepIndex(0)};
  workflow.terms.service = Service("service");
  for (std::uint32_t i = 0; i < 2; ++i) {
    StepRun run{.step = StepIndex(i)};
    run.tasks.resize(2);
    workflow.runs.push_back(run);
  }
  world.workflows.insert(kId, workflow);
  return world;
}

void SetStepState(Workflow& workflow, std::size_t step, TaskState state) {
  for (Task& task : workflow.runs[step].tasks) {
    task.state = state;
    task.last_running = TimePoint{};
  }
  workflow.runs[step].done =
      state == TaskState::kDone
          ? static_cast<std::uint32_t>(workflow.runs[step].tasks.size())
          : 0;
}

struct StatusCase {
  std::string name;
  std::function<void(WorkflowWorld&, Workflow&, TaskWorker&)> change;
  WaitReason reason;
};

const std::vector<StatusCase> kStatusCases = {
    {"the worker is full", [](auto&, auto&, auto&) {},
     WaitReason::kFreeCapacity},
    {"another entry is the holder",
     [](auto& world, auto&, auto&) {
       world.holding.state = HoldingState::kFollowing;
     },
     WaitReason::kHolder},
    {"no occurrence has begun",
     [](auto&, auto& workflow, auto&) { workflow.runs.clear(); },
     WaitReason::kDueTime},
    {"the first step runs",
     [](auto&, auto& workflow, auto&) {
       SetStepState(workflow, 0, TaskState::kRunning);
     },
     WaitReason::kEarlierSteps},
    {"the first step is done",
     [](auto&, auto& workflow, auto&) {
       SetStepState(workflow, 0, TaskState::kDone);
     },
     WaitReason::kFreeCapacity},
    {"all tasks run or are done",
     [](auto&, auto& workflow, auto&) {
       SetStepState(workflow, 0, TaskState::kDone);
       SetStepState(workflow, 1, TaskState::kRunning);
     },
     WaitReason::kNothing},
    {"the workflow has ended",
     [](auto&, auto& workflow, auto&) {
       workflow.shown = WorkflowState::kCancelled;
     },
     WaitReason::kNothing},
    {"a label that no worker has",
     [](auto&, auto& workflow, auto&) {
       workflow.spec.steps[0].required_label = "slow";
     },
     WaitReason::kSuitableWorker},
    {"a label that the worker has",
     [](auto&, auto& workflow, auto&) {
       workflow.spec.steps[0].required_label = "fast";
     },
     WaitReason::kFreeCapacity},
    {"the only worker is draining",
     [](auto&, auto&, auto& worker) { worker.listing.draining = true; },
     WaitReason::kSuitableWorker},
    {"no worker of the service",
     [](auto&, auto& workflow, auto&) {
       workflow.terms.service = Service("open");
     },
     WaitReason::kSuitableWorker},
    {"larger than any worker",
     [](auto&, auto& workflow, auto&) {
       workflow.spec.steps[0].need.accelerators = Accelerators(9);
     },
     WaitReason::kLargerWorker},
    {"room on a worker that is excluded",
     [](auto&, auto&, auto& worker) {
       worker.free = worker.listing.capacity;
       worker.excluded_until = TimePoint(seconds(1));
     },
     WaitReason::kUsableWorker},
    {"room on a worker that this holder has not read",
     [](auto&, auto&, auto& worker) {
       worker.free = worker.listing.capacity;
       worker.fenced = false;
     },
     WaitReason::kUsableWorker},
    {"room that is kept for other work",
     [](auto&, auto&, auto& worker) { worker.free = worker.listing.capacity; },
     WaitReason::kReservation},
    {"room for a gang, but not in one rack",
     [](auto&, auto& workflow, auto& worker) {
       worker.free = worker.listing.capacity;
       workflow.spec.steps[0].gang = workflow.spec.steps[0].same_rack = true;
     },
     WaitReason::kOneRack},
    {"room for one member of a gang",
     [](auto&, auto& workflow, auto& worker) {
       worker.free = workflow.spec.steps[0].need;
       workflow.spec.steps[0].gang = true;
     },
     WaitReason::kFreeCapacity},
    {"as many tasks on the worker as the step allows",
     [](auto&, auto& workflow, auto& worker) {
       worker.free = worker.listing.capacity;
       workflow.spec.steps[0].max_per_worker = 1;
     },
     WaitReason::kSpread},
    {"another member of the gang is being stopped",
     [](auto&, auto& workflow, auto&) {
       workflow.spec.steps[0].gang = true;
       workflow.runs[0].tasks[1].state = TaskState::kStopping;
     },
     WaitReason::kStopConfirmed},
    {"another member of the gang has a placement to be dropped",
     [](auto&, auto& workflow, auto&) {
       workflow.spec.steps[0].gang = true;
       workflow.runs[0].tasks[1].state = TaskState::kRunning;
       workflow.runs[0].tasks[1].last_running = TimePoint{};
     },
     WaitReason::kGangMembers},
    {"the placement is not recorded",
     [](auto&, auto& workflow, auto&) {
       SetStepState(workflow, 0, TaskState::kPlaced);
     },
     WaitReason::kRecord},
    {"the start is queued",
     [](auto&, auto& workflow, auto& worker) {
       SetStepState(workflow, 0, TaskState::kStarting);
       workflow.runs[0].tasks[0].worker = worker.listing.id;
       worker.orders.push_back(WorkerOrder{.kind = OrderKind::kStart,
                                           .task = TaskKey{.workflow = kId}});
     },
     WaitReason::kStartSent},
    {"the start is not confirmed",
     [](auto&, auto& workflow, auto& worker) {
       SetStepState(workflow, 0, TaskState::kStarting);
       workflow.runs[0].tasks[0].worker = worker.listing.id;
     },
     WaitReason::kStartConfirmed},
    {"the stop is not confirmed",
     [](auto&, auto& workflow, auto&) {
       SetStepState(workflow, 0, TaskState::kStopping);
     },
     WaitReason::kStopConfirmed},
    {"the previous holder recorded the run, and the worker has not reported it",
     [](auto&, auto& workflow, auto&) {
       for (Task& task : workflow.runs[0].tasks) {
         task.state = TaskState::kRunning;
       }
     },
     WaitReason::kReport},
};

BOOST_AUTO_TEST_CASE(reason_names_what_is_missing) {
  for (const StatusCase& sample : kStatusCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      sample.change(world, *world.workflows.find(kId),
                    *world.scheduling.workers.find(WorkerId("w0")));
      const WaitReason reason =
          FindWaitReason(world, kId, *world.workflows.find(kId), TimePoint{});
      BOOST_TEST(EnumName(reason) == EnumName(sample.reason));
      const std::string shown =
          "\"waits_for\": \"" + std::string(EnumName(sample.reason)) + "\"";
      const std::string dump = DumpWorkflowWorld(world, TimePoint{});
      BOOST_TEST((dump.find(shown) != std::string::npos) ==
                 !IsTerminal(world.workflows.find(kId)->shown));
    }
  }
}

// A workflow of which nothing runs, and the ages that are observed over time.
struct ObservedCase {
  std::string name;
  std::function<void(Workflow&)> change;
  std::map<WaitReason, Duration> oldest;
};

const std::vector<ObservedCase> kObservedCases = {
    {"ready since the beginning",
     [](Workflow&) {},
     {{WaitReason::kFreeCapacity, seconds(5)}}},
    {"its newest run was reported 3 s ago",
     [](Workflow& workflow) {
       for (Task& task : workflow.runs[0].tasks) {
         task.last_running = TimePoint(seconds(2));
       }
     },
     {{WaitReason::kFreeCapacity, seconds(3)}}},
    {"all tasks that are ready run",
     [](Workflow& workflow) {
       SetStepState(workflow, 0, TaskState::kRunning);
       for (Task& task : workflow.runs[0].tasks) {
         task.last_running = TimePoint(seconds(4));
       }
     },
     {}},
    {"cancelled",
     [](Workflow& workflow) { workflow.cancel_requested = true; },
     {}},
};

BOOST_AUTO_TEST_CASE(oldest_ready_tasks_are_observed_by_reason) {
  for (const ObservedCase& sample : kObservedCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      Workflow& workflow = *world.workflows.find(kId);
      workflow.runs[0].ready_since = TimePoint{};
      world.scheduling.open.insert(kId);
      sample.change(workflow);
      ObserveWaits(world, WorkflowTime{.now = TimePoint(seconds(5))});
      BOOST_TEST((world.scheduling.oldest_waits == sample.oldest));
    }
  }
}

}  // namespace
}  // namespace chicorystep
