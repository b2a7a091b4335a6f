#define BOOST_TEST_MODULE task_interference
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

constexpr int kWorkers = 6;

struct Fixture {
  Emulation run;

  Fixture() {
    this->run.store.configs.push_back(Emulation::MakeConfig(1));
    this->run.WorkerFleet::AddWorkers(kWorkers);
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

}  // namespace
}  // namespace chicorystep
