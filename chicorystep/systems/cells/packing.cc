#include "chicorystep/systems/cells/packing.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cells/cell_state.h"
#include "chicorystep/systems/cells/cells.h"

namespace chicorystep {
namespace impl {

void Reserve(Worker& worker, const PoolKey& pool, const Capacity& amount) {
  Reservation* held = FindReservation(worker, pool);
  if (held == nullptr) {
    held = &worker.reservations.emplace_back(Reservation{.pool = pool});
  }
  held->reserved = held->reserved + amount;
}

// The capacity of a worker that is left for further guaranteed shapes.
Capacity UnreservedOn(const Worker& worker) {
  if (worker.listed.state != InstanceState::kLive) {
    return Capacity{};
  }
  return ClampToZero(CapacityOf(worker.listed) - ReservedCapacity(worker));
}

Offers OfferUnreserved(const Cell& cell, const Zone& zone) {
  Offers offers;
  for (const Worker& worker : cell.workers.rows) {
    offers.capacity.push_back(worker.listed.zone == zone ? UnreservedOn(worker)
                                                         : Capacity{});
  }
  return offers;
}

// Reserves capacity for `slot` on `workers`, or nothing when one of them lacks
// it.
bool TryReserve(Cell& cell,
                GuaranteeSlot& slot,
                const std::vector<WorkerId>& workers) {
  const Capacity piece = CapacityOf(slot.shape);
  std::map<WorkerId, std::int64_t> pieces;
  for (const WorkerId& id : workers) {
    ++pieces[id];
  }
  for (const auto& [id, count] : pieces) {
    const Worker* worker = cell.workers.find(id);
    Capacity need;
    for (std::int64_t i = 0; i < count; ++i) {
      need = need + piece;
    }
    if (worker == nullptr || !Holds(UnreservedOn(*worker), need)) {
      return false;
    }
  }
  for (const WorkerId& id : workers) {
    Reserve(*cell.workers.find(id), slot.pool, piece);
  }
  slot.workers = workers;
  return true;
}

void Unreserve(Cell& cell, GuaranteeSlot& slot) {
  for (const WorkerId& id : slot.workers) {
    if (Worker* worker = cell.workers.find(id)) {
      Reservation* held = FindReservation(*worker, slot.pool);
      held->reserved = held->reserved - CapacityOf(slot.shape);
    }
  }
  slot.workers.clear();
}

// Makes the slots for the guarantees of the tables in the cell's zones.
std::vector<GuaranteeSlot> MakeConfiguredSlots(const World& world,
                                               const Cell& cell) {
  std::vector<GuaranteeSlot> slots;
  for (const auto& [key, pool] : world.config.pools) {
    for (const Guarantee& guarantee : pool.guarantees) {
      if (CellForZone(world.self.cells, guarantee.zone) == cell.name) {
        slots.insert(
            slots.end(), static_cast<std::size_t>(guarantee.count),
            GuaranteeSlot{
                .pool = key, .zone = guarantee.zone, .shape = guarantee.shape});
      }
    }
  }
  // The largest are the hardest to place.
  std::stable_sort(slots.begin(), slots.end(),
                   [](const GuaranteeSlot& a, const GuaranteeSlot& b) {
                     return TotalAccelerators(a.shape) >
                            TotalAccelerators(b.shape);
                   });
  return slots;
}

// Keeps slots on the workers of the last plan.
void KeepSlots(Cell& cell,
               std::vector<GuaranteeSlot>& slots,
               std::vector<GuaranteeSlot> before) {
  for (GuaranteeSlot& slot : slots) {
    const auto same = std::find_if(
        before.begin(), before.end(), [&](const GuaranteeSlot& old) {
          return !old.workers.empty() && old.pool == slot.pool &&
                 old.zone == slot.zone && old.shape == slot.shape;
        });
    if (same != before.end()) {
      TryReserve(cell, slot, same->workers);
      before.erase(same);
    }
  }
}

bool IsCoveredBy(const Shape& piece, const Shape& slot) {
  return Holds(CapacityOf(slot), CapacityOf(piece));
}

// Whether every piece of the gang runs in `zone`.
bool RunsInZone(const Cell& cell, const Job& job, const Zone& zone) {
  return std::all_of(job.pieces.begin(), job.pieces.end(),
                     [&](const Piece& piece) {
                       const Worker* worker = cell.workers.find(piece.worker);
                       return worker != nullptr && worker->listed.zone == zone;
                     });
}

// Places slots on the workers where a gang of their workspace already runs.
void PlaceSlotsUnderGangs(Cell& cell, std::vector<GuaranteeSlot>& slots) {
  std::vector<const Job*> gangs;
  for (const JobId& id : cell.active) {
    gangs.push_back(cell.jobs.find(id));
  }
  std::sort(gangs.begin(), gangs.end(), [](const Job* a, const Job* b) {
    return a->accepted_offset < b->accepted_offset;
  });
  for (const Job* job : gangs) {
    const PoolKey pool{job->pool, job->spec.workspace};
    const auto slot = std::find_if(
        slots.begin(), slots.end(), [&](const GuaranteeSlot& candidate) {
          return candidate.workers.empty() && candidate.pool == pool &&
                 candidate.shape.pieces == std::ssize(job->pieces) &&
                 IsCoveredBy(job->spec.shape, candidate.shape) &&
                 job->spec.shape.adjacency >= candidate.shape.adjacency &&
                 RunsInZone(cell, *job, candidate.zone);
        });
    if (slot != slots.end()) {
      std::vector<WorkerId> workers;
      for (const Piece& piece : job->pieces) {
        workers.push_back(piece.worker);
      }
      TryReserve(cell, *slot, workers);
    }
  }
}

void PlaceSlots(Cell& cell, std::vector<GuaranteeSlot>& slots) {
  for (GuaranteeSlot& slot : slots) {
    if (!slot.workers.empty()) {
      continue;
    }
    const auto rows =
        ChooseWorkers(cell, slot.shape, OfferUnreserved(cell, slot.zone));
    if (!rows) {
      continue;
    }
    for (const std::size_t row : *rows) {
      slot.workers.push_back(cell.workers.keys[row]);
      Reserve(cell.workers.rows[row], slot.pool, CapacityOf(slot.shape));
    }
  }
}

void ClearReservations(Cell& cell) {
  for (Worker& worker : cell.workers.rows) {
    worker.reservations.clear();
  }
}

// The accelerators of the unplaced slots, plus one for each slot so that shapes
// without accelerators count, too.
std::int64_t UnmetAccelerators(const std::vector<GuaranteeSlot>& slots) {
  std::int64_t unmet = 0;
  for (const GuaranteeSlot& slot : slots) {
    if (slot.workers.empty()) {
      unmet += TotalAccelerators(slot.shape).value + 1;
    }
  }
  return unmet;
}

// Charges each running gang to its pool's reservations on its workers, or makes
// it a borrower when they do not cover it.
void AssignReservations(Cell& cell) {
  std::vector<Job*> gangs;
  for (const JobId& id : cell.active) {
    gangs.push_back(cell.jobs.find(id));
  }
  std::sort(gangs.begin(), gangs.end(), [](const Job* a, const Job* b) {
    return std::pair(!a->guaranteed, a->accepted_offset) <
           std::pair(!b->guaranteed, b->accepted_offset);
  });
  for (Job* job : gangs) {
    const PoolKey pool{job->pool, job->spec.workspace};
    const Capacity need = CapacityOf(job->spec.shape);
    std::vector<Reservation*> reservations;
    for (const Piece& piece : job->pieces) {
      Worker* worker = cell.workers.find(piece.worker);
      Reservation* held =
          worker == nullptr ? nullptr : FindReservation(*worker, pool);
      if (held == nullptr || !Holds(held->reserved - held->used, need)) {
        break;
      }
      held->used = held->used + need;
      reservations.push_back(held);
    }
    job->guaranteed =
        !job->pieces.empty() && reservations.size() == job->pieces.size();
    if (!job->guaranteed) {
      for (Reservation* held : reservations) {
        held->used = held->used - need;
      }
    }
  }
}

// Logs the guarantees that cannot be met when the set has changed.
void LogUnmetGuarantees(Cell& cell) {
  std::string unmet;
  for (const GuaranteeSlot& slot : cell.slots) {
    if (slot.workers.empty()) {
      unmet += fmt::format("{}{}/{}", unmet.empty() ? "" : ",",
                           slot.pool.name.value, slot.pool.workspace.value);
    }
  }
  if (unmet == cell.logged_unmet) {
    return;
  }
  cell.logged_unmet = unmet;
  for (const GuaranteeSlot& slot : cell.slots) {
    if (slot.workers.empty()) {
      Log(LogLevel::kWarn, "guarantee_unmet",
          {{"cell", cell.name.value},
           {"zone", slot.zone.value},
           {"pool", slot.pool.name.value},
           {"workspace", slot.pool.workspace.value},
           {"reason", ExplainUnmet(cell, slot)}});
    }
  }
  if (unmet.empty()) {
    Log(LogLevel::kInfo, "guarantees_met", {{"cell", cell.name.value}});
  }
}

void PlanCell(const World& world, Cell& cell) {
  const std::vector<GuaranteeSlot> before = std::move(cell.slots);
  std::vector<GuaranteeSlot> stable = MakeConfiguredSlots(world, cell);
  ClearReservations(cell);
  KeepSlots(cell, stable, before);
  PlaceSlotsUnderGangs(cell, stable);
  PlaceSlots(cell, stable);
  if (const std::int64_t unmet = UnmetAccelerators(stable); unmet > 0) {
    // Packs from scratch: another choice of workers may meet more guarantees.
    std::vector<GuaranteeSlot> fresh = MakeConfiguredSlots(world, cell);
    ClearReservations(cell);
    PlaceSlots(cell, fresh);
    if (UnmetAccelerators(fresh) < unmet) {
      stable = std::move(fresh);
    } else {
      ClearReservations(cell);
      KeepSlots(cell, stable, std::vector(stable));
    }
  }
  cell.slots = std::move(stable);
  AssignReservations(cell);
  LogUnmetGuarantees(cell);
}

}  // namespace impl

void PlanGuarantees(World& world, TimePoint now) {
  for (auto& [name, cell] : world.jobs.cells) {
    if (!IsHeld(cell) || !cell.recovered ||
        (!cell.plan_stale && cell.planned_revision == world.config.revision)) {
      continue;
    }
    impl::PlanCell(world, cell);
    cell.plan_stale = false;
    cell.planned_revision = world.config.revision;
    cell.placement_due = true;
    cell.next_placement = std::min(cell.next_placement, now);
  }
}

std::string ExplainUnmet(const Cell& cell, const GuaranteeSlot& slot) {
  const Shape& shape = slot.shape;
  Offers total;
  for (const Worker& worker : cell.workers.rows) {
    total.capacity.push_back(worker.listed.state == InstanceState::kLive &&
                                     worker.listed.zone == slot.zone
                                 ? CapacityOf(worker.listed)
                                 : Capacity{});
  }
  if (!ChooseWorkers(cell, shape, total)) {
    return fmt::format(
        "no set of {} workers of the zone that is adjacent as asked ({}) has "
        "{} "
        "accelerators each",
        shape.pieces, EnumName(shape.adjacency), shape.accelerators.value);
  }
  return "the workers that could hold it are kept for other guarantees";
}

Capacity ReservedCapacity(const Worker& worker) noexcept {
  Capacity sum;
  for (const Reservation& held : worker.reservations) {
    sum = sum + held.reserved;
  }
  return sum;
}

Capacity UsedReservedCapacity(const Worker& worker) noexcept {
  Capacity sum;
  for (const Reservation& held : worker.reservations) {
    sum = sum + held.used;
  }
  return sum;
}

std::optional<std::vector<std::size_t>> MoveSlotToFreeCapacity(
    Cell& cell,
    const PoolKey& pool,
    const Shape& shape,
    const std::vector<bool>& usable) {
  for (GuaranteeSlot& slot : cell.slots) {
    const bool matches = slot.pool == pool && !slot.workers.empty() &&
                         slot.shape.pieces == shape.pieces &&
                         slot.shape.adjacency <= shape.adjacency &&
                         impl::IsCoveredBy(shape, slot.shape);
    const bool in_use =
        matches && std::any_of(slot.workers.begin(), slot.workers.end(),
                               [&](const WorkerId& id) {
                                 const Reservation* held = FindReservation(
                                     *cell.workers.find(id), pool);
                                 return held->used != Capacity{};
                               });
    if (!matches || in_use) {
      continue;
    }
    const std::vector<WorkerId> before = slot.workers;
    impl::Unreserve(cell, slot);
    Offers offers = impl::OfferUnreserved(cell, slot.zone);
    for (std::size_t row = 0; row < offers.capacity.size(); ++row) {
      offers.capacity[row] = usable[row]
                                 ? Min(offers.capacity[row],
                                       ClampToZero(cell.workers.rows[row].free))
                                 : Capacity{};
    }
    Shape wanted = slot.shape;
    wanted.adjacency = std::max(shape.adjacency, slot.shape.adjacency);
    auto rows = ChooseWorkers(cell, wanted, offers);
    std::vector<WorkerId> after;
    for (const std::size_t row : rows.value_or(std::vector<std::size_t>{})) {
      after.push_back(cell.workers.keys[row]);
    }
    impl::TryReserve(cell, slot, rows ? after : before);
    return rows;
  }
  return std::nullopt;
}

}  // namespace chicorystep
