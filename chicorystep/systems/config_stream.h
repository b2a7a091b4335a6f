#ifndef CHICORYSTEP_SYSTEMS_CONFIG_STREAM_H_
#define CHICORYSTEP_SYSTEMS_CONFIG_STREAM_H_

#include "chicorystep/control/world.h"
#include "chicorystep/core/result.h"
#include "chicorystep/systems/config_edits.h"
#include "chicorystep/tables/log.h"

namespace chicorystep {

// The stream that holds the operators' edits.
[[nodiscard]] const Stream& ConfigStream();

// Applies one record, whatever it holds, and moves `config.next` past it.
Result<Revision, EditError> ApplyConfigRecord(Config& config,
                                              const LogRecord& record);

// Applies the records of the configuration stream in order.
void ApplyConfigBatches(World& world, const Inbox& inbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CONFIG_STREAM_H_
