#define BOOST_TEST_MODULE task_placement
#include <boost/test/unit_test.hpp>

#include "chicorystep/systems/workflows/task_placement.h"
#include "chicorystep/systems/workflows/workflow_tables.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

constexpr WorkflowTime kNow{.now = TimePoint(seconds(1000)),
                            .wall = UnixMillis(5'000'000)};

// Makes a holder's world with `racks` racks of `per_rack` workers, each with 8
// accelerators.
WorkflowWorld MakeWorld(int racks, int per_rack) {
  WorkflowWorld world;
  world.config = Emulation::MakeConfig(1);
  world.holding.state = HoldingState::kHolding;
  for (int i = 0; i < racks * per_rack; ++i) {
    const WorkerListing listing{
        .id = WorkerId(fmt::format("w{}", i)),
        .service = Service("service"),
        .address = Address("10.0.0.1:80"),
        .capacity =
            Capacity{Accelerators(8), Millicores(32'000), Mebibytes(131'072)},
        .labels = {i % 2 == 0 ? "even" : "odd",
                   fmt::format("r{}", i / per_rack)}};
    world.scheduling.workers.insert(listing.id,
                                    TaskWorker{.listing = listing,
                                               .rack = Rack(listing.labels[1]),
                                               .free = listing.capacity,
                                               .fenced = true});
  }
  return world;
}

// Adds an accepted workflow of one step and returns its id.
WorkflowId AddWorkflow(WorkflowWorld& world,
                       int number,
                       std::uint32_t priority,
                       const StepSpec& step) {
  WorkflowId id = Emulation::MakeId(number);
  Workflow workflow;
  workflow.spec.steps = {step};
  workflow.terms = WorkflowTerms{.workspace = Workspace("team"),
                                 .service = Service("service"),
                                 .priority = priority,
                                 .max_attempts = 3,
                                 .target = seconds(1),
                                 .stretch = 2.0};
  workflow.accepted = UnixMillis(kNow.wall.value - 100 + number);
  StepRun run;
  run.tasks.resize(step.count);
  workflow.runs = {run};
  workflow.occurrences_begun = 1;
  world.workflows.insert(id, workflow);
  world.scheduling.open.insert(id);
  return id;
}

void RunPlacement(WorkflowWorld& world, const WorkflowTime& time) {
  world.scheduling.placement_due = true;
  world.scheduling.next_placement = time.now;
  PlaceTasks(world, time);
}

std::size_t CountTasks(const WorkflowWorld& world,
                       const WorkflowId& id,
                       TaskState state) {
  std::size_t count = 0;
  for (const StepRun& run : world.workflows.find(id)->runs) {
    for (const Task& task : run.tasks) {
      count += task.state == state ? 1 : 0;
    }
  }
  return count;
}

std::set<Rack> FindRacks(WorkflowWorld& world, const WorkflowId& id) {
  std::set<Rack> racks;
  for (const Task& task : world.workflows.find(id)->runs[0].tasks) {
    if (const TaskWorker* worker = world.scheduling.workers.find(task.worker)) {
      racks.insert(worker->rack);
    }
  }
  return racks;
}

// Moves a workflow's placed tasks to the running state.
void BeginRunning(WorkflowWorld& world, const WorkflowId& id, TimePoint since) {
  for (StepRun& run : world.workflows.find(id)->runs) {
    for (Task& task : run.tasks) {
      if (task.state == TaskState::kPlaced) {
        task.state = TaskState::kRunning;
        task.since = since;
      }
    }
  }
}

// A step, and how many of its tasks are placed on an empty cell of 2 racks with
// 2 workers each.
struct FitCase {
  std::string name;
  StepSpec step;
  std::size_t placed;
};

StepSpec Modify(StepSpec step, const std::function<void(StepSpec&)>& change) {
  change(step);
  return step;
}

