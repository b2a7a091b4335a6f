#ifndef CHICORYSTEP_PLATFORM_CONFIG_READER_H_
#define CHICORYSTEP_PLATFORM_CONFIG_READER_H_

#include <functional>

#include "chicorystep/core/result.h"
#include "chicorystep/platform/log_client.h"
#include "chicorystep/systems/config_edits.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/log.h"

namespace chicorystep {

// Called for each record with its verdict.
using ConfigVisitor =
    std::function<void(const LogRecord&, const Result<Revision, EditError>&)>;

// The tables from which the log can still be replayed up to `limit`: the empty
// ones while the stream's first record is kept, else the newest snapshot that
// does not reach beyond `limit`. Fails with kExpired when there is none.
[[nodiscard]] Result<Config, LogError> ReadConfigBase(
    const LogServiceOptions& options,
    Offset limit);

// Applies to `config` the records from `config.next` up to `limit` or the end
// of the stream.
[[nodiscard]] Result<void, LogError> ReplayConfig(
    const LogServiceOptions& options,
    Offset limit,
    Config& config,
    const ConfigVisitor& visit);

}  // namespace chicorystep

#endif  // CHICORYSTEP_PLATFORM_CONFIG_READER_H_
