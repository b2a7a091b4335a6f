#ifndef CHICORYSTEP_ENCODING_EDIT_RECORD_H_
#define CHICORYSTEP_ENCODING_EDIT_RECORD_H_

#include <string>
#include <string_view>
#include <variant>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/systems/config/config_edits.h"

namespace chicorystep {

// The contents that a record of the configuration stream can have.
using ConfigRecord = std::variant<Edit, CapacityReport, SnapshotMark>;

// Encode each kind of content as a record of the configuration stream.
[[nodiscard]] std::string EncodeEdit(const Edit& edit);
[[nodiscard]] std::string EncodeCapacityReport(const CapacityReport& report);
[[nodiscard]] std::string EncodeSnapshotMark(const SnapshotMark& mark);

// Fails if the type is unknown or a required member is missing.
[[nodiscard]] Result<ConfigRecord, DecodingError> DecodeConfigRecord(
    std::string_view data);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_EDIT_RECORD_H_
