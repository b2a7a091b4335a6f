#ifndef CHICORYSTEP_ENCODING_CALLER_MESSAGES_H_
#define CHICORYSTEP_ENCODING_CALLER_MESSAGES_H_

#include <string>
#include <string_view>

#include "chicorystep/core/outcome.h"
#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// The response body of a refusal.
[[nodiscard]] std::string EncodeRefusal(const Refusal& refusal);
[[nodiscard]] Result<Refusal, DecodingError> DecodeRefusal(
    std::string_view text);

// The request body of a job submission. The system assigns the job's id.
[[nodiscard]] std::string EncodeJobSpec(const JobSpec& spec);
[[nodiscard]] Result<JobSpec, DecodingError> DecodeJobSpec(
    std::string_view text);

[[nodiscard]] std::string EncodeJobStatus(const JobStatus& status);
[[nodiscard]] Result<JobStatus, DecodingError> DecodeJobStatus(
    std::string_view text);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_CALLER_MESSAGES_H_
