#define BOOST_TEST_MODULE task_interference
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/systems/workflows/interference/judgement.h"
#include "chicorystep/systems/workflows/interference/preference.h"
#include "chicorystep/systems/workflows/interference/task_kinds.h"
#include "chicorystep/systems/workflows/task_placement.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

struct Fixture {
  Emulation run;

  explicit Fixture(int workers = 6) {
    this->run.store.configs.push_back(Emulation::MakeConfig(1));
    this->run.WorkerFleet::AddWorkers(workers);
    for (EmulatedWorker& worker : this->run.workers) {
      worker.listing.labels.push_back("worker-" + worker.listing.id.value);
      List(this->run.store, worker.listing);
    }
    this->run.AddEntries(2);
    BOOST_REQUIRE(
        this->run.RunFor(seconds(5), [&] { return this->run.Holder() >= 0; }));
    // Leases that the workers had before have expired.
    this->run.RunFor(seconds(8));
  }
};

// Urgent tasks that use a share of the processors that they request, at the
// speed of the worker that the first of them starts on, and how many starts
// they may take.
struct UseCase {
  std::string name;
  std::uint32_t tasks;
  double use;
  double speed;
  std::string label;
  std::uint64_t min_starts;
  std::uint64_t max_starts;
};

const std::vector<UseCase> kUseCases = {
    {"a task uses all of its request", 1, 1.0, 1.0, "", 1, 1},
    {"a task uses a quarter, and one worker has the label", 1, 0.25, 1.0,
     "worker-w3", 1, 1},
    {"a task uses a quarter, and may run on any worker", 1, 0.25, 1.0, "", 1,
     2},
    {"tasks on several workers use a quarter", 12, 0.25, 1.0, "", 12, 18},
    {"a task uses nothing", 1, 0.0, 1.0, "worker-w3", 1, 1},
    {"a worker is slow", 1, 1.0, 0.2, "", 2, 2},
    {"a worker is slow, and no other has the label", 1, 1.0, 0.2, "worker-w3",
     1, 1},
    {"a worker is slow among tasks that use a quarter", 24, 0.25, 0.2, "", 26,
     36},
};

// Guards against a task that is taken for slow wherever it runs and therefore
// never ends (issue 45).
BOOST_AUTO_TEST_CASE(tasks_are_compared_with_their_like) {
  for (const UseCase& sample : kUseCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Fixture fixture;
      Emulation& run = fixture.run;
      Emulation::Submitted what{.work = seconds(6), .use = sample.use};
      what.spec.payload = "p";
      what.spec.steps = {MakeStep(sample.tasks, 2)};
      what.spec.steps[0].estimate = seconds(6);
      what.spec.steps[0].required_label = sample.label;
      run.Submit(0, "urgent", Emulation::MakeId(1), what);
      BOOST_REQUIRE(
          run.RunFor(seconds(2), [&] { return run.RunningTasks() > 0; }));
      for (EmulatedWorker& worker : run.workers) {
        if (!worker.running.empty()) {
          worker.speed = sample.speed;
          break;
        }
      }
      BOOST_TEST(
          run.RunFor(seconds(45), [&] { return run.AllWorkflowsEnded(); }));
      BOOST_TEST(run.starts >= sample.min_starts);
      BOOST_TEST(run.starts <= sample.max_starts);
      BOOST_TEST(run.violations.empty());
    }
  }
}

// Samples of tasks of one kind: beside another kind or without it, on `workers`
// workers in turn.
struct SampleGroup {
  bool beside;
  int runs;
  int workers;
  double use;
  // The first worker of the group, so that groups can share workers.
  int first_worker = 0;
  Duration age{};
};

struct JudgementCase {
  std::string name;
  std::vector<SampleGroup> groups;
  bool judged;
  // Whether the pair is still judged so much later, without further runs.
  Duration later{};
  bool judged_later = false;
};

const std::vector<JudgementCase> kJudgementCases = {
    {"slower beside it on every worker",
     {{true, 12, 4, 0.5}, {false, 12, 4, 1.0}},
     true,
     seconds(30),
     true},
    {"the evidence ages",
     {{true, 12, 4, 0.5}, {false, 12, 4, 1.0}},
     true,
     seconds(300),
     false},
    {"as fast beside it", {{true, 12, 4, 0.95}, {false, 12, 4, 1.0}}, false},
    {"a kind that uses little everywhere",
     {{true, 12, 4, 0.25}, {false, 12, 4, 0.25}},
     false},
    {"too few runs beside it", {{true, 5, 5, 0.5}, {false, 12, 4, 1.0}}, false},
    {"too few runs without it",
     {{true, 12, 4, 0.5}, {false, 5, 5, 1.0}},
     false},
    {"many runs beside it, all on one slow worker",
     {{true, 40, 1, 0.25}, {false, 12, 4, 1.0}},
     false},
    {"one of three workers is slow, with many runs",
     {{true, 40, 1, 0.25}, {true, 6, 2, 1.0, 1}, {false, 12, 4, 1.0}},
     false},
    {"a slow worker, and tasks without it are slow there, too",
     {{true, 9, 3, 0.9},
      {true, 3, 1, 0.25, 9},
      {false, 12, 4, 1.0},
      {false, 3, 1, 0.25, 9}},
     false},
    {"the load has changed: old runs were slower, new ones are not",
     {{true, 6, 3, 0.5, 0, seconds(200)},
      {true, 12, 4, 1.0, 4},
      {false, 12, 4, 1.0}},
     false},
    {"a slow worker among those without it does not hide it",
     {{true, 12, 4, 0.5}, {false, 12, 4, 1.0}, {false, 3, 1, 0.25, 9}},
     true,
     seconds(30),
     true},
};

