#include "chicorystep/systems/cells/gangs.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cells/cell_state.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/job_records.h"
#include "chicorystep/systems/cells/worker_health.h"
#include "chicorystep/systems/cells/worker_polls.h"

namespace chicorystep {
namespace impl {

// How often all active gangs are checked for time-outs.
inline constexpr Duration kScanInterval = std::chrono::milliseconds(250);
// Maximum number of job records rewritten in one tick of one cell.
inline constexpr std::size_t kJobRewritesPerTick = 16;

// The inputs and outputs of one step of a gang.
struct GangStep {
  World& world;
  Cell& cell;
  Job& job;
  TimePoint now{};
  Outbox& outbox;
};

bool AllPieces(const Job& job, auto predicate) {
  return std::all_of(job.pieces.begin(), job.pieces.end(), predicate);
}

bool AnyPiece(const Job& job, auto predicate) {
  return std::any_of(job.pieces.begin(), job.pieces.end(), predicate);
}

bool IsPieceLost(const GangStep& step, const Piece& piece) {
  const Worker* worker = step.cell.workers.find(piece.worker);
  return worker == nullptr ||
         HaveLeasesExpired(*worker, step.world.self, step.now);
}

bool HasLostPiece(const GangStep& step) {
  return AnyPiece(step.job,
                  [&](const Piece& piece) { return IsPieceLost(step, piece); });
}

bool HasFailedPiece(const Job& job) {
  return AnyPiece(job, [](const Piece& piece) {
    return piece.state == PieceState::kFailed;
  });
}

// Whether a worker no longer reports a lease that was held.
bool HasReleasedPiece(const Job& job) {
  return AnyPiece(job, [](const Piece& piece) {
    return piece.state == PieceState::kReleased;
  });
}

bool AreAllDone(const Job& job) {
  return AllPieces(
      job, [](const Piece& piece) { return piece.state == PieceState::kDone; });
}

// Whether the last reports of responsive workers show every lease as held.
bool AreAllLeasesHeld(const GangStep& step) {
  return AllPieces(step.job, [&](const Piece& piece) {
    const Worker* worker = step.cell.workers.find(piece.worker);
    return piece.state == PieceState::kReserved && worker != nullptr &&
           IsResponsive(*worker, step.world.self, step.now);
  });
}

void Stop(const GangStep& step, JobState end_state, std::string detail) {
  StopGang(step.cell, step.job, end_state, std::move(detail), step.now);
}

// Stops a gang with a failed, lost or released piece. It is requeued unless it
// may have run and is not idempotent, or has failed on too many workers.
void StopBrokenGang(const GangStep& step) {
  Job& job = step.job;
  const bool failed = HasFailedPiece(job);
  if (job.may_have_run && !job.spec.idempotent) {
    Stop(step, failed ? JobState::kFailed : JobState::kUnknown,
         failed ? "a piece failed" : "a worker was lost while it may have run");
  } else if (job.failed_workers.size() >= kMaxFailedWorkers) {
    Stop(step, JobState::kFailed,
         fmt::format("a piece failed on each of {} workers",
                     job.failed_workers.size()));
  } else {
    Stop(step, JobState::kWaiting, "");
  }
}

void AdvanceReclaiming(const GangStep& step) {
  if (HasLostPiece(step)) {
    Stop(step, JobState::kWaiting, "");
    return;
  }
  const bool has_capacity = AllPieces(step.job, [&](const Piece& piece) {
    return Holds(step.cell.workers.find(piece.worker)->free, Capacity{});
  });
  if (has_capacity) {
    ChangeState(step.cell, step.job, JobState::kReserving, step.now);
  }
}

void AdvanceReserving(const GangStep& step) {
  Job& job = step.job;
  if (HasLostPiece(step) || HasFailedPiece(job) || HasReleasedPiece(job)) {
    Stop(step, JobState::kWaiting, "");
    return;
  }
  if (!AreAllLeasesHeld(step)) {
    return;
  }
  if (job.spec.idempotent) {
    job.may_have_run = true;
    ChangeState(step.cell, job, JobState::kStarting, step.now);
    return;
  }
  job.state = JobState::kRecording;
  AppendUntilReadBack(step.world, step.cell,
                      CellRecord{.kind = CellRecordKind::kJobStarting,
                                 .epoch = step.cell.epoch,
                                 .job = JobSpec{.id = job.spec.id},
                                 .recorded_attempt = job.last_attempt},
                      step.outbox);
}

void AdvanceRecording(const GangStep& step) {
  Job& job = step.job;
  if (HasLostPiece(step) || HasFailedPiece(job) || HasReleasedPiece(job)) {
    Stop(step, JobState::kWaiting, "");
  } else if (job.recorded_attempt == job.last_attempt &&
             AreAllLeasesHeld(step)) {
    job.may_have_run = true;
    ChangeState(step.cell, job, JobState::kStarting, step.now);
  }
}

void AdvanceStarting(const GangStep& step) {
  Job& job = step.job;
  if (HasLostPiece(step) || HasFailedPiece(job) || HasReleasedPiece(job)) {
    StopBrokenGang(step);
  } else if (AllPieces(job, [](const Piece& piece) {
               return piece.state == PieceState::kRunning ||
                      piece.state == PieceState::kDone;
             })) {
    job.running_since = step.now;
    ChangeState(step.cell, job, JobState::kRunning, step.now);
  }
}

// Whether the platform is about to remove a worker of the gang.
bool IsOnLeavingWorker(const GangStep& step) {
  return AnyPiece(step.job, [&](const Piece& piece) {
    return step.cell.workers.find(piece.worker)->listed.state ==
           InstanceState::kLeaving;
  });
}

void AdvanceRunning(const GangStep& step) {
  Job& job = step.job;
  if (AreAllDone(job)) {
    AppendJobEnd(step.world, step.cell, job, JobState::kDone, "", step.now,
                 step.outbox);
  } else if (HasLostPiece(step) || HasFailedPiece(job) ||
             HasReleasedPiece(job)) {
    StopBrokenGang(step);
  } else if (job.spec.checkpointable && job.spec.idempotent &&
             IsOnLeavingWorker(step)) {
    job.grace_until = step.now + step.world.self.reclaim_grace;
    ChangeState(step.cell, job, JobState::kCheckpointing, step.now);
  }
}

void AdvanceCheckpointing(const GangStep& step) {
  Job& job = step.job;
  const bool written = AllPieces(job, [&](const Piece& piece) {
    return piece.state != PieceState::kRunning || IsPieceLost(step, piece);
  });
  if (AreAllDone(job)) {
    AppendJobEnd(step.world, step.cell, job, JobState::kDone, "", step.now,
                 step.outbox);
  } else if (written || step.now >= job.grace_until) {
    Stop(step, JobState::kWaiting, "");
  }
}

void AdvanceStopping(const GangStep& step) {
  Job& job = step.job;
  const bool released = AllPieces(job, [&](const Piece& piece) {
    return piece.state == PieceState::kReleased || IsPieceLost(step, piece);
  });
  if (!released) {
    return;
  }
  RemovePieces(step.cell, job, step.now);
  if (job.end_state == JobState::kWaiting && !job.cancel_requested) {
    Requeue(step.cell, job, step.now);
    return;
  }
  const JobState end_state = job.end_state == JobState::kWaiting
                                 ? JobState::kCancelled
                                 : job.end_state;
  AppendJobEnd(step.world, step.cell, job, end_state, job.end_detail, step.now,
               step.outbox);
}

void AdvanceGang(const GangStep& step) {
  Job& job = step.job;
  if (job.cancel_requested && job.state != JobState::kStopping &&
      !AreAllDone(job)) {
    Stop(step, JobState::kCancelled, "");
  }
  switch (job.state) {
    case JobState::kReclaiming:
      AdvanceReclaiming(step);
      break;
    case JobState::kReserving:
      AdvanceReserving(step);
      break;
    case JobState::kRecording:
      AdvanceRecording(step);
      break;
    case JobState::kStarting:
      AdvanceStarting(step);
      break;
    case JobState::kRunning:
      AdvanceRunning(step);
      break;
    case JobState::kCheckpointing:
      AdvanceCheckpointing(step);
      break;
    case JobState::kStopping:
      AdvanceStopping(step);
      break;
    default:
      break;
  }
}

// Appends unconfirmed records again whose delay has passed.
void ReappendUnconfirmed(Cell& cell, TimePoint now, Outbox& outbox) {
  for (auto& [id, record] : cell.unconfirmed) {
    if (now >= record.next_append) {
      record.next_append = kNever;
      outbox.appends.push_back(
          AppendRecord{CellStream(cell.name), id, record.data});
    }
  }
}

// Writes long-lived jobs to the stream again before the log service drops their
// records.
void RewriteLongLivedJobs(World& world,
                          Cell& cell,
                          TimePoint now,
                          Outbox& outbox) {
  for (std::size_t i = 0; i < kJobRewritesPerTick && !cell.rewrites.empty() &&
                          now >= cell.rewrites.front().due;
       ++i) {
    const JobId id = cell.rewrites.front().job;
    cell.rewrites.pop_front();
    const Job* job = cell.jobs.find(id);
    if (job == nullptr || HasEnded(job->state)) {
      continue;
    }
    AppendCellRecord(world, cell,
                     CellRecord{.kind = CellRecordKind::kJobKept,
                                .epoch = cell.epoch,
                                .job = job->spec,
                                .recorded_attempt = job->recorded_attempt,
                                .accepted_offset = job->accepted_offset,
                                .cancel_requested = job->cancel_requested},
                     outbox);
    cell.rewrites.push_back(
        JobRewrite{id, now + world.self.job_rewrite_interval});
  }
}

void EvictEndedJobs(const Self& self, Cell& cell, TimePoint now) {
  while (!cell.ended.empty() &&
         (now - cell.ended.front().at > self.ended_job_retention ||
          cell.ended.size() > self.max_waiting_jobs)) {
    cell.jobs.erase(cell.ended.front().job);
    cell.ended.pop_front();
  }
}

// Whether a worker whose exclusion has passed may be tried with a waiting gang.
bool MayRetryExcludedWorkers(const Cell& cell, TimePoint now) {
  return !cell.queues.empty() &&
         std::any_of(cell.workers.rows.begin(), cell.workers.rows.end(),
                     [&](const Worker& worker) {
                       return worker.excluded_until != TimePoint::min() &&
                              IsUsable(worker, now);
                     });
}

void AdvanceCell(World& world, Cell& cell, TimePoint now, Outbox& outbox) {
  if (now >= cell.next_scan) {
    cell.next_scan = now + kScanInterval;
    cell.touched.assign(cell.active.begin(), cell.active.end());
    cell.placement_due |= MayRetryExcludedWorkers(cell, now);
    ReappendUnconfirmed(cell, now, outbox);
    RewriteLongLivedJobs(world, cell, now, outbox);
  }
  while (!cell.touched.empty()) {
    for (const JobId& id : std::exchange(cell.touched, {})) {
      if (Job* job = cell.jobs.find(id);
          job != nullptr && cell.active.contains(id)) {
        AdvanceGang(GangStep{world, cell, *job, now, outbox});
      }
    }
  }
}

}  // namespace impl

void AdvanceGangs(World& world, TimePoint now, Outbox& outbox) {
  for (auto& [name, cell] : world.jobs.cells) {
    impl::EvictEndedJobs(world.self, cell, now);
    if (IsHeld(cell) && cell.recovered) {
      impl::AdvanceCell(world, cell, now, outbox);
    }
  }
}

void AppendJobEnd(World& world,
                  Cell& cell,
                  Job& job,
                  JobState end_state,
                  std::string detail,
                  TimePoint now,
                  Outbox& outbox) {
  if (job.state == JobState::kWaiting) {
    Dequeue(cell, job);
  }
  // The capacity is free at once. The leases of finished tasks stay until the
  // end is durable, so that the next holder can still determine the end from
  // the workers' reports.
  job.state = JobState::kEnding;
  RemovePieces(cell, job, now);
  cell.active.erase(job.spec.id);
  job.end_state = end_state;
  job.end_detail = std::move(detail);
  job.running_since = kNever;
  AppendUntilReadBack(world, cell,
                      CellRecord{.kind = CellRecordKind::kJobEnded,
                                 .epoch = cell.epoch,
                                 .job = JobSpec{.id = job.spec.id},
                                 .end_state = end_state,
                                 .detail = job.end_detail},
                      outbox);
}

}  // namespace chicorystep
