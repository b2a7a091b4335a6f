#define BOOST_TEST_MODULE workflow_load
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

// A load that comes at once to entries whose processors are slow, and what the
// holder has to do meanwhile.
struct LoadCase {
  std::string name;
  int workers;
  // Bulk workflows of 64 single tasks, submitted before any entry holds the
  // role.
  int backlog;
  // Processor time of one order and of one answer.
  Duration order_cost;
  // The holder is killed once the backlog runs.
  bool kill_holder;
};

// An order costs some 50 us on a whole core.
const std::vector<LoadCase> kLoadCases = {
    {"a backlog at the start, on half a core", 1100, 45,
     std::chrono::microseconds(100), false},
    {"a backlog at the start, on an eighth of a core", 1100, 45,
     std::chrono::microseconds(400), false},
    {"a takeover with a backlog, on half a core", 1100, 45,
     std::chrono::microseconds(100), true},
    {"a takeover with a backlog, on an eighth of a core", 1100, 45,
     std::chrono::microseconds(400), true},
};

// Orders that are sent together delay what follows them, such as heartbeats.
constexpr std::size_t kMaxOrdersInTick = 128 + 8;

// Pattern: a holder whose own burst of work delays its heartbeat is replaced,
// and its successor, which has all of that work and more, is replaced again.
BOOST_AUTO_TEST_CASE(a_busy_holder_keeps_its_role) {
  for (const LoadCase& sample : kLoadCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.order_cost = sample.order_cost;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(sample.workers);
      run.AddEntries(4);
      (void)run.RunFor(milliseconds(100));
      Emulation::Submitted wide{.work = seconds(4)};
      wide.spec.steps = {MakeStep(64, 1)};
      for (int i = 1; i <= sample.backlog; ++i) {
        run.Submit(i % 4, "bulk", Emulation::MakeId(i), wide);
      }
      const auto all_running = [&] {
        return run.RunningTasks() ==
               static_cast<std::size_t>(sample.backlog) * 64;
      };
      BOOST_TEST(run.RunFor(seconds(4), all_running));
      std::uint64_t epochs = 1;
      if (sample.kill_holder) {
        run.KillEntry(run.Holder());
        ++epochs;
      }
      // An urgent gang is not held up by the backlog or by the takeover.
      Emulation::Submitted urgent{.work = milliseconds(500)};
      urgent.spec.steps = {MakeStep(3, 1, true)};
      const WorkflowId gang = Emulation::MakeId(1000);
      const int to = run.Holder() == 0 ? 1 : run.entries[0]->up ? 0 : 1;
      run.Submit(to, "urgent", gang, urgent);
      BOOST_TEST(run.RunFor(sample.kill_holder ? seconds(4) : seconds(1),
                            [&] { return run.started.contains(gang); }));
      BOOST_TEST(
          run.RunFor(seconds(20), [&] { return run.AllWorkflowsEnded(); }));
      BOOST_TEST(run.store.journal.epoch.value == epochs);
      BOOST_TEST(run.most_orders_in_tick <= kMaxOrdersInTick);
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
    }
  }
}

// How many workers run one task after another.
struct ReportCase {
  std::string name;
  int workers;
};

const std::vector<ReportCase> kReportCases = {
    {"a few workers", 4},
    {"a rack of workers", 8},
};

// Guards against requests for a report that can say nothing, as they are sent
// before the start is answered: each costs the holder and the worker a call
// (atlas-dechets-large, issue 37).
BOOST_AUTO_TEST_CASE(idle_workers_report_once_their_start_is_answered) {
  constexpr int kRuns = 40;
  for (const ReportCase& sample : kReportCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(sample.workers);
      run.AddEntries(2);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      run.RunFor(seconds(1));
      const std::uint64_t before = run.holds;
      for (int i = 1; i <= kRuns; ++i) {
        Emulation::Submitted what{.work = milliseconds(100)};
        what.spec.steps = {MakeStep(1, 8)};
        run.Submit(0, "normal", Emulation::MakeId(i), what);
        run.RunFor(milliseconds(500));
      }
      // One to acknowledge the end of each run, as holds that wait for an end
      // are not counted, a tenth more, and two of each worker while it is idle.
      const auto idle = 2 * static_cast<std::uint64_t>(sample.workers);
      BOOST_TEST(run.holds - before <= kRuns + kRuns / 10 + idle);
      BOOST_TEST_MESSAGE(sample.name << ": " << run.holds - before << " holds");
    }
  }
}

// Gangs of small tasks, hundreds of which fit on one worker.
struct WideGangCase {
  std::string name;
  std::uint32_t members;
  // How long an order to each worker takes one way.
  std::vector<Duration> distances;
  int gangs = 1;
  // Before the gangs are submitted, so that distant workers can be used, too.
  Duration settles{};
  // Processor time of one order and of one answer.
  Duration order_cost = std::chrono::microseconds(100);
  Duration ends_within = seconds(8);
};

constexpr Duration kNear = milliseconds(4);
constexpr Duration kOtherRegion = milliseconds(30);
constexpr Duration kFar = milliseconds(100);
// Each order takes half a second.
constexpr Duration kSlow = milliseconds(250);

const std::vector<WideGangCase> kWideGangCases = {
    {"a near worker", 480, {kNear}},
    {"a worker in another region", 480, {kOtherRegion}},
    {"a smaller gang in another region", 200, {kOtherRegion}},
    {"as wide as a worker holds, in another region", 640, {kOtherRegion}},
    {"a longer way", 480, {kFar}},
    {"a slow worker beside a near one", 480, {kSlow, kNear}, 1, seconds(1)},
    {"slow workers beside a near one",
     480,
     {kSlow, kSlow, kNear},
     1,
     seconds(1)},
    {"the widest gang over distant workers", 1024, {kFar, kFar, kFar}},
    {"gangs that start on the same workers", 240, {kFar, kFar, kFar, kFar}, 6},
    {"the same on an eighth of a core",
     240,
     {kOtherRegion, kOtherRegion, kOtherRegion, kOtherRegion},
     6,
     Duration(),
     std::chrono::microseconds(400)},
    {"a slow worker alone, which can start a part in time", 160, {kSlow}},
};

// Pattern: the members that start first wait for the last one until the worker
// gives them up, again and again (review/10).
BOOST_AUTO_TEST_CASE(wide_gangs_are_complete_in_time) {
  for (const WideGangCase& sample : kWideGangCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.order_cost = sample.order_cost;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(static_cast<int>(sample.distances.size()));
      for (std::size_t i = 0; i < sample.distances.size(); ++i) {
        run.distances[run.workers[i].listing.id] = sample.distances[i];
      }
      run.AddEntries(2);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      run.RunFor(sample.settles);
      Emulation::Submitted gang{.work = milliseconds(500)};
      gang.spec.steps = {StepSpec{
          .count = sample.members,
          .need = Capacity{Accelerators(0), Millicores(50), Mebibytes(64)},
          .estimate = milliseconds(500),
          .gang = true}};
      for (int i = 1; i <= sample.gangs; ++i) {
        run.Submit(0, "normal", Emulation::MakeId(i), gang);
      }
      BOOST_TEST(run.RunFor(sample.ends_within,
                            [&] { return run.AllWorkflowsEnded(); }));
      // No gang has to start again.
      BOOST_TEST(run.starts ==
                 static_cast<std::uint64_t>(sample.gangs) * sample.members);
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
