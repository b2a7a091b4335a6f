#define BOOST_TEST_MODULE config_edits
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>
// RapidCheck's header needs Boost.Test's before it.
#include <rapidcheck/boost_test.h>

#include "chicorystep/encoding/config_snapshot.h"
#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/systems/cells/guarantee_check.h"
#include "chicorystep/systems/config/config_edits.h"
#include "chicorystep/systems/config/config_stream.h"

namespace chicorystep {
namespace {

Route MakeRoute(const std::string& kind, std::int64_t attempts = 1) {
  return Route{.kind = Kind(kind),
               .service = Service("s"),
               .pool = PoolName("main"),
               .deadline = std::chrono::seconds(1),
               .max_attempts = attempts};
}

Pool MakePool(const std::string& workspace, std::int64_t guaranteed = 0) {
  Pool pool{.key = PoolKey{PoolName("main"), Workspace(workspace)}};
  if (guaranteed > 0) {
    pool.guarantees.push_back(
        Guarantee{Zone("z1"), guaranteed,
                  Shape{.pieces = 2, .accelerators = Accelerators{8}}});
  }
  return pool;
}

PoolChange Put(const Pool& pool, std::uint64_t base) {
  return {pool.key, Revision(base), pool};
}
RouteChange Put(const Route& route, std::uint64_t base) {
  return {route.kind, Revision(base), route};
}
RouteChange DeleteRoute(const std::string& kind, std::uint64_t base) {
  return {Kind(kind), Revision(base), std::nullopt};
}
PoolChange DeletePool(const std::string& workspace, std::uint64_t base) {
  return {PoolKey{PoolName("main"), Workspace(workspace)}, Revision(base),
          std::nullopt};
}

std::string Capacity(std::int64_t workers) {
  return EncodeCapacityReport(CapacityReport{
      {ZoneCapacity{Zone("z1"),
                    {WorkerGroup{.racks = 1,
                                 .workers_per_rack = workers,
                                 .accelerators = Accelerators{8}}}}}});
}

std::string Encode(std::vector<RouteChange> routes,
                   std::vector<PoolChange> pools) {
  return EncodeEdit(Edit{"t", std::move(routes), std::move(pools)});
}

// A record that an operator appends, and the expected verdict: "ok" or the name
// of the error.
struct Step {
  std::string id;
  std::string data;
  std::string verdict;
};

struct StreamCase {
  std::string name;
  std::vector<Step> steps;
};

const std::string kPoolW1 = Encode({}, {Put(MakePool("w1"), 0)});

const std::vector<StreamCase> kStreamCases = {
    {"two concurrent edits of one row: the first wins",
     {{"a", kPoolW1, "ok"}, {"b", kPoolW1, "conflict"}}},
    {"concurrent edits of different rows are both accepted",
     {{"a", kPoolW1, "ok"}, {"b", Encode({}, {Put(MakePool("w2"), 0)}), "ok"}}},
    {"a repeated append is applied once",
     {{"a", kPoolW1, "ok"}, {"a", kPoolW1, "conflict"}}},
    {"a late repeat of a create does not undo the deletion",
     {{"a", kPoolW1, "ok"},
      {"b", Encode({}, {DeletePool("w1", 1)}), "ok"},
      {"a", kPoolW1, "conflict"},
      {"c", Encode({}, {Put(MakePool("w1"), 2)}), "ok"},
      {"a", kPoolW1, "repeated"},
      {"b", Encode({}, {DeletePool("w1", 1)}), "conflict"}}},
    {"a repeat of a rejected edit stays rejected",
     {{"a", Encode({Put(MakeRoute("k"), 0)}, {}), "missing_pool"},
      {"b", kPoolW1, "ok"},
      {"a", Encode({Put(MakeRoute("k"), 0)}, {}), "repeated"},
      {"c", Encode({Put(MakeRoute("k"), 0)}, {}), "ok"}}},
    {"a route keeps its pool",
     {{"a", Encode({Put(MakeRoute("k"), 0)}, {Put(MakePool("w1"), 0)}), "ok"},
      {"b", Encode({}, {DeletePool("w1", 1)}), "missing_pool"},
      {"c", Encode({DeleteRoute("k", 1)}, {DeletePool("w1", 1)}), "ok"}}},
    {"an edit is atomic",
     {{"a", kPoolW1, "ok"},
      {"b", Encode({Put(MakeRoute("k"), 0)}, {Put(MakePool("w1"), 0)}),
       "conflict"},
      {"c", Encode({DeleteRoute("k", 0)}, {}), "conflict"}}},
    {"foreign and damaged records",
     {{"a", "{}", "malformed"},
      {"b", "", "malformed"},
      {"c", "\xff\xfe", "malformed"},
      {"d", "[1]", "malformed"},
      {"e", R"({"type":"edit","content":{}})", "malformed"},
      {"f", R"({"type":"claim","content":{}})", "malformed"},
      {"g", R"({"type":"snapshot","content":{}})", "malformed"},
      {"h", kPoolW1.substr(0, kPoolW1.size() / 2), "malformed"},
      {"i", kPoolW1, "ok"}}},
    {"a row whose key differs from the key of its change",
     {{"a",
       Encode({},
              {{PoolKey{PoolName("main"), Workspace("w2")}, Revision{},
                MakePool("w1")}}),
       "invalid_row"}}},
    {"guarantees beyond the capacity of the zone",
     {{"a", Capacity(4), "ok"},
      {"b", Encode({}, {Put(MakePool("w1", 2), 0)}), "ok"},
      {"c", Encode({}, {Put(MakePool("w2", 1), 0)}), "exceeds_capacity"},
      {"d", Encode({}, {Put(MakePool("w1", 1), 2), Put(MakePool("w2", 1), 0)}),
       "ok"},
      {"e", Capacity(2), "ok"},
      {"f", Encode({}, {Put(MakePool("w2", 0), 4)}), "ok"},
      {"g", Encode({}, {Put(MakePool("w1", 2), 4)}), "exceeds_capacity"}}},
};

LogRecord MakeRecord(const Step& step, std::uint64_t offset) {
  return LogRecord{Offset(offset), RecordId(step.id), step.data};
}

std::string ApplyAndGetVerdict(Config& config, const LogRecord& record) {
  const auto verdict = ApplyConfigRecord(config, record);
  return verdict ? "ok" : std::string(EnumName(verdict.error().code));
}

BOOST_AUTO_TEST_CASE(every_record_gets_its_verdict) {
  for (const StreamCase& sample : kStreamCases) {
    Config config;
    std::uint64_t offset = 0;
    for (const Step& step : sample.steps) {
      BOOST_TEST_CONTEXT(sample.name << ", record " << offset) {
        const Config before = config;
        const std::string verdict =
            ApplyAndGetVerdict(config, MakeRecord(step, offset++));
        BOOST_TEST(verdict == step.verdict);
        if (verdict != "ok") {
          BOOST_TEST((config.routes == before.routes &&
                      config.pools == before.pools &&
                      config.deleted_pools == before.deleted_pools));
        }
      }
    }
  }
}

struct FitCase {
  std::string name;
  std::vector<WorkerGroup> groups;
  std::vector<Guarantee> guarantees;
  bool fits;
};

Guarantee MakeGuarantee(std::int64_t count,
                        std::int64_t pieces,
                        std::int64_t accelerators,
                        Adjacency adjacency) {
  return {Zone("z1"), count,
          Shape{.pieces = pieces,
                .accelerators = Accelerators{accelerators},
                .adjacency = adjacency}};
}

WorkerGroup MakeRacks(std::int64_t racks, std::int64_t workers) {
  return {.racks = racks,
          .workers_per_rack = workers,
          .accelerators = Accelerators{8}};
}

const std::vector<FitCase> kFitCases = {
    {"exact",
     {MakeRacks(2, 2)},
     {MakeGuarantee(4, 1, 8, Adjacency::kNone)},
     true},
    {"one too many",
     {MakeRacks(2, 2)},
     {MakeGuarantee(5, 1, 8, Adjacency::kNone)},
     false},
    {"a gang across racks",
     {MakeRacks(2, 2)},
     {MakeGuarantee(1, 4, 8, Adjacency::kNone)},
     true},
    {"a gang too large for one rack",
     {MakeRacks(2, 2)},
     {MakeGuarantee(1, 4, 8, Adjacency::kRack)},
     false},
    {"adjacent in one rack",
     {MakeRacks(2, 4)},
     {MakeGuarantee(2, 4, 8, Adjacency::kRack)},
     true},
    {"adjacent on one worker",
     {MakeRacks(1, 2)},
     {MakeGuarantee(2, 4, 2, Adjacency::kWorker)},
     true},
    {"worker too small",
     {MakeRacks(1, 2)},
     {MakeGuarantee(1, 4, 3, Adjacency::kWorker)},
     false},
    {"small gangs leave capacity for adjacent ones",
     {MakeRacks(2, 2)},
     {MakeGuarantee(2, 1, 8, Adjacency::kNone),
      MakeGuarantee(1, 2, 8, Adjacency::kRack)},
     true},
    {"the total fits, but no single worker does",
     {MakeRacks(1, 2)},
     {MakeGuarantee(2, 1, 5, Adjacency::kNone),
      MakeGuarantee(1, 1, 6, Adjacency::kNone)},
     false},
    {"no capacity", {}, {MakeGuarantee(1, 1, 1, Adjacency::kNone)}, false},
};

BOOST_AUTO_TEST_CASE(guarantees_are_checked_together) {
  for (const FitCase& sample : kFitCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(GuaranteesFit(sample.groups, sample.guarantees) ==
                 sample.fits);
    }
  }
}

// Generates records of concurrent operators on a few rows, with repeated and
// malformed records.
rc::Gen<std::vector<LogRecord>> AnyRecords() {
  return rc::gen::map(
      rc::gen::container<std::vector<std::uint32_t>>(
          rc::gen::arbitrary<std::uint32_t>()),
      [](const std::vector<std::uint32_t>& seeds) {
        std::vector<LogRecord> records;
        Config seen;
        for (const std::uint32_t seed : seeds) {
          const std::string name = fmt::format("w{}", seed % 3);
          const auto bit = [&](int n) { return ((seed >> n) & 1U) != 0; };
          const Offset offset(records.size());
          if (!records.empty() && bit(4) && bit(5)) {
            records.push_back(records[seed % records.size()]);
          } else if (bit(6) && bit(7) && bit(8)) {
            records.push_back({offset, RecordId("x"), "{}"});
          } else if (bit(9) && bit(10) && bit(11)) {
            records.push_back({offset, RecordId("c"), Capacity(seed % 4)});
          } else {
            Config wanted = bit(12) ? seen : Config{};
            if (bit(13)) {
              const Pool pool = MakePool(name, seed % 5);
              wanted.pools.insert_or_assign(pool.key, pool);
              const Route route = MakeRoute(name, 1 + seed % 7);
              wanted.routes.insert_or_assign(route.kind, route);
            }
            records.push_back({offset,
                               RecordId(fmt::format("r{}", records.size())),
                               EncodeEdit(DiffConfig(seen, wanted))});
          }
          records.back().offset = offset;
          // In the other cases the next operator works from an older state.
          if (bit(14) || bit(15)) {
            for (const LogRecord& record : records) {
              if (record.offset >= seen.next) {
                (void)ApplyConfigRecord(seen, record);
              }
            }
          }
        }
        return records;
      });
}

Config Replay(const std::vector<LogRecord>& records, Config config = {}) {
  for (const LogRecord& record : records) {
    if (record.offset >= config.next) {
      (void)ApplyConfigRecord(config, record);
    }
  }
  return config;
}

RC_BOOST_PROP(any_batching_gives_the_same_bytes, ()) {
  const auto records = *AnyRecords();
  World world;
  std::size_t done = 0;
  while (done < records.size()) {
    const auto count = *rc::gen::inRange<std::size_t>(1, 5);
    // Batches may overlap earlier ones.
    const auto back = *rc::gen::inRange<std::size_t>(0, done + 1);
    const std::size_t end = std::min(records.size(), done + count);
    Inbox inbox;
    inbox.log_batches.push_back(
        LogBatch{ConfigStream(),
                 {records.begin() + static_cast<std::ptrdiff_t>(done - back),
                  records.begin() + static_cast<std::ptrdiff_t>(end)},
                 Offset(end)});
    ApplyConfigBatches(world, inbox);
    done = end;
  }
  RC_ASSERT(EncodeConfig(world.config) == EncodeConfig(Replay(records)));
}

RC_BOOST_PROP(replay_from_any_snapshot_gives_the_same_bytes, ()) {
  const auto records = *AnyRecords();
  const auto cut = static_cast<std::ptrdiff_t>(
      *rc::gen::inRange<std::size_t>(0, records.size() + 1));
  const Config before = Replay({records.begin(), records.begin() + cut});
  const auto restored = DecodeSnapshot(EncodeSnapshot(before));
  RC_ASSERT(restored.has_value());
  RC_ASSERT(restored.value() == before);
  RC_ASSERT(EncodeConfig(Replay(records, restored.value())) ==
            EncodeConfig(Replay(records)));
}

RC_BOOST_PROP(every_route_keeps_its_pool, ()) {
  const Config config = Replay(*AnyRecords());
  for (const auto& [kind, route] : config.routes) {
    const auto first = config.pools.lower_bound({route.pool, Workspace{}});
    RC_ASSERT(first != config.pools.end());
    RC_ASSERT(first->first.name == route.pool);
  }
}

struct RaceCase {
  std::string name;
  int operators;
  bool same_row;
  int winners;
};

const std::vector<RaceCase> kRaceCases = {
    {"two on a row", 2, true, 1},       {"five on a row", 5, true, 1},
    {"twenty on a row", 20, true, 1},   {"two on two rows", 2, false, 2},
    {"five on five rows", 5, false, 5}, {"twenty on twenty", 20, false, 20},
};

BOOST_AUTO_TEST_CASE(one_of_the_concurrent_edits_of_a_row_is_accepted) {
  for (const RaceCase& sample : kRaceCases) {
    Config config;
    int winners = 0;
    // All operators start from the empty tables, and each append arrives twice.
    for (int i = 0; i < 2 * sample.operators; ++i) {
      const int operator_index = i % sample.operators;
      const auto row =
          MakePool(sample.same_row ? "w" : fmt::format("w{}", operator_index));
      const Step step{fmt::format("op-{}", operator_index),
                      Encode({}, {Put(row, 0)}), ""};
      winners +=
          ApplyAndGetVerdict(config, MakeRecord(step, i)) == "ok" ? 1 : 0;
    }
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(winners == sample.winners);
    }
  }
}

