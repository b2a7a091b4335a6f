#ifndef CHICORYSTEP_TABLES_CONFIG_H_
#define CHICORYSTEP_TABLES_CONFIG_H_

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// Scheduling priority of waiting work, highest first.
enum class Priority : std::uint8_t { kUrgent, kNormal, kBulk };
template <>
inline constexpr std::array kEnumNames<Priority> = {
    std::string_view("urgent"),
    std::string_view("normal"),
    std::string_view("bulk"),
};

// Topology constraint on the pieces of a gang: anywhere, all in one rack, or
// all on one worker.
enum class Adjacency : std::uint8_t { kNone, kRack, kWorker };
template <>
inline constexpr std::array kEnumNames<Adjacency> = {
    std::string_view("none"),
    std::string_view("rack"),
    std::string_view("worker"),
};

// Resources of one gang: `pieces` equal pieces, each of which occupies the
// given amounts on one worker.
struct Shape {
  std::int64_t pieces = 1;
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;
  Adjacency adjacency = Adjacency::kNone;

  friend auto operator<=>(const Shape&, const Shape&) = default;
};

// A row of the routes table: the service and pool for one kind of work, with
// its limits.
struct Route {
  Kind kind;
  Service service;
  PoolName pool;
  Priority priority = Priority::kNormal;
  // Default for requests in which the caller sets no deadline.
  Duration deadline{};
  bool idempotent = false;
  Bytes max_request;
  Bytes max_answer;
  // Maximum number of attempts for one request, including the first.
  std::int64_t max_attempts = 1;
  // Time after which a second attempt of a slow request starts; zero disables
  // hedging.
  Duration hedge_after{};
  Revision revision;

  friend auto operator<=>(const Route&, const Route&) = default;
};

// Capacity for `count` gangs of `shape` in `zone` that a workspace can reclaim
// at any time, by preemption if needed.
struct Guarantee {
  Zone zone;
  std::int64_t count = 0;
  Shape shape;

  friend auto operator<=>(const Guarantee&, const Guarantee&) = default;
};

struct PoolKey {
  PoolName name;
  Workspace workspace;

  friend auto operator<=>(const PoolKey&, const PoolKey&) = default;
};

// A row of the pools table: the capacity that one workspace is entitled to
// under one pool name.
struct Pool {
  PoolKey key;
  // Fair-share weight of the workspace for capacity beyond all guarantees.
  Weight weight;
  // Whether the workspace may use capacity beyond its guarantees.
  bool borrows = false;
  std::vector<Guarantee> guarantees;
  Revision revision;

  friend auto operator<=>(const Pool&, const Pool&) = default;
};

// Identical racks of identical workers within one zone.
struct WorkerGroup {
  std::int64_t racks = 0;
  std::int64_t workers_per_rack = 0;
  // Resources of each worker.
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;

  friend auto operator<=>(const WorkerGroup&, const WorkerGroup&) = default;
};

// Capacity of each zone as recorded in the log. Guarantees are checked against
// it.
using ZoneCapacities = std::map<Zone, std::vector<WorkerGroup>>;

// Both tables as of `next`, the offset after the last record applied, with all
// other state that the result of further records depends on. The containers are
// ordered so that equal tables serialise to the same bytes.
struct Config {
  std::map<Kind, Route> routes;
  std::map<PoolKey, Pool> pools;
  // For each deleted row the revision of the deletion, which an edit that
  // creates the row again must name as its base. The oldest are evicted beyond
  // kMaxDeletedRows.
  std::map<Kind, Revision> deleted_routes;
  std::map<PoolKey, Revision> deleted_pools;
  // Empty until the first capacity record is applied; guarantees are not
  // checked while it is empty.
  ZoneCapacities capacities;
  // Record ids of rejected edits, oldest first. A repeated append of such a
  // record stays rejected.
  std::deque<RecordId> rejected;
  // The offset of the first record that the newest snapshot in the log does not
  // cover.
  Offset snapshot_next;
  // The revision of the newest edit in force.
  Revision revision;
  Offset next;

  friend bool operator==(const Config&, const Config&) = default;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CONFIG_H_
