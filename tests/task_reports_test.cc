#define BOOST_TEST_MODULE task_reports
#include "chicorystep/systems/workflows/task_reports.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/encoding/workflow_record.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/task_workers.h"
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
  result.fence = MakeFence(Epoch(1), 0);
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
    {"not sent", {OrderOutcome::kNotSent}, TaskState::kStarting, false},
    {"not sent, then no capacity",
     {OrderOutcome::kNotSent, OrderOutcome::kNoCapacity},
     TaskState::kWaiting,
     false},
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

// What the tables know of a run when its worker restarts, and the resulting
// state of its task.
struct RestartedRunCase {
  std::string name;
  TaskState state;
  bool seen_running;
  std::optional<OrderKind> in_flight;
  bool start_unconfirmed;
  TaskState after;
};

const std::vector<RestartedRunCase> kRestartedRunCases = {
    {"placed", TaskState::kPlaced, false, {}, false, TaskState::kWaiting},
    {"ordered, not sent",
     TaskState::kStarting,
     false,
     {},
     false,
     TaskState::kWaiting},
    {"start in flight", TaskState::kStarting, false, OrderKind::kStart, false,
     TaskState::kRunning},
    {"confirmed, not seen running",
     TaskState::kRunning,
     false,
     {},
     false,
     TaskState::kRunning},
    {"seen running", TaskState::kRunning, true, {}, false, TaskState::kWaiting},
    {"seen running, a repeat of its start unanswered",
     TaskState::kRunning,
     true,
     {},
     true,
     TaskState::kRunning},
    {"seen running, being stopped",
     TaskState::kStopping,
     true,
     {},
     false,
     TaskState::kWaiting},
    {"seen running, stop in flight", TaskState::kStopping, true,
     OrderKind::kStop, false, TaskState::kWaiting},
    {"seen running, being stopped, start in flight", TaskState::kStopping, true,
     OrderKind::kStart, false, TaskState::kStopping},
    {"confirmed, not seen running, stop in flight", TaskState::kStopping, false,
     OrderKind::kStop, false, TaskState::kStopping},
};

// Guards against a run that ended with its worker's earlier process, but waits
// for a report of the next one because a stop was in flight (issue 42).
BOOST_AUTO_TEST_CASE(only_runs_that_the_next_incarnation_may_have_wait) {
  for (const RestartedRunCase& sample : kRestartedRunCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      Task& task = world.workflows.find(kTask.workflow)->runs[0].tasks[0];
      task.state = sample.state;
      task.start_unconfirmed = sample.start_unconfirmed;
      if (sample.seen_running) {
        task.reported_by = WorkerIncarnation(1);
      }
      if (sample.in_flight) {
        world.scheduling.workers.find(kWorker)->orders_in_flight.emplace(
            kTask, *sample.in_flight);
      }
      ApplyWorkerRestart(world, kWorker, WorkerIncarnation(2), "list",
                         kNow.now);
      BOOST_TEST(EnumName(GetTask(world).state) == EnumName(sample.after));
    }
  }
}

// How a hold ends whose answer was due within a second, after how many others
// without an answer, and when the worker is asked again.
struct HoldRetryCase {
  std::string name;
  OrderOutcome outcome;
  Duration ended;
  std::uint32_t unanswered_before;
  Duration retry;
};

const std::vector<HoldRetryCase> kHoldRetryCases = {
    {"its connection ends", OrderOutcome::kUnknown, milliseconds(300), 0,
     Duration()},
    {"its connection ends again", OrderOutcome::kUnknown, milliseconds(300), 1,
     milliseconds(800)},
    {"it times out", OrderOutcome::kUnknown, milliseconds(1500), 0,
     milliseconds(400)},
    {"no connection can be made", OrderOutcome::kNotSent, milliseconds(300), 0,
     milliseconds(400)},
    {"it is rejected", OrderOutcome::kUnhealthy, milliseconds(300), 0,
     milliseconds(400)},
};