struct DamageCase {
  std::string name;
  std::string text;
};

BOOST_AUTO_TEST_CASE(damaged_snapshots_are_rejected) {
  Config config;
  (void)ApplyAndGetVerdict(config, {Offset(0), RecordId("a"), kPoolW1});
  const std::string good = EncodeSnapshot(config);
  std::string flipped = good;
  flipped[good.find("main")] = 'n';
  std::string newer = good;
  newer.replace(newer.find("\"version\":1"), 11, "\"version\":2");
  const std::vector<DamageCase> cases = {{"empty", ""},
                                         {"no members", "{}"},
                                         {"cut short", good.substr(0, 40)},
                                         {"a flipped byte", flipped},
                                         {"another version", newer}};
  BOOST_TEST(DecodeSnapshot(good).has_value());
  for (const DamageCase& sample : cases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(!DecodeSnapshot(sample.text).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(retained_rejections_and_deletions_are_bounded) {
  Config config;
  std::uint64_t offset = 0;
  for (std::size_t i = 0; i < kMaxRejectedRecords + 10; ++i) {
    (void)ApplyAndGetVerdict(config,
                             {Offset(offset++), RecordId(fmt::format("r{}", i)),
                              Encode({Put(MakeRoute("k"), 0)}, {})});
  }
  BOOST_TEST(config.rejected.size() == kMaxRejectedRecords);
  for (std::size_t i = 0; i < kMaxDeletedRows + 10; ++i) {
    const std::string name = fmt::format("w{}", i);
    (void)ApplyAndGetVerdict(config, {Offset(offset), RecordId("c" + name),
                                      Encode({}, {Put(MakePool(name), 0)})});
    ++offset;
    (void)ApplyAndGetVerdict(config, {Offset(offset), RecordId("d" + name),
                                      Encode({}, {DeletePool(name, offset)})});
    ++offset;
  }
  BOOST_TEST(config.deleted_pools.size() == kMaxDeletedRows);
  BOOST_TEST(config.pools.empty());
}

}  // namespace
}  // namespace chicorystep
