#ifndef CHICORYSTEP_TABLES_CLAIMS_H_
#define CHICORYSTEP_TABLES_CLAIMS_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/outcome.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// Identifies a claimed request by workspace and request id. The entry that
// received the request is not part of the key.
struct ClaimKey {
  Workspace workspace;
  RequestId request;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

}  // namespace chicorystep

template <>
struct std::hash<chicorystep::ClaimKey> {
  std::size_t operator()(const chicorystep::ClaimKey& key) const noexcept {
    constexpr std::size_t kOddMultiplier = 0x9e3779b97f4a7c15U;
    return std::hash<chicorystep::Workspace>{}(key.workspace) * kOddMultiplier +
           std::hash<chicorystep::RequestId>{}(key.request);
  }
};

namespace chicorystep {

enum class ClaimRecordKind : std::uint8_t { kClaim, kEnd };
template <>
inline constexpr std::array kEnumNames<ClaimRecordKind> = {
    std::string_view("claim"),
    std::string_view("end"),
};

// A record of the claim stream. `claim` (the offset of the claim that ended)
// and `outcome` are set only in records of kind `kEnd`.
struct ClaimRecord {
  ClaimRecordKind kind = ClaimRecordKind::kClaim;
  Workspace workspace;
  RequestId request;
  Offset claim;
  Execution outcome = Execution::kUnknown;
};

// The claim in force for one request, as folded from the claim stream.
struct Claim {
  RecordId record;
  Offset offset;
  // Empty while the request is in progress. A claim that ended as `kNotRun` is
  // released: the next claim of the same request wins.
  std::optional<Execution> outcome;
};

// A claim that this process has appended and not yet read back.
struct PendingClaim {
  ExchangeId exchange;
  // The request is refused when the claim is not read back by then.
  TimePoint due{};
};

// A claim queued for eviction once the claim window has passed since `read`,
// the time at which it was read from the stream.
struct RetainedClaim {
  TimePoint read{};
  ClaimKey key;
  Offset offset;
};

// The claims of all entries, folded from the stream, and the claims and ends
// that this process has in flight to the log.
struct Claims {
  Table<ClaimKey, Claim> table;
  // Ordered by `read`, oldest first.
  std::deque<RetainedClaim> retention_queue;
  std::unordered_map<RecordId, PendingClaim> pending;
  // The pending claims, ordered by the time at which they time out.
  std::set<std::pair<TimePoint, RecordId>> due;
  // Encoded end records that the log has not acknowledged yet.
  std::map<RecordId, std::string> unacknowledged_ends;
  // The first offset of the stream that has not been applied yet.
  Offset next_offset;
  // Whether the stream has been read to its end at least once.
  bool ready = false;
  // Set when a claim times out or its append fails, until a claim of this
  // process is read back. While set, one claim at a time probes the log.
  bool log_failing = false;
  // Makes the record ids of this incarnation unique.
  std::uint64_t records_written = 0;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CLAIMS_H_
