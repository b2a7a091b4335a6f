// What the log says of each start and end of a run, so that a task that ran
// twice can be traced.
#define BOOST_TEST_MODULE task_log
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "chicorystep/systems/workflows/task_reports.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/task_workers.h"
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
  bool gang = false;
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
    {"of a member of a gang that is done", MakeTask(TaskState::kDone),
     MakeEnd(kRun), EndNumber(), "", "", true},
    {"of an earlier run of such a member", MakeTask(TaskState::kDone),
     MakeEnd(RunNumber(2)), EndNumber(), "",
     "end_not_placed workflow=0000000000000001 step=0 task=0 run=2 worker=w0 "
     "incarnation=2 number=5 end=done table_run=3 table_worker=w0 "
     "table_state=done",
     true},
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
      world.workflows.find(kTask.workflow)->spec.steps[0].gang = sample.gang;
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

// The answer to a hold that acknowledges ends, after an end of some number that
// the tables do not place there, if any, and the line about it.
struct AcknowledgementCase {
  std::string name;
  EndNumber unplaced;
  OrderResult answer;
  std::string line;
};

const std::vector<AcknowledgementCase> kAcknowledgementCases = {
    {"of an end that is not placed",
     EndNumber(4),
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kDone,
      .incarnation = kIncarnation},
     "ends_acknowledged worker=w0 incarnation=2 in_table=2 number=4"},
    {"of an earlier end that is not placed",
     EndNumber(3),
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kDone,
      .incarnation = kIncarnation},
     "ends_acknowledged worker=w0 incarnation=2 in_table=2 number=4"},
    {"before an end that is not placed",
     EndNumber(5),
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kDone,
      .incarnation = kIncarnation},
     ""},
    {"of ends that are placed",
     EndNumber(),
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kDone,
      .incarnation = kIncarnation},
     ""},
    {"answered by another incarnation",
     EndNumber(),
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kDone,
      .incarnation = WorkerIncarnation(6)},
     "ends_acknowledged worker=w0 incarnation=6 in_table=2 number=4"},
    {"not answered",
     EndNumber(4),
     {.acknowledged = EndNumber(4), .outcome = OrderOutcome::kUnknown},
     ""},
    {"rejected",
     EndNumber(4),
     {.acknowledged = EndNumber(4),
      .outcome = OrderOutcome::kUnhealthy,
      .incarnation = kIncarnation},
     ""},
    {"answered, without an acknowledgement",
     EndNumber(4),
     {.outcome = OrderOutcome::kDone, .incarnation = kIncarnation},
     ""},
};

// Guards against an end of which no log says who acknowledged it (issue 42).
BOOST_AUTO_TEST_CASE(answered_acknowledgements_are_logged) {
  for (const AcknowledgementCase& sample : kAcknowledgementCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const LogCapture log;
      WorkflowWorld world = MakeWorld(MakeTask(TaskState::kWaiting));
      world.scheduling.workers.find(kWorker)->unplaced_end = sample.unplaced;
      ApplyResult(world, sample.answer);
      ApplyResult(world, sample.answer);
      CheckLine(log, "ends_acknowledged", sample.line);
    }
  }
}

// What the holder knew of a run that the worker reports as in progress, and the
// line about it, if the report tells more than was logged before.
struct ReportCase {
  std::string name;
  TaskState state;
  WorkerIncarnation placed_on;
  WorkerIncarnation reported_by;
  std::string line;
};

const std::vector<ReportCase> kReportCases = {
    {"its start was answered", TaskState::kRunning, kIncarnation,
     WorkerIncarnation(), ""},
    {"it was reported before", TaskState::kRunning, WorkerIncarnation(1),
     kIncarnation, ""},
    {"its start got no answer", TaskState::kStarting, kIncarnation,
     WorkerIncarnation(),
     "run_reported workflow=0000000000000001 step=0 task=0 run=3 worker=w0 "
     "incarnation=2 placed_on=2 state=starting"},
    {"it was placed on an earlier incarnation", TaskState::kRunning,
     WorkerIncarnation(1), WorkerIncarnation(),
     "run_reported workflow=0000000000000001 step=0 task=0 run=3 worker=w0 "
     "incarnation=2 placed_on=1 state=running"},
    {"an earlier incarnation reported it", TaskState::kStopping, kIncarnation,
     WorkerIncarnation(1),
     "run_reported workflow=0000000000000001 step=0 task=0 run=3 worker=w0 "
     "incarnation=2 placed_on=2 state=stopping"},
};

