#define BOOST_TEST_MODULE task_status
#include "chicorystep/systems/task_status.h"

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
};

BOOST_AUTO_TEST_CASE(reason_names_what_is_missing) {
  for (const StatusCase& sample : kStatusCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      sample.change(world, *world.workflows.find(kId),
                    *world.scheduling.workers.find(WorkerId("w0")));
      const WaitReason reason =
          FindWaitReason(world, *world.workflows.find(kId));
      BOOST_TEST(EnumName(reason) == EnumName(sample.reason));
      const std::string shown =
          "\"waits_for\": \"" + std::string(EnumName(sample.reason)) + "\"";
      const std::string dump = DumpWorkflowWorld(world, TimePoint{});
      BOOST_TEST((dump.find(shown) != std::string::npos) ==
                 !IsTerminal(world.workflows.find(kId)->shown));
    }
  }
}

}  // namespace
}  // namespace chicorystep
