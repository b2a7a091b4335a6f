#include "chicorystep/encoding/worker_messages.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, WorkerCommand& command) {
  archive("op", command.kind);
  archive("lease", command.lease);
  archive("job", command.job);
  archive("piece", command.piece);
  archive("accelerators", command.accelerators);
  archive("millicores", command.processors);
  archive("memory_mib", command.memory);
  archive("command", command.command);
}

template <typename Archive>
void VisitFields(Archive& archive, WorkerMessage& message) {
  archive("holder", message.holder);
  archive("epoch", message.epoch);
  archive("sequence", message.sequence);
  archive("renew", message.renew);
  archive("lease_time_us", message.lease_time);
  archive("commands", message.commands);
}

template <typename Archive>
void VisitFields(Archive& archive, LeaseReport& report) {
  archive("lease", report.lease);
  archive("job", report.job);
  archive("piece", report.piece);
  archive("state", report.state);
}

template <typename Archive>
void VisitFields(Archive& archive, WorkerReport& report) {
  archive("leases", report.leases);
}

std::string EncodeWorkerMessage(const WorkerMessage& message) {
  return EncodeJson(message);
}

Result<WorkerMessage, DecodingError> DecodeWorkerMessage(
    std::string_view text) {
  return DecodeJson<WorkerMessage>(text);
}

std::string EncodeWorkerReport(const WorkerReport& report) {
  return EncodeJson(report);
}

Result<WorkerReport, DecodingError> DecodeWorkerReport(std::string_view text) {
  return DecodeJson<WorkerReport>(text);
}

}  // namespace chicorystep
