#ifndef CHICORYSTEP_SYSTEMS_WORKER_HEALTH_H_
#define CHICORYSTEP_SYSTEMS_WORKER_HEALTH_H_

#include <cstddef>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// A job that failed on this many workers is ended, and its failures are no
// longer held against the workers.
inline constexpr std::size_t kMaxFailedWorkers = 3;

// Takes a worker out for a while once several jobs have failed on it, unless
// too many of the cell's workers are out already.
void NoteFailure(Cell& cell, Worker& worker, const Job& job, TimePoint now);

// A task ended well on the worker.
void NoteSuccess(Worker& worker);

// Whether gangs may be placed on the worker: not while it is taken out, and
// one at a time when it is tried again.
[[nodiscard]] bool IsUsable(const Worker& worker, TimePoint now) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKER_HEALTH_H_
