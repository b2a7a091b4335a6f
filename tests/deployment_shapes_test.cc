#define BOOST_TEST_MODULE deployment_shapes
#include <boost/test/unit_test.hpp>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

struct DeploymentCase {
  std::string name;
  int entries;
  // The number of workers that enforce their capacity.
  int workers;
  // The number of workers that do not enforce their capacity; they belong to
  // the service "open".
  int open_workers;
};

const std::vector<DeploymentCase> kDeploymentCases = {
    {"a single instance", 1, 4, 0},
    {"two instances and a single worker", 2, 1, 0},
    {"an instance in each of three zones", 3, 16, 0},
    {"two services, one of which does not enforce capacity", 3, 8, 8},
    {"no worker enforces its capacity", 2, 0, 8},
    {"thirty instances", 30, 24, 8},
};

// A fault that is injected into the emulation and cleared later.
struct FaultCase {
  std::string name;
  std::function<void(Emulation&)> inject;
  std::function<void(Emulation&)> clear;
};

const std::vector<FaultCase> kFaultCases = {
    {"nothing", [](Emulation&) {}, [](Emulation&) {}},
    {"orders are carried out late",
     [](Emulation& run) { run.rates.late_orders = 300; },
     [](Emulation& run) { run.rates.late_orders = 0; }},
    {"answers to orders are lost",
     [](Emulation& run) { run.rates.lost_orders = 300; },
     [](Emulation& run) { run.rates.lost_orders = 0; }},
    {"every instance is killed",
     [](Emulation& run) {
       for (int i = 0; i < static_cast<int>(run.entries.size()); ++i) {
         run.KillEntry(i);
       }
     },
     [](Emulation& run) {
       for (int i = 0; i < static_cast<int>(run.entries.size()); ++i) {
         run.StartEntry(i);
       }
     }},
};

// Submits gangs and single tasks in turn, with at most two tasks per worker and
// at most 12. With `open` the route to workers that do not enforce their
// capacity is used.
void SubmitTo(Emulation& run, int entry, int number, bool open, int workers) {
  Emulation::Submitted what{.work = milliseconds(300 + number % 5 * 200)};
  const auto count =
      static_cast<std::uint32_t>(1 + number % std::min(workers * 2, 12));
  what.spec.steps = {MakeStep(count, number % 2 == 0 ? 4 : 3, number % 3 == 0)};
  const std::string route =
      open ? "open" : (number % 4 == 0 ? "urgent" : "normal");
  run.Submit(entry, route, Emulation::MakeId(number), what);
}

void RunDeployment(const DeploymentCase& sample, const FaultCase& fault) {
  Emulation run;
  run.store.configs.push_back(Emulation::MakeConfig(1));
  run.AddWorkers(sample.workers);
  run.AddWorkers(sample.open_workers, Service("open"), false);
  run.AddEntries(sample.entries);
  BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
  std::map<int, ExchangeId> submissions;
  for (int number = 1; number <= 24; ++number) {
    if (number == 6) {
      fault.inject(run);
      run.ScheduleAfter(seconds(3), [&] { fault.clear(run); });
    }
    const bool open =
        sample.open_workers > 0 && (sample.workers == 0 || number % 2 == 0);
    const int entry = number % sample.entries;
    if (run.entries[static_cast<std::size_t>(entry)]->up) {
      SubmitTo(run, entry, number, open,
               open ? sample.open_workers : sample.workers);
      submissions[number] = ExchangeId(run.last_exchange);
    }
    run.RunFor(milliseconds(300));
  }
  for (const auto& [number, exchange] : submissions) {
    const auto answer = run.AnswerTo(exchange);
    if (!answer || answer->result != CallResult::kOk) {
      run.expected_to_end.erase(Emulation::MakeId(number));
    }
  }
  BOOST_TEST(!run.expected_to_end.empty());
  BOOST_TEST(run.RunFor(seconds(60), [&] { return run.AllWorkflowsEnded(); }));
  for (const WorkflowId& id : run.expected_to_end) {
    BOOST_TEST((run.FindTerminalState(id) == WorkflowState::kSucceeded),
               id.value);
  }
  for (const std::string& violation : run.violations) {
    BOOST_ERROR(violation);
  }
}

BOOST_AUTO_TEST_CASE(deployments_of_any_shape_end_what_they_accept) {
  for (const DeploymentCase& sample : kDeploymentCases) {
    for (const FaultCase& fault : kFaultCases) {
      BOOST_TEST_CONTEXT(sample.name << ", " << fault.name) {
        RunDeployment(sample, fault);
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
