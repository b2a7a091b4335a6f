#ifndef CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_STREAM_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_STREAM_H_

#include <string_view>

#include "chicorystep/core/result.h"
#include "chicorystep/systems/config/config_edits.h"
#include "chicorystep/tables/log.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// The stream of operators' edits, zone capacities and snapshot marks.
[[nodiscard]] const Stream& ConfigStream();
// The stream that holds snapshots of the configuration.
[[nodiscard]] const Stream& SnapshotStream();

// Applies one record and moves `config.next` past it, also when the record is
// malformed or rejected.
Result<Revision, EditError> ApplyConfigRecord(Config& config,
                                              const LogRecord& record);

// Applies a record and caches it for peers. Does nothing if the record was
// applied before.
void ApplyRecord(World& world, const LogRecord& record);

// Replaces the tables by those of an encoded snapshot if the snapshot is newer.
// A snapshot that cannot be decoded is skipped.
void AdoptSnapshot(World& world, std::string_view data);

// Applies the received records of the configuration stream in order. When
// records before a batch have expired, the tables lose their base.
void ApplyConfigBatches(World& world, const Inbox& inbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_CONFIG_STREAM_H_
