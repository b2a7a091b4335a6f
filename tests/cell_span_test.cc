#define BOOST_TEST_MODULE cell_span
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/settings/entry_settings.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/packing.h"
#include "chicorystep/systems/cells/placement.h"

namespace chicorystep::testing {
namespace {

const TimePoint kNow(std::chrono::seconds(1));
const PoolKey kPool{PoolName("main"), Workspace("w1")};

struct WorkerLocation {
  std::string id;
  std::string zone;
  std::string rack;
};

// A held cell that spans all zones, with workers of 8 accelerators.
World MakeWorld(const std::vector<WorkerLocation>& locations) {
  World world;
  world.self.id = EntryId("self");
  Cell cell{.name = kDefaultCell, .caught_up = true};
  cell.epoch = Epoch(1);
  cell.recovered = true;
  world.jobs.cells.emplace(kDefaultCell, std::move(cell));
  Inbox inbox;
  for (const WorkerLocation& location : locations) {
    world.instances.workers.push_back(
        ListedWorker{.id = WorkerId(location.id),
                     .zone = Zone(location.zone),
                     .rack = Rack(location.rack),
                     .accelerators = Accelerators(8),
                     .processors = Millicores(8000),
                     .memory = Mebibytes(8000)});
  }
  inbox.instance_lists.push_back(world.instances);
  Outbox outbox;
  AssignCells(world, inbox, kNow, outbox);
  return world;
}

Shape MakeShape(std::int64_t pieces, Adjacency adjacency) {
  return Shape{.pieces = pieces,
               .accelerators = Accelerators(8),
               .processors = Millicores(1000),
               .memory = Mebibytes(1000),
               .adjacency = adjacency};
}

struct GuaranteeCase {
  std::string name;
  std::vector<WorkerLocation> workers;
  std::string zone;
  std::int64_t pieces;
  bool met;
};

const std::vector<GuaranteeCase> kGuaranteeCases = {
    {"capacity in its own zone",
     {{"a", "z1", "r1"}, {"b", "z2", "r2"}, {"c", "z2", "r2"}},
     "z2",
     2,
     true},
    {"capacity only across zones",
     {{"a", "z1", "r1"}, {"b", "z2", "r2"}},
     "z2",
     2,
     false},
    {"capacity in another zone",
     {{"a", "z1", "r1"}, {"b", "z1", "r1"}},
     "z2",
     1,
     false},
};

BOOST_AUTO_TEST_CASE(guarantee_is_kept_in_its_zone) {
  for (const GuaranteeCase& sample : kGuaranteeCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld(sample.workers);
      world.config.pools[kPool] =
          Pool{.key = kPool,
               .guarantees = {Guarantee{
                   .zone = Zone(sample.zone),
                   .count = 1,
                   .shape = MakeShape(sample.pieces, Adjacency::kNone)}}};
      world.config.revision = Revision(1);
      PlanGuarantees(world, kNow);
      const Cell& cell = world.jobs.cells.at(kDefaultCell);
      BOOST_TEST_REQUIRE(cell.slots.size() == 1U);
      BOOST_TEST(!cell.slots[0].workers.empty() == sample.met);
      for (const WorkerId& id : cell.slots[0].workers) {
        BOOST_TEST(cell.workers.find(id)->listed.zone.value == sample.zone);
      }
    }
  }
}

struct RackCase {
  std::string name;
  std::vector<WorkerLocation> workers;
  Adjacency adjacency;
  bool placed;
};

const std::vector<RackCase> kRackCases = {
    {"one rack",
     {{"a", "z1", "r1"}, {"b", "z1", "r1"}},
     Adjacency::kRack,
     true},
    {"racks of the same name in two zones",
     {{"a", "z1", "r1"}, {"b", "z2", "r1"}},
     Adjacency::kRack,
     false},
    {"a gang over two zones",
     {{"a", "z1", "r1"}, {"b", "z2", "r1"}},
     Adjacency::kNone,
     true},
};

BOOST_AUTO_TEST_CASE(gang_spans_zones_only_without_adjacency) {
  for (const RackCase& sample : kRackCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const World world = MakeWorld(sample.workers);
      const Cell& cell = world.jobs.cells.at(kDefaultCell);
      Offers offers;
      for (const Worker& worker : cell.workers.rows) {
        offers.capacity.push_back(worker.free);
      }
      BOOST_TEST(ChooseWorkers(cell, MakeShape(2, sample.adjacency), offers)
                     .has_value() == sample.placed);
    }
  }
}

struct SettingCase {
  std::string text;
  // As "zone=cell" in the order of the zones; empty when the text is rejected.
  std::optional<std::string> cells;
};

const std::vector<SettingCase> kSettingCases = {
    {"all", ""},
    {"west=z1,z2 east=z3", "z1=west z2=west z3=east "},
    {"", std::nullopt},
    {"west", std::nullopt},
    {"west=", std::nullopt},
    {"=z1", std::nullopt},
    {"west=z1  east=z2", std::nullopt},
    {"west=z1 east=z1", std::nullopt},
    {"west=z1,,z2", std::nullopt},
    {"west=z1,", std::nullopt},
    {"west=z1 ", std::nullopt},
};

BOOST_AUTO_TEST_CASE(cells_are_read_from_the_settings) {
  for (const SettingCase& sample : kSettingCases) {
    BOOST_TEST_CONTEXT("'" << sample.text << "'") {
      const IniDocument document{
          .sections = {
              {.name = "instance",
               .entries = {{.key = "id", .value = "e1"},
                           {.key = "zone", .value = "z1"},
                           {.key = "region", .value = "r1"}}},
              {.name = "listen",
               .entries = {{.key = "callers", .value = "127.0.0.1:1"},
                           {.key = "peers", .value = "127.0.0.1:2"},
                           {.key = "admin", .value = "127.0.0.1:3"}}},
              {.name = "platform",
               .entries = {{.key = "log", .value = "127.0.0.1:4"},
                           {.key = "instances", .value = "127.0.0.1:5"}}},
              {.name = "jobs",
               .entries = {{.key = "cells", .value = sample.text}}}}};
      const auto settings = ReadEntrySettings(document);
      BOOST_TEST_REQUIRE(settings.has_value() == sample.cells.has_value());
      std::string text;
      if (settings) {
        for (const auto& [zone, cell] : settings.value().cells.cell_of_zone) {
          text += zone.value + "=" + cell.value + " ";
        }
      }
      BOOST_TEST(text == sample.cells.value_or(""));
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
