#include "chicorystep/systems/scheduling.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cell_state.h"
#include "chicorystep/systems/cells.h"
#include "chicorystep/systems/packing.h"
#include "chicorystep/systems/placement.h"
#include "chicorystep/systems/preemption.h"
#include "chicorystep/systems/worker_health.h"
#include "chicorystep/systems/worker_polls.h"

namespace chicorystep {
namespace impl {

// Placing runs at most this often, so that a burst of events costs one run.
inline constexpr Duration kPlacementInterval = std::chrono::milliseconds(20);
// Urgent work starts within a second, so it waits less for checkpoints.
inline constexpr Duration kUrgentGrace = std::chrono::milliseconds(500);
// Jobs looked at in one queue and in one run.
inline constexpr std::size_t kQueueScan = 16;
inline constexpr std::size_t kMaxTries = 64;

// What a gang's borrowed place depends on, beside the state of the cell.
struct BorrowKey {
  Priority priority = Priority::kNormal;
  std::int64_t level = 0;
  Shape shape;

  friend auto operator<=>(const BorrowKey&, const BorrowKey&) = default;
};

// What stopping work would free depends on the gang only by this.
struct StopKey {
  Preemption why = Preemption::kOrder;
  Priority priority = Priority::kNormal;
  std::int64_t level = 0;
  // Of a gang that moves others; zero otherwise.
  Accelerators size;
  bool has_hold = false;

