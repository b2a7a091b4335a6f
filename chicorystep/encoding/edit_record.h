#ifndef CHICORYSTEP_ENCODING_EDIT_RECORD_H_
#define CHICORYSTEP_ENCODING_EDIT_RECORD_H_

#include <string>
#include <string_view>
#include <variant>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/systems/config_edits.h"

namespace chicorystep {

// What a record of the configuration stream may hold.
using ConfigRecord = std::variant<Edit, CapacityReport, SnapshotMark>;

// Each kind as a record of the configuration stream.
[[nodiscard]] std::string EncodeEdit(const Edit& edit);
[[nodiscard]] std::string EncodeCapacityReport(const CapacityReport& report);
[[nodiscard]] std::string EncodeSnapshotMark(const SnapshotMark& mark);

// Fails unless the record has one of the known types and all that it requires.
[[nodiscard]] Result<ConfigRecord, EncodingError> DecodeConfigRecord(
    std::string_view data);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_EDIT_RECORD_H_
