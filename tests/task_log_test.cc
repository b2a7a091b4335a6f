// What the log says of each start and end of a run, so that a task that ran
// twice can be traced.
#define BOOST_TEST_MODULE task_log
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "chicorystep/systems/task_reports.h"
#include "chicorystep/systems/task_worker_clock.h"
#include "chicorystep/systems/task_workers.h"
#include "tests/support/emulation.h"
#include "tests/support/log_capture.h"

namespace chicorystep {
namespace {

constexpr WorkflowTime kNow{.now = TimePoint(seconds(1000)),
                            .wall = UnixMillis(5'000'000)};
const TaskKey kTask{Emulation::MakeId(1), Occurrence(0), StepIndex(0),
                    TaskIndex(0)};
const WorkerId kWorker("w0");
constexpr RunNumber kRun(3);
constexpr WorkerIncarnation kIncarnation(2);

// Makes a holder's world in which the tables place `task` on the worker w0, of
// incarnation 2.
WorkflowWorld MakeWorld(const Task& task) {
  WorkflowWorld world;
  world.config = Emulation::MakeConfig(1);
  world.holding.state = HoldingState::kHolding;
  world.holding.own_epoch = Epoch(1);
  TaskWorker worker{.listing = {.id = kWorker, .incarnation = kIncarnation},
                    .fenced = true};
  if (HoldsCapacity(task.state) && task.worker == kWorker) {
    worker.tasks[kTask] = task.run;
  }
  Workflow workflow;
  workflow.spec.steps = {MakeStep(1, 1)};
  workflow.runs = {StepRun{.tasks = {task}}};
  world.workflows.insert(kTask.workflow, workflow);
  world.scheduling.open.insert(kTask.workflow);
  world.scheduling.workers.insert(kWorker, worker);
  return world;
}

// A task that the tables place on w0.
Task MakeTask(TaskState state) {
  return Task{.state = state,
              .run = kRun,
              .worker = kWorker,
              .incarnation = kIncarnation,
              .since = kNow.now - milliseconds(500)};
}

// Applies what a worker answers to an order.
void ApplyResult(WorkflowWorld& world, OrderResult result) {
  result.worker = kWorker;
  result.fence = MakeFence(Epoch(1), 0);
  result.sent = kNow.now;
  result.answered = kNow.now;
  ApplyOrderResults(world, {.order_results = {result}}, kNow);
}

// Checks the lines of an event, without what comes before its name. Without
// `expected` there must be none.
void CheckLine(const LogCapture& log,
               const std::string& event,
               const std::string& expected) {
  const std::vector<std::string> lines = log.Find(event);
  BOOST_TEST(lines.size() == (expected.empty() ? 0U : 1U));
  if (!lines.empty()) {
    BOOST_TEST(lines[0] == expected);
  }
}

// An end that the worker reports, what the tables have of the task, and what is
// logged: one of both events, or neither.
struct EndCase {
  std::string name;
  Task task;
  EndReport end;
  EndNumber applied;
  // Fields of `run_ended`.
  std::string placed;
  // The line `end_not_placed`.
  std::string not_placed;
};

EndReport MakeEnd(RunNumber run, const WorkflowId& workflow = kTask.workflow) {
  TaskKey key = kTask;
  key.workflow = workflow;
  return EndReport{
      .number = EndNumber(5), .task = key, .run = run, .end = RunEnd::kDone};
}

Task OnAnotherWorker() {
  Task task = MakeTask(TaskState::kRunning);
  task.worker = WorkerId("w1");
  return task;
}

const std::vector<EndCase> kEndCases = {
    {"of the run that is placed there", MakeTask(TaskState::kRunning),
     MakeEnd(kRun), EndNumber(),
     " worker=w0 worker_zone=\"\" incarnation=2 "
     "number=5 end=done ran_ms=500 ",
     ""},
    {"of an earlier run", MakeTask(TaskState::kRunning), MakeEnd(RunNumber(2)),
     EndNumber(), "",
     "end_not_placed workflow=0000000000000001 step=0 task=0 run=2 worker=w0 "
     "incarnation=2 number=5 end=done table_run=3 table_worker=w0 "
     "table_state=running"},
    {"of a task that is placed elsewhere", OnAnotherWorker(), MakeEnd(kRun),
     EndNumber(), "",
     "end_not_placed workflow=0000000000000001 step=0 task=0 run=3 worker=w0 "
     "incarnation=2 number=5 end=done table_run=3 table_worker=w1 "
     "table_state=running"},
    {"of a task that is done", MakeTask(TaskState::kDone), MakeEnd(kRun),
     EndNumber(), "",
     "end_not_placed workflow=0000000000000001 step=0 task=0 run=3 worker=w0 "
     "incarnation=2 number=5 end=done table_run=3 table_worker=w0 "
     "table_state=done"},
    {"of an unknown workflow", MakeTask(TaskState::kRunning),
     MakeEnd(kRun, Emulation::MakeId(2)), EndNumber(), "",
     "end_not_placed workflow=0000000000000002 step=0 task=0 run=3 worker=w0 "
     "incarnation=2 number=5 end=done table_run=\"\" table_worker=\"\" "
     "table_state=\"\""},
    {"that was applied before", MakeTask(TaskState::kRunning),
     MakeEnd(RunNumber(2)), EndNumber(5), "", ""},
};

// Guards against an end that a holder acknowledges without any line about it
// (issue 42).
BOOST_AUTO_TEST_CASE(each_end_is_logged_when_it_is_applied) {
  for (const EndCase& sample : kEndCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const LogCapture log;
      WorkflowWorld world = MakeWorld(sample.task);
      world.scheduling.workers.find(kWorker)->applied_ends = sample.applied;
      ApplyResult(world, OrderResult{.outcome = OrderOutcome::kDone,
                                     .incarnation = kIncarnation,
                                     .ended = {sample.end}});
      const auto placed = log.Find("run_ended");
      BOOST_TEST(placed.size() == (sample.placed.empty() ? 0U : 1U));
      if (!placed.empty()) {
        BOOST_TEST(placed[0].find(sample.placed) != std::string::npos,
                   placed[0]);
      }
      CheckLine(log, "end_not_placed", sample.not_placed);
    }
  }
}

// The answer to a hold that acknowledges ends, and the line about it.
struct AcknowledgementCase {
  std::string name;
  OrderResult answer;
  std::string line;
};

const std::vector<AcknowledgementCase> kAcknowledgementCases = {
    {"answered",
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kDone,
      .incarnation = kIncarnation},
     "ends_acknowledged worker=w0 incarnation=2 number=4"},
    {"answered by another incarnation",
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kDone,
      .incarnation = WorkerIncarnation(6)},
     "ends_acknowledged worker=w0 incarnation=6 number=4"},
    {"not answered",
     {.acknowledged = EndNumber(4), .outcome = OrderOutcome::kUnknown},
     ""},
    {"rejected",
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kUnhealthy,
      .incarnation = kIncarnation},
     ""},
    {"answered, without an acknowledgement",
     {.outcome = OrderOutcome::kDone, .incarnation = kIncarnation},
     ""},
};

// Guards against an end of which no log says who acknowledged it (issue 42).
BOOST_AUTO_TEST_CASE(answered_acknowledgements_are_logged) {
  for (const AcknowledgementCase& sample : kAcknowledgementCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const LogCapture log;
      WorkflowWorld world = MakeWorld(MakeTask(TaskState::kWaiting));
      ApplyResult(world, sample.answer);
      CheckLine(log, "ends_acknowledged", sample.line);
    }
  }
}

}  // namespace
}  // namespace chicorystep
