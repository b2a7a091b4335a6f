#ifndef CHICORYSTEP_SYSTEMS_CELLS_WORKER_HEALTH_H_
#define CHICORYSTEP_SYSTEMS_CELLS_WORKER_HEALTH_H_

#include <cstddef>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// A job that has failed on this many workers is ended, and its failures no
// longer count against the workers.
inline constexpr std::size_t kMaxFailedWorkers = 3;

// Records the failure of a piece. Excludes the worker for a while once several
// jobs have failed on it, unless too many of the cell's workers are excluded.
void RecordFailure(Cell& cell, Worker& worker, const Job& job, TimePoint now);

// Records a task that succeeded on the worker, which ends its exclusion.
void RecordSuccess(Worker& worker);

// Whether gangs may be placed on the worker: not while it is excluded, and one
// at a time afterwards until a task succeeds.
[[nodiscard]] bool IsUsable(const Worker& worker, TimePoint now) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_WORKER_HEALTH_H_
