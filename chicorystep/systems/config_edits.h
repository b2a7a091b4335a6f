#ifndef CHICORYSTEP_SYSTEMS_CONFIG_EDITS_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_EDITS_H_

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

// A change of one row, made against the revision `base` of that row, or that
// at which it was deleted, or 0 when it never existed. An empty `row` deletes
// it.
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

// One operator's edit: all its changes are accepted or none.
struct Edit {
  std::string author;
  std::vector<RouteChange> routes;
  std::vector<PoolChange> pools;
};

// What the zones hold, written into the configuration stream by one of the
// entry processes so that every reader checks guarantees against the same.
struct ZoneCapacity {
  Zone zone;
  std::vector<WorkerGroup> groups;
};
struct CapacityReport {
  std::vector<ZoneCapacity> zones;
};

// Says that a snapshot up to `next` is in the log.
struct SnapshotMark {
  Offset next;
};

// Why every reader rejects an edit.
enum class EditErrorCode : std::uint8_t {
  // Another edit changed the row first.
  kConflict,
  // A route would be left without its pool.
  kMissingPool,
  kInvalidRow,
  kNoChange,
  // The record is not an edit.
  kMalformed,
  // The guarantees of a zone would not fit into it together.
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

// How many rejected records and deleted rows of each table are remembered. An
// append is repeated within seconds, so older ones cannot come again.
inline constexpr std::size_t kRejectedRemembered = 1024;
inline constexpr std::size_t kDeletedRemembered = 2048;

// The rule that every reader applies in log order: the same records give the
// same tables everywhere. Changes the tables only when the edit is accepted; a
// rejected one is remembered by its record's id.
[[nodiscard]] Result<Revision, EditError> ApplyEdit(Config& config,
                                                    const Edit& edit,
                                                    const RecordId& record,
                                                    Offset offset);

// Takes what the zones hold; guarantees in force are not touched.
void ApplyCapacityReport(Config& config, const CapacityReport& report);

// The capacities of the zones that `list` has workers in.
[[nodiscard]] ZoneCapacities CapacitiesOf(const InstanceList& list);
[[nodiscard]] CapacityReport MakeCapacityReport(
    const ZoneCapacities& capacities);

// The edit that turns the tables of `current` into those of `wanted`.
[[nodiscard]] Edit DiffConfig(const Config& current, const Config& wanted);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_EDITS_H_
