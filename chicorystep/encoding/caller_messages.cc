#include "chicorystep/encoding/caller_messages.h"

#include "chicorystep/encoding/job_fields.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, Refusal& refusal) {
  archive("outcome", refusal.execution);
  archive("reason", refusal.reason);
  archive("detail", refusal.detail);
  archive("retry_after_us", refusal.retry_after);
}

std::string EncodeRefusal(const Refusal& refusal) {
  return EncodeJson(refusal);
}

Result<Refusal, DecodingError> DecodeRefusal(std::string_view text) {
  return DecodeJson<Refusal>(text);
}

std::string EncodeJobSpec(const JobSpec& spec) {
  return EncodeJson(spec);
}

Result<JobSpec, DecodingError> DecodeJobSpec(std::string_view text) {
  return DecodeJson<JobSpec>(text);
}

std::string EncodeJobStatus(const JobStatus& status) {
  return EncodeJson(status);
}

Result<JobStatus, DecodingError> DecodeJobStatus(std::string_view text) {
  return DecodeJson<JobStatus>(text);
}

}  // namespace chicorystep