const std::vector<FitCase> kFitCases = {
    {"single tasks", MakeStep(5, 1), 5},
    {"more single tasks than capacity", MakeStep(40, 1), 32},
    {"a gang that fills the cell", MakeStep(4, 8, true), 4},
    {"a gang that does not fit is not placed partially", MakeStep(5, 8, true),
     0},
    {"a label",
     Modify(MakeStep(4, 8), [](StepSpec& s) { s.required_label = "odd"; }), 2},
    {"a label that no worker has",
     Modify(MakeStep(1, 1), [](StepSpec& s) { s.required_label = "none"; }), 0},
    {"a limit of tasks per worker",
     Modify(MakeStep(12, 1), [](StepSpec& s) { s.max_per_worker = 2; }), 8},
    {"memory is the limit before accelerators",
     Modify(MakeStep(12, 1),
            [](StepSpec& s) { s.need.memory = Mebibytes(65'536); }),
     8},
    {"a gang within one rack",
     Modify(MakeStep(2, 8, true), [](StepSpec& s) { s.same_rack = true; }), 2},
    {"a gang too wide for any rack spans racks",
     Modify(MakeStep(3, 8, true), [](StepSpec& s) { s.same_rack = true; }), 3},
};

BOOST_AUTO_TEST_CASE(tasks_go_where_they_fit) {
  for (const FitCase& sample : kFitCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld(2, 2);
      const WorkflowId id = AddWorkflow(world, 1, 1, sample.step);
      RunPlacement(world, kNow);
      BOOST_TEST(CountTasks(world, id, TaskState::kPlaced) == sample.placed);
      for (const TaskWorker& worker : world.scheduling.workers.rows) {
        BOOST_TEST(worker.free.accelerators.value >= 0);
        BOOST_TEST(worker.free.memory.value >= 0);
      }
    }
  }
}

// A change that makes a worker unusable, or leaves it usable.
struct WorkerCase {
  std::string name;
  std::function<void(TaskWorker&)> change;
};

const std::vector<WorkerCase> kUnusableCases = {
    {"draining", [](TaskWorker& w) { w.listing.draining = true; }},
    {"not listed", [](TaskWorker& w) { w.listed = false; }},
    {"has not accepted this holder's fence",
     [](TaskWorker& w) { w.fenced = false; }},
    {"unresponsive", [](TaskWorker& w) { w.unanswered_holds = 1; }},
    {"late with its answer",
     [](TaskWorker& w) { w.answer_deadline = kNow.now - milliseconds(1); }},
    {"does not enforce its capacity and has an orphaned run",
     [](TaskWorker& w) {
       w.listing.service = Service("open");
       w.orphaned_runs = 1;
     }},
    {"excluded",
     [](TaskWorker& w) { w.excluded_until = kNow.now + seconds(1); }},
};

// Applies `change` to the only worker, places one task and returns how many
// tasks are placed. The task requires the worker's service unless `service`
// names another.
std::size_t CountPlacedAfter(const std::function<void(TaskWorker&)>& change,
                             const std::optional<Service>& service = {}) {
  WorkflowWorld world = MakeWorld(1, 1);
  TaskWorker& worker = world.scheduling.workers.rows[0];
  change(worker);
  const WorkflowId id = AddWorkflow(world, 1, 0, MakeStep(1, 1));
  world.workflows.find(id)->terms.service =
      service.value_or(worker.listing.service);
  RunPlacement(world, kNow);
  return CountTasks(world, id, TaskState::kPlaced);
}

BOOST_AUTO_TEST_CASE(unusable_workers_get_nothing) {
  for (const WorkerCase& sample : kUnusableCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(CountPlacedAfter(sample.change) == 0U);
    }
  }
  BOOST_TEST(CountPlacedAfter([](TaskWorker&) {}, Service("other")) == 0U);
}

// Usable workers that differ as little as possible from unusable ones.
const std::vector<WorkerCase> kUsableCases = {
    {"nothing", [](TaskWorker&) {}},
    {"its answer is not late yet",
     [](TaskWorker& w) { w.answer_deadline = kNow.now + milliseconds(1); }},
    {"enforces its capacity and has an orphaned run",
     [](TaskWorker& w) { w.orphaned_runs = 1; }},
    {"does not enforce its capacity and has no orphaned run",
     [](TaskWorker& w) { w.listing.service = Service("open"); }},
    {"its exclusion ends now",
     [](TaskWorker& w) { w.excluded_until = kNow.now; }},
};

BOOST_AUTO_TEST_CASE(usable_workers_get_tasks) {
  for (const WorkerCase& sample : kUsableCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(CountPlacedAfter(sample.change) == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_gang_waits_for_one_rack_until_the_timeout) {
  struct WaitCase {
    std::string name;
    Duration waited;
    // Workers in each of two racks, of which work of the same priority has
    // taken all but one.
    int per_rack;
    std::size_t placed;
    std::uint32_t priority = 1;
    std::string workspace = "team";
  };
  const std::vector<WaitCase> cases = {
      {"just arrived, half of the service is in use", Duration(), 2, 0},
      {"has waited for 2 s, half of the service is in use", seconds(2), 2, 2},
      {"just arrived, two thirds are in use", Duration(), 3, 0},
      {"has waited for 9 s, two thirds are in use", seconds(9), 3, 0},
      {"has waited past the time-out", seconds(11), 3, 2},
      {"guaranteed and just arrived", Duration(), 3, 0, 0},
      {"guaranteed and has waited for a second", seconds(1), 3, 0, 0},
      {"guaranteed and has waited for 1.2 s", milliseconds(1200), 3, 2, 0},
      {"urgent beyond a guarantee and has waited for 9 s", seconds(9), 3, 0, 0,
       "other"},
  };
  for (const WaitCase& sample : cases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld(2, sample.per_rack);
      for (std::size_t i = 0; i < world.scheduling.workers.size(); ++i) {
        if (i % static_cast<std::size_t>(sample.per_rack) > 0) {
          world.scheduling.workers.rows[i].free.accelerators = Accelerators(0);
        }
      }
      StepSpec step = MakeStep(2, 8, true);
      step.same_rack = true;
      const WorkflowId id = AddWorkflow(world, 1, sample.priority, step);
      world.workflows.find(id)->terms.workspace = Workspace(sample.workspace);
      world.workflows.find(id)->runs[0].ready_since = kNow.now - sample.waited;
      RunPlacement(world, kNow);
      BOOST_TEST(CountTasks(world, id, TaskState::kPlaced) == sample.placed);
    }
  }
}

// Small tasks fill partly used workers first, so that whole workers stay free.
BOOST_AUTO_TEST_CASE(small_tasks_leave_whole_workers_free) {
  WorkflowWorld world = MakeWorld(2, 2);
  world.scheduling.workers.rows[3].free.accelerators = Accelerators(4);
  const WorkflowId id = AddWorkflow(world, 1, 2, MakeStep(4, 1));
  RunPlacement(world, kNow);
  for (const Task& task : world.workflows.find(id)->runs[0].tasks) {
    BOOST_TEST(task.worker.value == "w3");
  }
}

// The running work when an urgent gang that needs two whole workers arrives at
// a full cell of one rack, and how many tasks of it are stopped.
struct PreemptionCase {
  std::string name;
  // A running workflow, how long its tasks have run, and how many of them are
  // stopped.
  struct Running {
    std::uint32_t priority;
    std::uint32_t tasks;
    std::int64_t accelerators;
    bool saves;
    Duration ran;
    std::size_t stopped;
  };
  std::vector<Running> running;
};

const std::vector<PreemptionCase> kPreemptionCases = {
    {"work that has just begun is stopped before work that has run long",
     {{2, 2, 8, false, seconds(9), 0}, {2, 2, 8, false, seconds(1), 2}}},
    {"work that saves its progress is stopped before work that does not",
     {{2, 2, 8, false, seconds(2), 0}, {2, 2, 8, true, seconds(9), 2}}},
    {"no more tasks are stopped than the gang needs",
     {{2, 32, 1, false, seconds(1), 16}}},
    {"equally urgent work is not stopped",
     {{0, 2, 8, false, seconds(1), 0}, {0, 2, 8, false, seconds(1), 0}}},
    {"nothing is stopped if that would not free enough capacity",
     {{0, 3, 8, false, seconds(1), 0}, {2, 1, 8, false, seconds(1), 0}}},
};

BOOST_AUTO_TEST_CASE(urgent_gangs_stop_what_loses_least) {
  for (const PreemptionCase& sample : kPreemptionCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld(1, 4);
      std::vector<WorkflowId> ids;
      int number = 0;
      for (const auto& running : sample.running) {
        StepSpec step = MakeStep(running.tasks, running.accelerators);
        step.saves_progress = running.saves;
        ids.push_back(AddWorkflow(world, ++number, running.priority, step));
        RunPlacement(world, kNow);
        BeginRunning(world, ids.back(), kNow.now - running.ran);
      }
      StepSpec step = MakeStep(2, 8, true);
      step.same_rack = true;
      AddWorkflow(world, 99, 0, step);
      RunPlacement(world, kNow);
      for (std::size_t i = 0; i < ids.size(); ++i) {
        BOOST_TEST(CountTasks(world, ids[i], TaskState::kStopping) ==
                   sample.running[i].stopped);
      }
      // Another pass before the stopped tasks have ended stops no more tasks.
      const auto stopping = [&] {
        std::size_t count = 0;
        for (const WorkflowId& id : ids) {
          count += CountTasks(world, id, TaskState::kStopping);
        }
        return count;
      };
      const std::size_t before = stopping();
      RunPlacement(world, WorkflowTime{.now = kNow.now + milliseconds(50),
                                       .wall = kNow.wall});
      BOOST_TEST(stopping() == before);
    }
  }
}

// The urgent and other work of workspaces on a full cell of four workers when
// an urgent gang arrives that needs whole workers, and how many tasks are
// stopped for it. The gang's workspace is "team", which is guaranteed two
// workers.
struct ReclaimCase {
  std::string name;
  struct Running {
    std::string workspace;
    std::uint32_t priority;
    // Each takes a whole worker.
    std::uint32_t tasks;
    bool gang;
    std::size_t stopped;
  };
  // What "other" is guaranteed.
  Accelerators guaranteed;
  std::vector<Running> running;
  std::uint32_t wanted;
};

const std::vector<ReclaimCase> kReclaimCases = {
    {"urgent work beyond its guarantee yields",
     Accelerators(16),
     {{"other", 0, 4, false, 2}},
     2},
    {"urgent work of a workspace without a guarantee yields",
     Accelerators(0),
     {{"other", 0, 4, false, 2}},
     2},
    {"urgent work of an unknown workspace yields",
     Accelerators(16),
     {{"removed", 0, 4, false, 1}},
     1},
    {"urgent work within its guarantee stays",
     Accelerators(32),
     {{"other", 0, 4, false, 0}},
     1},
    {"nothing is stopped if what may be stopped is not enough",
     Accelerators(24),
     {{"other", 0, 4, false, 0}},
     2},
    {"a gang larger than its workspace's guarantee yields whole",
     Accelerators(16),
     {{"other", 0, 4, true, 4}},
     2},
    {"less urgent work is stopped before urgent work",
     Accelerators(0),
     {{"other", 0, 3, false, 0}, {"other", 2, 1, false, 1}},
     1},
    {"less urgent work is stopped as far as it suffices",
     Accelerators(0),
     {{"other", 0, 3, false, 1}, {"other", 2, 1, false, 1}},
     2},
    {"work beyond its own guarantee stops nothing urgent",
     Accelerators(0),
     {{"other", 0, 2, false, 0}, {"team", 0, 2, false, 0}},
     1},
    {"work of the same workspace is not stopped",
     Accelerators(0),
     {{"team", 0, 4, false, 0}},
     1},
};

// Pattern: many urgent users of one workspace take all that is idle, and then a
// workspace asks for what it is guaranteed (review case 4).
BOOST_AUTO_TEST_CASE(guaranteed_gangs_reclaim_from_urgent_work) {
  for (const ReclaimCase& sample : kReclaimCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld(1, 4);
      world.config->workspaces[Workspace("other")] =
          WorkflowWorkspace{.guaranteed = sample.guaranteed};
      std::vector<WorkflowId> ids;
      int number = 0;
      for (const auto& running : sample.running) {
        ids.push_back(AddWorkflow(world, ++number, running.priority,
                                  MakeStep(running.tasks, 8, running.gang)));
        world.workflows.find(ids.back())->terms.workspace =
            Workspace(running.workspace);
        RunPlacement(world, kNow);
        BeginRunning(world, ids.back(), kNow.now - seconds(number));
      }
      AddWorkflow(world, 99, 0, MakeStep(sample.wanted, 8, true));
      RunPlacement(world, kNow);
      for (std::size_t i = 0; i < ids.size(); ++i) {
        BOOST_TEST(CountTasks(world, ids[i], TaskState::kStopping) ==
                   sample.running[i].stopped);
      }
      // The stopped work does not take the capacity back.
      RunPlacement(world, WorkflowTime{.now = kNow.now + milliseconds(50),
                                       .wall = kNow.wall});
      for (std::size_t i = 0; i < ids.size(); ++i) {
        BOOST_TEST(CountTasks(world, ids[i], TaskState::kStopping) ==
                   sample.running[i].stopped);
      }
    }
  }
}

