#include "chicorystep/systems/workflows/preemption/unit_reservations.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace chicorystep {
namespace {

// Stops usually end within a second. After this time the unit is planned anew.
constexpr Duration kMaxReservationAge = std::chrono::seconds(2);

TaskKey MakeKey(const PlacementUnit& unit) {
  return TaskKey{unit.id, unit.run->occurrence, unit.run->step,
                 unit.tasks.front()};
}

// Returns the reserved capacity to the pass, which may make units fit.
void ReturnCapacity(TaskPlacementPass& pass,
                    const UnitReservation& reservation) {
  const auto& index = pass.world->scheduling.workers.index;
  for (const WorkerId& worker : reservation.workers) {
    if (const auto row = index.find(worker); row != index.end()) {
      AddReclaimableCapacity(pass, row->second, reservation.need);
    }
  }
}

// Takes the reserved capacity from what the pass may use.
void Apply(TaskPlacementPass& pass,
           const TaskKey& key,
           const UnitReservation& reservation) {
  const auto& index = pass.world->scheduling.workers.index;
  for (const WorkerId& worker : reservation.workers) {
    if (const auto row = index.find(worker); row != index.end()) {
      ReserveCapacity(pass, row->second, reservation.need);
    }
  }
  pass.reservations_applied.insert(key);
}

}  // namespace

void ApplyReservations(TaskPlacementPass& pass,
                       const std::vector<PlacementUnit>& units) {
  auto& reservations = pass.world->scheduling.reservations;
  if (reservations.empty()) {
    return;
  }
  std::set<TaskKey> waiting;
  for (const PlacementUnit& unit : units) {
    if (!unit.divisible) {
      waiting.insert(MakeKey(unit));
    }
  }
  std::erase_if(reservations, [&](const auto& row) {
    return !waiting.contains(row.first) ||
           pass.time.now - row.second.since > kMaxReservationAge;
  });
  for (const auto& [key, reservation] : reservations) {
    Apply(pass, key, reservation);
  }
}

std::optional<UnitReservation> TakeReservation(TaskPlacementPass& pass,
                                               const PlacementUnit& unit) {
  if (pass.reservations_applied.empty() || unit.divisible) {
    return std::nullopt;
  }
  const TaskKey key = MakeKey(unit);
  if (pass.reservations_applied.erase(key) == 0) {
    return std::nullopt;
  }
  auto row = pass.world->scheduling.reservations.extract(key);
  ReturnCapacity(pass, row.mapped());
  return std::move(row.mapped());
}

bool ReserveAgain(TaskPlacementPass& pass,
                  const PlacementUnit& unit,
                  const UnitReservation& reservation) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  const auto& index = pass.world->scheduling.workers.index;
  std::map<std::size_t, Capacity> free;
  for (const WorkerId& worker : reservation.workers) {
    const auto row = index.find(worker);
    if (row == index.end() ||
        !IsEligible(unit, spec, pass.candidates[row->second])) {
      return false;
    }
    Capacity& left =
        free.try_emplace(row->second,
                         pass.candidates[row->second].free_after_stops)
            .first->second;
    if (!Holds(left, spec.need)) {
      return false;
    }
    left = left - spec.need;
  }
  for (const auto& [candidate, left] : free) {
    ReserveCapacity(pass, candidate,
                    pass.candidates[candidate].free_after_stops - left);
  }
  pass.world->scheduling.reservations[MakeKey(unit)] = reservation;
  return true;
}

void KeepReservation(TaskPlacementPass& pass,
                     const PlacementUnit& unit,
                     const std::vector<std::size_t>& candidates) {
  UnitReservation reservation{
      .need = unit.workflow->spec.steps[unit.run->step.value].need,
      .since = pass.time.now};
  for (const std::size_t candidate : candidates) {
    reservation.workers.push_back(
        pass.candidates[candidate].worker->listing.id);
  }
  pass.world->scheduling.reservations[MakeKey(unit)] = std::move(reservation);
}

std::map<TaskKey, UnitReservation> GiveUpReservations(TaskPlacementPass& pass) {
  std::map<TaskKey, UnitReservation> given_up;
  auto& reservations = pass.world->scheduling.reservations;
  for (const TaskKey& key : std::exchange(pass.reservations_applied, {})) {
    auto row = reservations.extract(key);
    ReturnCapacity(pass, row.mapped());
    given_up.insert(std::move(row));
  }
  return given_up;
}

void RestoreReservations(TaskPlacementPass& pass,
                         const std::map<TaskKey, UnitReservation>& given_up) {
  for (const auto& [key, reservation] : given_up) {
    pass.world->scheduling.reservations[key] = reservation;
    Apply(pass, key, reservation);
  }
}

}  // namespace chicorystep
