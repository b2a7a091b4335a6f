#include "chicorystep/encoding/edit_record.h"

#include <array>
#include <utility>

#include "chicorystep/encoding/config_fields.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, RouteChange& change) {
  archive.Required("key", change.key);
  archive.Required("base", change.base);
  archive.Required("row", change.row);
}

template <typename Archive>
void VisitFields(Archive& archive, PoolChange& change) {
  archive.Required("key", change.key);
  archive.Required("base", change.base);
  archive.Required("row", change.row);
}

template <typename Archive>
void VisitFields(Archive& archive, Edit& edit) {
  archive.Required("author", edit.author);
  archive.Required("routes", edit.routes);
  archive.Required("pools", edit.pools);
}

template <typename Archive>
void VisitFields(Archive& archive, ZoneCapacity& capacity) {
  archive.Required("zone", capacity.zone);
  archive.Required("groups", capacity.groups);
}

template <typename Archive>
void VisitFields(Archive& archive, CapacityReport& report) {
  archive.Required("zones", report.zones);
}

template <typename Archive>
void VisitFields(Archive& archive, SnapshotMark& mark) {
  archive.Required("next", mark.next);
}

namespace impl {

enum class ConfigRecordType : std::uint8_t { kEdit, kCapacity, kSnapshot };

}  // namespace impl

template <>
inline constexpr std::array kEnumNames<impl::ConfigRecordType> = {
    std::string_view("edit"),
    std::string_view("capacity"),
    std::string_view("snapshot"),
};

namespace impl {

// The outer object of every record: the type and the type's own content.
template <typename Content>
struct TypedRecord {
  ConfigRecordType type = ConfigRecordType::kEdit;
  Content content;
};

// Decodes only the type, so that the matching TypedRecord can be chosen.
struct RecordHeader {
  ConfigRecordType type = ConfigRecordType::kEdit;
};

template <typename Archive, typename Content>
void VisitFields(Archive& archive, TypedRecord<Content>& record) {
  archive.Required("type", record.type);
  archive.Required("content", record.content);
}

template <typename Archive>
void VisitFields(Archive& archive, RecordHeader& header) {
  archive.Required("type", header.type);
}

template <typename Content>
Result<ConfigRecord, DecodingError> DecodeContent(std::string_view data) {
  BOOST_OUTCOME_TRY(record, DecodeJson<TypedRecord<Content>>(data));
  return ConfigRecord(std::move(record.content));
}

}  // namespace impl

std::string EncodeEdit(const Edit& edit) {
  return EncodeJson(
      impl::TypedRecord<Edit>{impl::ConfigRecordType::kEdit, edit});
}

std::string EncodeCapacityReport(const CapacityReport& report) {
  return EncodeJson(impl::TypedRecord<CapacityReport>{
      impl::ConfigRecordType::kCapacity, report});
}

std::string EncodeSnapshotMark(const SnapshotMark& mark) {
  return EncodeJson(
      impl::TypedRecord<SnapshotMark>{impl::ConfigRecordType::kSnapshot, mark});
}

Result<ConfigRecord, DecodingError> DecodeConfigRecord(std::string_view data) {
  BOOST_OUTCOME_TRY(header, DecodeJson<impl::RecordHeader>(data));
  switch (header.type) {
    case impl::ConfigRecordType::kEdit:
      return impl::DecodeContent<Edit>(data);
    case impl::ConfigRecordType::kCapacity:
      return impl::DecodeContent<CapacityReport>(data);
    case impl::ConfigRecordType::kSnapshot:
      return impl::DecodeContent<SnapshotMark>(data);
  }
  return failure(DecodingError{"type: expected a known type"});
}

}  // namespace chicorystep
