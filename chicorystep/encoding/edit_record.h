#ifndef CHICORYSTEP_ENCODING_EDIT_RECORD_H_
#define CHICORYSTEP_ENCODING_EDIT_RECORD_H_

#include <string>
#include <string_view>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/systems/config_edits.h"

namespace chicorystep {

// An edit as a record of the configuration stream.
[[nodiscard]] std::string EncodeEdit(const Edit& edit);
[[nodiscard]] Result<Edit, EncodingError> DecodeEdit(std::string_view data);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_EDIT_RECORD_H_
