#include "chicorystep/systems/cells/scheduling.h"

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
#include "chicorystep/systems/cells/cell_state.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/packing.h"
#include "chicorystep/systems/cells/placement.h"
#include "chicorystep/systems/cells/preemption.h"
#include "chicorystep/systems/cells/worker_health.h"
#include "chicorystep/systems/cells/worker_polls.h"

namespace chicorystep {
namespace impl {

// Minimum time between placement passes, so that a burst of events costs one.
inline constexpr Duration kPlacementInterval = std::chrono::milliseconds(20);
// Urgent work must start within 1 s, so victims get less time for checkpoints.
inline constexpr Duration kUrgentGrace = std::chrono::milliseconds(500);
// Jobs considered when one queue is scanned, and placement attempts in one
// pass.
inline constexpr std::size_t kMaxJobsScannedPerQueue = 16;
inline constexpr std::size_t kMaxPlacementAttempts = 64;

// What the placement of a borrower depends on, besides the state of the cell.
struct BorrowKey {
  Priority priority = Priority::kNormal;
  std::int64_t level = 0;
  Shape shape;

  friend auto operator<=>(const BorrowKey&, const BorrowKey&) = default;
};

// The properties of a gang that determine the capacity which stopping work for
// it would free.
struct PreemptionKey {
  Preemption purpose = Preemption::kPrecedence;
  Priority priority = Priority::kNormal;
  std::int64_t level = 0;
  // The size of the gang for kDefragment; zero otherwise.
  Accelerators size;
  bool has_hold = false;