// A full worker when an urgent task arrives that needs all of it, and whether
// the running task is stopped at once. The urgent task's estimate is 1 s and
// its objective 3 s.
struct EndingWorkCase {
  std::string name;
  Duration estimate;
  Duration ran;
  // Since when the urgent workflow is accepted.
  Duration waited;
  bool guaranteed;
  bool long_running;
  bool stopped;
};

const std::vector<EndingWorkCase> kEndingWorkCases = {
    {"work that may end soon is stopped, as estimates are rough", seconds(2),
     milliseconds(1500), Duration(), false, false, true},
    {"work that ends later is stopped", seconds(5), seconds(2), Duration(),
     false, false, true},
    {"work is stopped if there is no time left to wait", seconds(2),
     milliseconds(1500), milliseconds(1200), false, false, true},
    {"work that has run longer than estimated may still take a quarter",
     seconds(8), seconds(12), Duration(), false, false, true},
    {"a guaranteed task waits for nothing", seconds(2), milliseconds(1500),
     Duration(), true, false, true},
    {"work that has no end is stopped", seconds(2), milliseconds(1500),
     Duration(), false, true, true},
    {"a task that can no longer be of worth stops nothing", seconds(5),
     seconds(1), seconds(9), false, false, false},
    {"a guaranteed task that can no longer be of worth does", seconds(5),
     seconds(1), seconds(9), true, false, true},
};

