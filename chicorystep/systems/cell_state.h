#ifndef CHICORYSTEP_SYSTEMS_CELL_STATE_H_
#define CHICORYSTEP_SYSTEMS_CELL_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// The steps by which every system changes a cell, so that its indexes (queues,
// active and touched jobs, due polls) stay in line with its rows.

[[nodiscard]] LeaseId MakeLeaseId(const JobId& job,
                                  const GangTry& gang_try,
                                  PieceIndex piece);

// The try that a lease was taken for; empty when the id is not one of ours.
[[nodiscard]] std::optional<GangTry> TryOf(const LeaseId& lease);

// What one piece of `shape` takes from a worker, and the whole of `worker`.
[[nodiscard]] Capacity CapacityOf(const Shape& shape) noexcept;
[[nodiscard]] Capacity CapacityOf(const ListedWorker& worker) noexcept;

// The accelerators that the whole gang takes.
[[nodiscard]] Accelerators AcceleratorsOf(const Shape& shape) noexcept;

// The rank of a job by the service it attained: lower ranks go first.
[[nodiscard]] std::int64_t LevelOf(const Job& job, TimePoint now) noexcept;

[[nodiscard]] QueueKey QueueOf(const Job& job);

// Puts a job among the waiting ones, or takes it out.
void Enqueue(Cell& cell, const Job& job, TimePoint now);
void Dequeue(Cell& cell, const Job& job);

// Makes the next message to `worker` due at `at` or earlier.
void PollAt(Cell& cell, Worker& worker, TimePoint at);

// Lets AdvanceGangs look at `job` in its next run.
void Touch(Cell& cell, const JobId& job);

// Moves an active job to another active state and wakes its workers.
void ChangeState(Cell& cell, Job& job, JobState state, TimePoint now);

// Stops every piece; `end_state` follows when all leases are released.
void StopGang(Cell& cell,
              Job& job,
              JobState end_state,
              std::string detail,
              TimePoint now);

// Places the pieces of a waiting job on the workers at `rows`, one for each.
void PlacePieces(Cell& cell,
                 Job& job,
                 const std::vector<std::size_t>& rows,
                 bool guaranteed,
                 TimePoint now);

// Adds one piece to its worker's accounts.
void AttachPiece(Cell& cell, const Job& job, const Piece& piece);

// Takes the pieces of `job` off their workers' accounts.
void RemovePieces(Cell& cell, Job& job, TimePoint now);

// Gives a stopped job back to the waiting ones.
void Requeue(Cell& cell, Job& job, TimePoint now);

// Ends a job for good.
void EndJob(Cell& cell,
            Job& job,
            JobState state,
            const std::string& detail,
            TimePoint now);

// Forgets what only the holder of a cell knows: placements and reports.
void ForgetPlacements(Cell& cell, TimePoint now);

// The reservation of `pool` on `worker`, or null.
[[nodiscard]] Reservation* FindReservation(Worker& worker, const PoolKey& pool);
[[nodiscard]] const Reservation* FindReservation(const Worker& worker,
                                                 const PoolKey& pool);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELL_STATE_H_
