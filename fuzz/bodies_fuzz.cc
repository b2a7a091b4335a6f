// Fuzzes the decoders of HTTP bodies from callers, workers, the log service and
// the instance list.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "chicorystep/encoding/caller_messages.h"
#include "chicorystep/encoding/instance_list.h"
#include "chicorystep/encoding/log_messages.h"
#include "chicorystep/encoding/worker_messages.h"
#include "chicorystep/systems/cells/job_check.h"
#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace chicorystep;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  fuzz::RequireRoundTrip(text, DecodeJobSpec, EncodeJobSpec);
  fuzz::RequireRoundTrip(text, DecodeJobStatus, EncodeJobStatus);
  fuzz::RequireRoundTrip(text, DecodeRefusal, EncodeRefusal);
  fuzz::RequireRoundTrip(text, DecodeWorkerReport, EncodeWorkerReport);
  fuzz::RequireRoundTrip(text, DecodeWorkerMessage, EncodeWorkerMessage);
  fuzz::RequireRoundTrip(text, DecodeInstanceList, EncodeInstanceList);
  fuzz::RequireRoundTrip(text, DecodeReadAnswer, EncodeReadAnswer);
  fuzz::RequireRoundTrip(text, DecodeAppendAnswer, EncodeAppendAnswer);
  if (const auto spec = DecodeJobSpec(text)) {
    const bool accepted = !CheckJob(spec.value(), JobLimits{});
    const Shape& shape = spec.value().shape;
    fuzz::Require(
        !accepted || (shape.pieces > 0 && shape.accelerators.value >= 0),
        "a job that passes CheckJob has pieces and no negative accelerators");
  }
  return 0;
}
