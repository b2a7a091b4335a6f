#define BOOST_TEST_MODULE guarantees
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cells/packing.h"
#include "tests/support/cell_simulation.h"

namespace chicorystep::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kReclaimMargin = seconds(1);

struct QuietLogs {
  QuietLogs() { ConfigureLogging(LogLevel::kError, "guarantees_test"); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLogs);

Pool MakePool(int workspace, std::vector<Guarantee> guarantees) {
  return Pool{
      .key = {PoolName("main"), Workspace(fmt::format("w{}", workspace))},
      .weight = Weight{1},
      .borrows = true,
      .guarantees = std::move(guarantees)};
}

Guarantee MakeGuarantee(std::int64_t count,
                        std::int64_t pieces,
                        std::int64_t accelerators,
                        Adjacency adjacency) {
  return Guarantee{.zone = kSimulatedZone,
                   .count = count,
                   .shape = Shape{.pieces = pieces,
                                  .accelerators = Accelerators{accelerators},
                                  .adjacency = adjacency}};
}

JobSpec MakeSpec(const std::string& id, int workspace, Shape shape) {
  return JobSpec{.request_id = RequestId(id),
                 .workspace = Workspace(fmt::format("w{}", workspace)),
                 .kind = Kind("normal-repeatable"),
                 .shape = shape,
                 .command = "run",
                 .checkpointable = true};
}

// Returns the first invariant that does not hold on some worker, or an empty
// string.
std::string FindBrokenInvariant(const CellSimulation& sim) {
  for (const Worker& worker : GetSimulatedCell(sim).workers.rows) {
    const Capacity total = CapacityOf(worker.listed);
    if (!Holds(total, ReservedCapacity(worker))) {
      return "reservations on a worker exceed its capacity";
    }
    for (const Reservation& held : worker.reservations) {
      if (!Holds(held.reserved, held.used)) {
        return "a pool uses more of a worker than its reservation";
      }
    }
  }
  return "";
}

bool AllMet(const CellSimulation& sim) {
  const auto& slots = GetSimulatedCell(sim).slots;
  return std::all_of(slots.begin(), slots.end(),
                     [](const auto& slot) { return !slot.workers.empty(); });
}

// Fills the cell with borrowers of random shapes, then lets one workspace
// submit a gang for every shape that it is guaranteed. All must start within
// the reclaim grace period plus kReclaimMargin.
void CheckReclaims(int workers,
                   const std::vector<std::vector<Guarantee>>& guarantees,
                   std::uint32_t seed) {
  std::minstd_rand random(seed);
  CellSimulation sim = MakeSimulation(workers, 4);
  for (std::size_t i = 0; i < guarantees.size(); ++i) {
    AddPool(sim, MakePool(static_cast<int>(i), guarantees[i]));
  }
  const int borrower = static_cast<int>(guarantees.size());
  AddPool(sim, MakePool(borrower, {}));
  RunSimulation(sim, sim.now + seconds(1));
  RC_PRE(AllMet(sim));
  for (int i = 0; i < workers * 4; ++i) {
    Shape shape{.pieces = static_cast<std::int64_t>(1 + random() % 3),
                .accelerators =
                    Accelerators{static_cast<std::int64_t>(1 + random() % 8)}};
    JobSpec spec = MakeSpec(fmt::format("b{}", i), borrower, shape);
    spec.checkpointable = random() % 2 == 0;
    Submit(sim, spec, minutes(30), random() % 4 == 0);
  }
  RunSimulation(sim, sim.now + seconds(5));
  const auto reclaimer = random() % guarantees.size();
  std::vector<JobId> reclaiming_jobs;
  for (const Guarantee& guarantee : guarantees[reclaimer]) {
    for (std::int64_t i = 0; i < guarantee.count; ++i) {
      reclaiming_jobs.push_back(
          Submit(sim,
                 MakeSpec(fmt::format("c{}", reclaiming_jobs.size()),
                          static_cast<int>(reclaimer), guarantee.shape),
                 minutes(30)));
    }
  }
  const TimePoint submitted_at = sim.now;
  const TimePoint end =
      submitted_at + sim.world.self.reclaim_grace + kReclaimMargin;
  while (sim.now < end) {
    StepSimulation(sim, end);
    RC_ASSERT(FindBrokenInvariant(sim) == "");
  }
  for (const JobId& id : reclaiming_jobs) {
    RC_ASSERT(sim.jobs[id].started.has_value());
  }
}

BOOST_AUTO_TEST_CASE(a_guaranteed_shape_is_always_reclaimed) {
  const bool held = rc::check(
      "a workspace reclaims all its shapes within the grace period plus 1 s",
      [] {
        const int workers = *rc::gen::inRange(4, 17);
        const auto pools = *rc::gen::inRange(1, 4);
        std::vector<std::vector<Guarantee>> guarantees;
        for (int i = 0; i < pools; ++i) {
          guarantees.push_back({MakeGuarantee(
              *rc::gen::inRange(1, 3), *rc::gen::inRange(1, 4),
              *rc::gen::inRange(1, 9),
              *rc::gen::element(Adjacency::kNone, Adjacency::kRack))});
        }
        CheckReclaims(workers, guarantees,
                      *rc::gen::arbitrary<std::uint32_t>() | 1U);
      });
  BOOST_TEST(held);
}

// The guarantees that are unmet after a change to the tables or the workers.
struct ReplanCase {
  std::string name;
  int workers;
  int lost_workers;
  std::int64_t count_before;
  std::int64_t count_after;
  std::size_t unmet;
};

std::ostream& operator<<(std::ostream& stream, const ReplanCase& value) {
  return stream << value.name;
}

const std::vector<ReplanCase> kReplanCases = {
    {"capacity for all", 8, 0, 2, 2, 0},
    {"a worker is lost, others take its shape", 8, 1, 1, 1, 0},
    {"too many workers are lost", 8, 5, 1, 1, 1},
    {"a pool grows beyond the cell", 8, 0, 1, 3, 1},
    {"a pool shrinks", 8, 0, 2, 1, 0},
};

BOOST_AUTO_TEST_CASE(replanning_reports_unmet_guarantees) {
  for (const ReplanCase& sample : kReplanCases) {
    BOOST_TEST_CONTEXT(sample) {
      CellSimulation sim = MakeSimulation(sample.workers, 4);
      const auto guarantee = [](std::int64_t count) {
        return std::vector{MakeGuarantee(count, 4, 8, Adjacency::kRack)};
      };
      AddPool(sim, MakePool(0, guarantee(sample.count_before)));
      RunSimulation(sim, sim.now + seconds(1));
      const JobId job = Submit(
          sim, MakeSpec("j", 0, guarantee(1).front().shape), minutes(30));
      RunSimulation(sim, sim.now + seconds(2));
      BOOST_TEST(sim.jobs[job].started.has_value());
      AddPool(sim, MakePool(0, guarantee(sample.count_after)));
      if (sample.lost_workers > 0) {
        InstanceList list = sim.world.instances;
        list.workers.resize(list.workers.size() -
                            static_cast<std::size_t>(sample.lost_workers));
        sim.inbox.instance_lists.push_back(list);
      }
      RunSimulation(sim, sim.now + seconds(2));
      const auto& slots = GetSimulatedCell(sim).slots;
      BOOST_TEST(std::count_if(slots.begin(), slots.end(),
                               [](const GuaranteeSlot& slot) {
                                 return slot.workers.empty();
                               }) == static_cast<std::ptrdiff_t>(sample.unmet));
      BOOST_TEST(FindBrokenInvariant(sim) == "");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_gang_over_a_shrunken_pool_becomes_a_borrower) {
  CellSimulation sim = MakeSimulation(4, 4);
  AddPool(sim, MakePool(0, {MakeGuarantee(1, 4, 8, Adjacency::kRack)}));
  AddPool(sim, MakePool(1, {}));
  RunSimulation(sim, sim.now + seconds(1));
  const Shape shape = MakeGuarantee(1, 4, 8, Adjacency::kRack).shape;
  const JobId first = Submit(sim, MakeSpec("a", 0, shape), minutes(30));
  RunSimulation(sim, sim.now + seconds(2));
  BOOST_TEST(GetSimulatedCell(sim).jobs.find(first)->guaranteed);
  AddPool(sim, MakePool(0, {}));
  AddPool(sim, MakePool(1, {MakeGuarantee(1, 4, 8, Adjacency::kRack)}));
  const JobId second = Submit(sim, MakeSpec("b", 1, shape), minutes(30));
  RunSimulation(sim, sim.now + seconds(7));
  BOOST_TEST(!GetSimulatedCell(sim).jobs.find(first)->guaranteed);
  BOOST_TEST(sim.jobs[second].started.has_value());
}

}  // namespace
}  // namespace chicorystep::testing
