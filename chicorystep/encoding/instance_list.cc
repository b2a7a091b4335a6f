#include "chicorystep/encoding/instance_list.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, ListedEntry& row) {
  archive("id", row.id);
  archive("address", row.address);
  archive("zone", row.zone);
  archive("region", row.region);
  archive("state", row.state);
}

template <typename Archive>
void VisitFields(Archive& archive, ListedExecutor& row) {
  archive("id", row.id);
  archive("address", row.address);
  archive("zone", row.zone);
  archive("region", row.region);
  archive("service", row.service);
  archive("slots", row.slots);
  archive("connections", row.connections);
  archive("state", row.state);
}

template <typename Archive>
void VisitFields(Archive& archive, ListedWorker& row) {
  archive("id", row.id);
  archive("address", row.address);
  archive("zone", row.zone);
  archive("rack", row.rack);
  archive("accelerators", row.accelerators);
  archive("millicores", row.processors);
  archive("memory_mib", row.memory);
  archive("state", row.state);
}

template <typename Archive>
void VisitFields(Archive& archive, InstanceList& list) {
  archive("entries", list.entries);
  archive("executors", list.executors);
  archive("workers", list.workers);
}

std::string EncodeInstanceList(const InstanceList& list) {
  return EncodeJson(list);
}

Result<InstanceList, DecodingError> DecodeInstanceList(std::string_view text) {
  return DecodeJson<InstanceList>(text);
}

}  // namespace chicorystep
