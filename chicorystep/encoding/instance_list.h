#ifndef CHICORYSTEP_ENCODING_INSTANCE_LIST_H_
#define CHICORYSTEP_ENCODING_INSTANCE_LIST_H_

#include <string>
#include <string_view>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/tables/instances.h"

namespace chicorystep {

// The instance list that the platform serves:
// {"entries":[...],"executors":[...], "workers":[...]}.
[[nodiscard]] std::string EncodeInstanceList(const InstanceList& list);
[[nodiscard]] Result<InstanceList, DecodingError> DecodeInstanceList(
    std::string_view text);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_INSTANCE_LIST_H_
