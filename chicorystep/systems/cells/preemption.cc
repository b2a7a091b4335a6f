#include "chicorystep/systems/cells/preemption.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cells/cell_state.h"

namespace chicorystep {
namespace impl {

// A gang may be moved for one that is at least this many times as large.
inline constexpr std::int64_t kDefragmentSizeRatio = 2;

// Minimum run time of a gang before another of the same priority may stop it.
inline constexpr Duration kQuantum = std::chrono::seconds(30);

bool IsBeingStopped(const Job& job) {
  return job.state == JobState::kCheckpointing ||
         job.state == JobState::kStopping;
}

bool IsRestartable(const Job& job) {
  return job.spec.idempotent || !job.may_have_run;
}

bool HasRunQuantum(const Job& job, TimePoint now) {
  return job.running_since != kNever && now - job.running_since >= kQuantum;
}

// Orders victims by the cost of stopping them: restartable before others,
// checkpointable before others, lower priority first, then by the accelerator
// time lost.
using StopCost = std::tuple<bool, bool, int, std::int64_t, JobId>;

StopCost ComputeStopCost(const Job& job, TimePoint now) {
  const Duration ran =
      job.running_since == kNever ? Duration{} : now - job.running_since;
  const std::int64_t lost =
      job.spec.checkpointable
          ? 0
          : ran.count() * TotalAccelerators(job.spec.shape).value;
  return {!IsRestartable(job), !job.spec.checkpointable,
          -static_cast<int>(job.priority), lost, job.spec.id};
}

// Stops a job and requeues it, after its checkpoints if it can write them. A
// job that cannot be restarted fails.
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

// The free capacity of each worker of `job` once the work that is being stopped
// has ended. Negative amounts must still be freed.
std::map<WorkerId, Capacity> ProjectFreeCapacity(const Cell& cell,
                                                 const Job& job) {
  std::map<WorkerId, Capacity> projected;
  for (const Piece& piece : job.pieces) {
    const Worker& worker = *cell.workers.find(piece.worker);
    Capacity free = worker.free;
    for (const PieceRef& ref : worker.pieces) {
      const Job* other = cell.jobs.find(ref.job);
      if (IsBeingStopped(*other)) {
        free = free + CapacityOf(other->spec.shape);
      }
    }
    projected[piece.worker] = free;
  }
  return projected;
}

}  // namespace impl

bool MayPreempt(const Cell& cell,
                const Job& job,
                const Job& victim,
                Preemption purpose,
                TimePoint now) {
  if (victim.spec.id == job.spec.id || victim.guaranteed ||
      impl::IsBeingStopped(victim) || victim.state == JobState::kEnding) {
    return false;
  }
  if (purpose == Preemption::kReclaim) {
    return true;
  }
  if (!impl::IsRestartable(victim) || victim.priority < job.priority) {
    return false;
  }
  if (purpose == Preemption::kPrecedence) {
    return victim.priority > job.priority ||
           (victim.spec.checkpointable && impl::HasRunQuantum(victim, now) &&
            AttainedServiceLevel(victim, now) > AttainedServiceLevel(job, now));
  }
  // A victim that has attained less service would preempt the gang in turn.
  if (victim.priority == job.priority &&
      AttainedServiceLevel(victim, now) < AttainedServiceLevel(job, now)) {
    return false;
  }
  // Work placed on workers that were already held for the gang was placed on
  // condition that it may be stopped.
  const bool placed_on_held_workers = cell.hold &&
                                      cell.hold->job == job.spec.id &&
                                      victim.placed_at >= cell.hold->since;
  return placed_on_held_workers ||
         (victim.spec.checkpointable &&
          TotalAccelerators(victim.spec.shape) * impl::kDefragmentSizeRatio <=
              TotalAccelerators(job.spec.shape));
}

void AddPreemptibleCapacity(const Cell& cell,
                            const Job& job,
                            Preemption purpose,
                            TimePoint now,
                            Offers& offers) {
  offers.cost.assign(cell.workers.size(), 0);
  for (std::size_t row = 0; row < cell.workers.size(); ++row) {
    const Worker& worker = cell.workers.rows[row];
    for (const PieceRef& ref : worker.pieces) {
      const Job& victim = *cell.jobs.find(ref.job);
      if (MayPreempt(cell, job, victim, purpose, now)) {
        offers.capacity[row] =
            offers.capacity[row] + CapacityOf(victim.spec.shape);
        offers.cost[row] += victim.spec.shape.accelerators.value + 1;
      }
    }
  }
}

void StopVictims(Cell& cell,
                 const Job& job,
                 Preemption purpose,
                 Duration grace,
                 TimePoint now) {
  std::map<WorkerId, Capacity> free = impl::ProjectFreeCapacity(cell, job);
  std::set<std::pair<impl::StopCost, JobId>> victims;
  for (const auto& [id, amount] : free) {
    for (const PieceRef& ref : cell.workers.find(id)->pieces) {
      const Job& victim = *cell.jobs.find(ref.job);
      if (MayPreempt(cell, job, victim, purpose, now)) {
        victims.emplace(impl::ComputeStopCost(victim, now), ref.job);
      }
    }
  }
  for (const auto& [cost, id] : victims) {
    Job& victim = *cell.jobs.find(id);
    const bool frees_needed_capacity = std::any_of(
        victim.pieces.begin(), victim.pieces.end(), [&](const Piece& piece) {
          const auto found = free.find(piece.worker);
          return found != free.end() && !Holds(found->second, Capacity{});
        });
    if (!frees_needed_capacity) {
      continue;
    }
    for (const Piece& piece : victim.pieces) {
      if (const auto found = free.find(piece.worker); found != free.end()) {
        found->second = found->second + CapacityOf(victim.spec.shape);
      }
    }
    impl::StopVictim(cell, victim, grace, now);
  }
}

}  // namespace chicorystep
