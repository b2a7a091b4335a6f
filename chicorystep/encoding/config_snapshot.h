#ifndef CHICORYSTEP_ENCODING_CONFIG_SNAPSHOT_H_
#define CHICORYSTEP_ENCODING_CONFIG_SNAPSHOT_H_

#include <string>
#include <string_view>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/tables/config.h"

namespace chicorystep {

// The canonical serialisation of a configuration: equal configurations yield
// equal bytes.
[[nodiscard]] std::string EncodeConfig(const Config& config);

// A configuration together with a format version and an XXH3 hash of its bytes,
// as stored in the log and sent to peers. Decoding fails if the version is
// unknown or the hash does not match.
[[nodiscard]] std::string EncodeSnapshot(const Config& config);
[[nodiscard]] Result<Config, DecodingError> DecodeSnapshot(
    std::string_view data);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_CONFIG_SNAPSHOT_H_
