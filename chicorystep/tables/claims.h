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

// What a claim is for: one request of one workspace, whatever entry it came
// through.
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

// A record of the stream of claims. `claim` and `outcome` are set in the
// record of an end: the offset of the claim that ended, and how.
struct ClaimRecord {
  ClaimRecordKind kind = ClaimRecordKind::kClaim;
  Workspace workspace;
  RequestId request;
  Offset claim;
  Execution outcome = Execution::kUnknown;
};

// The claim in force for one request, as the stream shows it.
struct Claim {
  RecordId record;
  Offset offset;
  // Empty while the request is under way. A claim that ended as not run is
  // released: the next claim of the same request wins.
  std::optional<Execution> outcome;
};

// A claim of this process that was appended and not read back yet.
struct PendingClaim {
  ExchangeId exchange;
  TimePoint due{};
};

// When a claim was read, for dropping it after the window.
struct ClaimAge {
  TimePoint read{};
  ClaimKey key;
  Offset offset;
};

// The claims of all entries, folded from the stream, and this process's own
// that are on their way.
struct Claims {
  Table<ClaimKey, Claim> table;
  // Oldest first.
  std::deque<ClaimAge> ages;
  std::unordered_map<RecordId, PendingClaim> pending;
  // The pending claims by the time at which they are given up.
  std::set<std::pair<TimePoint, RecordId>> due;
  // Data of the ends that the log has not acknowledged yet.
  std::map<RecordId, std::string> unacknowledged_ends;
  Offset next;
  // Whether the stream has been read to its end once.
  bool ready = false;
  // Whether the last claim was given up; the next one probes the log alone.
  bool log_failing = false;
  std::uint64_t records_written = 0;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CLAIMS_H_
