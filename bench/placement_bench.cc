// Measures placement by the real tick in virtual time and compares it with
// first-fit in arrival order on the same trace. Seeds are fixed.

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench/support/goals.h"
#include "chicorystep/core/logging.h"
#include "tests/support/cell_simulation.h"

namespace chicorystep::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// One cell and the jobs submitted to it.
struct BenchCase {
  std::string_view name;
  int workers = 0;
  int per_rack = 8;
  int workspaces = 0;
  // Jobs submitted within kInitialSpan, and the rate afterwards.
  int initial_jobs = 0;
  double jobs_per_second = 0;
  std::int64_t largest_gang = 0;
  Duration length{};
  // Prefix of the names of this case's goals.
  std::string_view goal_prefix;
};

const std::vector<BenchCase> kCases = {
    {"atlas (a zone)", 17, 8, 4, 100, 0.15, 32, minutes(40), "atlas"},
    {"bay-state (a zone)", 16, 8, 4, 100, 0.15, 32, minutes(40), "bay_state"},
    {"target (a cell)", 512, 8, 85, 10'000, 9.0, 1024, minutes(4), "target"},
};

// Used with --quick: the first minutes of a deployment's zone.
const BenchCase kQuickCase = {
    "atlas (a zone), short", 17, 8, 4, 100, 0.15, 32, minutes(10), "short"};

// Groups of cells that differ in one dimension only.
const std::vector<std::pair<std::string_view, std::vector<BenchCase>>>
    kGrowthCases = {
        {"workers",
         {{"", 128, 8, 8, 500, 2, 32, minutes(1)},
          {"", 512, 8, 8, 500, 2, 32, minutes(1)},
          {"", 1930, 8, 8, 500, 2, 32, minutes(1)}}},
        {"waiting jobs",
         {{"", 64, 8, 8, 1'000, 2, 32, minutes(1)},
          {"", 64, 8, 8, 10'000, 2, 32, minutes(1)}}},
        {"guaranteed shapes",
         {{"", 512, 8, 8, 500, 2, 32, minutes(1)},
          {"", 512, 8, 64, 500, 2, 32, minutes(1)}}},
};

// The initial jobs arrive evenly within this time.
constexpr Duration kInitialSpan = seconds(10);

enum class JobClass { kShort, kLong, kGang, kUrgent };

struct TraceJob {
  JobClass job_class = JobClass::kShort;
  JobSpec spec;
  TimePoint at{};
  Duration run_time{};
  bool checkpoint_hangs = false;
};

Shape MakeShape(std::int64_t pieces,
                std::int64_t accelerators,
                Adjacency adjacency) {
  return Shape{.pieces = pieces,
               .accelerators = Accelerators{accelerators},
               .processors = Millicores{accelerators * 2000},
               .memory = Mebibytes{accelerators * 4096},
               .adjacency = adjacency};
}

// Draws the class, shape and run time of `job`. One job in fifty is a
// straggler, which runs five times as long.
void DrawJob(std::mt19937& random, const BenchCase& sample, TraceJob& job) {
  const auto in_range = [&](std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
  };
  const std::int64_t draw = in_range(0, 99);
  job.spec.checkpointable = true;
  std::int64_t run_seconds = 0;
  if (draw < 4) {
    job.job_class = JobClass::kUrgent;
    job.spec.kind = Kind("urgent-repeatable");
    job.spec.shape = MakeShape(1, 1, Adjacency::kNone);
    run_seconds = in_range(2, 10);
  } else if (draw < 76) {
    job.job_class = JobClass::kShort;
    job.spec.kind = Kind("normal-repeatable");
    job.spec.shape = MakeShape(1, in_range(1, 2), Adjacency::kNone);
    job.spec.checkpointable = in_range(0, 1) == 0;
    run_seconds = in_range(5, 60);
  } else if (draw < 96) {
    job.job_class = JobClass::kLong;
    job.spec.kind = Kind("bulk-repeatable");
    job.spec.shape = MakeShape(1, in_range(1, 8), Adjacency::kWorker);
    run_seconds = in_range(300, 1200);
  } else {
    job.job_class = JobClass::kGang;
    job.spec.kind = Kind("normal-repeatable");
    const std::int64_t pieces = std::int64_t{1} << in_range(1, 2);
    job.spec.shape = MakeShape(pieces, 8, Adjacency::kRack);
    if (in_range(0, 9) == 0) {
      job.spec.shape =
          MakeShape(std::min<std::int64_t>(sample.largest_gang,
                                           std::int64_t{1} << in_range(4, 10)),
                    1, Adjacency::kNone);
    }
    run_seconds = in_range(120, 600);
  }
  if (in_range(0, 49) == 0) {
    run_seconds *= 5;
  }
  job.run_time = seconds(run_seconds);
  job.checkpoint_hangs = in_range(0, 9) == 0;
}

std::vector<TraceJob> MakeTrace(const BenchCase& sample, TimePoint begin) {
  std::mt19937 random(20261204);
  std::exponential_distribution<double> gap(sample.jobs_per_second);
  std::vector<TraceJob> trace;
  TimePoint at = begin;
  const TimePoint end = begin + sample.length;
  while (true) {
    at += std::ssize(trace) < sample.initial_jobs
              ? kInitialSpan / sample.initial_jobs
              : Duration(static_cast<std::int64_t>(gap(random) * 1e6));
    if (at >= end) {
      return trace;
    }
    TraceJob job{.at = at};
    DrawJob(random, sample, job);
    job.spec.request_id = RequestId(fmt::format("j{}", trace.size()));
    job.spec.workspace =
        Workspace(fmt::format("w{}", std::uniform_int_distribution<int>(
                                         0, sample.workspaces - 1)(random)));
    job.spec.command = "run";
    trace.push_back(std::move(job));
  }
}

// The shape guaranteed to a workspace: four whole workers of one rack.
Shape MakeGuaranteedShape() {
  return MakeShape(4, 8, Adjacency::kRack);
}

// At most one guaranteed shape for each rack of eight workers, so that
// guarantees take no more than half of the cell.
int CountGuaranteedWorkspaces(const BenchCase& sample) {
  return std::min(sample.workspaces, sample.workers / 8);
}

// Returns the share of all accelerators that are free but left over when as
// many guaranteed shapes as possible are placed.
double MeasureFragmentation(const std::vector<std::int64_t>& free,
                            int per_rack) {
  std::int64_t total = 0;
  std::int64_t unusable = 0;
  for (std::size_t first = 0; first < free.size();
       first += static_cast<std::size_t>(per_rack)) {
    const std::size_t last =
        std::min(free.size(), first + static_cast<std::size_t>(per_rack));
    std::int64_t free_workers = 0;
    for (std::size_t i = first; i < last; ++i) {
      unusable += std::max<std::int64_t>(free[i], 0);
      free_workers += free[i] >= 8 ? 1 : 0;
      total += 8;
    }
    unusable -= free_workers / 4 * 4 * 8;
  }
  return static_cast<double>(unusable) / static_cast<double>(total);
}

// Measurements of one placement policy.
struct Outcome {
  std::map<JobClass, std::vector<double>> completion_seconds;
  std::map<JobClass, int> unfinished;
  std::vector<double> urgent_start_seconds;
  double fragmentation_sum = 0;
  int fragmentation_samples = 0;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Adds a job to the measurements. A job that has not started or ended by `end`
// counts with the time from its arrival until then.
void AddJob(Outcome& outcome,
            const TraceJob& job,
            std::optional<TimePoint> started,
            std::optional<TimePoint> ended,
            TimePoint end) {
  if (!ended) {
    ++outcome.unfinished[job.job_class];
  }
  outcome.completion_seconds[job.job_class].push_back(
      Seconds(ended.value_or(end) - job.at));
  if (job.job_class == JobClass::kUrgent) {
    outcome.urgent_start_seconds.push_back(
        Seconds(started.value_or(end) - job.at));
  }
}

// First-fit in arrival order: the first job that does not fit blocks the rest.
struct FirstFitCell {
  std::vector<std::int64_t> free;
  int per_rack = 8;
  std::deque<std::size_t> waiting;
  std::multimap<TimePoint, std::pair<std::size_t, std::vector<std::size_t>>>
      running;
};

std::optional<std::vector<std::size_t>> FindFirstFit(const FirstFitCell& cell,
                                                     const Shape& shape) {
  std::vector<std::size_t> rows;
  const std::int64_t each = shape.accelerators.value;
  for (std::size_t row = 0; row < cell.free.size(); ++row) {
    const bool new_rack = row % static_cast<std::size_t>(cell.per_rack) == 0;
    if (shape.adjacency == Adjacency::kWorker ||
        (shape.adjacency == Adjacency::kRack && new_rack)) {
      rows.clear();
    }
    for (std::int64_t capacity = cell.free[row];
         capacity >= each && std::ssize(rows) < shape.pieces;
         capacity -= each) {
      rows.push_back(row);
    }
    if (std::ssize(rows) == shape.pieces) {
      return rows;
    }
  }
  return std::nullopt;
}

Outcome RunFirstFit(const BenchCase& sample,
                    const std::vector<TraceJob>& trace,
                    TimePoint begin) {
  Outcome outcome;
  FirstFitCell cell{.free = std::vector<std::int64_t>(
                        static_cast<std::size_t>(sample.workers), 8),
                    .per_rack = sample.per_rack};
  std::vector<std::optional<TimePoint>> started(trace.size());
  std::vector<std::optional<TimePoint>> ended(trace.size());
  const TimePoint end = begin + sample.length;
  std::size_t next = 0;
  for (TimePoint now = begin; now < end; now += milliseconds(100)) {
    for (; next < trace.size() && trace[next].at <= now; ++next) {
      cell.waiting.push_back(next);
    }
    while (!cell.running.empty() && cell.running.begin()->first <= now) {
      const auto& [job, rows] = cell.running.begin()->second;
      ended[job] = cell.running.begin()->first;
      for (const std::size_t row : rows) {
        cell.free[row] += trace[job].spec.shape.accelerators.value;
      }
      cell.running.erase(cell.running.begin());
    }
    while (!cell.waiting.empty()) {
      const std::size_t job = cell.waiting.front();
      const auto rows = FindFirstFit(cell, trace[job].spec.shape);
      if (!rows) {
        break;
      }
      for (const std::size_t row : *rows) {
        cell.free[row] -= trace[job].spec.shape.accelerators.value;
      }
      started[job] = now;
      cell.running.emplace(now + trace[job].run_time, std::pair(job, *rows));
      cell.waiting.pop_front();
    }
    outcome.fragmentation_sum +=
        MeasureFragmentation(cell.free, sample.per_rack);
    ++outcome.fragmentation_samples;
  }
  for (std::size_t i = 0; i < trace.size(); ++i) {
    AddJob(outcome, trace[i], started[i], ended[i], end);
  }
  return outcome;
}

CellSimulation MakeBenchCell(const BenchCase& sample) {
  CellSimulation sim = MakeSimulation(sample.workers, sample.per_rack);
  for (int i = 0; i < sample.workspaces; ++i) {
    Pool pool{.key = {PoolName("main"), Workspace(fmt::format("w{}", i))},
              .weight = Weight{1 + i % 4},
              .borrows = true};
    if (i < CountGuaranteedWorkspaces(sample)) {
      pool.guarantees.push_back(Guarantee{
          .zone = kSimulatedZone, .count = 1, .shape = MakeGuaranteedShape()});
    }
    AddPool(sim, std::move(pool));
  }
  RunSimulation(sim, sim.now + seconds(1));
  sim.tick_costs.clear();
  return sim;
}

void SampleFragmentation(const CellSimulation& sim,
                         const BenchCase& sample,
                         Outcome& outcome) {
  std::vector<std::int64_t> free;
  for (const Worker& worker : GetSimulatedCell(sim).workers.rows) {
    free.push_back(worker.free.accelerators.value);
  }
  outcome.fragmentation_sum += MeasureFragmentation(free, sample.per_rack);
  ++outcome.fragmentation_samples;
}

Outcome RunSystems(CellSimulation& sim,
                   const BenchCase& sample,
                   const std::vector<TraceJob>& trace) {
  Outcome outcome;
  const TimePoint begin = sim.now;
  const TimePoint end = begin + sample.length;
  TimePoint next_sample = begin;
  std::vector<JobId> ids;
  while (sim.now < end) {
    while (ids.size() < trace.size() && trace[ids.size()].at <= sim.now) {
      const TraceJob& job = trace[ids.size()];
      ids.push_back(Submit(sim, job.spec, job.run_time, job.checkpoint_hangs));
    }
    const TimePoint arrival =
        ids.size() < trace.size() ? trace[ids.size()].at : end;
    StepSimulation(sim, std::min({end, arrival, next_sample}));
    if (sim.now >= next_sample) {
      next_sample += seconds(1);
      SampleFragmentation(sim, sample, outcome);
    }
  }
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const SimulatedJob& job = sim.jobs[ids[i]];
    AddJob(outcome, trace[i], job.started, job.ended, end);
  }
  return outcome;
}

void PrintOutcome(std::string_view policy, Outcome& outcome) {
  const auto line = [&](std::string_view name, JobClass job_class) {
    const auto& values = outcome.completion_seconds[job_class];
    fmt::print(
        "  {:<9} {:<6} n={:<6} median={:.1f}s p99={:.1f}s "
        "unfinished={}\n",
        policy, name, values.size(), Percentile(values, 0.5),
        Percentile(values, 0.99), outcome.unfinished[job_class]);
  };
  line("short", JobClass::kShort);
  line("long", JobClass::kLong);
  line("gang", JobClass::kGang);
  line("urgent", JobClass::kUrgent);
  fmt::print(
      "  {:<9} urgent start p50={:.3f}s p99={:.3f}s "
      "fragmentation={:.2f}%\n",
      policy, Percentile(outcome.urgent_start_seconds, 0.5),
      Percentile(outcome.urgent_start_seconds, 0.99),
      100 * outcome.fragmentation_sum / outcome.fragmentation_samples);
}

void PrintSystemCosts(const CellSimulation& sim, const BenchCase& sample) {
  std::vector<double> ticks;
  double total = 0;
  for (const auto cost : sim.tick_costs) {
    ticks.push_back(std::chrono::duration<double, std::milli>(cost).count());
    total += ticks.back();
  }
  std::vector<double> starts;
  for (const GuaranteedStart& start : sim.guaranteed_starts) {
    starts.push_back(Seconds(start.delay));
  }
  const double length = Seconds(sample.length);
  const double limit = Seconds(sim.world.self.reclaim_grace) + 1;
  fmt::print(
      "  guaranteed starts n={} p50={:.3f}s p99={:.3f}s max={:.3f}s "
      "over grace+1s={}\n",
      starts.size(), Percentile(starts, 0.5), Percentile(starts, 0.99),
      Percentile(starts, 1),
      std::count_if(starts.begin(), starts.end(),
                    [&](double value) { return value > limit; }));
  fmt::print(
      "  ticks n={} p50={:.3f}ms p99={:.3f}ms max={:.3f}ms "
      "cpu={:.2f}% of a core; {:.1f} worker messages/s "
      "{:.1f} commands/s {:.1f} records/s\n",
      ticks.size(), Percentile(ticks, 0.5), Percentile(ticks, 0.99),
      Percentile(ticks, 1), total / length / 10,
      static_cast<double>(sim.messages) / length,
      static_cast<double>(sim.commands) / length,
      static_cast<double>(sim.records) / length);
}

// The stated goals (issue 5): the 99th percentile of the start of urgent jobs,
// and fragmentation and completion time of short jobs relative to first-fit.
constexpr double kMaxUrgentStartSeconds = 1;
constexpr double kMaxFragmentationRatio = 0.5;
constexpr double kMaxShortTimeRatio = 0.2;

void CheckGoals(Goals& goals,
                const BenchCase& sample,
                const CellSimulation& sim,
                Outcome& baseline,
                Outcome& systems) {
  const auto expect = [&](std::string_view name, bool met, double measured) {
    Expect(goals, fmt::format("{}_{}", sample.goal_prefix, name), met,
           fmt::format("{:.3f}", measured));
  };
  const std::vector<double>& shorts =
      systems.completion_seconds[JobClass::kShort];
  expect("serves",
         !shorts.empty() &&
             systems.unfinished[JobClass::kShort] < std::ssize(shorts),
         systems.unfinished[JobClass::kShort]);
  const double urgent = Percentile(systems.urgent_start_seconds, 0.99);
  expect("urgent_start", urgent < kMaxUrgentStartSeconds, urgent);
  for (const double share : {0.5, 0.99}) {
    const double systems_time = Percentile(shorts, share);
    expect(share == 0.5 ? "short_median" : "short_p99",
           systems_time <=
               kMaxShortTimeRatio *
                   Percentile(baseline.completion_seconds[JobClass::kShort],
                              share),
           systems_time);
  }
  expect("fragmentation",
         systems.fragmentation_sum <=
             kMaxFragmentationRatio * baseline.fragmentation_sum,
         systems.fragmentation_sum / systems.fragmentation_samples);
  const Duration limit = sim.world.self.reclaim_grace + seconds(1);
  const auto late = std::count_if(
      sim.guaranteed_starts.begin(), sim.guaranteed_starts.end(),
      [&](const GuaranteedStart& start) { return start.delay > limit; });
  expect("reclaim", late == 0, static_cast<double>(late));
}

void RunCase(const BenchCase& sample, Goals& goals) {
  fmt::print(
      "{}: {} workers, {} workspaces, {} jobs at first, {} a second, "
      "{} min\n",
      sample.name, sample.workers, sample.workspaces, sample.initial_jobs,
      sample.jobs_per_second,
      std::chrono::duration_cast<minutes>(sample.length).count());
  CellSimulation sim = MakeBenchCell(sample);
  const std::vector<TraceJob> trace = MakeTrace(sample, sim.now);
  Outcome baseline = RunFirstFit(sample, trace, sim.now);
  Outcome systems = RunSystems(sim, sample, trace);
  PrintOutcome("first-fit", baseline);
  PrintOutcome("systems", systems);
  PrintSystemCosts(sim, sample);
  CheckGoals(goals, sample, sim, baseline, systems);
}

// Prints how the cost of a tick grows with one dimension while the others are
// small.
void RunGrowth(std::string_view name, const std::vector<BenchCase>& cases) {
  fmt::print("tick cost by {}\n", name);
  for (const BenchCase& sample : cases) {
    CellSimulation sim = MakeBenchCell(sample);
    const std::vector<TraceJob> trace = MakeTrace(sample, sim.now);
    RunSystems(sim, sample, trace);
    fmt::print(" {} workers, {} jobs at first, {} shapes:\n", sample.workers,
               sample.initial_jobs, CountGuaranteedWorkspaces(sample));
    PrintSystemCosts(sim, sample);
  }
}

}  // namespace
}  // namespace chicorystep::testing

// Runs all cases, or those whose name contains the first other argument.
int main(int argc, char** argv) {
  using namespace chicorystep::testing;
  using std::chrono::minutes;
  const chicorystep::BenchArguments arguments =
      chicorystep::ReadBenchArguments(argc, argv);
  chicorystep::Goals goals;
  const std::string_view name_filter = arguments.positional.empty()
                                           ? std::string_view()
                                           : arguments.positional.front();
  const auto is_wanted = [&](std::string_view name) {
    return name.find(name_filter) != std::string_view::npos;
  };
  chicorystep::ConfigureLogging(chicorystep::LogLevel::kError,
                                "placement_bench");
  if (arguments.quick) {
    RunCase(kQuickCase, goals);
    return chicorystep::Finish(goals, arguments);
  }
  for (const BenchCase& sample : kCases) {
    if (is_wanted(sample.name)) {
      RunCase(sample, goals);
    }
  }
  for (const auto& [name, cases] : kGrowthCases) {
    if (is_wanted(name)) {
      RunGrowth(name, cases);
    }
  }
  return chicorystep::Finish(goals, arguments);
}
