#define BOOST_TEST_MODULE task_preemption
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

#include "chicorystep/systems/workflows/preemption/victim_selection.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

Capacity MakeNeed(std::int64_t accelerators, std::int64_t gibibytes = 1) {
  return Capacity{Accelerators(accelerators), Millicores(1000),
                  Mebibytes(1024 * gibibytes)};
}

// A victim that runs one task on each of `workers`.
struct VictimSample {
  std::vector<std::size_t> workers;
  std::int64_t accelerators;
  std::int64_t cost;
  std::int64_t gibibytes = 1;
};

// What is free on some workers, what runs there, and which of it is stopped for
// a number of tasks.
struct SelectionCase {
  std::string name;
  std::vector<std::int64_t> free;
  std::vector<VictimSample> victims;
  std::int64_t need;
  std::size_t tasks;
  // Nothing if the tasks cannot be placed.
  std::optional<std::vector<std::size_t>> stopped;
  std::int64_t need_gibibytes = 1;
};

const std::vector<SelectionCase> kSelectionCases = {
    {"nothing is stopped if there is room", {8}, {{{0}, 4, 1}}, 8, 1, {{}}},
    {"the cheapest victim that suffices",
     {0, 0},
     {{{0}, 8, 90}, {{1}, 8, 20}},
     8,
     1,
     {{1}}},
    {"small victims are spared if a large one is needed anyway",
     {0},
     {{{0}, 1, 10}, {{0}, 1, 11}, {{0}, 6, 50}},
     6,
     1,
     {{2}}},
    {"one large victim instead of several that cost more together",
     {0},
     {{{0}, 1, 10}, {{0}, 1, 10}, {{0}, 1, 10}, {{0}, 1, 10}, {{0}, 4, 30}},
     4,
     1,
     {{4}}},
    {"several small victims instead of a large one that costs more",
     {0},
     {{{0}, 2, 10}, {{0}, 2, 10}, {{0}, 4, 30}},
     4,
     1,
     {{0, 1}}},
    {"a gang is broken once for all tasks that it makes room for",
     {0, 0},
     {{{0, 1}, 8, 60}, {{0}, 8, 40}, {{1}, 8, 40}},
     8,
     2,
     {{0}}},
    {"a gang is not broken for one of its workers",
     {0, 0},
     {{{0, 1}, 8, 60}, {{0}, 8, 40}},
     8,
     1,
     {{1}}},
    {"what a gang frees elsewhere spares other victims",
     {0, 0, 0},
     {{{0, 1}, 8, 50}, {{2}, 8, 45}},
     8,
     2,
     {{0}}},
    {"room that is free already is used first",
     {8, 0},
     {{{1}, 8, 5}, {{0}, 4, 1}},
     8,
     2,
     {{0}}},
    {"room that earlier stops will free is not freed twice",
     {-8, 8},
     {{{0}, 8, 1}, {{1}, 8, 1}},
     8,
     1,
     {{}}},
    {"nothing is stopped if all of it would not suffice",
     {0, 0},
     {{{0}, 4, 1}, {{1}, 4, 1}},
     8,
     1,
     std::nullopt},
    {"memory is freed as well as accelerators",
     {0},
     {{{0}, 1, 1}, {{0}, 1, 20, 64}},
     1,
     1,
     {{1}},
     64},
};

BOOST_AUTO_TEST_CASE(victims_are_as_few_as_the_tasks_need) {
  for (const SelectionCase& sample : kSelectionCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      PreemptionField field;
      for (const std::int64_t free : sample.free) {
        field.workers.push_back(
            WorkerRoom{.free = Capacity{Accelerators(free), Millicores(16'000),
                                        Mebibytes(1024 * 2)},
                       .max_tasks = static_cast<std::uint32_t>(sample.tasks)});
      }
      for (const VictimSample& victim : sample.victims) {
        PreemptionVictim made{.cost = CoreMillis(victim.cost)};
        for (const std::size_t worker : victim.workers) {
          made.parts.push_back(VictimPart{
              .worker = worker,
              .frees = MakeNeed(victim.accelerators, victim.gibibytes)});
        }
        field.victims.push_back(made);
      }
      const PreemptionWant want{
          .need = MakeNeed(sample.need, sample.need_gibibytes),
          .tasks = sample.tasks};
      const auto choice = ChooseVictims(field, want);
      BOOST_TEST(choice.has_value() == sample.stopped.has_value());
      if (choice && sample.stopped) {
        BOOST_TEST(choice->victims == *sample.stopped,
                   boost::test_tools::per_element());
        BOOST_TEST(choice->workers.size() == sample.tasks);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_limit_of_tasks_per_worker_holds) {
  PreemptionField field;
  for (const std::uint32_t max_tasks : {1U, 0U, 1U}) {
    field.workers.push_back(
        WorkerRoom{.free = MakeNeed(8, 64), .max_tasks = max_tasks});
  }
  const auto choice =
      ChooseVictims(field, PreemptionWant{.need = MakeNeed(1), .tasks = 2});
  const std::vector<std::size_t> expected = {0, 2};
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->workers == expected, boost::test_tools::per_element());
  BOOST_TEST(
      !ChooseVictims(field, PreemptionWant{.need = MakeNeed(1), .tasks = 3})
           .has_value());
}

// A full cell when an urgent gang arrives. Its workspace is guaranteed two
// workers; the gang's estimate is 1 s and its objective 3 s.
struct BurstCase {
  std::string name;
  // Members of the gang, each of which takes a whole worker.
  std::uint32_t members;
  // Of the bulk work, which began 2.5 s before the gang arrives.
  Duration estimate;
  Duration work;
  // How long after its submission the gang must have started at the latest.
  Duration started_within;
  bool stops_bulk;
};

const std::vector<BurstCase> kBurstCases = {
    {"a guaranteed gang does not wait for work that runs longer than estimated",
     2, milliseconds(2600), seconds(60), milliseconds(3400), true},
    {"nor does another gang", 3, milliseconds(2600), seconds(60),
     milliseconds(3000), true},
    {"runs that end before their stop count", 3, milliseconds(2600),
     milliseconds(2600), milliseconds(3000), false},
};

// Pattern: an urgent user on a service whose room bulk work has taken.
BOOST_AUTO_TEST_CASE(urgent_gangs_start_in_time_on_a_full_cell) {
  for (const BurstCase& sample : kBurstCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(8);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      Emulation::Submitted bulk{.work = sample.work};
      bulk.spec.steps = {MakeStep(64, 1)};
      bulk.spec.steps[0].estimate = sample.estimate;
      run.Submit(0, "bulk", Emulation::MakeId(1), bulk);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.starts == 64; }));
      run.RunFor(milliseconds(2500));
      const TimePoint submitted = run.now;
      Emulation::Submitted urgent{.work = milliseconds(500)};
      urgent.spec.steps = {MakeStep(sample.members, 8, true)};
      run.Submit(0, "urgent", Emulation::MakeId(2), urgent);
      BOOST_REQUIRE(run.RunFor(seconds(10), [&] {
        return run.starts >= 64 + sample.members &&
               run.FindTerminalState(Emulation::MakeId(2)).has_value();
      }));
      BOOST_TEST((run.last_started[Emulation::MakeId(2)] - submitted <=
                  sample.started_within));
      run.RunFor(seconds(2));
      BOOST_TEST((run.starts > 64 + sample.members) == sample.stops_bulk);
      BOOST_TEST(run.violations.empty());
    }
  }
}

}  // namespace
}  // namespace chicorystep