constexpr TimePoint kNow(seconds(1000));

// Adds a kind that is named after its program and returns its number.
KindNumber AddKind(Interference& interference, const std::string& program) {
  Workflow workflow;
  workflow.spec.steps = {MakeStep(1, 1)};
  workflow.spec.steps[0].program = program;
  StepRun run;
  return ResolveKind(interference, workflow, run, kNow);
}

void AddSamples(Interference& interference,
                const KindPair& pair,
                const std::vector<SampleGroup>& groups) {
  KindRow& row = *interference.kinds.find(pair.slowed);
  for (const SampleGroup& group : groups) {
    for (int i = 0; i < group.runs; ++i) {
      RunSample sample{.worker = WorkerId(fmt::format(
                           "w{}", group.first_worker + i % group.workers)),
                       .workflow = Emulation::MakeId(i),
                       .use = {.reports = 1, .sum = group.use},
                       .at = kNow - group.age};
      if (group.beside) {
        sample.beside = {
            Neighbour{.kind = pair.by, .from_begin = true, .use = sample.use}};
      }
      row.samples.push_back(sample);
    }
  }
  row.changed = true;
}

BOOST_AUTO_TEST_CASE(pairs_are_judged_on_evidence_that_ages) {
  for (const JudgementCase& sample : kJudgementCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Interference interference;
      const KindPair pair{.slowed = AddKind(interference, "slowed"),
                          .by = AddKind(interference, "by")};
      AddSamples(interference, pair, sample.groups);
      JudgePairs(interference, kNow);
      BOOST_TEST(interference.judged.contains(pair) == sample.judged);
      BOOST_TEST(interference.judged.size() == (sample.judged ? 1U : 0U));
      JudgePairs(interference, kNow + sample.later);
      JudgePairs(interference, kNow + sample.later + seconds(2));
      BOOST_TEST(interference.judged.contains(pair) == sample.judged_later);
    }
  }
}

// Two programs that run side by side under a steady load, and how often tasks
// of the first are beside tasks of the second in the end.
struct LoadCase {
  std::string name;
  std::map<std::pair<std::string, std::string>, double> speeds_beside;
  // The speed of the first worker.
  double first_worker;
  bool judged;
  double min_beside;
  double max_beside;
};

const std::vector<LoadCase> kLoadCases = {
    {"the second slows the first", {{{"a", "b"}, 0.5}}, 1.0, true, 0.0, 0.35},
    {"neither slows the other", {}, 1.0, false, 0.6, 1.0},
    {"one worker is slow", {}, 0.25, false, 0.5, 1.0},
};

// The workflows at the begin that are all of "a", so that it is seen without
// "b".
constexpr int kAlone = 24;

// Starts the load of both programs and returns, for the last part of it, the
// share of the runs of "a" that were beside "b".
double PlayLoad(Emulation& run, int workflows) {
  std::size_t seen = 0;
  std::size_t beside = 0;
  for (int i = 0; i < workflows; ++i) {
    const std::string program = i < kAlone || i % 2 == 0 ? "a" : "b";
    Emulation::Submitted what{.work = seconds(2)};
    what.spec.payload = program;
    what.spec.steps = {MakeStep(3, 2)};
    what.spec.steps[0].estimate = seconds(2);
    what.spec.steps[0].program = program;
    run.Submit(0, "normal", Emulation::MakeId(i + 1), what);
    run.RunFor(milliseconds(250));
    for (const EmulatedWorker& worker : run.workers) {
      std::size_t first = 0;
      std::size_t second = 0;
      for (const auto& [key, present] : worker.running) {
        const bool is_first =
            run.submitted.at(key.workflow).spec.payload == "a";
        (is_first ? first : second) += 1;
      }
      if (i >= workflows * 2 / 3) {
        seen += first;
        beside += second > 0 ? first : 0;
      }
    }
  }
  return seen == 0 ? 0.0
                   : static_cast<double>(beside) / static_cast<double>(seen);
}

