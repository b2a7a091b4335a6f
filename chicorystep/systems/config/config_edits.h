#ifndef CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_EDITS_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_EDITS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/result.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/instances.h"

namespace chicorystep {

// A change of one row. `base` is the revision that the author saw: that of the
// row, that of its deletion, or 0 when the row never existed. An empty `row`
// deletes the row.
struct RouteChange {
  Kind key;
  Revision base;
  std::optional<Route> row;
};
struct PoolChange {
  PoolKey key;
  Revision base;
  std::optional<Pool> row;
};

// An operator's edit. It is atomic: either all of its changes are accepted or
// none.
struct Edit {
  std::string author;
  std::vector<RouteChange> routes;
  std::vector<PoolChange> pools;
};

// The capacity of the zones. One of the entry processes writes it into the
// configuration stream so that all readers check guarantees against the same
// capacity.
struct ZoneCapacity {
  Zone zone;
  std::vector<WorkerGroup> groups;
};
struct CapacityReport {
  std::vector<ZoneCapacity> zones;
};

// Records that the log contains a snapshot of all records before `next`.
struct SnapshotMark {
  Offset next;
};

// Why an edit is rejected. Every reader reaches the same result.
enum class EditErrorCode : std::uint8_t {
  // The row is not at the revision that the edit was based on.
  kConflict,
  // A route would refer to a pool that does not exist.
  kMissingPool,
  kInvalidRow,
  kNoChange,
  // The record is not an edit.
  kMalformed,
  // The guarantees in a zone together would exceed its capacity.
  kExceedsCapacity,
  // An earlier append of the same record was rejected.
  kRepeated,
};
template <>
inline constexpr std::array kEnumNames<EditErrorCode> = {
    std::string_view("conflict"),    std::string_view("missing_pool"),
    std::string_view("invalid_row"), std::string_view("no_change"),
    std::string_view("malformed"),   std::string_view("exceeds_capacity"),
    std::string_view("repeated"),
};
struct EditError {
  EditErrorCode code = EditErrorCode::kConflict;
  std::string detail;
};

// Number of rejected records, and of deleted rows per table, that are retained.
// An append is repeated within seconds, so older records do not recur.
inline constexpr std::size_t kMaxRejectedRecords = 1024;
inline constexpr std::size_t kMaxDeletedRows = 2048;

// Accepts or rejects an edit. It is deterministic, and every reader applies it
// in log order, so the same records give the same tables in every process. The
// tables change only when the edit is accepted. The record id of an edit whose
// changes fail a check is retained, so that repeats are rejected, too.
[[nodiscard]] Result<Revision, EditError> ApplyEdit(Config& config,
                                                    const Edit& edit,
                                                    const RecordId& record,
                                                    Offset offset);

// Replaces the capacities of the zones. Guarantees in force stay, even if they
// no longer fit.
void ApplyCapacityReport(Config& config, const CapacityReport& report);

// Computes the capacity of each zone that has workers in `list`.
[[nodiscard]] ZoneCapacities ComputeZoneCapacities(const InstanceList& list);
[[nodiscard]] CapacityReport MakeCapacityReport(
    const ZoneCapacities& capacities);

// Returns the edit that changes the tables of `current` into those of `wanted`.
[[nodiscard]] Edit DiffConfig(const Config& current, const Config& wanted);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_EDITS_H_
