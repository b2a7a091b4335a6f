#ifndef CHICORYSTEP_ENCODING_WORKER_MESSAGES_H_
#define CHICORYSTEP_ENCODING_WORKER_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// The request body of the single message type that is sent to workers.
struct WorkerMessage {
  EntryId holder;
  Epoch epoch;
  MessageSequence sequence;
  bool renew = true;
  Duration lease_time{};
  std::vector<WorkerCommand> commands;
};

// A worker's answer, which lists every lease that it has.
struct WorkerReport {
  std::vector<LeaseReport> leases;
};

[[nodiscard]] std::string EncodeWorkerMessage(const WorkerMessage& message);
[[nodiscard]] Result<WorkerMessage, DecodingError> DecodeWorkerMessage(
    std::string_view text);
[[nodiscard]] std::string EncodeWorkerReport(const WorkerReport& report);
[[nodiscard]] Result<WorkerReport, DecodingError> DecodeWorkerReport(
    std::string_view text);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_WORKER_MESSAGES_H_
