#include "chicorystep/systems/cells/cell_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cells/job_records.h"

namespace chicorystep {
namespace impl {

// Level 1 begins at this attained service; each further level begins at
// kLevelFactor times the service of the one before.
inline constexpr Duration kFirstLevelThreshold = std::chrono::minutes(1);
inline constexpr std::int64_t kLevelFactor = 4;

// Parses a number that ends at `separator` and advances `text` past it.
template <typename Number>
bool ConsumeNumber(std::string_view& text, char separator, Number& number) {
  const std::size_t length = text.find(separator);
  if (length == std::string_view::npos) {
    return false;
  }
  const char* const end = text.data() + length;
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  text.remove_prefix(length + 1);
  return error == std::errc{} && rest == end;
}

template <typename Rows>
auto FindReservationIn(Rows& reservations, const PoolKey& pool)
    -> decltype(reservations.data()) {
  for (auto& row : reservations) {
    if (row.pool == pool) {
      return &row;
    }
  }
  return nullptr;
}

// Adds one piece of a guaranteed job to the use of its pool's reservation on
// the worker, or removes it.
void UpdateReservedUse(Worker& worker, const Job& job, bool add) {
  if (!job.guaranteed) {
    return;
  }
  const PoolKey pool{job.pool, job.spec.workspace};
  if (Reservation* held = FindReservation(worker, pool)) {
    const Capacity piece = CapacityOf(job.spec.shape);
    held->used = add ? held->used + piece : held->used - piece;
  }
}

}  // namespace impl

LeaseId MakeLeaseId(const JobId& job,
                    const GangAttempt& attempt,
                    PieceIndex piece) {
  return LeaseId(fmt::format("{}/{}.{}/{}", job.value, attempt.epoch.value,
                             attempt.number, piece.value));
}

std::optional<GangAttempt> ParseGangAttempt(const LeaseId& lease) {
  std::string_view text = lease.value;
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(slash + 1);
  GangAttempt attempt;
  if (impl::ConsumeNumber(text, '.', attempt.epoch.value) &&
      impl::ConsumeNumber(text, '/', attempt.number)) {
    return attempt;
  }
  return std::nullopt;
}

Capacity CapacityOf(const Shape& shape) noexcept {
  return Capacity{shape.accelerators, shape.processors, shape.memory};
}

Capacity CapacityOf(const ListedWorker& worker) noexcept {
  return Capacity{worker.accelerators, worker.processors, worker.memory};
}

Accelerators TotalAccelerators(const Shape& shape) noexcept {
  return shape.accelerators * shape.pieces;
}

std::int64_t AttainedServiceLevel(const Job& job, TimePoint now) noexcept {
  Duration attained_service = job.attained_service;
  if (job.running_since != kNever) {
    attained_service += now - job.running_since;
  }
  std::int64_t level = 0;
  for (Duration limit = impl::kFirstLevelThreshold; attained_service >= limit;
       limit *= impl::kLevelFactor) {
    ++level;
  }
  return level;
}

QueueKey QueueKeyOf(const Job& job) {
  return QueueKey{job.priority, PoolKey{job.pool, job.spec.workspace}};
}

void Enqueue(Cell& cell, const Job& job, TimePoint now) {
  cell.queues[QueueKeyOf(job)].insert(QueueEntry{
      AttainedServiceLevel(job, now), job.accepted_offset, job.spec.id});
  cell.placement_due = true;
}

void Dequeue(Cell& cell, const Job& job) {
  const auto queue = cell.queues.find(QueueKeyOf(job));
  if (queue == cell.queues.end()) {
    return;
  }
  // A waiting job does not run, so its level has not changed since it was
  // queued.
  queue->second.erase(QueueEntry{AttainedServiceLevel(job, TimePoint{}),
                                 job.accepted_offset, job.spec.id});
  if (queue->second.empty()) {
    cell.queues.erase(queue);
  }
}

void SchedulePoll(Cell& cell, Worker& worker, TimePoint at) {
  if (at >= worker.next_poll) {
    return;
  }
  if (!worker.exchange_in_flight) {
    cell.polls.erase({worker.next_poll, worker.listed.id});
    cell.polls.emplace(at, worker.listed.id);
  }
  worker.next_poll = at;
}

void MarkTouched(Cell& cell, const JobId& job) {
  cell.touched.push_back(job);
}

void ChangeState(Cell& cell, Job& job, JobState state, TimePoint now) {
  job.state = state;
  for (const Piece& piece : job.pieces) {
    if (Worker* worker = cell.workers.find(piece.worker)) {
      SchedulePoll(cell, *worker, now);
    }
  }
  MarkTouched(cell, job.spec.id);
  Log(LogLevel::kDebug, "job_state",
      {{"job", job.spec.id.value}, {"state", EnumName(state)}});
}

void StopGang(Cell& cell,
              Job& job,
              JobState end_state,
              std::string detail,
              TimePoint now) {
  job.end_state = end_state;
  job.end_detail = std::move(detail);
  if (job.running_since != kNever) {
    job.attained_service += now - job.running_since;
    job.running_since = kNever;
  }
  ChangeState(cell, job, JobState::kStopping, now);
}

void AttachPiece(Cell& cell, const Job& job, const Piece& piece) {
  Worker* worker = cell.workers.find(piece.worker);
  worker->free = worker->free - CapacityOf(job.spec.shape);
  worker->pieces.push_back(PieceRef{job.spec.id, piece.index});
  impl::UpdateReservedUse(*worker, job, true);
}

void PlacePieces(Cell& cell,
                 Job& job,
                 const std::vector<std::size_t>& rows,
                 bool guaranteed,
                 TimePoint now) {
  Dequeue(cell, job);
  job.last_attempt = job.last_attempt.epoch == cell.epoch
                         ? GangAttempt{cell.epoch, job.last_attempt.number + 1}
                         : GangAttempt{cell.epoch, 1};
  job.guaranteed = guaranteed;
  job.placed_at = now;
  job.pieces.clear();
  for (const std::size_t row : rows) {
    const PieceIndex index(static_cast<std::uint32_t>(job.pieces.size()));
    job.pieces.push_back(
        Piece{.index = index,
              .worker = cell.workers.keys[row],
              .lease = MakeLeaseId(job.spec.id, job.last_attempt, index),
              .state = PieceState::kReserving});
    AttachPiece(cell, job, job.pieces.back());
  }
  cell.active.insert(job.spec.id);
  ChangeState(cell, job, JobState::kReclaiming, now);
}

void RemovePieces(Cell& cell, Job& job, TimePoint now) {
  for (const Piece& piece : job.pieces) {
    Worker* worker = cell.workers.find(piece.worker);
    if (worker == nullptr) {
      continue;
    }
    worker->free = worker->free + CapacityOf(job.spec.shape);
    impl::UpdateReservedUse(*worker, job, false);
    std::erase_if(worker->pieces, [&](const PieceRef& ref) {
      return ref.job == job.spec.id && ref.piece == piece.index;
    });
    for (const PieceRef& other : worker->pieces) {
      MarkTouched(cell, other.job);
    }
    SchedulePoll(cell, *worker, now);
  }
  job.pieces.clear();
  job.guaranteed = false;
  job.placed_at = kNever;
  cell.placement_due = true;
}

void Requeue(Cell& cell, Job& job, TimePoint now) {
  job.state = JobState::kWaiting;
  cell.active.erase(job.spec.id);
  Enqueue(cell, job, now);
}

void EndJob(Cell& cell,
            Job& job,
            JobState state,
            const std::string& detail,
            TimePoint now) {
  if (job.state == JobState::kWaiting) {
    Dequeue(cell, job);
  }
  RemovePieces(cell, job, now);
  cell.active.erase(job.spec.id);
  job.state = state;
  job.end_detail = detail;
  job.running_since = kNever;
  cell.ended.push_back(EndedJob{job.spec.id, now});
  if (cell.hold && cell.hold->job == job.spec.id) {
    cell.hold.reset();
  }
  Log(LogLevel::kInfo, "job_ended",
      {{"job", job.spec.id.value}, {"state", EnumName(state)}});
}

void ClearPlacements(Cell& cell, TimePoint now) {
  for (Worker& worker : cell.workers.rows) {
    worker.free = CapacityOf(worker.listed);
    worker.reservations.clear();
    worker.pieces.clear();
    worker.reported_leases.clear();
    worker.requested_leases.clear();
    worker.last_answered_send = TimePoint::min();
    worker.last_renewal_send = TimePoint::min();
    worker.exchange_in_flight = false;
    worker.next_poll = now;
  }
  cell.polls.clear();
  for (const WorkerId& id : cell.workers.keys) {
    cell.polls.emplace(now, id);
  }
  for (Job& job : cell.jobs.rows) {
    if (HasEnded(job.state)) {
      continue;
    }
    job.pieces.clear();
    job.guaranteed = false;
    job.running_since = kNever;
    if (job.state != JobState::kWaiting) {
      job.state = JobState::kWaiting;
      Enqueue(cell, job, now);
    }
  }
  cell.active.clear();
  cell.touched.clear();
  cell.unconfirmed.clear();
  cell.slots.clear();
  cell.hold.reset();
  cell.plan_stale = true;
  cell.recovered = false;
}

Reservation* FindReservation(Worker& worker, const PoolKey& pool) {
  return impl::FindReservationIn(worker.reservations, pool);
}

const Reservation* FindReservation(const Worker& worker, const PoolKey& pool) {
  return impl::FindReservationIn(worker.reservations, pool);
}

}  // namespace chicorystep
