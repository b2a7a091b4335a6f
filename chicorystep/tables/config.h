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

// The order in which waiting work is served, first to last.
enum class Priority : std::uint8_t { kUrgent, kNormal, kBulk };
template <>
inline constexpr std::array kEnumNames<Priority> = {
    std::string_view("urgent"),
    std::string_view("normal"),
    std::string_view("bulk"),
};

// How near to each other the pieces of a gang must be.
enum class Adjacency : std::uint8_t { kNone, kRack, kWorker };
template <>
inline constexpr std::array kEnumNames<Adjacency> = {
    std::string_view("none"),
    std::string_view("rack"),
    std::string_view("worker"),
};

// What one gang occupies: `pieces` equal pieces, each on one worker.
struct Shape {
  std::int64_t pieces = 1;
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;
  Adjacency adjacency = Adjacency::kNone;

  friend auto operator<=>(const Shape&, const Shape&) = default;
};

// A row of the routes table: where one kind of work goes.
struct Route {
  Kind kind;
  Service service;
  PoolName pool;
  Priority priority = Priority::kNormal;
  // Used when the caller names no deadline.
  Duration deadline{};
  bool idempotent = false;
  Bytes max_request;
  Bytes max_answer;
  // Attempts for one request, the first included.
  std::int64_t max_attempts = 1;
  // Starts a second attempt of a straggler; zero for none.
  Duration hedge_after{};
  Revision revision;

  friend auto operator<=>(const Route&, const Route&) = default;
};

// `count` gangs of `shape` that a workspace can always reclaim in `zone`.
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

// A row of the pools table: the capacity that one workspace holds under one
// pool name.
struct Pool {
  PoolKey key;
  // The workspace's share of what the guarantees leave over.
  Weight weight;
  // Whether the workspace may run beyond its guarantees.
  bool borrows = false;
  std::vector<Guarantee> guarantees;
  Revision revision;

  friend auto operator<=>(const Pool&, const Pool&) = default;
};

// Equal racks of equal workers within one zone.
struct WorkerGroup {
  std::int64_t racks = 0;
  std::int64_t workers_per_rack = 0;
  // Of each worker.
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;

  friend auto operator<=>(const WorkerGroup&, const WorkerGroup&) = default;
};

// What each zone holds, as the log says; guarantees are checked against it.
using ZoneCapacities = std::map<Zone, std::vector<WorkerGroup>>;

// Both tables as of `next`, the offset after the last record applied, with all
// that the rule for further records depends on. Ordered, so that equal tables
// have one serialisation.
struct Config {
  std::map<Kind, Route> routes;
  std::map<PoolKey, Pool> pools;
  // The revision at which each row was deleted, for rows that do not exist; a
  // new row of that key must be made against it. The oldest are forgotten.
  std::map<Kind, Revision> deleted_routes;
  std::map<PoolKey, Revision> deleted_pools;
  // Empty until the first capacity record: then no guarantee is checked.
  ZoneCapacities capacities;
  // Rejected edits, oldest first; a repeated append of one stays rejected.
  std::deque<RecordId> rejected;
  // The offset up to which the newest snapshot in the log reaches.
  Offset snapshot_next;
  // The revision of the newest edit in force.
  Revision revision;
  Offset next;

  friend bool operator==(const Config&, const Config&) = default;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CONFIG_H_
