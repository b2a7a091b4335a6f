#define BOOST_TEST_MODULE protocol_freedoms
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <vector>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

// Something that the platform's pages leave open and that the stand-ins decide
// one way unless a test sets it; docs/design/standins.md lists all of them.
struct Freedom {
  std::string name;
  std::function<void(Emulation&)> use;
};

const std::vector<Freedom> kFreedoms = {
    {"the choices of the stand-ins", [](Emulation&) {}},
    {"ends are listed newest first",
     [](Emulation& run) {
       for (EmulatedWorker& worker : run.workers) {
         worker.lists_newest_first = true;
       }
     }},
    {"orders and answers overtake each other",
     [](Emulation& run) { run.order_jitter = milliseconds(150); }},
    {"one end stands for those of the whole gang",
     [](Emulation& run) { run.lists_one_member_done = true; }},
    {"holds are answered before the end of their wait",
     [](Emulation& run) { run.early_answers = 200; }},
    {"stops take effect at once",
     [](Emulation& run) { run.stop_grace = Duration(); }},
    {"workers keep the acknowledged number",
     [](Emulation& run) { run.KeepAcknowledgements(); }},
    {"all of these",
     [](Emulation& run) {
       for (EmulatedWorker& worker : run.workers) {
         worker.lists_newest_first = true;
       }
       run.order_jitter = milliseconds(150);
       run.lists_one_member_done = true;
       run.early_answers = 200;
       run.KeepAcknowledgements();
     }},
};

// What happens while the workflows run.
struct Trouble {
  std::string name;
  bool cut_workers;
  bool kill_holder;
  int lost_orders;
};

const std::vector<Trouble> kTroubles = {
    {"nothing", false, false, 0},
    {"workers are cut off", true, false, 0},
    {"the holder is killed while workers are cut off", true, true, 0},
    {"answers are lost", false, false, 30},
};

// Small tasks that end together, gangs, steps in a row, and tasks that fail
// before they succeed.
void SubmitMixedWork(Emulation& run) {
  const auto submit = [&](int number, const char* route,
                          std::vector<StepSpec> steps,
                          std::uint32_t failing_runs = 0) {
    Emulation::Submitted what{.work = milliseconds(900 + number % 5 * 300),
                              .failing_runs = failing_runs};
    what.spec.steps = std::move(steps);
    run.Submit(number % 3, route, Emulation::MakeId(number), what);
  };
  StepSpec small = MakeStep(300, 0);
  small.need.processors = Millicores(20);
  small.need.memory = Mebibytes(16);
  StepSpec second = MakeStep(3, 1);
  second.depends_on = {StepIndex(0)};
  int number = 0;
  for (int round = 0; round < 4; ++round) {
    submit(++number, "bulk", {small});
    submit(++number, "normal", {MakeStep(6, 2, true)});
    submit(++number, "urgent", {MakeStep(2, 1), second});
    submit(++number, "normal", {MakeStep(3, 1)}, 1);
    run.RunFor(milliseconds(300));
  }
}

// Guards against faults that the choices of the stand-ins hide, such as ends
// that count as applied because a later one came first in the list (review/6).
BOOST_AUTO_TEST_CASE(promises_hold_whatever_the_pages_leave_open) {
  for (const Freedom& freedom : kFreedoms) {
    for (const Trouble& trouble : kTroubles) {
      BOOST_TEST_CONTEXT(freedom.name << ", " << trouble.name) {
        Emulation run;
        run.store.configs.push_back(Emulation::MakeConfig(1));
        run.AddWorkers(8);
        run.AddEntries(3);
        freedom.use(run);
        BOOST_REQUIRE(
            run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
        run.rates.lost_orders = trouble.lost_orders;
        SubmitMixedWork(run);
        if (trouble.cut_workers) {
          for (const auto& entry : run.entries) {
            entry->cut_workers = {run.workers[0].listing.id,
                                  run.workers[1].listing.id};
          }
          run.RunFor(milliseconds(800));
        }
        if (trouble.kill_holder) {
          run.KillEntry(run.Holder());
        }
        run.RunFor(milliseconds(1500));
        for (const auto& entry : run.entries) {
          entry->cut_workers.clear();
        }
        run.rates.lost_orders = 0;
        BOOST_TEST(
            run.RunFor(seconds(60), [&] { return run.AllWorkflowsEnded(); }));
        for (const WorkflowId& id : run.expected_to_end) {
          BOOST_TEST((run.FindTerminalState(id) == WorkflowState::kSucceeded));
        }
        for (const std::string& violation : run.violations) {
          BOOST_ERROR(violation);
        }
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
