#ifndef CHICORYSTEP_ENCODING_JOB_RECORD_H_
#define CHICORYSTEP_ENCODING_JOB_RECORD_H_

#include <string>
#include <string_view>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/systems/cells/job_records.h"

namespace chicorystep {

// One record of a placement cell's stream.
[[nodiscard]] std::string EncodeCellRecord(const CellRecord& record);
[[nodiscard]] Result<CellRecord, DecodingError> DecodeCellRecord(
    std::string_view data);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_JOB_RECORD_H_
