#include "chicorystep/encoding/claim_record.h"

namespace chicorystep {

// Field names are short because every entry reads every record, and some
// entries read them over the link between regions.
template <typename Archive>
void VisitFields(Archive& archive, ClaimRecord& record) {
  archive("op", record.kind);
  archive("ws", record.workspace);
  archive("rq", record.request);
  archive("at", record.claim);
  archive("out", record.outcome);
}

std::string EncodeClaimRecord(const ClaimRecord& record) {
  return EncodeJson(record);
}

Result<ClaimRecord, DecodingError> DecodeClaimRecord(std::string_view data) {
  return DecodeJson<ClaimRecord>(data);
}

}  // namespace chicorystep