// Pattern: bursts of urgent users on a cell that is full of short work.
BOOST_AUTO_TEST_CASE(urgent_tasks_wait_for_no_work_to_end) {
  for (const EndingWorkCase& sample : kEndingWorkCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld(1, 1);
      StepSpec bulk = MakeStep(1, 8);
      bulk.estimate = sample.estimate;
      bulk.long_running = sample.long_running;
      const WorkflowId running = AddWorkflow(world, 1, 2, bulk);
      RunPlacement(world, kNow);
      BeginRunning(world, running, kNow.now - sample.ran);
      const WorkflowId urgent = AddWorkflow(world, 2, 0, MakeStep(1, 8));
      Workflow& workflow = *world.workflows.find(urgent);
      workflow.accepted = kNow.wall - UnixMillis(WholeMillis(sample.waited));
      if (!sample.guaranteed) {
        workflow.terms.workspace = Workspace("other");
      }
      // Bulk work that also waits does not get the room instead.
      const WorkflowId waiting = AddWorkflow(world, 3, 2, MakeStep(1, 8));
      RunPlacement(world, kNow);
      BOOST_TEST((CountTasks(world, running, TaskState::kStopping) == 1) ==
                 sample.stopped);
      BOOST_TEST(CountTasks(world, waiting, TaskState::kPlaced) == 0U);
    }
  }
}