  friend auto operator<=>(const StopKey&, const StopKey&) = default;
};

// What one run of placing has found so far.
struct PlacementRun {
  const Config& config;
  const Self& self;
  TimePoint now{};
  // By the workers' positions: whether anything may be placed there.
  std::vector<bool> usable;
  std::size_t tries = 0;
  // Accelerators borrowed by each pool.
  std::map<PoolKey, std::int64_t> borrowed;
  // Guaranteed accelerators that each pool does not use.
  std::map<PoolKey, std::int64_t> spare;
  // Gangs that found no place; nothing has become free since.
  std::set<std::pair<PoolKey, Shape>> refused_guaranteed;
  std::set<BorrowKey> refused_borrowers;
  // What stopping work would free, until a gang is placed.
  std::map<StopKey, Offers> stoppable;
};

// How long the work that is stopped for `job` may take for its checkpoint.
Duration GraceFor(const PlacementRun& run, const Job& job) {
  return job.priority == Priority::kUrgent
             ? std::min(run.self.reclaim_grace, kUrgentGrace)
             : run.self.reclaim_grace;
}

bool IsOnOffer(const Worker& worker, const Self& self, TimePoint now) {
  return worker.listed.state == InstanceState::kLive &&
         IsResponsive(worker, self, now) && IsUsable(worker, now);
}

PlacementRun BeginRun(const World& world, const Cell& cell, TimePoint now) {
  PlacementRun run{.config = world.config, .self = world.self, .now = now};
  for (const Worker& worker : cell.workers.rows) {
    run.usable.push_back(IsOnOffer(worker, world.self, now));
    for (const Reservation& held : worker.reservations) {
      run.spare[held.pool] += (held.reserved - held.used).accelerators.value;
    }
  }
  for (const JobId& id : cell.active) {
    const Job& job = *cell.jobs.find(id);
    if (!job.guaranteed && !job.pieces.empty()) {
      run.borrowed[PoolKey{job.pool, job.spec.workspace}] +=
          AcceleratorsOf(job.spec.shape).value;
    }
  }
  return run;
}

const Pool* FindPool(const PlacementRun& run, const Job& job) {
  const auto pool =
      run.config.pools.find(PoolKey{job.pool, job.spec.workspace});
  return pool == run.config.pools.end() ? nullptr : &pool->second;
}

// Offers room by `room_of(worker)` on workers that `job` may use.
template <typename RoomOf>
Offers MakeOffers(const PlacementRun& run,
                  const Cell& cell,
                  const Job& job,
                  RoomOf room_of) {
  Offers offers;
  offers.room.resize(cell.workers.size());
  for (std::size_t row = 0; row < cell.workers.size(); ++row) {
    const Worker& worker = cell.workers.rows[row];
    if (run.usable[row] && !job.failed_on.contains(worker.listed.id)) {
      offers.room[row] = room_of(worker);
    }
  }
  return offers;
}

// What the job's pool holds of a worker and does not use.
Capacity GuaranteedRoom(const Worker& worker, const PoolKey& pool) {
  const Reservation* held = FindReservation(worker, pool);
  return held == nullptr ? Capacity{} : held->reserved - held->used;
}

// Places the job within its workspace's guarantees, where borrowers may have
// to be stopped first.
bool PlaceGuaranteed(PlacementRun& run, Cell& cell, Job& job) {
  const PoolKey pool{job.pool, job.spec.workspace};
  const Shape& shape = job.spec.shape;
  const Offers now_free = MakeOffers(run, cell, job, [&](const Worker& worker) {
    return Min(GuaranteedRoom(worker, pool), worker.free);
  });
  if (const auto rows = ChooseWorkers(cell, shape, now_free)) {
    PlacePieces(cell, job, *rows, true, run.now);
    return true;
  }
  if (const auto rows = MoveSlotToFreeRoom(cell, pool, shape, run.usable)) {
    PlacePieces(cell, job, *rows, true, run.now);
    return true;
  }
  Offers reclaimed = MakeOffers(run, cell, job, [&](const Worker& worker) {
    return GuaranteedRoom(worker, pool);
  });
  reclaimed.cost.resize(cell.workers.size());
  for (std::size_t row = 0; row < cell.workers.size(); ++row) {
    reclaimed.cost[row] = std::max<std::int64_t>(
        0, reclaimed.room[row].accelerators.value -
               cell.workers.rows[row].free.accelerators.value);
  }
  const auto rows = ChooseWorkers(cell, shape, reclaimed);
  if (!rows) {
    return false;
  }
  PlacePieces(cell, job, *rows, true, run.now);
  StopVictims(cell, job, Preemption::kReclaim, GraceFor(run, job), run.now);
  return true;
}

// Whether a borrower may be placed on a worker that is held for another gang.
bool MayUseHeld(const Cell& cell, const Job& job, const WorkerId& worker) {
  return !cell.hold || cell.hold->job == job.spec.id ||
         !cell.hold->workers.contains(worker) || job.spec.idempotent;
}

// Places the job on free room, first where nothing is kept for a pool.
bool PlaceOnFreeRoom(PlacementRun& run, Cell& cell, Job& job) {
  const auto free_room = [&](const Worker& worker) {
    return MayUseHeld(cell, job, worker.listed.id) ? worker.free : Capacity{};
  };
  const Offers unreserved =
      MakeOffers(run, cell, job, [&](const Worker& worker) {
        const Capacity kept = ReservedOn(worker) - ReservedUseOn(worker);
        return free_room(worker) - NoLessThanZero(kept);
      });
  auto rows = ChooseWorkers(cell, job.spec.shape, unreserved);
  if (!rows) {
    rows = ChooseWorkers(cell, job.spec.shape,
                         MakeOffers(run, cell, job, free_room));
  }
  if (!rows) {
    return false;
  }
  PlacePieces(cell, job, *rows, false, run.now);
  return true;
}

// What stopping work for `job` would free on each worker.
const Offers& Stoppable(PlacementRun& run,
                        const Cell& cell,
                        const Job& job,
                        Preemption why) {
  const bool moves = why == Preemption::kDefragment;
  const StopKey key{
      .why = why,
      .priority = job.priority,
      .level = LevelOf(job, run.now),
      .size = moves ? AcceleratorsOf(job.spec.shape) : Accelerators{},
      .has_hold = moves && cell.hold && cell.hold->job == job.spec.id};
  const auto [entry, is_new] = run.stoppable.try_emplace(key);
  if (is_new) {
    entry->second.room.resize(cell.workers.size());
    OfferStoppable(cell, job, why, run.now, entry->second);
  }
  return entry->second;
}

// Places the job where other work can be stopped for it.
bool PlaceByStopping(PlacementRun& run, Cell& cell, Job& job, Preemption why) {
  const Offers& stoppable = Stoppable(run, cell, job, why);
  Offers offers = MakeOffers(run, cell, job,
                             [](const Worker& worker) { return worker.free; });
  offers.cost = stoppable.cost;
  for (std::size_t row = 0; row < run.usable.size(); ++row) {
    if (run.usable[row] && !job.failed_on.contains(cell.workers.keys[row])) {
      offers.room[row] = offers.room[row] + stoppable.room[row];
    }
  }
  const auto rows = ChooseWorkers(cell, job.spec.shape, offers);
  if (!rows) {
    return false;
  }
  PlacePieces(cell, job, *rows, false, run.now);
  StopVictims(cell, job, why, GraceFor(run, job), run.now);
  return true;
}

// Whether the free room in sum would hold the gang, so that only its being
// scattered stands in the way.
bool IsFragmented(const PlacementRun& run, const Cell& cell, const Job& job) {
  Accelerators free;
  for (std::size_t row = 0; row < run.usable.size(); ++row) {
    if (run.usable[row]) {
      free += NoLessThanZero(cell.workers.rows[row].free).accelerators;
    }
  }
  return free >= AcceleratorsOf(job.spec.shape);
}

// Keeps workers for the first large gang that waits, so that work placed later
// does not delay its start.
void HoldFor(PlacementRun& run, Cell& cell, const Job& job) {
  if (cell.hold || job.spec.shape.pieces < 2) {
    return;
  }
  const Offers offers = MakeOffers(run, cell, job, [](const Worker& worker) {
    return CapacityOf(worker.listed) - ReservedUseOn(worker);
  });
  const auto rows = ChooseWorkers(cell, job.spec.shape, offers);
  if (!rows) {
    return;
  }
  GangHold hold{.job = job.spec.id, .since = run.now};
  for (const std::size_t row : *rows) {
    hold.workers.insert(cell.workers.keys[row]);
  }
  cell.hold = std::move(hold);
  Log(LogLevel::kDebug, "gang_hold",
      {{"job", job.spec.id.value}, {"workers", cell.hold->workers.size()}});
}

bool PlaceBorrower(PlacementRun& run, Cell& cell, Job& job) {
  if (PlaceOnFreeRoom(run, cell, job) ||
      PlaceByStopping(run, cell, job, Preemption::kOrder)) {
    return true;
  }
  const bool has_hold = cell.hold && cell.hold->job == job.spec.id;
  if ((has_hold || IsFragmented(run, cell, job)) &&
      PlaceByStopping(run, cell, job, Preemption::kDefragment)) {
    return true;
  }
  HoldFor(run, cell, job);
  return false;
}

// Places the job within its pool's guarantees unless they are used up.
bool TryGuaranteed(PlacementRun& run, Cell& cell, Job& job) {
  const PoolKey key{job.pool, job.spec.workspace};
  const Shape& shape = job.spec.shape;
  const auto spare = run.spare.find(key);
  if (spare == run.spare.end() || spare->second < AcceleratorsOf(shape).value ||
      run.refused_guaranteed.contains({key, shape})) {
    return false;
  }
  ++run.tries;
  if (!PlaceGuaranteed(run, cell, job)) {
    run.refused_guaranteed.emplace(key, shape);
    return false;
  }
  spare->second -= AcceleratorsOf(shape).value;
  return true;
}

// Places the job on room that is not its pool's.
bool TryBorrowing(PlacementRun& run, Cell& cell, Job& job) {
  const BorrowKey key{job.priority, LevelOf(job, run.now), job.spec.shape};
  const bool has_hold = cell.hold && cell.hold->job == job.spec.id;
  if (!has_hold && job.failed_on.empty() &&
      run.refused_borrowers.contains(key)) {
    return false;
  }
  ++run.tries;
  if (!PlaceBorrower(run, cell, job)) {
    run.refused_borrowers.insert(key);
    return false;
  }
  run.borrowed[PoolKey{job.pool, job.spec.workspace}] +=
      AcceleratorsOf(job.spec.shape).value;
  return true;
}

bool PlaceGang(PlacementRun& run, Cell& cell, Job& job) {
  const Pool* pool = FindPool(run, job);
  if (pool == nullptr) {
    return false;
  }
  if (!TryGuaranteed(run, cell, job) &&
      !(pool->borrows && TryBorrowing(run, cell, job))) {
    return false;
  }
  run.stoppable.clear();
  if (cell.hold && cell.hold->job == job.spec.id) {
    cell.hold.reset();
  }
  return true;
}

// What a pool borrows for each unit of its weight; the least goes first.
double ShareOf(const PlacementRun& run, const PoolKey& key) {
  const auto pool = run.config.pools.find(key);
  const auto borrowed = run.borrowed.find(key);
  const std::int64_t weight =
      pool == run.config.pools.end()
          ? 1
          : std::max<std::int64_t>(pool->second.weight.value, 1);
  return borrowed == run.borrowed.end()
             ? 0
             : static_cast<double>(borrowed->second) /
                   static_cast<double>(weight);
}

// Places the first job of the queue that can be placed now, if any.
bool PlaceFromQueue(PlacementRun& run, Cell& cell, const QueueKey& key) {
  const auto queue = cell.queues.find(key);
  if (queue == cell.queues.end()) {
    return false;
  }
  std::vector<JobId> first;
  for (const QueuePlace& place : queue->second) {
    if (first.size() == kQueueScan) {
      break;
    }
    first.push_back(place.job);
  }
  for (const JobId& id : first) {
    if (run.tries >= kMaxTries) {
      return false;
    }
    if (PlaceGang(run, cell, *cell.jobs.find(id))) {
      return true;
    }
  }
  return false;
}

void PlacePriority(PlacementRun& run, Cell& cell, Priority priority) {
  std::set<std::pair<double, QueueKey>> queues;
  for (const auto& [key, places] : cell.queues) {
    if (key.priority == priority) {
      queues.emplace(ShareOf(run, key.pool), key);
    }
  }
  while (!queues.empty() && run.tries < kMaxTries) {
    const QueueKey key = queues.begin()->second;
    queues.erase(queues.begin());
    if (PlaceFromQueue(run, cell, key)) {
      queues.emplace(ShareOf(run, key.pool), key);
    }
  }
}

void PlaceInCell(const World& world, Cell& cell, TimePoint now) {
  PlacementRun run = BeginRun(world, cell, now);
  cell.placement_due = false;
  cell.next_placement = now + kPlacementInterval;
  for (const Priority priority :
       {Priority::kUrgent, Priority::kNormal, Priority::kBulk}) {
    PlacePriority(run, cell, priority);
  }
  cell.placement_due |= run.tries >= kMaxTries;
}

}  // namespace impl

void PlaceGangs(World& world, TimePoint now) {
  for (auto& [name, cell] : world.jobs.cells) {
    if (IsHeld(cell) && cell.recovered && cell.placement_due &&
        now >= cell.next_placement) {
      impl::PlaceInCell(world, cell, now);
    }
  }
}

std::string WhyNeverRunnable(const CellMap& map,
                             const Cell& cell,
                             const Pool& pool,
                             const Shape& shape) {
  Offers whole;
  for (const Worker& worker : cell.workers.rows) {
    whole.room.push_back(CapacityOf(worker.listed));
  }
  if (!ChooseWorkers(cell, shape, whole)) {
    return fmt::format(
        "no workers that are adjacent as asked ({}) hold {} pieces of {} "
        "accelerators, even when nothing else runs",
        NameOf(shape.adjacency), shape.pieces, shape.accelerators.value);
  }
  if (pool.borrows) {
    return "";
  }
  const bool guaranteed = std::any_of(
      pool.guarantees.begin(), pool.guarantees.end(),
      [&](const Guarantee& row) { return CellOf(map, row.zone) == cell.name; });
  return guaranteed ? ""
                    : "the workspace borrows nothing and has no guarantee in "
                      "this cell";
}

}  // namespace chicorystep
