#include "chicorystep/systems/preemption.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cell_state.h"

namespace chicorystep {
namespace impl {

// A gang is small beside another that is this many times as large.
inline constexpr std::int64_t kMuchLarger = 2;

// A gang runs at least this long before one of the same priority stops it.
inline constexpr Duration kQuantum = std::chrono::seconds(30);

bool IsLeaving(const Job& job) {
  return job.state == JobState::kCheckpointing ||
         job.state == JobState::kStopping;
}

bool IsRestartable(const Job& job) {
  return job.spec.idempotent || !job.may_have_run;
}

bool HasRunQuantum(const Job& job, TimePoint now) {
  return job.running_since != kNever && now - job.running_since >= kQuantum;
}

// What stopping a job costs, the cheapest first.
using StopCost = std::tuple<bool, bool, int, std::int64_t, JobId>;

StopCost CostOfStopping(const Job& job, TimePoint now) {
  const Duration ran =
      job.running_since == kNever ? Duration{} : now - job.running_since;
  const std::int64_t lost =
      job.spec.checkpointable
          ? 0
          : ran.count() * AcceleratorsOf(job.spec.shape).value;
  return {!IsRestartable(job), !job.spec.checkpointable,
          -static_cast<int>(job.priority), lost, job.spec.id};
}

// Writes checkpoints if the job can, then stops it and lets it wait again.
void StopVictim(Cell& cell, Job& victim, Duration grace, TimePoint now) {
  Log(LogLevel::kInfo, "gang_preempted",
      {{"job", victim.spec.id.value},
       {"checkpoint", victim.spec.checkpointable}});
  if (!IsRestartable(victim)) {
    StopGang(cell, victim, JobState::kFailed,
             "stopped for work with a better claim; not started again because "
             "it is not idempotent",
             now);
    return;
  }
  if (victim.spec.checkpointable && victim.state == JobState::kRunning) {
    victim.grace_until = now + grace;
    ChangeState(cell, victim, JobState::kCheckpointing, now);
    return;
  }
  StopGang(cell, victim, JobState::kWaiting, "", now);
}

// What each worker lacks until the work that is leaving has left.
std::map<WorkerId, Capacity> Deficits(const Cell& cell, const Job& job) {
  std::map<WorkerId, Capacity> deficits;
  for (const Piece& piece : job.pieces) {
    const Worker& worker = *cell.workers.find(piece.worker);
    Capacity free = worker.free;
    for (const PieceRef& ref : worker.pieces) {
      const Job* other = cell.jobs.find(ref.job);
      if (IsLeaving(*other)) {
        free = free + CapacityOf(other->spec.shape);
      }
    }
    deficits[piece.worker] = free;
  }
  return deficits;
}

}  // namespace impl

bool MayStop(const Cell& cell,
             const Job& job,
             const Job& victim,
             Preemption why,
             TimePoint now) {
  if (victim.spec.id == job.spec.id || victim.guaranteed ||
      impl::IsLeaving(victim) || victim.state == JobState::kEnding) {
    return false;
  }
  if (why == Preemption::kReclaim) {
    return true;
  }
  if (!impl::IsRestartable(victim) || victim.priority < job.priority) {
    return false;
  }
  if (why == Preemption::kOrder) {
    return victim.priority > job.priority ||
           (victim.spec.checkpointable && impl::HasRunQuantum(victim, now) &&
            LevelOf(victim, now) > LevelOf(job, now));
  }
  // Else the victim would stop the gang in turn.
  if (victim.priority == job.priority &&
      LevelOf(victim, now) < LevelOf(job, now)) {
    return false;
  }
  // Work that was placed on held workers was placed there on these terms.
  const bool placed_on_hold = cell.hold && cell.hold->job == job.spec.id &&
                              victim.placed >= cell.hold->since;
  return placed_on_hold ||
         (victim.spec.checkpointable &&
          AcceleratorsOf(victim.spec.shape) * impl::kMuchLarger <=
              AcceleratorsOf(job.spec.shape));
}

void OfferStoppable(const Cell& cell,
                    const Job& job,
                    Preemption why,
                    TimePoint now,
                    Offers& offers) {
  offers.cost.assign(cell.workers.size(), 0);
  for (std::size_t row = 0; row < cell.workers.size(); ++row) {
    const Worker& worker = cell.workers.rows[row];
    for (const PieceRef& ref : worker.pieces) {
      const Job& victim = *cell.jobs.find(ref.job);
      if (MayStop(cell, job, victim, why, now)) {
        offers.room[row] = offers.room[row] + CapacityOf(victim.spec.shape);
        offers.cost[row] += victim.spec.shape.accelerators.value + 1;
      }
    }
  }
}

void StopVictims(Cell& cell,
                 const Job& job,
                 Preemption why,
                 Duration grace,
                 TimePoint now) {
  std::map<WorkerId, Capacity> free = impl::Deficits(cell, job);
  std::set<std::pair<impl::StopCost, JobId>> candidates;
  for (const auto& [id, room] : free) {
    for (const PieceRef& ref : cell.workers.find(id)->pieces) {
      const Job& victim = *cell.jobs.find(ref.job);
      if (MayStop(cell, job, victim, why, now)) {
        candidates.emplace(impl::CostOfStopping(victim, now), ref.job);
      }
    }
  }
  for (const auto& [cost, id] : candidates) {
    Job& victim = *cell.jobs.find(id);
    const bool helps = std::any_of(
        victim.pieces.begin(), victim.pieces.end(), [&](const Piece& piece) {
          const auto room = free.find(piece.worker);
          return room != free.end() && !Holds(room->second, Capacity{});
        });
    if (!helps) {
      continue;
    }
    for (const Piece& piece : victim.pieces) {
      if (const auto room = free.find(piece.worker); room != free.end()) {
        room->second = room->second + CapacityOf(victim.spec.shape);
      }
    }
    impl::StopVictim(cell, victim, grace, now);
  }
}

}  // namespace chicorystep
