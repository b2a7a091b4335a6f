#define BOOST_TEST_MODULE job_zone
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/job_operations.h"
#include "tests/support/ready_config.h"

namespace chicorystep::testing {
namespace {

const TimePoint kNow(std::chrono::seconds(1));

// A process with workers in `zones` and a pool without guarantees. It is the
// preferred holder of no cell, so it forwards each submission.
World MakeWorld(const std::vector<std::string>& zones, const CellMap& cells) {
  World world;
  world.self.cells = cells;
  MakeConfigReady(world);
  world.self.member_timeout = std::chrono::seconds(2);
  const Kind kind("train");
  world.config.routes[kind] = Route{.kind = kind, .pool = PoolName("main")};
  const PoolKey key{PoolName("main"), Workspace("w1")};
  world.config.pools[key] = Pool{.key = key, .borrows = true};
  for (int i = 0; i < 30; ++i) {
    const EntryId id(fmt::format("entry-{}", i));
    world.members.table.insert(id, Member{.id = id, .last_seen = kNow});
  }
  for (const std::string& zone : zones) {
    world.instances.workers.push_back(
        ListedWorker{.id = WorkerId("worker-" + zone), .zone = Zone(zone)});
  }
  const auto is_preferred_holder = [&] {
    const std::set<CellName> names = ConfiguredCells(cells);
    return std::any_of(names.begin(), names.end(), [&](const CellName& name) {
      return PreferredHolder(world, name, kNow) == world.self.id;
    });
  };
  for (int i = 0; i == 0 || is_preferred_holder(); ++i) {
    world.self.id = EntryId(fmt::format("self-{}", i));
  }
  return world;
}

JobId AssignedJobId(const std::vector<std::string>& zones,
                    const CellMap& cells,
                    int request) {
  World world = MakeWorld(zones, cells);
  Inbox inbox;
  inbox.job_operations.push_back(JobOperation{
      .kind = JobOperationKind::kSubmit,
      .spec = JobSpec{.request_id = RequestId(fmt::format("r{}", request)),
                      .workspace = Workspace("w1"),
                      .kind = Kind("train"),
                      .shape = Shape{.accelerators = Accelerators{1}},
                      .command = "run"}});
  Outbox outbox;
  HandleJobOperations(world, inbox, kNow, outbox);
  return outbox.forwards.empty() ? JobId{}
                                 : outbox.forwards[0].operation.spec.id;
}

struct ZoneCase {
  std::string name;
  std::vector<std::string> at_submission;
  std::vector<std::string> at_repeat;
};

const std::vector<ZoneCase> kZoneCases = {
    {"the same list", {"z1", "z2"}, {"z1", "z2"}},
    {"another order", {"z1", "z2"}, {"z2", "z1"}},
    {"a zone is listed later", {"z1", "z2"}, {"z1", "z2", "z3"}},
    {"a zone is gone", {"z1", "z2", "z3"}, {"z3"}},
};

// One cell for all zones, the default, and one cell for each of three zones.
const std::map<std::string, CellMap> kCellMaps = {
    {"one cell", CellMap{}},
    {"three cells", CellMap{{{Zone("z1"), CellName("c1")},
                             {Zone("z2"), CellName("c2")},
                             {Zone("z3"), CellName("c3")}}}},
};

BOOST_AUTO_TEST_CASE(repeat_of_a_submission_names_the_same_job) {
  for (const auto& [cells_name, cells] : kCellMaps) {
    for (const ZoneCase& sample : kZoneCases) {
      for (int request = 0; request < 16; ++request) {
        BOOST_TEST_CONTEXT(cells_name << ", " << sample.name << ", request "
                                      << request) {
          const JobId first =
              AssignedJobId(sample.at_submission, cells, request);
          BOOST_TEST(!first.empty());
          BOOST_TEST(
              (AssignedJobId(sample.at_repeat, cells, request) == first));
        }
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
