#ifndef CHICORYSTEP_SYSTEMS_CELLS_CLAIMS_H_
#define CHICORYSTEP_SYSTEMS_CELLS_CLAIMS_H_

#include <optional>

#include "chicorystep/core/outcome.h"
#include "chicorystep/tables/claims.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

// At-most-once execution: a request that is not idempotent is sent only after
// its claim has been read back from the log as the first one of its workspace
// and request id. All entries fold the same records by the same rule, so
// exactly one claim wins.

namespace chicorystep {

// The log stream of the claims of all entries.
[[nodiscard]] const Stream& ClaimStream();

// Applies one record of the claim stream, read at `now`. Returns whether the
// record is a claim that comes into force.
bool ApplyClaimRecord(Claims& claims, const LogRecord& record, TimePoint now);

// The refusal for a request that is claimed already or that cannot be claimed
// now; empty when a claim may be appended.
[[nodiscard]] std::optional<Refusal> CheckClaim(const World& world,
                                                const ClaimKey& key);

// Appends the claim of `request`. The request is queued once the claim has been
// read back as the one in force.
void AppendClaim(World& world,
                 const Request& request,
                 TimePoint now,
                 Outbox& outbox);

// Appends the outcome of a request whose claim at offset `claim` was in force.
void AppendClaimEnd(World& world,
                    const ClaimKey& key,
                    Offset claim,
                    Execution outcome,
                    Outbox& outbox);

// Applies the records read from the claim stream. Queues the requests of this
// process whose claim has won and refuses those whose claim has lost.
void ApplyClaimBatches(World& world,
                       const Inbox& inbox,
                       TimePoint now,
                       Outbox& outbox);

// Handles finished appends, refuses requests whose claim was not read back in
// time, and evicts claims older than the claim window.
void ExpireClaims(World& world,
                  const Inbox& inbox,
                  TimePoint now,
                  Outbox& outbox);

// When the next pending claim times out; `kNever` when none is pending.
[[nodiscard]] TimePoint NextClaimDue(const World& world) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_CLAIMS_H_
