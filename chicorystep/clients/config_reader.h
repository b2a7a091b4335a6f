#ifndef CHICORYSTEP_CLIENTS_CONFIG_READER_H_
#define CHICORYSTEP_CLIENTS_CONFIG_READER_H_

#include <cstdint>
#include <functional>

#include "chicorystep/clients/log_client.h"
#include "chicorystep/core/result.h"
#include "chicorystep/systems/config/config_edits.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/log.h"

namespace chicorystep {

// Called for each record with its revision when the edit was accepted, or the
// reason for the rejection.
using ConfigVisitor =
    std::function<void(const LogRecord&, const Result<Revision, EditError>&)>;

// Which of the retained snapshots the replay starts from.
enum class SnapshotChoice : std::uint8_t { kNewest, kOldest };

// Returns tables from which the log can be replayed up to `limit`: empty tables
// while the first record of the stream is retained, otherwise the tables of a
// snapshot that does not extend beyond `limit`. Fails with kExpired when there
// is no such snapshot.
[[nodiscard]] Result<Config, LogError> ReadConfigBase(
    const LogServiceOptions& options,
    Offset limit,
    SnapshotChoice choice = SnapshotChoice::kNewest);

// Applies the records from `config.next` up to `limit` or the end of the stream
// to `config` and calls `visit` for each.
[[nodiscard]] Result<void, LogError> ReplayConfig(
    const LogServiceOptions& options,
    Offset limit,
    Config& config,
    const ConfigVisitor& visit);

}  // namespace chicorystep

#endif  // CHICORYSTEP_CLIENTS_CONFIG_READER_H_