BOOST_AUTO_TEST_CASE(disturbing_programs_are_kept_apart_while_there_is_room) {
  for (const LoadCase& sample : kLoadCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Fixture fixture(24);
      Emulation& run = fixture.run;
      run.speeds_beside = sample.speeds_beside;
      run.workers[0].speed = sample.first_worker;
      const double beside = PlayLoad(run, 240);
      BOOST_TEST_MESSAGE(sample.name << ": " << beside
                                     << " of the first program's runs are "
                                        "beside the second");
      const auto& interference =
          run.entries[static_cast<std::size_t>(run.Holder())]
              ->world.scheduling.interference;
      BOOST_TEST(interference.judged.empty() != sample.judged);
      BOOST_TEST(beside >= sample.min_beside);
      BOOST_TEST(beside <= sample.max_beside);
      BOOST_TEST(
          run.RunFor(seconds(30), [&] { return run.AllWorkflowsEnded(); }));
      BOOST_TEST(run.violations.empty());
    }
  }
}

// Three workers of 8 accelerators, two of them in rack "r0". A task of program
// "a" takes 2 accelerators of the first, other tasks those in `used`. Where
// tasks of program "b" are placed at once.
struct ApartCase {
  std::string name;
  bool judged;
  std::vector<std::int64_t> used;
  StepSpec step;
  std::vector<std::string> workers;
};

StepSpec MakeProgram(std::uint32_t count,
                     std::int64_t accelerators,
                     const std::string& rack = "",
                     bool gang = false) {
  StepSpec step = MakeStep(count, accelerators, gang);
  step.program = "b";
  step.data_rack = Rack(rack);
  step.same_rack = gang;
  return step;
}

const std::vector<ApartCase> kApartCases = {
    {"no pair is judged", false, {0, 0, 0}, MakeProgram(1, 2), {"w0"}},
    {"there is room elsewhere", true, {0, 0, 0}, MakeProgram(1, 2), {"w1"}},
    {"there is room elsewhere, on a fuller worker",
     true,
     {0, 0, 4},
     MakeProgram(1, 2),
     {"w2"}},
    {"others are full", true, {0, 8, 8}, MakeProgram(1, 2), {"w0"}},
    {"others have room for a part of the tasks",
     true,
     {0, 6, 8},
     MakeProgram(2, 2),
     {"w0", "w1"}},
    {"much is in use, and a whole worker is free",
     true,
     {5, 8, 0},
     MakeProgram(1, 1),
     {"w0"}},
    {"the data's rack has room beside it only",
     true,
     {0, 8, 0},
     MakeProgram(1, 2, "r0"),
     {"w0"}},
    {"a gang within one rack has room beside it only",
     true,
     {0, 2, 4},
     MakeProgram(2, 6, "", true),
     {"w0", "w1"}},
};

BOOST_AUTO_TEST_CASE(a_judged_pair_decides_only_among_workers_with_room) {
  for (const ApartCase& sample : kApartCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      world.config = Emulation::MakeConfig(1);
      world.holding.state = HoldingState::kHolding;
      WorkerFleet fleet;
      fleet.AddWorkers(3);
      for (std::size_t i = 0; i < 3; ++i) {
        TaskWorker worker{.listing = fleet.workers[i].listing,
                          .rack = Rack(i < 2 ? "r0" : "r1"),
                          .free = fleet.workers[i].listing.capacity,
                          .fenced = true};
        worker.free.accelerators += Accelerators(-sample.used[i]);
        world.scheduling.workers.insert(worker.listing.id, worker);
      }
      const auto add = [&](int number, const StepSpec& step) -> StepRun& {
        Workflow workflow;
        workflow.spec.steps = {step};
        workflow.terms = {.service = Service("service"), .priority = 1};
        workflow.runs = {StepRun{}};
        workflow.runs[0].tasks.resize(step.count);
        workflow.occurrences_begun = 1;
        const WorkflowId id = Emulation::MakeId(number);
        world.scheduling.open.insert(id);
        return world.workflows.insert(id, workflow).runs[0];
      };
      StepSpec running = MakeProgram(1, 2);
      running.program = "a";
      Task& task = add(1, running).tasks[0];
      task.state = TaskState::kRunning;
      task.worker = WorkerId("w0");
      world.scheduling.workers.rows[0].free.accelerators += Accelerators(-2);
      Interference& interference = world.scheduling.interference;
      const KindPair pair{.slowed = AddKind(interference, "a"),
                          .by = AddKind(interference, "b")};
      if (sample.judged) {
        interference.judged[pair] = JudgedPair{.speed = 0.5};
      }
      add(2, sample.step);
      world.scheduling.placement_due = true;
      PlaceTasks(world, WorkflowTime{.now = kNow});
      std::vector<std::string> workers;
      for (const Task& placed :
           world.workflows.find(Emulation::MakeId(2))->runs[0].tasks) {
        workers.push_back(placed.worker.value);
      }
      std::sort(workers.begin(), workers.end());
      BOOST_TEST(workers == sample.workers, boost::test_tools::per_element());
    }
  }
}

}  // namespace
}  // namespace chicorystep
