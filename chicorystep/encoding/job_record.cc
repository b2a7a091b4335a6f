#include "chicorystep/encoding/job_record.h"

#include "chicorystep/encoding/job_fields.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, GangAttempt& attempt) {
  archive("epoch", attempt.epoch);
  archive("number", attempt.number);
}

template <typename Archive>
void VisitFields(Archive& archive, CellRecord& record) {
  archive.Required("kind", record.kind);
  archive.Required("holder", record.holder);
  archive.Required("epoch", record.epoch);
  archive.Required("job", record.job);
  archive("recorded_try", record.recorded_attempt);
  archive("accepted", record.accepted_offset);
  archive("cancel_requested", record.cancel_requested);
  archive("end_state", record.end_state);
  archive("detail", record.detail);
}

std::string EncodeCellRecord(const CellRecord& record) {
  return EncodeJson(record);
}

Result<CellRecord, DecodingError> DecodeCellRecord(std::string_view data) {
  return DecodeJson<CellRecord>(data);
}

}  // namespace chicorystep
