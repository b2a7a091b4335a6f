#include "chicorystep/encoding/peer_messages.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "chicorystep/encoding/caller_messages.h"

namespace chicorystep {
namespace impl {

inline constexpr Duration kAgeUnit = std::chrono::milliseconds(10);

std::uint16_t EncodeAge(Duration age) {
  return static_cast<std::uint16_t>(std::clamp<Duration::rep>(
      age / kAgeUnit, 0, std::numeric_limits<std::uint16_t>::max()));
}

kj::ArrayPtr<const kj::byte> AsBytes(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string CopyToString(kj::ArrayPtr<const kj::byte> data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

}  // namespace impl

void WriteHeartbeat(const Heartbeat& beat, wire::Heartbeat::Builder builder) {
  builder.setId(beat.id.value);
  builder.setIncarnation(beat.incarnation.value);
  builder.setZone(beat.zone.value);
  builder.setRegion(beat.region.value);
  builder.setConfigNext(beat.config_next.value);
  builder.setStopping(beat.stopping);
  builder.setAddress(beat.address.value);
  builder.setLogFailing(beat.log_failing);
  auto seen = builder.initSeen(static_cast<unsigned>(beat.seen.size()));
  for (unsigned i = 0; i < seen.size(); ++i) {
    seen[i].setMember(beat.seen[i].member.value);
    seen[i].setAge(impl::EncodeAge(beat.seen[i].age));
  }
}

Heartbeat ReadHeartbeat(wire::Heartbeat::Reader reader) {
  Heartbeat beat{.id = EntryId(reader.getId().cStr()),
                 .incarnation = Incarnation(reader.getIncarnation()),
                 .zone = Zone(reader.getZone().cStr()),
                 .region = Region(reader.getRegion().cStr()),
                 .config_next = Offset(reader.getConfigNext()),
                 .stopping = reader.getStopping(),
                 .address = Address(reader.getAddress().cStr()),
                 .log_failing = reader.getLogFailing()};
  for (const auto seen : reader.getSeen()) {
    beat.seen.push_back(SeenMember{MemberHash(seen.getMember()),
                                   seen.getAge() * impl::kAgeUnit});
  }
  return beat;
}

void WriteConfigAnswer(const ConfigAnswer& answer,
                       wire::ConfigAnswer::Builder builder) {
  builder.setReady(answer.ready);
  builder.setNext(answer.next.value);
  builder.setSnapshot(impl::AsBytes(answer.snapshot));
  auto records =
      builder.initRecords(static_cast<unsigned>(answer.records.size()));
  for (unsigned i = 0; i < records.size(); ++i) {
    records[i].setOffset(answer.records[i].offset.value);
    records[i].setId(answer.records[i].id.value);
    records[i].setData(impl::AsBytes(answer.records[i].data));
  }
}

ConfigAnswer ReadConfigAnswer(wire::ConfigAnswer::Reader reader) {
  ConfigAnswer answer{.ready = reader.getReady(),
                      .next = Offset(reader.getNext()),
                      .snapshot = impl::CopyToString(reader.getSnapshot())};
  for (const auto record : reader.getRecords()) {
    answer.records.push_back(LogRecord{Offset(record.getOffset()),
                                       RecordId(record.getId().cStr()),
                                       impl::CopyToString(record.getData())});
  }
  return answer;
}

void WriteJobOperation(const JobOperation& operation,
                       wire::JobOperation::Builder builder) {
  builder.setKind(static_cast<wire::JobOperationKind>(operation.kind));
  builder.setSpec(EncodeJobSpec(operation.spec));
}

Result<JobOperation, DecodingError> ReadJobOperation(
    wire::JobOperation::Reader reader) {
  BOOST_OUTCOME_TRY(spec, DecodeJobSpec(reader.getSpec().cStr()));
  const auto kind = static_cast<JobOperationKind>(reader.getKind());
  if (kind > JobOperationKind::kCancel) {
    return failure(DecodingError{"kind: expected submit, get or cancel"});
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

Result<EndJobOperation, DecodingError> ReadJobAnswer(
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