// Urgent work that arrives on a full cell of two racks while bulk work is being
// stopped for an urgent gang, and how many bulk tasks are stopped in all. Each
// bulk task takes a whole worker; the gang needs one rack of two workers.
struct NewcomerCase {
  std::string name;
  std::uint32_t tasks;
  // Whether the workspaces of the gang and of the newcomer are guaranteed
  // their room.
  bool gang_guaranteed;
  bool newcomer_guaranteed;
  // How many tasks of the bulk work run that may be stopped; urgent work of the
  // gang's workspace takes the other workers.
  std::uint32_t bulk;
  std::size_t stopped;
  // Whether the gang and the newcomer are placed once the stops have ended.
  bool gang_placed;
  bool newcomer_placed;
};

const std::vector<NewcomerCase> kNewcomerCases = {
    {"a guaranteed newcomer does not take the room of the gang", 1, false, true,
     4, 3, true, true},
    {"as much as there is is stopped for both", 2, false, true, 4, 4, true,
     true},
    {"a guaranteed newcomer that has nothing else takes it", 1, false, true, 2,
     2, false, true},
    {"another newcomer does not", 1, true, false, 2, 2, true, false},
};

// Pattern: a burst of urgent gangs, of which each pass places some.
BOOST_AUTO_TEST_CASE(room_stays_with_the_gang_that_it_was_freed_for) {
  for (const NewcomerCase& sample : kNewcomerCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld(2, 2);
      StepSpec bulk_step = MakeStep(sample.bulk, 8);
      bulk_step.estimate = seconds(60);
      const WorkflowId bulk = AddWorkflow(world, 1, 2, bulk_step);
      RunPlacement(world, kNow);
      BeginRunning(world, bulk, kNow.now - seconds(1));
      for (TaskWorker& worker : world.scheduling.workers.rows) {
        worker.free = Capacity{};
      }
      StepSpec step = MakeStep(2, 8, true);
      step.same_rack = true;
      const WorkflowId gang = AddWorkflow(world, 2, 0, step);
      if (!sample.gang_guaranteed) {
        world.workflows.find(gang)->terms.workspace = Workspace("other");
      }
      RunPlacement(world, kNow);
      BOOST_TEST(CountTasks(world, bulk, TaskState::kStopping) == 2U);
      const WorkflowId newcomer =
          AddWorkflow(world, 3, 0, MakeStep(sample.tasks, 8, true));
      if (!sample.newcomer_guaranteed) {
        world.workflows.find(newcomer)->terms.workspace = Workspace("other");
      }
      for (const int after_ms : {10, 20, 30}) {
        RunPlacement(world,
                     WorkflowTime{.now = kNow.now + milliseconds(after_ms),
                                  .wall = kNow.wall});
      }
      BOOST_TEST(CountTasks(world, bulk, TaskState::kStopping) ==
                 sample.stopped);
      const auto tasks = world.workflows.find(bulk)->runs[0].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].state == TaskState::kStopping) {
          const TaskKey key{bulk, Occurrence(0), StepIndex(0), TaskIndex(i)};
          ReturnToWaiting(world, key, FindTask(world, key), kNow.now);
        }
      }
      RunPlacement(world, WorkflowTime{.now = kNow.now + milliseconds(300),
                                       .wall = kNow.wall});
      BOOST_TEST((CountTasks(world, gang, TaskState::kPlaced) == 2) ==
                 sample.gang_placed);
      BOOST_TEST((CountTasks(world, newcomer, TaskState::kPlaced) ==
                  sample.tasks) == sample.newcomer_placed);
    }
  }
}