// Guards against late orders that a restarted worker carries out because it is
// asked for a report long after the connection to its earlier process ended.
BOOST_AUTO_TEST_CASE(a_worker_is_asked_at_once_when_its_connection_ends) {
  for (const HoldRetryCase& sample : kHoldRetryCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      TaskWorker& worker = world.scheduling.workers.rows.front();
      worker.hold_in_flight = true;
      worker.answer_deadline = kNow.now + milliseconds(1000);
      worker.unanswered_holds = sample.unanswered_before;
      ApplyResult(world,
                  OrderResult{.kind = OrderKind::kHold,
                              .outcome = sample.outcome,
                              .sent = kNow.now,
                              .answered = kNow.now + sample.ended},
                  sample.ended);
      BOOST_TEST(WholeMillis(worker.next_hold - kNow.now - sample.ended) ==
                 WholeMillis(sample.retry));
    }
  }
}

// How a start may have reached the next incarnation of the worker, whose clock
// is far behind, and the answer that arrives last.
struct OvertakenCase {
  std::string name;
  // Whether the platform has listed the next incarnation. Otherwise that one
  // has confirmed the start.
  bool listed;
  OrderOutcome outcome;
};

const std::vector<OvertakenCase> kOvertakenCases = {
    {"a report of the earlier incarnation, after the next has confirmed a "
     "start",
     false, OrderOutcome::kDone},
    {"no answer, after the next incarnation has confirmed a start", false,
     OrderOutcome::kUnknown},
    {"a report of the earlier incarnation, after the next is listed", true,
     OrderOutcome::kDone},
    {"another process answers at the earlier address, after the next "
     "incarnation "
     "is listed",
     true, OrderOutcome::kOtherIncarnation},
};

// Guards against the answer to an order that was sent before a worker was seen
// to restart, and that counts for its next incarnation (issue 42).
BOOST_AUTO_TEST_CASE(overtaken_answers_do_not_count_for_the_next_incarnation) {
  for (const OvertakenCase& sample : kOvertakenCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      TaskWorker& worker = world.scheduling.workers.rows.front();
      worker.clock = WorkerClock(3'600'000);
      worker.clock_read = kNow.now - milliseconds(100);
      const OrderResult overtaken{.kind = OrderKind::kHold,
                                  .worker = kWorker,
                                  .fence = MakeFence(Epoch(1), 0),
                                  .outcome = sample.outcome,
                                  .sent = kNow.now - milliseconds(50),
                                  .answered = kNow.now + milliseconds(20),
                                  .clock = worker.clock,
                                  .incarnation = WorkerIncarnation(1)};
      if (sample.listed) {
        world.workflows.find(kTask.workflow)
            ->runs[0]
            .tasks[0]
            .start_unconfirmed = true;
        ApplyWorkerRestart(world, kWorker, WorkerIncarnation(2), "list",
                           kNow.now);
      } else {
        OrderResult start = MakeStartResult(OrderOutcome::kDone);
        start.worker = kWorker;
        start.fence = overtaken.fence;
        start.answered = kNow.now;
        start.clock = WorkerClock(100);
        ApplyOrderResults(world, {.order_results = {start}}, kNow);
      }
      // The next hold is on its way.
      worker.hold_in_flight = true;
      worker.hold_sent = kNow.now + milliseconds(10);
      worker.answer_deadline = kNow.now + seconds(1);
      ApplyOrderResults(world, {.order_results = {overtaken}},
                        {.now = overtaken.answered, .wall = kNow.wall});
      BOOST_TEST(EnumName(GetTask(world).state) ==
                 EnumName(TaskState::kRunning));
      BOOST_TEST(worker.hold_in_flight);
      BOOST_TEST(!worker.fenced);
      BOOST_TEST(WholeMillis(TimeUntilLeasesExpire(worker, kNow.now)) ==
                 WholeMillis(ScaleForSlowClocks(world.self.longest_lease)));
    }
  }
}

// When a start was sent that the next incarnation of its worker confirms, and
// when the clock of the earlier one was read last; both from `kNow` on.
struct OldReadingCase {
  std::string name;
  Duration sent;
  Duration clock_read;
};

const std::vector<OldReadingCase> kOldReadingCases = {
    {"sent after the reading", milliseconds(0), -milliseconds(100)},
    {"sent before the reading", milliseconds(0), milliseconds(100)},
};

