#ifndef CHICORYSTEP_SYSTEMS_CELLS_CELL_STATE_H_
#define CHICORYSTEP_SYSTEMS_CELLS_CELL_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// Operations through which all systems change a cell. They keep its indexes
// (queues, active and touched jobs, due polls) consistent with its rows.

[[nodiscard]] LeaseId MakeLeaseId(const JobId& job,
                                  const GangAttempt& attempt,
                                  PieceIndex piece);

// The attempt for which a lease was taken; empty when the id does not have the
// form of MakeLeaseId.
[[nodiscard]] std::optional<GangAttempt> ParseGangAttempt(const LeaseId& lease);

// The capacity that one piece of `shape` takes, and the total capacity of
// `worker`.
[[nodiscard]] Capacity CapacityOf(const Shape& shape) noexcept;
[[nodiscard]] Capacity CapacityOf(const ListedWorker& worker) noexcept;

// The number of accelerators that all pieces of the gang take together.
[[nodiscard]] Accelerators TotalAccelerators(const Shape& shape) noexcept;

// The queue level of a job by attained service; lower levels are placed first.
[[nodiscard]] std::int64_t AttainedServiceLevel(const Job& job,
                                                TimePoint now) noexcept;

[[nodiscard]] QueueKey QueueKeyOf(const Job& job);

// Adds a job to the queue of its pool and priority, or removes it.
void Enqueue(Cell& cell, const Job& job, TimePoint now);
void Dequeue(Cell& cell, const Job& job);

// Makes the next message to `worker` due no later than `at`.
void SchedulePoll(Cell& cell, Worker& worker, TimePoint at);

// Marks `job` for the next run of AdvanceGangs.
void MarkTouched(Cell& cell, const JobId& job);

// Moves an active job to another active state and makes the messages to its
// workers due.
void ChangeState(Cell& cell, Job& job, JobState state, TimePoint now);

// Stops every piece. The job enters `end_state` when all leases are released.
void StopGang(Cell& cell,
              Job& job,
              JobState end_state,
              std::string detail,
              TimePoint now);

// Places the pieces of a waiting job on workers; `rows` has one row of the
// worker table for each piece.
void PlacePieces(Cell& cell,
                 Job& job,
                 const std::vector<std::size_t>& rows,
                 bool guaranteed,
                 TimePoint now);

// Charges one piece to the capacity of its worker.
void AttachPiece(Cell& cell, const Job& job, const Piece& piece);

// Removes the pieces of `job` and returns their capacity to their workers.
void RemovePieces(Cell& cell, Job& job, TimePoint now);

// Returns a stopped job to the queue.
void Requeue(Cell& cell, Job& job, TimePoint now);

// Moves a job to the terminal state `state`.
void EndJob(Cell& cell,
            Job& job,
            JobState state,
            const std::string& detail,
            TimePoint now);

// Clears the state that only the holder of a cell has: placements and reports.
void ClearPlacements(Cell& cell, TimePoint now);

// Returns the reservation of `pool` on `worker`, or null.
[[nodiscard]] Reservation* FindReservation(Worker& worker, const PoolKey& pool);
[[nodiscard]] const Reservation* FindReservation(const Worker& worker,
                                                 const PoolKey& pool);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_CELL_STATE_H_
