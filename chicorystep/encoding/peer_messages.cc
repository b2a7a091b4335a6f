#include "chicorystep/encoding/peer_messages.h"

#include <utility>

#include "chicorystep/encoding/caller_messages.h"

namespace chicorystep {

void WriteHeartbeat(const Heartbeat& beat, wire::Heartbeat::Builder builder) {
  builder.setId(beat.id.value);
  builder.setIncarnation(beat.incarnation.value);
  builder.setZone(beat.zone.value);
  builder.setRegion(beat.region.value);
  builder.setConfigNext(beat.config_next.value);
  builder.setStopping(beat.stopping);
}

Heartbeat ReadHeartbeat(wire::Heartbeat::Reader reader) {
  return Heartbeat{.id = EntryId(reader.getId().cStr()),
                   .incarnation = Incarnation(reader.getIncarnation()),
                   .zone = Zone(reader.getZone().cStr()),
                   .region = Region(reader.getRegion().cStr()),
                   .config_next = Offset(reader.getConfigNext()),
                   .stopping = reader.getStopping()};
}

void WriteJobOperation(const JobOperation& operation,
                       wire::JobOperation::Builder builder) {
  builder.setKind(static_cast<wire::JobOperationKind>(operation.kind));
  builder.setSpec(EncodeJobSpec(operation.spec));
}

Result<JobOperation, EncodingError> ReadJobOperation(
    wire::JobOperation::Reader reader) {
  BOOST_OUTCOME_TRY(spec, DecodeJobSpec(reader.getSpec().cStr()));
  const auto kind = static_cast<JobOperationKind>(reader.getKind());
  if (kind > JobOperationKind::kCancel) {
    return failure(EncodingError{"kind: expected submit, get or cancel"});
  }
  return JobOperation{.kind = kind, .spec = std::move(spec), .forwarded = true};
}

void WriteJobAnswer(const EndJobOperation& end,
                    wire::JobAnswer::Builder builder) {
  if (end.refusal) {
    builder.setRefusal(EncodeRefusal(*end.refusal));
  } else {
    builder.setStatus(EncodeJobStatus(end.status));
  }
}

Result<EndJobOperation, EncodingError> ReadJobAnswer(
    wire::JobAnswer::Reader reader) {
  EndJobOperation end;
  if (reader.isRefusal()) {
    BOOST_OUTCOME_TRY(refusal, DecodeRefusal(reader.getRefusal().cStr()));
    end.refusal = std::move(refusal);
  } else {
    BOOST_OUTCOME_TRY(status, DecodeJobStatus(reader.getStatus().cStr()));
    end.status = std::move(status);
  }
  return end;
}

}  // namespace chicorystep
