#include "chicorystep/systems/config_edits.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace chicorystep {
namespace impl {

std::string Describe(const Kind& kind) {
  return fmt::format("route {}", kind.value);
}

std::string Describe(const PoolKey& key) {
  return fmt::format("pool {} of workspace {}", key.name.value,
                     key.workspace.value);
}

// Applies changes to one table; the error names the first row that conflicts.
template <typename Rows, typename Change>
Result<void, EditError> ApplyChanges(Rows& rows,
                                     const std::vector<Change>& changes,
                                     Revision revision) {
  for (const Change& change : changes) {
    const auto found = rows.find(change.key);
    const Revision current =
        found == rows.end() ? Revision{} : found->second.revision;
    if (current != change.base) {
      return failure(EditError{
          EditErrorCode::kConflict,
          fmt::format("{} is at revision {}, the edit was made "
                      "against {}",
                      Describe(change.key), current.value, change.base.value)});
    }
    if (change.row.has_value()) {
      auto row = *change.row;
      row.revision = revision;
      rows.insert_or_assign(change.key, std::move(row));
    } else {
      rows.erase(change.key);
    }
  }
  return success();
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

Result<void, EditError> CheckTables(const Config& config) {
  for (const auto& [kind, route] : config.routes) {
    BOOST_OUTCOME_TRY(CheckRoute(route));
    if (!HasPoolNamed(config, route.pool)) {
      return failure(
          EditError{EditErrorCode::kMissingPool,
                    fmt::format("route {} names pool {}, which no row holds",
                                kind.value, route.pool.value)});
    }
  }
  for (const auto& [key, pool] : config.pools) {
    BOOST_OUTCOME_TRY(CheckPool(pool));
  }
  return success();
}

template <typename Change, typename Rows>
std::vector<Change> DiffRows(const Rows& current, const Rows& wanted) {
  std::vector<Change> changes;
  for (const auto& [key, row] : wanted) {
    const auto found = current.find(key);
    if (found == current.end()) {
      changes.push_back(Change{key, Revision{}, row});
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
                                      Offset offset) {
  if (edit.routes.empty() && edit.pools.empty()) {
    return failure(
        EditError{EditErrorCode::kNoChange, "the edit changes nothing"});
  }
  const Revision revision(offset.value + 1);
  Config edited = config;
  BOOST_OUTCOME_TRY(impl::ApplyChanges(edited.routes, edit.routes, revision));
  BOOST_OUTCOME_TRY(impl::ApplyChanges(edited.pools, edit.pools, revision));
  BOOST_OUTCOME_TRY(impl::CheckTables(edited));
  edited.revision = revision;
  config = std::move(edited);
  return revision;
}

Edit DiffConfig(const Config& current, const Config& wanted) {
  Edit edit;
  edit.routes = impl::DiffRows<RouteChange>(current.routes, wanted.routes);
  edit.pools = impl::DiffRows<PoolChange>(current.pools, wanted.pools);
  return edit;
}

}  // namespace chicorystep
