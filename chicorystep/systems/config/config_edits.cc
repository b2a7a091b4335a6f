#include "chicorystep/systems/config/config_edits.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "chicorystep/systems/cells/guarantee_check.h"

namespace chicorystep {
namespace impl {

std::string Describe(const Kind& kind) {
  return fmt::format("route {}", kind.value);
}

std::string Describe(const PoolKey& key) {
  return fmt::format("pool {} of workspace {}", key.name.value,
                     key.workspace.value);
}

// A row and its deletion mark as they were before an edit.
template <typename Key, typename Row>
struct SavedRow {
  Key key;
  std::optional<Row> row;
  std::optional<Revision> deleted;
};

template <typename Map, typename Key>
auto Lookup(const Map& map, const Key& key)
    -> std::optional<typename Map::mapped_type> {
  const auto found = map.find(key);
  return found == map.end() ? std::nullopt : std::optional(found->second);
}

template <typename Map, typename Key, typename Value>
void Restore(Map& map, const Key& key, std::optional<Value>& value) {
  if (value.has_value()) {
    map.insert_or_assign(key, std::move(*value));
  } else {
    map.erase(key);
  }
}

// One table with its deletion marks, and the undo log of an edit to it.
template <typename Key, typename Row>
struct EditedTable {
  std::map<Key, Row>& rows;
  std::map<Key, Revision>& deleted;
  std::vector<SavedRow<Key, Row>> saved = {};
};

template <typename Key, typename Row>
void Undo(EditedTable<Key, Row>& table) {
  for (auto saved = table.saved.rbegin(); saved != table.saved.rend();
       ++saved) {
    Restore(table.rows, saved->key, saved->row);
    Restore(table.deleted, saved->key, saved->deleted);
  }
}

// Applies changes to one table. The error names the first conflicting row.
template <typename Key, typename Row, typename Change>
Result<void, EditError> ApplyChanges(EditedTable<Key, Row>& table,
                                     const std::vector<Change>& changes,
                                     Revision revision) {
  for (const Change& change : changes) {
    SavedRow<Key, Row> saved{change.key, Lookup(table.rows, change.key),
                             Lookup(table.deleted, change.key)};
    const Revision current =
        saved.row ? saved.row->revision : saved.deleted.value_or(Revision{});
    if (current != change.base) {
      return failure(EditError{
          EditErrorCode::kConflict,
          fmt::format("{} is at revision {}, the edit was made "
                      "against {}",
                      Describe(change.key), current.value, change.base.value)});
    }
    if (!change.row && !saved.row) {
      return failure(
          EditError{EditErrorCode::kConflict,
                    fmt::format("{} does not exist", Describe(change.key))});
    }
    table.saved.push_back(std::move(saved));
    if (change.row.has_value()) {
      auto row = *change.row;
      row.revision = revision;
      table.rows.insert_or_assign(change.key, std::move(row));
      table.deleted.erase(change.key);
    } else {
      table.rows.erase(change.key);
      table.deleted.insert_or_assign(change.key, revision);
    }
  }
  return success();
}

// Evicts the oldest deletion marks beyond kMaxDeletedRows.
template <typename Key>
void EvictOldestDeletions(std::map<Key, Revision>& deleted) {
  while (deleted.size() > kMaxDeletedRows) {
    deleted.erase(std::min_element(
        deleted.begin(), deleted.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

Result<void, EditError> CheckRoute(const Route& route) {
  if (route.kind.empty() || route.service.empty() || route.max_attempts < 1 ||
      route.deadline <= Duration::zero() || route.max_request < Bytes{0} ||
      route.max_answer < Bytes{0}) {
    return failure(EditError{EditErrorCode::kInvalidRow, Describe(route.kind)});
  }
  return success();
}

bool IsValid(const Shape& shape) {
  return shape.pieces > 0 && shape.accelerators >= Accelerators{0} &&
         shape.processors >= Millicores{0} && shape.memory >= Mebibytes{0};
}

Result<void, EditError> CheckPool(const Pool& pool) {
  const bool shapes_valid = std::all_of(
      pool.guarantees.begin(), pool.guarantees.end(), [](const auto& row) {
        return row.count > 0 && !row.zone.empty() && IsValid(row.shape);
      });
  if (pool.key.name.empty() || pool.key.workspace.empty() ||
      pool.weight < Weight{0} || !shapes_valid) {
    return failure(EditError{EditErrorCode::kInvalidRow, Describe(pool.key)});
  }
  return success();
}

bool HasPoolNamed(const Config& config, const PoolName& name) {
  const auto first = config.pools.lower_bound(PoolKey{name, Workspace{}});
  return first != config.pools.end() && first->first.name == name;
}

Result<void, EditError> MissingPoolError(const Kind& kind,
                                         const PoolName& pool) {
  return failure(
      EditError{EditErrorCode::kMissingPool,
                fmt::format("route {} names pool {}, which no row holds",
                            kind.value, pool.value)});
}

Result<void, EditError> CheckRoutes(const Config& config, const Edit& edit) {
  for (const RouteChange& change : edit.routes) {
    if (!change.row) {
      continue;
    }
    if (change.row->kind != change.key) {
      return failure(
          EditError{EditErrorCode::kInvalidRow, Describe(change.key)});
    }
    BOOST_OUTCOME_TRY(CheckRoute(*change.row));
    if (!HasPoolNamed(config, change.row->pool)) {
      return MissingPoolError(change.key, change.row->pool);
    }
  }
  return success();
}

// Checks that no route refers to a deleted pool. A pool ceases to exist only
// when its last row is deleted, so it suffices to check deletions.
Result<void, EditError> CheckDeletedPools(const Config& config,
                                          const Edit& edit) {
  for (const PoolChange& change : edit.pools) {
    if (change.row || HasPoolNamed(config, change.key.name)) {
      continue;
    }
    for (const auto& [kind, route] : config.routes) {
      if (route.pool == change.key.name) {
        return MissingPoolError(kind, route.pool);
      }
    }
  }
  return success();
}

std::int64_t CountGuaranteed(const Pool* pool,
                             const Zone& zone,
                             const Shape& shape) {
  std::int64_t count = 0;
  if (pool != nullptr) {
    for (const Guarantee& row : pool->guarantees) {
      count += row.zone == zone && row.shape == shape ? row.count : 0;
    }
  }
  return count;
}

// Returns the zones in which an edit raises guarantees. Only these are checked:
// a lowered guarantee is accepted even when the remaining ones no longer fit.
std::set<Zone> FindZonesWithRaisedGuarantees(
    const Edit& edit,
    const std::vector<SavedRow<PoolKey, Pool>>& saved) {
  std::set<Zone> zones;
  for (std::size_t i = 0; i < edit.pools.size(); ++i) {
    if (!edit.pools[i].row) {
      continue;
    }
    const Pool& row = *edit.pools[i].row;
    const Pool* before = saved[i].row ? &*saved[i].row : nullptr;
    for (const Guarantee& guarantee : row.guarantees) {
      if (CountGuaranteed(&row, guarantee.zone, guarantee.shape) >
          CountGuaranteed(before, guarantee.zone, guarantee.shape)) {
        zones.insert(guarantee.zone);
      }
    }
  }
  return zones;
}

Result<void, EditError> CheckCapacity(const Config& config, const Zone& zone) {
  std::vector<Guarantee> guarantees;
  for (const auto& [key, pool] : config.pools) {
    std::copy_if(pool.guarantees.begin(), pool.guarantees.end(),
                 std::back_inserter(guarantees),
                 [&](const Guarantee& row) { return row.zone == zone; });
  }
  const auto found = config.capacities.find(zone);
  if (found == config.capacities.end() ||
      !GuaranteesFit(found->second, std::move(guarantees))) {
    return failure(
        EditError{EditErrorCode::kExceedsCapacity,
                  fmt::format("zone {} does not hold all guarantees together",
                              zone.value)});
  }
  return success();
}

Result<void, EditError> CheckPools(
    const Config& config,
    const Edit& edit,
    const std::vector<SavedRow<PoolKey, Pool>>& saved) {
  for (const PoolChange& change : edit.pools) {
    if (change.row) {
      if (change.row->key != change.key) {
        return failure(
            EditError{EditErrorCode::kInvalidRow, Describe(change.key)});
      }
      BOOST_OUTCOME_TRY(CheckPool(*change.row));
    }
  }
  BOOST_OUTCOME_TRY(CheckDeletedPools(config, edit));
  if (!config.capacities.empty()) {
    for (const Zone& zone : FindZonesWithRaisedGuarantees(edit, saved)) {
      BOOST_OUTCOME_TRY(CheckCapacity(config, zone));
    }
  }
  return success();
}

// Applies and checks the edit. On failure the tables are restored.
Result<void, EditError> TryEdit(Config& config,
                                const Edit& edit,
                                Revision revision) {
  EditedTable<Kind, Route> routes{config.routes, config.deleted_routes};
  EditedTable<PoolKey, Pool> pools{config.pools, config.deleted_pools};
  auto verdict = [&]() -> Result<void, EditError> {
    BOOST_OUTCOME_TRY(ApplyChanges(routes, edit.routes, revision));
    BOOST_OUTCOME_TRY(ApplyChanges(pools, edit.pools, revision));
    BOOST_OUTCOME_TRY(CheckRoutes(config, edit));
    return CheckPools(config, edit, pools.saved);
  }();
  if (!verdict) {
    Undo(routes);
    Undo(pools);
  }
  return verdict;
}

void RecordRejection(Config& config, const RecordId& record) {
  config.rejected.push_back(record);
  if (config.rejected.size() > kMaxRejectedRecords) {
    config.rejected.pop_front();
  }
}

bool IsValid(const ZoneCapacity& capacity) {
  return std::all_of(capacity.groups.begin(), capacity.groups.end(),
                     [](const WorkerGroup& group) {
                       return group.racks > 0 && group.workers_per_rack > 0 &&
                              group.accelerators >= Accelerators{0} &&
                              group.processors >= Millicores{0} &&
                              group.memory >= Mebibytes{0};
                     });
}

template <typename Change, typename Rows, typename Deleted>
std::vector<Change> DiffRows(const Rows& current,
                             const Deleted& deleted,
                             const Rows& wanted) {
  std::vector<Change> changes;
  for (const auto& [key, row] : wanted) {
    const auto found = current.find(key);
    if (found == current.end()) {
      changes.push_back(
          Change{key, Lookup(deleted, key).value_or(Revision{}), row});
      continue;
    }
    auto same_revision = row;
    same_revision.revision = found->second.revision;
    if (same_revision != found->second) {
      changes.push_back(Change{key, found->second.revision, row});
    }
  }
  for (const auto& [key, row] : current) {
    if (!wanted.contains(key)) {
      changes.push_back(Change{key, row.revision, std::nullopt});
    }
  }
  return changes;
}

}  // namespace impl

Result<Revision, EditError> ApplyEdit(Config& config,
                                      const Edit& edit,
                                      const RecordId& record,
                                      Offset offset) {
  if (std::find(config.rejected.begin(), config.rejected.end(), record) !=
      config.rejected.end()) {
    return failure(
        EditError{EditErrorCode::kRepeated, "the record was rejected before"});
  }
  if (edit.routes.empty() && edit.pools.empty()) {
    return failure(
        EditError{EditErrorCode::kNoChange, "the edit changes nothing"});
  }
  const Revision revision(offset.value + 1);
  if (auto verdict = impl::TryEdit(config, edit, revision); !verdict) {
    impl::RecordRejection(config, record);
    return failure(std::move(verdict.error()));
  }
  impl::EvictOldestDeletions(config.deleted_routes);
  impl::EvictOldestDeletions(config.deleted_pools);
  config.revision = revision;
  return revision;
}

void ApplyCapacityReport(Config& config, const CapacityReport& report) {
  ZoneCapacities capacities;
  for (const ZoneCapacity& capacity : report.zones) {
    if (impl::IsValid(capacity)) {
      capacities.insert_or_assign(capacity.zone, capacity.groups);
    }
  }
  config.capacities = std::move(capacities);
}

ZoneCapacities ComputeZoneCapacities(const InstanceList& list) {
  // Groups identical workers per rack, then identical racks per zone.
  std::map<std::pair<Zone, Rack>, std::map<WorkerGroup, std::int64_t>> racks;
  for (const ListedWorker& worker : list.workers) {
    const WorkerGroup worker_type{.racks = 1,
                                  .accelerators = worker.accelerators,
                                  .processors = worker.processors,
                                  .memory = worker.memory};
    ++racks[{worker.zone, worker.rack}][worker_type];
  }
  std::map<Zone, std::map<WorkerGroup, std::int64_t>> zones;
  for (const auto& [rack_key, groups] : racks) {
    // In a rack with different workers, only the group of identical workers
    // with the most accelerators counts.
    const auto& [worker_type, count] =
        *std::max_element(groups.begin(), groups.end(), [](auto& a, auto& b) {
          return a.first.accelerators * a.second <
                 b.first.accelerators * b.second;
        });
    WorkerGroup group = worker_type;
    group.workers_per_rack = count;
    ++zones[rack_key.first][group];
  }
  ZoneCapacities capacities;
  for (const auto& [zone, groups] : zones) {
    for (const auto& [worker_type, count] : groups) {
      WorkerGroup group = worker_type;
      group.racks = count;
      capacities[zone].push_back(group);
    }
  }
  return capacities;
}

CapacityReport MakeCapacityReport(const ZoneCapacities& capacities) {
  CapacityReport report;
  for (const auto& [zone, groups] : capacities) {
    report.zones.push_back(ZoneCapacity{zone, groups});
  }
  return report;
}

Edit DiffConfig(const Config& current, const Config& wanted) {
  Edit edit;
  edit.routes = impl::DiffRows<RouteChange>(
      current.routes, current.deleted_routes, wanted.routes);
  edit.pools = impl::DiffRows<PoolChange>(current.pools, current.deleted_pools,
                                          wanted.pools);
  return edit;
}

}  // namespace chicorystep
