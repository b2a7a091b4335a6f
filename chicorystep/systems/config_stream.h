#ifndef CHICORYSTEP_SYSTEMS_CONFIG_STREAM_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_STREAM_H_

#include <string_view>

#include "chicorystep/core/result.h"
#include "chicorystep/systems/config_edits.h"
#include "chicorystep/tables/log.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// The stream that holds the operators' edits.
[[nodiscard]] const Stream& ConfigStream();
// The stream that holds snapshots of the configuration.
[[nodiscard]] const Stream& SnapshotStream();

// Applies one record, whatever it holds, and moves `config.next` past it.
Result<Revision, EditError> ApplyConfigRecord(Config& config,
                                              const LogRecord& record);

// Applies a record unless it was applied before, and keeps it for peers.
void ApplyRecord(World& world, const LogRecord& record);

// Takes the tables of an encoded snapshot when they are newer than this
// process's own; damaged ones are skipped.
void AdoptSnapshot(World& world, std::string_view data);

// Applies the records of the configuration stream in order. When records are
// missing before a batch the tables no longer rest on anything.
void ApplyConfigBatches(World& world, const Inbox& inbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_STREAM_H_
