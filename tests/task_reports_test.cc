#define BOOST_TEST_MODULE task_reports
#include "chicorystep/systems/task_reports.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

constexpr WorkflowTime kNow{.now = TimePoint(seconds(1000)),
                            .wall = UnixMillis(5'000'000)};
const TaskKey kTask{Emulation::MakeId(1), Occurrence(0), StepIndex(0),
                    TaskIndex(0)};
const WorkerId kWorker("w0");
constexpr RunNumber kRun(3);

// A holder's world in which one task is being started on the only worker.
WorkflowWorld MakeWorld() {
  WorkflowWorld world;
  world.config = Emulation::MakeConfig(1);
  world.holding.state = HoldingState::kHolding;
  world.holding.own_epoch = Epoch(1);
  const WorkerListing listing{
      .id = kWorker,
      .service = Service("service"),
      .capacity =
          Capacity{Accelerators(8), Millicores(32'000), Mebibytes(131'072)},
      .life = WorkerLife(1)};
  TaskWorker worker{
      .listing = listing, .free = listing.capacity, .fenced = true};
  worker.tasks[kTask] = kRun;
  Workflow workflow;
  workflow.spec.steps = {MakeStep(1, 1)};
  StepRun run;
  run.tasks = {Task{.state = TaskState::kStarting,
                    .run = kRun,
                    .worker = kWorker,
                    .life = listing.life,
                    .since = kNow.now,
                    .ordered = true}};
  workflow.runs = {run};
  world.workflows.insert(kTask.workflow, workflow);
  world.scheduling.open.insert(kTask.workflow);
  world.scheduling.workers.insert(kWorker, worker);
  return world;
}

// Lets an order end `after` later than the start of the test.
void EndOrder(WorkflowWorld& world, OrderEnded ended, Duration after) {
  ended.worker = kWorker;
  ended.fence = Epoch(1);
  ended.life = WorkerLife(1);
  ended.answered = kNow.now + after;
  WorkflowInbox inbox;
  inbox.orders_ended = {ended};
  ApplyOrdersEnded(world, inbox,
                   WorkflowTime{.now = kNow.now + after, .wall = kNow.wall});
}

OrderEnded Start(OrderOutcome outcome) {
  return OrderEnded{.kind = OrderKind::kStart,
                    .task = kTask,
                    .run = kRun,
                    .outcome = outcome,
                    .sent = kNow.now};
}

const Task& TaskOf(const WorkflowWorld& world) {
  return world.workflows.find(kTask.workflow)->runs[0].tasks[0];
}

bool IsStopQueued(WorkflowWorld& world) {
  const auto& orders = world.scheduling.workers.find(kWorker)->orders;
  return std::any_of(orders.begin(), orders.end(), [](const auto& order) {
    return order.kind == OrderKind::kStop && order.task == kTask &&
           order.run == kRun;
  });
}

// What became of a start each time that it was sent.
struct StartCase {
  std::string name;
  std::vector<OrderOutcome> outcomes;
  TaskState state;
  // The run is stopped, so that no sending of it can take effect any more.
  bool stopped;
};

const std::vector<StartCase> kStartCases = {
    {"done", {OrderOutcome::kDone}, TaskState::kRunning, false},
    {"no room", {OrderOutcome::kNoRoom}, TaskState::kWaiting, false},
    {"too late", {OrderOutcome::kTooLate}, TaskState::kWaiting, false},
    {"unhealthy", {OrderOutcome::kUnhealthy}, TaskState::kWaiting, false},
    {"no answer", {OrderOutcome::kUnknown}, TaskState::kStarting, false},
    {"no answer, then done",
     {OrderOutcome::kUnknown, OrderOutcome::kDone},
     TaskState::kRunning,
     false},
    {"no answer, then no room",
     {OrderOutcome::kUnknown, OrderOutcome::kNoRoom},
     TaskState::kStopping,
     true},
    {"no answer, then unhealthy",
     {OrderOutcome::kUnknown, OrderOutcome::kUnhealthy},
     TaskState::kStopping,
     true},
    {"no answer, then too late",
     {OrderOutcome::kUnknown, OrderOutcome::kTooLate},
     TaskState::kStopping,
     true},
    {"no answer, then an old run",
     {OrderOutcome::kUnknown, OrderOutcome::kOldRun},
     TaskState::kStopping,
     true},
    // The connection may have been opened anew below and the order sent twice.
    {"an old run at once", {OrderOutcome::kOldRun}, TaskState::kStopping, true},
};

BOOST_AUTO_TEST_CASE(a_start_that_may_have_been_carried_out_is_stopped) {
  for (const StartCase& sample : kStartCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      Duration after{};
      for (const OrderOutcome outcome : sample.outcomes) {
        after += milliseconds(100);
        EndOrder(world, Start(outcome), after);
      }
      BOOST_TEST(NameOf(TaskOf(world).state) == NameOf(sample.state));
      BOOST_TEST(IsStopQueued(world) == sample.stopped);
    }
  }
}

// What a hold says after the stop of a doubtful start was answered.
struct DoubtCase {
  std::string name;
  // When the hold was sent, the stop being answered at 300 ms.
  Duration hold_sent;
  std::vector<EndReport> ends;
  TaskState state;
};

const std::vector<DoubtCase> kDoubtCases = {
    {"a good end",
     milliseconds(350),
     {EndReport{.number = EndNumber(1),
                .task = kTask,
                .run = kRun,
                .end = RunEnd::kDone}},
     TaskState::kDone},
    {"a stop",
     milliseconds(350),
     {EndReport{.number = EndNumber(1),
                .task = kTask,
                .run = kRun,
                .end = RunEnd::kStopped}},
     TaskState::kWaiting},
    {"nothing", milliseconds(350), {}, TaskState::kWaiting},
    {"nothing, but it was asked before the stop",
     milliseconds(250),
     {},
     TaskState::kStopping},
};

BOOST_AUTO_TEST_CASE(a_later_hold_clears_a_doubtful_start_up) {
  for (const DoubtCase& sample : kDoubtCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      EndOrder(world, Start(OrderOutcome::kUnknown), milliseconds(100));
      EndOrder(world, Start(OrderOutcome::kOldRun), milliseconds(200));
      OrderEnded stop = Start(OrderOutcome::kDone);
      stop.kind = OrderKind::kStop;
      EndOrder(world, stop, milliseconds(300));
      EndOrder(world,
               OrderEnded{.kind = OrderKind::kHold,
                          .outcome = OrderOutcome::kDone,
                          .sent = kNow.now + sample.hold_sent,
                          .ended = sample.ends},
               milliseconds(400));
      BOOST_TEST(NameOf(TaskOf(world).state) == NameOf(sample.state));
    }
  }
}

}  // namespace
}  // namespace chicorystep
