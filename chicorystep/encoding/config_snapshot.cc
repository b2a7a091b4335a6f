#include "chicorystep/encoding/config_snapshot.h"

#include <xxhash.h>

#include <utility>
#include <vector>

#include "chicorystep/encoding/config_fields.h"

namespace chicorystep {
namespace impl {

inline constexpr std::int64_t kSnapshotVersion = 1;

struct DeletedRoute {
  Kind key;
  Revision revision;
};
struct DeletedPool {
  PoolKey key;
  Revision revision;
};
struct ZoneCapacityRow {
  Zone zone;
  std::vector<WorkerGroup> groups;
};

// The serialised form of a configuration: each table as a list of rows.
struct ConfigImage {
  std::vector<Route> routes;
  std::vector<Pool> pools;
  std::vector<DeletedRoute> deleted_routes;
  std::vector<DeletedPool> deleted_pools;
  std::vector<ZoneCapacityRow> capacities;
  std::vector<RecordId> rejected;
  Offset snapshot_next;
  Revision revision;
  Offset next;
};

struct Envelope {
  std::int64_t version = kSnapshotVersion;
  std::uint64_t hash = 0;
  std::string tables;
};

template <typename Archive>
void VisitFields(Archive& archive, DeletedRoute& row) {
  archive.Required("key", row.key);
  archive.Required("revision", row.revision);
}

template <typename Archive>
void VisitFields(Archive& archive, DeletedPool& row) {
  archive.Required("key", row.key);
  archive.Required("revision", row.revision);
}

template <typename Archive>
void VisitFields(Archive& archive, ZoneCapacityRow& row) {
  archive.Required("zone", row.zone);
  archive.Required("groups", row.groups);
}

template <typename Archive>
void VisitFields(Archive& archive, ConfigImage& image) {
  archive.Required("routes", image.routes);
  archive.Required("pools", image.pools);
  archive.Required("deleted_routes", image.deleted_routes);
  archive.Required("deleted_pools", image.deleted_pools);
  archive.Required("capacities", image.capacities);
  archive.Required("rejected", image.rejected);
  archive.Required("snapshot_next", image.snapshot_next);
  archive.Required("revision", image.revision);
  archive.Required("next", image.next);
}

template <typename Archive>
void VisitFields(Archive& archive, Envelope& envelope) {
  archive.Required("version", envelope.version);
  archive.Required("hash", envelope.hash);
  archive.Required("tables", envelope.tables);
}

ConfigImage MakeConfigImage(const Config& config) {
  ConfigImage image{
      .rejected = {config.rejected.begin(), config.rejected.end()},
      .snapshot_next = config.snapshot_next,
      .revision = config.revision,
      .next = config.next};
  for (const auto& [key, row] : config.routes) {
    image.routes.push_back(row);
  }
  for (const auto& [key, row] : config.pools) {
    image.pools.push_back(row);
  }
  for (const auto& [key, revision] : config.deleted_routes) {
    image.deleted_routes.push_back({key, revision});
  }
  for (const auto& [key, revision] : config.deleted_pools) {
    image.deleted_pools.push_back({key, revision});
  }
  for (const auto& [zone, groups] : config.capacities) {
    image.capacities.push_back({zone, groups});
  }
  return image;
}

Config RestoreConfig(ConfigImage image) {
  Config config{.rejected = {image.rejected.begin(), image.rejected.end()},
                .snapshot_next = image.snapshot_next,
                .revision = image.revision,
                .next = image.next};
  for (Route& row : image.routes) {
    config.routes.emplace(row.kind, std::move(row));
  }
  for (Pool& row : image.pools) {
    config.pools.emplace(row.key, std::move(row));
  }
  for (const DeletedRoute& row : image.deleted_routes) {
    config.deleted_routes.emplace(row.key, row.revision);
  }
  for (const DeletedPool& row : image.deleted_pools) {
    config.deleted_pools.emplace(row.key, row.revision);
  }
  for (ZoneCapacityRow& row : image.capacities) {
    config.capacities.emplace(row.zone, std::move(row.groups));
  }
  return config;
}

}  // namespace impl

std::string EncodeConfig(const Config& config) {
  return EncodeJson(impl::MakeConfigImage(config));
}

std::string EncodeSnapshot(const Config& config) {
  impl::Envelope envelope{.tables = EncodeConfig(config)};
  envelope.hash = XXH3_64bits(envelope.tables.data(), envelope.tables.size());
  return EncodeJson(envelope);
}

Result<Config, DecodingError> DecodeSnapshot(std::string_view data) {
  BOOST_OUTCOME_TRY(envelope, DecodeJson<impl::Envelope>(data));
  if (envelope.version != impl::kSnapshotVersion) {
    return failure(DecodingError{"version: expected 1"});
  }
  if (XXH3_64bits(envelope.tables.data(), envelope.tables.size()) !=
      envelope.hash) {
    return failure(DecodingError{"hash: does not match the tables"});
  }
  BOOST_OUTCOME_TRY(image, DecodeJson<impl::ConfigImage>(envelope.tables));
  return impl::RestoreConfig(std::move(image));
}

}  // namespace chicorystep