// Guards against tasks that wait for as long as an earlier incarnation of their
// worker had been up, as its clock is compared with that of the next one.
BOOST_AUTO_TEST_CASE(an_answer_with_an_earlier_clock_shows_a_restart) {
  for (const OldReadingCase& sample : kOldReadingCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      TaskWorker& worker = world.scheduling.workers.rows.front();
      worker.clock = WorkerClock(3'600'000);
      worker.clock_read = kNow.now + sample.clock_read;
      worker.leased_until = WorkerClock(3'605'000);
      OrderResult start = MakeStartResult(OrderOutcome::kDone);
      start.worker = kWorker;
      start.fence = MakeFence(Epoch(1), 0);
      start.sent = kNow.now + sample.sent;
      start.answered = kNow.now + milliseconds(200);
      start.clock = WorkerClock(100);
      ApplyOrderResults(world, {.order_results = {start}},
                        {.now = start.answered, .wall = kNow.wall});
      BOOST_TEST(!worker.fenced);
      BOOST_TEST(WholeMillis(TimeUntilLeasesExpire(worker, start.answered)) ==
                 WholeMillis(ScaleForSlowClocks(world.self.longest_lease)));
    }
  }
}

// What is known of a start when the leases of its worker, which the platform no
// longer lists, have expired.
struct ExpiryCase {
  std::string name;
  bool in_flight;
  TaskState state;
};

const std::vector<ExpiryCase> kExpiryCases = {
    {"it waits to be sent again", false, TaskState::kWaiting},
    {"it is in flight", true, TaskState::kStarting},
};

// Guards against a task that starts elsewhere while a start of it is in flight
// that the next incarnation of its worker may carry out under a longer lease
// (issue 42).
BOOST_AUTO_TEST_CASE(starts_in_flight_outlast_the_leases_of_their_worker) {
  for (const ExpiryCase& sample : kExpiryCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      TaskWorker& worker = world.scheduling.workers.rows.front();
      worker.listed = false;
      worker.clock_read = kNow.now;
      if (sample.in_flight) {
        worker.orders_in_flight.emplace(kTask, OrderKind::kStart);
      }
      ExpireWorkers(world, {.now = kNow.now + milliseconds(100)});
      BOOST_TEST(EnumName(GetTask(world).state) == EnumName(sample.state));
    }
  }
}

// What the tables have of a task whose earlier run ended as done on a worker
// that they no longer place it on, and what becomes of its newest run.
struct EarlierSuccessCase {
  std::string name;
  TaskState state;
  RunNumber ended;
  RunEnd end;
  TaskState after;
  bool stopped;
};

const std::vector<EarlierSuccessCase> kEarlierSuccessCases = {
    {"waiting", TaskState::kWaiting, RunNumber(2), RunEnd::kDone,
     TaskState::kDone, false},
    {"waiting, the newest run given up", TaskState::kWaiting, kRun,
     RunEnd::kDone, TaskState::kDone, false},
    {"placed", TaskState::kPlaced, RunNumber(2), RunEnd::kDone,
     TaskState::kDone, false},
    {"starting", TaskState::kStarting, RunNumber(2), RunEnd::kDone,
     TaskState::kDone, true},
    {"running", TaskState::kRunning, RunNumber(2), RunEnd::kDone,
     TaskState::kDone, true},
    {"running, the earlier run stopped", TaskState::kRunning, RunNumber(2),
     RunEnd::kStopped, TaskState::kRunning, false},
};

