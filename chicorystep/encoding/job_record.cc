#include "chicorystep/encoding/job_record.h"

#include "chicorystep/encoding/job_fields.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, CellRecord& record) {
  archive("kind", record.kind);
  archive("holder", record.holder);
  archive("job", record.job);
  archive("end_state", record.end_state);
  archive("detail", record.detail);
}

std::string EncodeCellRecord(const CellRecord& record) {
  return EncodeJson(record);
}

Result<CellRecord, EncodingError> DecodeCellRecord(std::string_view data) {
  return DecodeJson<CellRecord>(data);
}

}  // namespace chicorystep
