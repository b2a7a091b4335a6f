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

// Makes a holder's world with one worker, on which one task is being started.
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
      .incarnation = WorkerIncarnation(1)};
  TaskWorker worker{
      .listing = listing, .free = listing.capacity, .fenced = true};
  worker.tasks[kTask] = kRun;
  Workflow workflow;
  workflow.spec.steps = {MakeStep(1, 1)};
  StepRun run;
  run.tasks = {Task{.state = TaskState::kStarting,
                    .run = kRun,
                    .worker = kWorker,
                    .incarnation = listing.incarnation,
                    .since = kNow.now,
                    .order_pending = true}};
  workflow.runs = {run};
  world.workflows.insert(kTask.workflow, workflow);
  world.scheduling.open.insert(kTask.workflow);
  world.scheduling.workers.insert(kWorker, worker);
  return world;
}

// Applies the result of an order at `after` from the start of the test.
void ApplyResult(WorkflowWorld& world, OrderResult result, Duration after) {
  result.worker = kWorker;
  result.fence = Epoch(1);
  result.incarnation = WorkerIncarnation(1);
  result.answered = kNow.now + after;
  WorkflowInbox inbox;
  inbox.order_results = {result};
  ApplyOrderResults(world, inbox,
                    WorkflowTime{.now = kNow.now + after, .wall = kNow.wall});
}

OrderResult MakeStartResult(OrderOutcome outcome) {
  return OrderResult{.kind = OrderKind::kStart,
                     .task = kTask,
                     .run = kRun,
                     .outcome = outcome,
                     .sent = kNow.now};
}

const Task& GetTask(const WorkflowWorld& world) {
  return world.workflows.find(kTask.workflow)->runs[0].tasks[0];
}

bool IsStopQueued(WorkflowWorld& world) {
  const auto& orders = world.scheduling.workers.find(kWorker)->orders;
  return std::any_of(orders.begin(), orders.end(), [](const auto& order) {
    return order.kind == OrderKind::kStop && order.task == kTask &&
           order.run == kRun;
  });
}

// The outcomes of the successive attempts of a start, and the resulting state
// of the task.
struct StartCase {
  std::string name;
  std::vector<OrderOutcome> outcomes;
  TaskState state;
  // Whether the run is stopped, so that no earlier attempt can still take
  // effect.
  bool stopped;
};

const std::vector<StartCase> kStartCases = {
    {"done", {OrderOutcome::kDone}, TaskState::kRunning, false},
    {"no capacity", {OrderOutcome::kNoCapacity}, TaskState::kWaiting, false},
    {"too late", {OrderOutcome::kTooLate}, TaskState::kWaiting, false},
    {"unhealthy", {OrderOutcome::kUnhealthy}, TaskState::kWaiting, false},
    {"no answer", {OrderOutcome::kUnknown}, TaskState::kStarting, false},
    {"no answer, then done",
     {OrderOutcome::kUnknown, OrderOutcome::kDone},
     TaskState::kRunning,
     false},
    {"no answer, then no capacity",
     {OrderOutcome::kUnknown, OrderOutcome::kNoCapacity},
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
    // The transport may have reconnected and sent the order twice.
    {"an old run at the first attempt",
     {OrderOutcome::kOldRun},
     TaskState::kStopping,
     true},
};

BOOST_AUTO_TEST_CASE(a_start_that_may_have_been_carried_out_is_stopped) {
  for (const StartCase& sample : kStartCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      Duration after{};
      for (const OrderOutcome outcome : sample.outcomes) {
        after += milliseconds(100);
        ApplyResult(world, MakeStartResult(outcome), after);
      }
      BOOST_TEST(EnumName(GetTask(world).state) == EnumName(sample.state));
      BOOST_TEST(IsStopQueued(world) == sample.stopped);
    }
  }
}

// What a hold reports after the stop of an unconfirmed start was answered.
struct UnconfirmedCase {
  std::string name;
  // When the hold was sent; the stop is answered at 300 ms.
  Duration hold_sent;
  std::vector<EndReport> ends;
  TaskState state;
};

const std::vector<UnconfirmedCase> kUnconfirmedCases = {
    {"the run is done",
     milliseconds(350),
     {EndReport{.number = EndNumber(1),
                .task = kTask,
                .run = kRun,
                .end = RunEnd::kDone}},
     TaskState::kDone},
    {"the run was stopped",
     milliseconds(350),
     {EndReport{.number = EndNumber(1),
                .task = kTask,
                .run = kRun,
                .end = RunEnd::kStopped}},
     TaskState::kWaiting},
    {"nothing", milliseconds(350), {}, TaskState::kWaiting},
    {"no run, but the hold was sent before the stop was answered",
     milliseconds(250),
     {},
     TaskState::kStopping},
};

BOOST_AUTO_TEST_CASE(a_later_hold_resolves_an_unconfirmed_start) {
  for (const UnconfirmedCase& sample : kUnconfirmedCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      ApplyResult(world, MakeStartResult(OrderOutcome::kUnknown),
                  milliseconds(100));
      ApplyResult(world, MakeStartResult(OrderOutcome::kOldRun),
                  milliseconds(200));
      OrderResult stop = MakeStartResult(OrderOutcome::kDone);
      stop.kind = OrderKind::kStop;
      ApplyResult(world, stop, milliseconds(300));
      ApplyResult(world,
                  OrderResult{.kind = OrderKind::kHold,
                              .outcome = OrderOutcome::kDone,
                              .sent = kNow.now + sample.hold_sent,
                              .ended = sample.ends},
                  milliseconds(400));
      BOOST_TEST(EnumName(GetTask(world).state) == EnumName(sample.state));
    }
  }
}

}  // namespace
}  // namespace chicorystep
