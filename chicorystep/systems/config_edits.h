#ifndef CHICORYSTEP_SYSTEMS_CONFIG_EDITS_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_EDITS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/result.h"
#include "chicorystep/tables/config.h"

namespace chicorystep {

// A change of one row, made against the revision `base` of that row; base 0
// creates it. An empty `row` deletes it.
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
};
template <>
inline constexpr std::array kEnumNames<EditErrorCode> = {
    std::string_view("conflict"),    std::string_view("missing_pool"),
    std::string_view("invalid_row"), std::string_view("no_change"),
    std::string_view("malformed"),
};
struct EditError {
  EditErrorCode code = EditErrorCode::kConflict;
  std::string detail;
};

// The rule that every reader applies in log order: the same records give the
// same tables everywhere. Changes `config` only when the edit is accepted.
[[nodiscard]] Result<Revision, EditError> ApplyEdit(Config& config,
                                                    const Edit& edit,
                                                    Offset offset);

// The edit that turns the tables of `current` into those of `wanted`.
[[nodiscard]] Edit DiffConfig(const Config& current, const Config& wanted);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_EDITS_H_