// Guards against a task that is started again after an earlier run of it, whose
// start was carried out late, has ended as done (soak seed 63039).
BOOST_AUTO_TEST_CASE(a_task_is_done_once_any_run_of_it_is) {
  for (const EarlierSuccessCase& sample : kEarlierSuccessCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      TaskWorker other = world.scheduling.workers.rows.front();
      other.listing.id = WorkerId("w1");
      other.tasks.clear();
      world.scheduling.workers.insert(other.listing.id, other);
      Workflow& workflow = *world.workflows.find(kTask.workflow);
      workflow.runs[0].tasks[0].state = sample.state;
      if (!HoldsCapacity(sample.state)) {
        world.scheduling.workers.find(kWorker)->tasks.clear();
      }
      const OrderResult hold{.worker = other.listing.id,
                             .fence = MakeFence(Epoch(1), 0),
                             .outcome = OrderOutcome::kDone,
                             .sent = kNow.now,
                             .answered = kNow.now,
                             .incarnation = WorkerIncarnation(1),
                             .ended = {{.number = EndNumber(1),
                                        .task = kTask,
                                        .run = sample.ended,
                                        .end = sample.end}}};
      ApplyOrderResults(world, {.order_results = {hold}}, kNow);
      const bool done = sample.after == TaskState::kDone;
      BOOST_TEST(EnumName(GetTask(world).state) == EnumName(sample.after));
      BOOST_TEST(workflow.runs[0].done == (done ? 1U : 0U));
      // The end is not acknowledged before it is recorded.
      BOOST_TEST(workflow.dirty == done);
      BOOST_TEST(IsStopQueued(world) == sample.stopped);
      BOOST_TEST(world.scheduling.workers.find(kWorker)->tasks.empty() ==
                 (done || !HoldsCapacity(sample.state)));
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

// Makes a holder's world in which a step of `count` tasks runs, each task on a
// worker of its own.
WorkflowWorld MakeStepWorld(std::uint32_t count, bool gang) {
  WorkflowWorld world;
  world.config = Emulation::MakeConfig(1);
  world.holding.state = HoldingState::kHolding;
  world.holding.own_epoch = Epoch(1);
  Workflow workflow;
  workflow.spec.steps = {MakeStep(count, 1, gang)};
  workflow.runs = {StepRun{}};
  for (std::uint32_t i = 0; i < count; ++i) {
    TaskWorker worker{.listing = {.id = WorkerId(fmt::format("w{}", i)),
                                  .incarnation = WorkerIncarnation(1)},
                      .fenced = true};
    TaskKey key = kTask;
    key.task = TaskIndex(i);
    worker.tasks[key] = kRun;
    workflow.runs[0].tasks.push_back(Task{.state = TaskState::kRunning,
                                          .run = kRun,
                                          .worker = worker.listing.id,
                                          .incarnation = WorkerIncarnation(1),
                                          .since = kNow.now});
    const WorkerId id = worker.listing.id;
    world.scheduling.workers.insert(id, std::move(worker));
  }
  world.workflows.insert(kTask.workflow, workflow);
  world.scheduling.open.insert(kTask.workflow);
  return world;
}

// Writes the progress of the only workflow and loads it, as at a takeover.
void TakeOver(WorkflowWorld& world) {
  Workflow& workflow = *world.workflows.find(kTask.workflow);
  const auto encoded = EncodeJournalRecord(
      ProgressRecord{.id = kTask.workflow, .runs = workflow.runs});
  const auto decoded =
      DecodeJournalRecord(encoded.at(0).key, encoded.at(0).value);
  workflow.runs = std::get<ProgressRecord>(*decoded.value()).runs;
}

// An event of the step: an end that a task's worker reports, the start of the
// next run of all tasks, a takeover by another holder, or that the runs of all
// tasks are given up.
struct StepEvent {
  enum class Kind : std::uint8_t { kEnd, kNextRun, kTakeover, kGivenUp };
  Kind kind = Kind::kEnd;
  std::uint32_t task = 0;
  RunEnd end = RunEnd::kFailed;
  // How many runs of the task have been placed since the one that ends.
  std::uint32_t later_runs = 0;
};
constexpr StepEvent kNextRun{.kind = StepEvent::Kind::kNextRun};
constexpr StepEvent kTakeover{.kind = StepEvent::Kind::kTakeover};
constexpr StepEvent kGivenUp{.kind = StepEvent::Kind::kGivenUp};

StepEvent Ends(std::uint32_t task, RunEnd end = RunEnd::kFailed) {
  return StepEvent{.task = task, .end = end};
}

StepEvent FailsBeforeNewest(std::uint32_t task) {
  return StepEvent{.task = task, .later_runs = 1};
}

// Events of a step of three tasks, and the failures of the first task
// afterwards.
struct AttemptCase {
  std::string name;
  bool gang;
  std::vector<StepEvent> events;
  std::uint32_t failures;
};

const std::vector<AttemptCase> kAttemptCases = {
    {"a task fails", false, {Ends(0)}, 1},
    {"another task fails", false, {Ends(1)}, 0},
    {"a task fails in two runs", false, {Ends(0), kNextRun, Ends(0)}, 2},
    {"a run is stopped", false, {Ends(0, RunEnd::kStopped)}, 0},
    {"a lease expires", false, {Ends(0, RunEnd::kLeaseExpired)}, 0},
    {"one member of a gang fails", true, {Ends(1)}, 1},
    {"one member fails and breaks the others",
     true,
     {Ends(0, RunEnd::kGangBroken), Ends(1), Ends(2, RunEnd::kGangBroken)},
     1},
    {"two members fail in one run", true, {Ends(0), Ends(2)}, 1},
    {"all members fail in one run", true, {Ends(0), Ends(1), Ends(2)}, 1},
    {"all members fail in two runs",
     true,
     {Ends(0), Ends(1), Ends(2), kNextRun, Ends(2), Ends(1), Ends(0)},
     2},
    {"a takeover between the failures of one run",
     true,
     {Ends(1), kTakeover, Ends(2), Ends(0)},
     1},
    {"a takeover between two runs that fail",
     true,
     {Ends(1), Ends(2), Ends(0), kTakeover, kNextRun, Ends(0), Ends(1)},
     2},
    {"the members start at different times",
     true,
     {Ends(0, RunEnd::kGangIncomplete), Ends(1, RunEnd::kGangIncomplete)},
     0},
    {"a run fails after it was given up", false, {kGivenUp, Ends(0)}, 1},
    {"a run fails beside the next one",
     false,
     {kGivenUp, kNextRun, FailsBeforeNewest(0), Ends(0)},
     2},
    {"a failure is reported again after a takeover",
     false,
     {Ends(0), kTakeover, Ends(0)},
     1},
    {"a failure is reported again during the next run",
     false,
     {Ends(0), kNextRun, kTakeover, FailsBeforeNewest(0)},
     1},
    {"members of a gang fail after they were given up",
     true,
     {kGivenUp, Ends(1), Ends(2)},
     1},
    {"no member fails",
     true,
     {Ends(0, RunEnd::kGangBroken), Ends(1, RunEnd::kStopped)},
     0},
};

// Guards against a gang whose members all report one failed run and thereby use
// up its attempts, so that its workflow is shown as failed after one run, and
// against failures of runs that were given up and that use up no attempt.
BOOST_AUTO_TEST_CASE(a_failed_run_counts_as_one_attempt) {
  for (const AttemptCase& sample : kAttemptCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeStepWorld(3, sample.gang);
      RunNumber run = kRun;
      std::uint64_t ends = 0;
      for (const StepEvent& event : sample.events) {
        auto& tasks = world.workflows.find(kTask.workflow)->runs[0].tasks;
        if (event.kind == StepEvent::Kind::kNextRun) {
          ++run.value;
          for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            tasks[i].state = TaskState::kRunning;
            tasks[i].run = run;
            tasks[i].worker = WorkerId(fmt::format("w{}", i));
          }
        } else if (event.kind == StepEvent::Kind::kTakeover) {
          TakeOver(world);
        } else if (event.kind == StepEvent::Kind::kGivenUp) {
          for (Task& task : tasks) {
            task.state = TaskState::kWaiting;
          }
        } else {
          TaskKey key = kTask;
          key.task = TaskIndex(event.task);
          ApplyOrderResults(
              world,
              {.order_results =
                   {{.worker = WorkerId(fmt::format("w{}", event.task)),
                     .fence = MakeFence(Epoch(1), 0),
                     .outcome = OrderOutcome::kDone,
                     .incarnation = WorkerIncarnation(1),
                     .ended = {{.number = EndNumber(++ends),
                                .task = key,
                                .run = RunNumber(run.value - event.later_runs),
                                .end = event.end}}}}},
              kNow);
        }
      }
      BOOST_TEST(GetTask(world).failures == sample.failures);
    }
  }
}

}  // namespace
}  // namespace chicorystep
