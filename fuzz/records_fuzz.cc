// Fuzzes the decoders of log records, which other processes and other versions
// may have written.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "chicorystep/encoding/claim_record.h"
#include "chicorystep/encoding/config_snapshot.h"
#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/encoding/job_record.h"
#include "chicorystep/systems/cells/job_check.h"
#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace chicorystep;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  fuzz::RequireRoundTrip(text, DecodeCellRecord, EncodeCellRecord);
  fuzz::RequireRoundTrip(text, DecodeClaimRecord, EncodeClaimRecord);
  fuzz::RequireRoundTrip(text, DecodeSnapshot, EncodeSnapshot);
  (void)DecodeConfigRecord(text);
  if (const auto record = DecodeCellRecord(text)) {
    (void)CheckJob(record.value().job, JobLimits{});
  }
  return 0;
}
