// Cost of the workflow scheduler's tick in the process that places workflows,
// by workers and waiting workflows, in virtual time over the real tick. Seeds
// are fixed.

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "bench/support/goals.h"
#include "chicorystep/core/logging.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

struct LoadCase {
  std::string name;
  int workers = 0;
  // Workflows that wait behind a full cell when the measurement begins.
  int waiting = 0;
  // Short urgent workflows that come in each second, and for how long.
  int per_second = 0;
  Duration length{};
};

const std::vector<LoadCase> kCases = {
    {"48 workers", 48, 100, 4, seconds(20)},
    {"350 workers", 350, 500, 15, seconds(20)},
    {"350 workers, more waiting", 350, 2000, 15, seconds(20)},
    {"1000 workers", 1000, 500, 15, seconds(20)},
};
const LoadCase kQuickCase = {"48 workers, short", 48, 50, 4, seconds(5)};

// The stated goal (issue 12) at 350 workers and 500 waiting workflows.
constexpr double kTickMilliseconds = 5;
constexpr std::size_t kGoalCase = 1;

// Fills every worker, and lets `waiting` gangs wait behind that.
void Fill(Emulation& run, const LoadCase& sample) {
  int number = 0;
  Emulation::Submitted full{.work = std::chrono::hours(1)};
  full.spec.steps = {MakeStep(8, 1)};
  for (int i = 0; i < sample.workers; ++i) {
    run.Submit(0, "bulk", Emulation::MakeId(++number), full);
  }
  (void)run.RunFor(seconds(20), [&] {
    return run.RunningTasks() == static_cast<std::size_t>(sample.workers) * 8;
  });
  Emulation::Submitted gang{.work = seconds(5)};
  gang.spec.steps = {MakeStep(4, 2, true)};
  for (int i = 0; i < sample.waiting; ++i) {
    run.Submit(0, "bulk", Emulation::MakeId(++number), gang);
  }
  (void)run.RunFor(seconds(2));
  run.owed.clear();
}

void Measure(const LoadCase& sample, bool check_time, Goals& goals) {
  Emulation run;
  run.store.configs.push_back(Emulation::MakeConfig(1));
  run.AddWorkers(sample.workers);
  run.AddEntries(2);
  Expect(goals, "a_holder_is_found",
         run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }),
         sample.name);
  Fill(run, sample);
  run.holder_ticks.clear();
  const TimePoint begin = run.now;
  Emulation::Submitted urgent{.work = seconds(1)};
  urgent.spec.steps = {MakeStep(3, 1, true)};
  for (int number = 1'000'000; run.now < begin + sample.length; ++number) {
    run.Submit(0, "urgent", Emulation::MakeId(number), urgent);
    (void)run.RunFor(Duration(seconds(1)) / sample.per_second);
  }
  const double length = std::chrono::duration<double>(run.now - begin).count();
  std::vector<double> ticks;
  double total = 0;
  for (const auto cost : run.holder_ticks) {
    ticks.push_back(std::chrono::duration<double, std::milli>(cost).count());
    total += ticks.back();
  }
  std::sort(ticks.begin(), ticks.end());
  const auto at = [&](double share) {
    return ticks.empty() ? 0.0
                         : ticks[static_cast<std::size_t>(
                               share * static_cast<double>(ticks.size() - 1))];
  };
  const auto over = std::count_if(
      run.owed.begin(), run.owed.end(),
      [&](const WorkflowId& id) { return run.Shown(id).has_value(); });
  fmt::print("{:<28} {:>8} {:>8.3f} {:>8.3f} {:>8.3f} {:>9.2f} {:>8}/{}\n",
             sample.name, ticks.size(), at(0.5), at(0.99), at(1.0),
             total / 10 / length, over, run.owed.size());
  Expect(goals, "urgent_workflows_end", over > 0, sample.name);
  Expect(goals, "nothing_runs_twice", run.violations.empty(),
         run.violations.empty() ? "" : run.violations.front());
  if (check_time) {
    Expect(goals, "tick_at_the_grown_size", at(0.99) < kTickMilliseconds,
           fmt::format("{:.3f} ms", at(0.99)));
  }
}

}  // namespace
}  // namespace chicorystep

int main(int argc, char** argv) {
  using namespace chicorystep;
  ConfigureLogging(LogLevel::kError, "bench");
  const BenchArguments arguments = ReadBenchArguments(argc, argv);
  Goals goals;
  fmt::print("{:<28} {:>8} {:>8} {:>8} {:>8} {:>9} {:>8}\n", "load", "ticks",
             "50% ms", "99% ms", "most ms", "% core", "over");
  if (arguments.quick) {
    Measure(kQuickCase, false, goals);
  } else {
    for (std::size_t i = 0; i < kCases.size(); ++i) {
      Measure(kCases[i], i == kGoalCase, goals);
    }
  }
  return Finish(goals, arguments);
}