  friend auto operator<=>(const PreemptionKey&, const PreemptionKey&) = default;
};

// The inputs and intermediate results of one placement pass over a cell.
struct PlacementPass {
  const Config& config;
  const Self& self;
  TimePoint now{};
  // By worker row: whether anything may be placed there.
  std::vector<bool> usable;
  std::size_t attempts = 0;
  // Accelerators borrowed by each pool.
  std::map<PoolKey, std::int64_t> borrowed;
  // Guaranteed accelerators that each pool does not use.
  std::map<PoolKey, std::int64_t> unused_guaranteed;
  // Gangs that could not be placed in this pass; no capacity has become free
  // since.
  std::set<std::pair<PoolKey, Shape>> unplaceable_guaranteed;
  std::set<BorrowKey> unplaceable_borrowers;
  // Capacity that stopping work would free. Cleared when a gang is placed.
  std::map<PreemptionKey, Offers> preemptible;
};

// The time that work stopped for `job` is given to write its checkpoints.
Duration CheckpointGrace(const PlacementPass& pass, const Job& job) {
  return job.priority == Priority::kUrgent
             ? std::min(pass.self.reclaim_grace, kUrgentGrace)
             : pass.self.reclaim_grace;
}

bool IsPlacementCandidate(const Worker& worker,
                          const Self& self,
                          TimePoint now) {
  return worker.listed.state == InstanceState::kLive &&
         IsResponsive(worker, self, now) && IsUsable(worker, now);
}

PlacementPass BeginPass(const World& world, const Cell& cell, TimePoint now) {
  PlacementPass pass{.config = world.config, .self = world.self, .now = now};
  for (const Worker& worker : cell.workers.rows) {
    pass.usable.push_back(IsPlacementCandidate(worker, world.self, now));
    for (const Reservation& held : worker.reservations) {
      pass.unused_guaranteed[held.pool] +=
          (held.reserved - held.used).accelerators.value;
    }
  }
  for (const JobId& id : cell.active) {
    const Job& job = *cell.jobs.find(id);
    if (!job.guaranteed && !job.pieces.empty()) {
      pass.borrowed[PoolKey{job.pool, job.spec.workspace}] +=
          TotalAccelerators(job.spec.shape).value;
    }
  }
  return pass;
}

const Pool* FindPool(const PlacementPass& pass, const Job& job) {
  const auto pool =
      pass.config.pools.find(PoolKey{job.pool, job.spec.workspace});
  return pool == pass.config.pools.end() ? nullptr : &pool->second;
}

// Offers `capacity_of(worker)` on the workers that `job` may use, and nothing
// on the others.
template <typename CapacityFunction>
Offers MakeOffers(const PlacementPass& pass,
                  const Cell& cell,
                  const Job& job,
                  CapacityFunction capacity_of) {
  Offers offers;
  offers.capacity.resize(cell.workers.size());
  for (std::size_t row = 0; row < cell.workers.size(); ++row) {
    const Worker& worker = cell.workers.rows[row];
    if (pass.usable[row] && !job.failed_workers.contains(worker.listed.id)) {
      offers.capacity[row] = capacity_of(worker);
    }
  }
  return offers;
}

// The capacity of a worker that is reserved for `pool` and not in use.
Capacity UnusedReservation(const Worker& worker, const PoolKey& pool) {
  const Reservation* held = FindReservation(worker, pool);
  return held == nullptr ? Capacity{} : held->reserved - held->used;
}

// Places the job on capacity reserved for its pool; borrowers there are stopped
// if necessary.
bool PlaceGuaranteed(PlacementPass& pass, Cell& cell, Job& job) {
  const PoolKey pool{job.pool, job.spec.workspace};
  const Shape& shape = job.spec.shape;
  const Offers now_free =
      MakeOffers(pass, cell, job, [&](const Worker& worker) {
        return Min(UnusedReservation(worker, pool), worker.free);
      });
  if (const auto rows = ChooseWorkers(cell, shape, now_free)) {
    PlacePieces(cell, job, *rows, true, pass.now);
    return true;
  }
  if (const auto rows =
          MoveSlotToFreeCapacity(cell, pool, shape, pass.usable)) {
    PlacePieces(cell, job, *rows, true, pass.now);
    return true;
  }
  Offers reclaimed = MakeOffers(pass, cell, job, [&](const Worker& worker) {
    return UnusedReservation(worker, pool);
  });
  reclaimed.cost.resize(cell.workers.size());
  for (std::size_t row = 0; row < cell.workers.size(); ++row) {
    reclaimed.cost[row] = std::max<std::int64_t>(
        0, reclaimed.capacity[row].accelerators.value -
               cell.workers.rows[row].free.accelerators.value);
  }
  const auto rows = ChooseWorkers(cell, shape, reclaimed);
  if (!rows) {
    return false;
  }
  PlacePieces(cell, job, *rows, true, pass.now);
  StopVictims(cell, job, Preemption::kReclaim, CheckpointGrace(pass, job),
              pass.now);
  return true;
}

// Whether a borrower may be placed on `worker`. A worker that is held for
// another gang takes only idempotent jobs, which can be stopped and restarted.
bool MayUseHeld(const Cell& cell, const Job& job, const WorkerId& worker) {
  return !cell.hold || cell.hold->job == job.spec.id ||
         !cell.hold->workers.contains(worker) || job.spec.idempotent;
}

// Places the job on free capacity, preferably where nothing is reserved.
bool PlaceOnFreeCapacity(PlacementPass& pass, Cell& cell, Job& job) {
  const auto free_capacity = [&](const Worker& worker) {
    return MayUseHeld(cell, job, worker.listed.id) ? worker.free : Capacity{};
  };
  const Offers unreserved =
      MakeOffers(pass, cell, job, [&](const Worker& worker) {
        const Capacity unused_reservations =
            ReservedCapacity(worker) - UsedReservedCapacity(worker);
        return free_capacity(worker) - ClampToZero(unused_reservations);
      });
  auto rows = ChooseWorkers(cell, job.spec.shape, unreserved);
  if (!rows) {
    rows = ChooseWorkers(cell, job.spec.shape,
                         MakeOffers(pass, cell, job, free_capacity));
  }
  if (!rows) {
    return false;
  }
  PlacePieces(cell, job, *rows, false, pass.now);
  return true;
}

// The capacity that stopping work for `job` would free on each worker, computed
// once for all gangs with the same key.
const Offers& PreemptibleCapacity(PlacementPass& pass,
                                  const Cell& cell,
                                  const Job& job,
                                  Preemption purpose) {
  const bool defragments = purpose == Preemption::kDefragment;
  const PreemptionKey key{
      .purpose = purpose,
      .priority = job.priority,
      .level = AttainedServiceLevel(job, pass.now),
      .size = defragments ? TotalAccelerators(job.spec.shape) : Accelerators{},
      .has_hold = defragments && cell.hold && cell.hold->job == job.spec.id};
  const auto [entry, is_new] = pass.preemptible.try_emplace(key);
  if (is_new) {
    entry->second.capacity.resize(cell.workers.size());
    AddPreemptibleCapacity(cell, job, purpose, pass.now, entry->second);
  }
  return entry->second;
}

// Places the job on workers where other work can be stopped for it.
bool PlaceByPreemption(PlacementPass& pass,
                       Cell& cell,
                       Job& job,
                       Preemption purpose) {
  const Offers& preemptible = PreemptibleCapacity(pass, cell, job, purpose);
  Offers offers = MakeOffers(pass, cell, job,
                             [](const Worker& worker) { return worker.free; });
  offers.cost = preemptible.cost;
  for (std::size_t row = 0; row < pass.usable.size(); ++row) {
    if (pass.usable[row] &&
        !job.failed_workers.contains(cell.workers.keys[row])) {
      offers.capacity[row] = offers.capacity[row] + preemptible.capacity[row];
    }
  }
  const auto rows = ChooseWorkers(cell, job.spec.shape, offers);
  if (!rows) {
    return false;
  }
  PlacePieces(cell, job, *rows, false, pass.now);
  StopVictims(cell, job, purpose, CheckpointGrace(pass, job), pass.now);
  return true;
}

// Whether the total free capacity would hold the gang, so that only
// fragmentation prevents its placement.
bool IsFragmented(const PlacementPass& pass, const Cell& cell, const Job& job) {
  Accelerators free;
  for (std::size_t row = 0; row < pass.usable.size(); ++row) {
    if (pass.usable[row]) {
      free += ClampToZero(cell.workers.rows[row].free).accelerators;
    }
  }
  return free >= TotalAccelerators(job.spec.shape);
}

// Sets workers aside for the first waiting gang of several pieces, so that work
// placed later does not delay its start.
void HoldWorkersFor(PlacementPass& pass, Cell& cell, const Job& job) {
  if (cell.hold || job.spec.shape.pieces < 2) {
    return;
  }
  const Offers offers = MakeOffers(pass, cell, job, [](const Worker& worker) {
    return CapacityOf(worker.listed) - UsedReservedCapacity(worker);
  });
  const auto rows = ChooseWorkers(cell, job.spec.shape, offers);
  if (!rows) {
    return;
  }
  GangHold hold{.job = job.spec.id, .since = pass.now};
  for (const std::size_t row : *rows) {
    hold.workers.insert(cell.workers.keys[row]);
  }
  cell.hold = std::move(hold);
  Log(LogLevel::kDebug, "gang_hold",
      {{"job", job.spec.id.value}, {"workers", cell.hold->workers.size()}});
}

bool PlaceBorrower(PlacementPass& pass, Cell& cell, Job& job) {
  if (PlaceOnFreeCapacity(pass, cell, job) ||
      PlaceByPreemption(pass, cell, job, Preemption::kPrecedence)) {
    return true;
  }
  const bool has_hold = cell.hold && cell.hold->job == job.spec.id;
  if ((has_hold || IsFragmented(pass, cell, job)) &&
      PlaceByPreemption(pass, cell, job, Preemption::kDefragment)) {
    return true;
  }
  HoldWorkersFor(pass, cell, job);
  return false;
}

// Places the job within its pool's guarantees unless they are in use.
bool TryPlaceGuaranteed(PlacementPass& pass, Cell& cell, Job& job) {
  const PoolKey key{job.pool, job.spec.workspace};
  const Shape& shape = job.spec.shape;
  const auto unused_guaranteed = pass.unused_guaranteed.find(key);
  if (unused_guaranteed == pass.unused_guaranteed.end() ||
      unused_guaranteed->second < TotalAccelerators(shape).value ||
      pass.unplaceable_guaranteed.contains({key, shape})) {
    return false;
  }
  ++pass.attempts;
  if (!PlaceGuaranteed(pass, cell, job)) {
    pass.unplaceable_guaranteed.emplace(key, shape);
    return false;
  }
  unused_guaranteed->second -= TotalAccelerators(shape).value;
  return true;
}

// Places the job on capacity that is not reserved for its pool.
bool TryPlaceBorrower(PlacementPass& pass, Cell& cell, Job& job) {
  const BorrowKey key{job.priority, AttainedServiceLevel(job, pass.now),
                      job.spec.shape};
  const bool has_hold = cell.hold && cell.hold->job == job.spec.id;
  if (!has_hold && job.failed_workers.empty() &&
      pass.unplaceable_borrowers.contains(key)) {
    return false;
  }
  ++pass.attempts;
  if (!PlaceBorrower(pass, cell, job)) {
    pass.unplaceable_borrowers.insert(key);
    return false;
  }
  pass.borrowed[PoolKey{job.pool, job.spec.workspace}] +=
      TotalAccelerators(job.spec.shape).value;
  return true;
}

bool PlaceGang(PlacementPass& pass, Cell& cell, Job& job) {
  const Pool* pool = FindPool(pass, job);
  if (pool == nullptr) {
    return false;
  }
  if (!TryPlaceGuaranteed(pass, cell, job) &&
      !(pool->borrows && TryPlaceBorrower(pass, cell, job))) {
    return false;
  }
  pass.preemptible.clear();
  if (cell.hold && cell.hold->job == job.spec.id) {
    cell.hold.reset();
  }
  return true;
}

// The accelerators that a pool borrows per unit of its weight; the pool with
// the least is served first.
double BorrowedShare(const PlacementPass& pass, const PoolKey& key) {
  const auto pool = pass.config.pools.find(key);
  const auto borrowed = pass.borrowed.find(key);
  const std::int64_t weight =
      pool == pass.config.pools.end()
          ? 1
          : std::max<std::int64_t>(pool->second.weight.value, 1);
  return borrowed == pass.borrowed.end()
             ? 0
             : static_cast<double>(borrowed->second) /
                   static_cast<double>(weight);
}

// Places the first job of the queue that can be placed now. Returns whether
// there was one.
bool PlaceFromQueue(PlacementPass& pass, Cell& cell, const QueueKey& key) {
  const auto queue = cell.queues.find(key);
  if (queue == cell.queues.end()) {
    return false;
  }
  std::vector<JobId> first_jobs;
  for (const QueueEntry& entry : queue->second) {
    if (first_jobs.size() == kMaxJobsScannedPerQueue) {
      break;
    }
    first_jobs.push_back(entry.job);
  }
  for (const JobId& id : first_jobs) {
    if (pass.attempts >= kMaxPlacementAttempts) {
      return false;
    }
    if (PlaceGang(pass, cell, *cell.jobs.find(id))) {
      return true;
    }
  }
  return false;
}

void PlacePriority(PlacementPass& pass, Cell& cell, Priority priority) {
  std::set<std::pair<double, QueueKey>> queues;
  for (const auto& [key, entries] : cell.queues) {
    if (key.priority == priority) {
      queues.emplace(BorrowedShare(pass, key.pool), key);
    }
  }
  while (!queues.empty() && pass.attempts < kMaxPlacementAttempts) {
    const QueueKey key = queues.begin()->second;
    queues.erase(queues.begin());
    if (PlaceFromQueue(pass, cell, key)) {
      queues.emplace(BorrowedShare(pass, key.pool), key);
    }
  }
}

void PlaceInCell(const World& world, Cell& cell, TimePoint now) {
  PlacementPass pass = BeginPass(world, cell, now);
  cell.placement_due = false;
  cell.next_placement = now + kPlacementInterval;
  for (const Priority priority :
       {Priority::kUrgent, Priority::kNormal, Priority::kBulk}) {
    PlacePriority(pass, cell, priority);
  }
  cell.placement_due |= pass.attempts >= kMaxPlacementAttempts;
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

std::string ExplainNeverRunnable(const CellMap& map,
                                 const Cell& cell,
                                 const Pool& pool,
                                 const Shape& shape) {
  Offers total;
  for (const Worker& worker : cell.workers.rows) {
    total.capacity.push_back(CapacityOf(worker.listed));
  }
  if (!ChooseWorkers(cell, shape, total)) {
    return fmt::format(
        "no workers that are adjacent as asked ({}) hold {} pieces of {} "
        "accelerators, even when nothing else runs",
        EnumName(shape.adjacency), shape.pieces, shape.accelerators.value);
  }
  if (pool.borrows) {
    return "";
  }
  const bool guaranteed =
      std::any_of(pool.guarantees.begin(), pool.guarantees.end(),
                  [&](const Guarantee& row) {
                    return CellForZone(map, row.zone) == cell.name;
                  });
  return guaranteed ? ""
                    : "the workspace borrows nothing and has no guarantee in "
                      "this cell";
}

}  // namespace chicorystep