BOOST_AUTO_TEST_CASE(urgent_gangs_stay_in_one_rack_when_they_preempt) {
  WorkflowWorld world = MakeWorld(2, 2);
  const WorkflowId bulk = AddWorkflow(world, 1, 2, MakeStep(4, 8));
  RunPlacement(world, kNow);
  BeginRunning(world, bulk, kNow.now - seconds(1));
  StepSpec step = MakeStep(2, 8, true);
  step.same_rack = true;
  const WorkflowId urgent = AddWorkflow(world, 2, 0, step);
  RunPlacement(world, kNow);
  BOOST_TEST(CountTasks(world, bulk, TaskState::kStopping) == 2U);
  // When the stopped tasks have ended, the gang is placed on their workers.
  const auto runs = world.workflows.find(bulk)->runs[0].tasks;
  for (std::uint32_t i = 0; i < runs.size(); ++i) {
    if (runs[i].state == TaskState::kStopping) {
      const TaskKey key{bulk, Occurrence(0), StepIndex(0), TaskIndex(i)};
      ReturnToWaiting(world, key, FindTask(world, key), kNow.now);
    }
  }
  RunPlacement(world,
               WorkflowTime{.now = kNow.now + seconds(1), .wall = kNow.wall});
  BOOST_TEST(CountTasks(world, urgent, TaskState::kPlaced) == 2U);
  BOOST_TEST(FindRacks(world, urgent).size() == 1U);
}

