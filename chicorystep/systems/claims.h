#ifndef CHICORYSTEP_SYSTEMS_CLAIMS_H_
#define CHICORYSTEP_SYSTEMS_CLAIMS_H_

#include <optional>

#include "chicorystep/core/outcome.h"
#include "chicorystep/tables/claims.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

// At most once: a request that is not idempotent is sent only after its claim
// has been read back from the log as the first of its workspace and id. All
// entries fold the same records by the same rule, so exactly one claim wins.

namespace chicorystep {

// The stream that holds the claims of all entries.
[[nodiscard]] const Stream& ClaimStream();

// Applies one record at time `now`. True when the record is a claim that is
// now in force.
bool ApplyClaimRecord(Claims& claims, const LogRecord& record, TimePoint now);

// The refusal for a request whose claim did not or could not win; empty when a
// claim may be appended.
[[nodiscard]] std::optional<Refusal> CheckClaim(const World& world,
                                                const ClaimKey& key);

// Appends the claim of `request`, which waits for it.
void AppendClaim(World& world,
                 const Request& request,
                 TimePoint now,
                 Outbox& outbox);

// Appends the outcome of a request that held a claim.
void AppendClaimEnd(World& world,
                    const ClaimKey& key,
                    Offset claim,
                    Execution outcome,
                    Outbox& outbox);

// Applies the records of the stream; requests whose claim has won become
// ready to be sent, those whose claim has lost are refused.
void ApplyClaimBatches(World& world,
                       const Inbox& inbox,
                       TimePoint now,
                       Outbox& outbox);

// Takes in which appends have failed, gives up claims that were not read back
// in time, and drops claims older than the window.
void ExpireClaims(World& world,
                  const Inbox& inbox,
                  TimePoint now,
                  Outbox& outbox);

// When the first pending claim is given up.
[[nodiscard]] TimePoint NextClaimDue(const World& world) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CLAIMS_H_
