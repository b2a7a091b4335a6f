#include "chicorystep/systems/cells/claims.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/claim_record.h"
#include "chicorystep/systems/requests/queues.h"
#include "chicorystep/systems/requests/request_end.h"

namespace chicorystep {
namespace impl {

// When a caller may repeat a request whose claim was refused or is unconfirmed.
inline constexpr Duration kLogRetryAfter = std::chrono::seconds(1);

Refusal RefuseClaim(Reason reason,
                    std::string detail,
                    Duration retry_after = {}) {
  return {Execution::kNotRun, reason, std::move(detail), retry_after};
}

// The refusal for a repeated request whose id `claim` already holds.
Refusal DescribeExistingClaim(const Claim& claim) {
  if (claim.outcome == Execution::kRan) {
    return {Execution::kRan, Reason::kAlreadyClaimed,
            "a request with this id has run; its answer is not kept",
            Duration{}};
  }
  if (claim.outcome == Execution::kUnknown) {
    return {Execution::kUnknown, Reason::kAlreadyClaimed,
            "a request with this id may have run; it is not sent again",
            Duration{}};
  }
  return {Execution::kUnknown, Reason::kAlreadyClaimed,
          "a request with this id is under way or its entry has failed; it is "
          "not sent again",
          kLogRetryAfter};
}

bool IsReleased(const Claim& claim) {
  return claim.outcome == Execution::kNotRun;
}

std::string RecordPrefix(const Self& self) {
  return fmt::format("{}-{}-", self.id.value, self.incarnation.value);
}

RecordId NextRecordId(World& world) {
  return RecordId(fmt::format("{}{}", RecordPrefix(world.self),
                              ++world.claims.records_written));
}

// Removes and returns a pending claim; empty when `record` is not pending.
std::optional<PendingClaim> RemovePending(Claims& claims,
                                          const RecordId& record) {
  const auto found = claims.pending.find(record);
  if (found == claims.pending.end()) {
    return std::nullopt;
  }
  const PendingClaim pending = found->second;
  claims.due.erase({pending.due, record});
  claims.pending.erase(found);
  return pending;
}

// Queues the request of a claim that was read back as the one in force.
// Releases the claim when its request has already been refused because of a
// time-out.
void ApplyWonClaim(World& world,
                   const ClaimKey& key,
                   const LogRecord& record,
                   Outbox& outbox) {
  const auto pending = RemovePending(world.claims, record.id);
  Request* request =
      pending ? world.requests.table.find(pending->exchange) : nullptr;
  if (request == nullptr) {
    AppendClaimEnd(world, key, record.offset, Execution::kNotRun, outbox);
    return;
  }
  request->claim = record.offset;
  EnqueueRequest(world, *request, QueueEnd::kBack);
}

void ApplyLostClaim(World& world,
                    const ClaimKey& key,
                    const LogRecord& record,
                    Outbox& outbox) {
  const auto pending = RemovePending(world.claims, record.id);
  if (!pending) {
    return;
  }
  EndRequest(world, pending->exchange,
             DescribeExistingClaim(*world.claims.table.find(key)), outbox);
}

void ApplyStreamRecord(World& world,
                       const LogRecord& record,
                       TimePoint now,
                       Outbox& outbox) {
  const bool in_force = ApplyClaimRecord(world.claims, record, now);
  if (!record.id.value.starts_with(RecordPrefix(world.self))) {
    return;
  }
  const auto decoded = DecodeClaimRecord(record.data);
  if (!decoded || decoded.value().kind != ClaimRecordKind::kClaim) {
    return;
  }
  world.claims.log_failing = false;
  const ClaimKey key{decoded.value().workspace, decoded.value().request};
  if (in_force) {
    ApplyWonClaim(world, key, record, outbox);
  } else {
    ApplyLostClaim(world, key, record, outbox);
  }
}

void AbandonClaim(World& world, const RecordId& record, Outbox& outbox) {
  const auto pending = RemovePending(world.claims, record);
  if (!pending) {
    return;
  }
  world.claims.log_failing = true;
  EndRequest(world, pending->exchange,
             RefuseClaim(Reason::kLogUnavailable,
                         "the log did not confirm the claim; nothing was sent",
                         kLogRetryAfter),
             outbox);
}

// Handles one finished append. The end of a claim is appended again until the
// log acknowledges it: without the end, a repeated request could only be
// answered with an unknown outcome.
void ApplyAppendEnded(World& world, const AppendEnded& ended, Outbox& outbox) {
  auto& ends = world.claims.unacknowledged_ends;
  const auto end = ends.find(ended.id);
  if (ended.acknowledged) {
    if (end != ends.end()) {
      ends.erase(end);
    }
  } else if (end != ends.end()) {
    outbox.appends.push_back(
        AppendRecord{ClaimStream(), ended.id, end->second});
  } else {
    AbandonClaim(world, ended.id, outbox);
  }
}

void EvictOldClaims(Claims& claims, Duration window, TimePoint now) {
  while (!claims.retention_queue.empty() &&
         claims.retention_queue.front().read + window <= now) {
    const RetainedClaim& oldest = claims.retention_queue.front();
    if (const Claim* claim = claims.table.find(oldest.key);
        claim != nullptr && claim->offset == oldest.offset) {
      claims.table.erase(oldest.key);
    }
    claims.retention_queue.pop_front();
  }
}

}  // namespace impl

const Stream& ClaimStream() {
  static const Stream stream("claims");
  return stream;
}

bool ApplyClaimRecord(Claims& claims, const LogRecord& record, TimePoint now) {
  claims.next_offset = Offset(record.offset.value + 1);
  const auto decoded = DecodeClaimRecord(record.data);
  if (!decoded) {
    Log(LogLevel::kWarn, "claim_record_skipped",
        {{"offset", record.offset.value}, {"error", decoded.error().detail}});
    return false;
  }
  const ClaimRecord& value = decoded.value();
  const ClaimKey key{value.workspace, value.request};
  Claim* existing = claims.table.find(key);
  if (value.kind == ClaimRecordKind::kEnd) {
    if (existing != nullptr && existing->offset == value.claim &&
        !existing->outcome) {
      existing->outcome = value.outcome;
    }
    return false;
  }
  // A duplicate append of a released claim must not bring it into force again.
  if (existing != nullptr &&
      (!impl::IsReleased(*existing) || existing->record == record.id)) {
    return false;
  }
  claims.table.insert(key, Claim{record.id, record.offset, std::nullopt});
  claims.retention_queue.push_back(RetainedClaim{now, key, record.offset});
  return true;
}

std::optional<Refusal> CheckClaim(const World& world, const ClaimKey& key) {
  const Claims& claims = world.claims;
  if (!claims.ready) {
    return impl::RefuseClaim(Reason::kNotReady,
                             "the claims have not been read yet",
                             impl::kLogRetryAfter);
  }
  if (const Claim* existing = claims.table.find(key);
      existing != nullptr && !impl::IsReleased(*existing)) {
    return impl::DescribeExistingClaim(*existing);
  }
  if (claims.log_failing && !claims.pending.empty()) {
    return impl::RefuseClaim(Reason::kLogUnavailable,
                             "the log does not answer; nothing was sent",
                             impl::kLogRetryAfter);
  }
  if (claims.table.size() + claims.pending.size() >= world.self.max_claims) {
    return impl::RefuseClaim(Reason::kOverloaded, "the table of claims is full",
                             impl::kLogRetryAfter);
  }
  return std::nullopt;
}

void AppendClaim(World& world,
                 const Request& request,
                 TimePoint now,
                 Outbox& outbox) {
  const RecordId id = impl::NextRecordId(world);
  const TimePoint due =
      std::min(request.deadline, now + world.self.claim_timeout);
  world.claims.pending.emplace(id, PendingClaim{request.exchange, due});
  world.claims.due.emplace(due, id);
  outbox.appends.push_back(
      AppendRecord{ClaimStream(), id,
                   EncodeClaimRecord(ClaimRecord{.workspace = request.workspace,
                                                 .request = request.id})});
}

void AppendClaimEnd(World& world,
                    const ClaimKey& key,
                    Offset claim,
                    Execution outcome,
                    Outbox& outbox) {
  const RecordId id = impl::NextRecordId(world);
  std::string data =
      EncodeClaimRecord(ClaimRecord{.kind = ClaimRecordKind::kEnd,
                                    .workspace = key.workspace,
                                    .request = key.request,
                                    .claim = claim,
                                    .outcome = outcome});
  world.claims.unacknowledged_ends.emplace(id, data);
  outbox.appends.push_back(AppendRecord{ClaimStream(), id, std::move(data)});
}

void ApplyClaimBatches(World& world,
                       const Inbox& inbox,
                       TimePoint now,
                       Outbox& outbox) {
  for (const LogBatch& batch : inbox.log_batches) {
    if (batch.stream != ClaimStream()) {
      continue;
    }
    for (const LogRecord& record : batch.records) {
      if (record.offset >= world.claims.next_offset) {
        impl::ApplyStreamRecord(world, record, now, outbox);
      }
    }
    world.claims.ready |= batch.records.empty();
  }
}

void ExpireClaims(World& world,
                  const Inbox& inbox,
                  TimePoint now,
                  Outbox& outbox) {
  for (const AppendEnded& ended : inbox.appends_ended) {
    if (ended.stream == ClaimStream()) {
      impl::ApplyAppendEnded(world, ended, outbox);
    }
  }
  while (!world.claims.due.empty() && world.claims.due.begin()->first <= now) {
    const RecordId record = world.claims.due.begin()->second;
    impl::AbandonClaim(world, record, outbox);
  }
  impl::EvictOldClaims(world.claims, world.self.claim_window, now);
}

TimePoint NextClaimDue(const World& world) noexcept {
  return world.claims.due.empty() ? kNever : world.claims.due.begin()->first;
}

}  // namespace chicorystep