// Two workflows that compete for the only worker, and which of them is placed.
struct OrderCase {
  std::string name;
  std::uint32_t first_priority;
  std::uint32_t second_priority;
  bool first_wins;
};

const std::vector<OrderCase> kOrderCases = {
    {"more urgent work is placed before less urgent work", 2, 0, false},
    {"the earlier deadline is placed first at equal priority", 1, 1, true},
};

BOOST_AUTO_TEST_CASE(units_are_placed_in_their_order) {
  for (const OrderCase& sample : kOrderCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld(1, 1);
      const WorkflowId first =
          AddWorkflow(world, 1, sample.first_priority, MakeStep(1, 8));
      const WorkflowId second =
          AddWorkflow(world, 2, sample.second_priority, MakeStep(1, 8));
      RunPlacement(world, kNow);
      BOOST_TEST((CountTasks(world, first, TaskState::kPlaced) == 1) ==
                 sample.first_wins);
      BOOST_TEST((CountTasks(world, second, TaskState::kPlaced) == 1) !=
                 sample.first_wins);
    }
  }
}

// An occurrence of a schedule that was accepted an hour ago, and a workflow
// without a schedule, for which there is room for one task in all.
struct OccurrenceOrderCase {
  std::string name;
  // Before now.
  Duration due;
  Duration other_accepted;
  bool occurrence_first;
};

const std::vector<OccurrenceOrderCase> kOccurrenceOrderCases = {
    {"due before the other was accepted", milliseconds(500), milliseconds(10),
     true},
    {"due after the other was accepted", milliseconds(10), milliseconds(500),
     false},
    {"overdue beyond its objective", seconds(100), milliseconds(10), false},
};

// Guards against an occurrence that comes after all other work because its
// schedule was accepted long ago, and against one of several schedules that is
// served alone (issue 52, measured with thirty schedules).
BOOST_AUTO_TEST_CASE(occurrences_are_placed_by_their_own_due_time) {
  for (const OccurrenceOrderCase& sample : kOccurrenceOrderCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld(1, 1);
      const WorkflowId scheduled = AddWorkflow(world, 1, 2, MakeStep(1, 8));
      const WorkflowId other = AddWorkflow(world, 2, 2, MakeStep(1, 8));
      Workflow& schedule = *world.workflows.find(scheduled);
      schedule.accepted = kNow.wall - UnixMillis(3'600'000);
      schedule.spec.occurrences = 1000;
      schedule.spec.interval = seconds(100);
      schedule.runs[0].occurrence = Occurrence(36);
      schedule.spec.first_due = kNow.wall - UnixMillis(3'600'000) -
                                UnixMillis(WholeMillis(sample.due));
      world.workflows.find(other)->accepted =
          kNow.wall - UnixMillis(WholeMillis(sample.other_accepted));
      RunPlacement(world, kNow);
      BOOST_TEST(CountTasks(world, scheduled, TaskState::kPlaced) ==
                 (sample.occurrence_first ? 1U : 0U));
      BOOST_TEST(CountTasks(world, other, TaskState::kPlaced) ==
                 (sample.occurrence_first ? 0U : 1U));
    }
  }
}

}  // namespace
}  // namespace chicorystep