// Guards against runs of which no log says which process of a restarted worker
// carried out their start (issue 42).
BOOST_AUTO_TEST_CASE(reports_that_show_the_incarnation_of_a_start_are_logged) {
  for (const ReportCase& sample : kReportCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const LogCapture log;
      Task task = MakeTask(sample.state);
      task.incarnation = sample.placed_on;
      task.reported_by = sample.reported_by;
      WorkflowWorld world = MakeWorld(task);
      const OrderResult hold{.outcome = OrderOutcome::kDone,
                             .incarnation = kIncarnation,
                             .running = {{.task = kTask, .run = kRun}}};
      ApplyResult(world, hold);
      ApplyResult(world, hold);
      CheckLine(log, "run_reported", sample.line);
    }
  }
}

// What the tables have of a run when its worker is lost, and the line about it.
struct LossCase {
  std::string name;
  TaskState state;
  WorkerIncarnation reported_by;
  bool start_unconfirmed;
  std::string line;
};

const std::vector<LossCase> kLossCases = {
    {"a run that was reported", TaskState::kRunning, kIncarnation, false,
     "run_given_up workflow=0000000000000001 step=0 task=0 run=3 worker=w0 "
     "incarnation=2 reported_by=2 start_unconfirmed=false state=running "
     "state_ms=500 why=\"all its leases have expired\""},
    {"a run whose start got no answer", TaskState::kStopping,
     WorkerIncarnation(), true,
     "run_given_up workflow=0000000000000001 step=0 task=0 run=3 worker=w0 "
     "incarnation=2 reported_by=0 start_unconfirmed=true state=stopping "
     "state_ms=500 why=\"all its leases have expired\""},
    {"a task without a run", TaskState::kWaiting, WorkerIncarnation(), false,
     ""},
};

// Guards against runs of which no log says that they were given up: the event
// of their worker named none (issue 42).
BOOST_AUTO_TEST_CASE(each_run_that_is_given_up_is_logged) {
  for (const LossCase& sample : kLossCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const LogCapture log;
      Task task = MakeTask(sample.state);
      task.reported_by = sample.reported_by;
      task.start_unconfirmed = sample.start_unconfirmed;
      WorkflowWorld world = MakeWorld(task);
      ReleaseLostTasks(world, kWorker, "all its leases have expired", kNow.now);
      CheckLine(log, "run_given_up", sample.line);
    }
  }
}

// Orders without an answer to a worker that answered a hold a second earlier,
// and when a hold was sent that it answers next, if it does. The number of
// lines that say that the wait for an unknown incarnation has begun, or which
// order it is for, and that it has ended.
struct UnansweredCase {
  std::string name;
  std::vector<OrderKind> orders;
  // How long before the orders their connection was opened.
  Duration connected;
  Duration next_hold;
  std::size_t noted;
  std::size_t settled;
};

const std::vector<UnansweredCase> kUnansweredCases = {
    {"a start on an older connection",
     {OrderKind::kStart},
     seconds(2),
     seconds(1),
     0,
     0},
    {"a start", {OrderKind::kStart}, Duration(), Duration(), 1, 0},
    {"two starts",
     {OrderKind::kStart, OrderKind::kStart},
     Duration(),
     Duration(),
     2,
     0},
    {"two holds",
     {OrderKind::kHold, OrderKind::kHold},
     Duration(),
     Duration(),
     1,
     0},
    {"a start, then a report",
     {OrderKind::kStart},
     Duration(),
     seconds(1),
     1,
     1},
    {"a start, then a report that was asked for before",
     {OrderKind::kStart},
     Duration(),
     -milliseconds(500),
     1,
     0},
    {"a start, then a report after the wait",
     {OrderKind::kStart},
     Duration(),
     seconds(30),
     1,
     0},
};

// Guards against waits for an unknown incarnation that no log mentions.
BOOST_AUTO_TEST_CASE(waits_for_unknown_incarnations_are_logged) {
  for (const UnansweredCase& sample : kUnansweredCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const LogCapture log;
      TaskWorker worker{
          .listing = {.id = kWorker, .incarnation = kIncarnation}};
      NoteIdentified(worker, OrderResult{.sent = kNow.now - seconds(1)});
      for (const OrderKind kind : sample.orders) {
        NoteUnansweredOrder(
            worker,
            OrderResult{.kind = kind,
                        .worker = kWorker,
                        .task = kTask,
                        .run = kRun,
                        .outcome = OrderOutcome::kUnknown,
                        .leases = true,
                        .connected = kNow.now - sample.connected,
                        .sent = kNow.now,
                        .answered = kNow.now + milliseconds(700)},
            seconds(10));
      }
      if (sample.next_hold != Duration()) {
        NoteIdentified(worker,
                       OrderResult{.sent = kNow.now + sample.next_hold,
                                   .answered = kNow.now + sample.next_hold});
      }
      BOOST_TEST(log.Find("order_unanswered").size() == sample.noted);
      BOOST_TEST(log.Find("unanswered_orders_settled").size() ==
                 sample.settled);
    }
  }
}

}  // namespace
}  // namespace chicorystep
