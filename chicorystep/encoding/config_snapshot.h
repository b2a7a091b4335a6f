#ifndef CHICORYSTEP_ENCODING_CONFIG_SNAPSHOT_H_
#define CHICORYSTEP_ENCODING_CONFIG_SNAPSHOT_H_

#include <string>
#include <string_view>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/tables/config.h"

namespace chicorystep {

// The only serialisation of a configuration: equal ones give equal bytes.
[[nodiscard]] std::string EncodeConfig(const Config& config);

// A configuration with the version of its format and an XXH3 hash of its
// bytes, for the log and for peers. Decoding fails when either does not match.
[[nodiscard]] std::string EncodeSnapshot(const Config& config);
[[nodiscard]] Result<Config, EncodingError> DecodeSnapshot(
    std::string_view data);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_CONFIG_SNAPSHOT_H_
