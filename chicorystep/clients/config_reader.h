#ifndef CHICORYSTEP_CLIENTS_CONFIG_READER_H_
#define CHICORYSTEP_CLIENTS_CONFIG_READER_H_

#include <cstdint>
#include <functional>

#include "chicorystep/clients/log_client.h"
#include "chicorystep/core/result.h"
#include "chicorystep/systems/config_edits.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/log.h"

namespace chicorystep {

// Called for each record with its verdict.
using ConfigVisitor =
    std::function<void(const LogRecord&, const Result<Revision, EditError>&)>;

// Which of the snapshots that are kept to begin with.
enum class SnapshotChoice : std::uint8_t { kNewest, kOldest };

// The tables from which the log can still be replayed up to `limit`: the empty
// ones while the stream's first record is kept, else of a snapshot that
// does not reach beyond `limit`. Fails with kExpired when there is none.
[[nodiscard]] Result<Config, LogError> ReadConfigBase(
    const LogServiceOptions& options,
    Offset limit,
    SnapshotChoice choice = SnapshotChoice::kNewest);

// Applies to `config` the records from `config.next` up to `limit` or the end
// of the stream.
[[nodiscard]] Result<void, LogError> ReplayConfig(
    const LogServiceOptions& options,
    Offset limit,
    Config& config,
    const ConfigVisitor& visit);

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_CONFIG_READER_H_
