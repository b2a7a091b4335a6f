#ifndef CHICORYSTEP_ENCODING_CLAIM_RECORD_H_
#define CHICORYSTEP_ENCODING_CLAIM_RECORD_H_

#include <string>
#include <string_view>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/tables/claims.h"

namespace chicorystep {

// One record of the claim stream.
[[nodiscard]] std::string EncodeClaimRecord(const ClaimRecord& record);
[[nodiscard]] Result<ClaimRecord, DecodingError> DecodeClaimRecord(
    std::string_view data);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_CLAIM_RECORD_H_
