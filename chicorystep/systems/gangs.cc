#include "chicorystep/systems/gangs.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cell_state.h"
#include "chicorystep/systems/cells.h"
#include "chicorystep/systems/job_records.h"
#include "chicorystep/systems/worker_health.h"
#include "chicorystep/systems/worker_polls.h"

namespace chicorystep {
namespace impl {

// How often all active gangs are looked at for what time alone changes.
inline constexpr Duration kScanInterval = std::chrono::milliseconds(250);
// Records of jobs that are written again in one tick.
inline constexpr std::size_t kKeepsPerTick = 16;

// What one gang's next step is decided on.
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

bool IsLostPiece(const GangStep& step, const Piece& piece) {
  const Worker* worker = step.cell.workers.find(piece.worker);
  return worker == nullptr || HasLapsed(*worker, step.world.self, step.now);
}

bool AnyLost(const GangStep& step) {
  return AnyPiece(step.job,
                  [&](const Piece& piece) { return IsLostPiece(step, piece); });
}

bool AnyFailed(const Job& job) {
  return AnyPiece(job, [](const Piece& piece) {
    return piece.state == PieceState::kFailed;
  });
}

// A lease that was held is no longer reported.
bool AnyReleased(const Job& job) {
  return AnyPiece(job, [](const Piece& piece) {
    return piece.state == PieceState::kReleased;
  });
}

bool AllDone(const Job& job) {
  return AllPieces(
      job, [](const Piece& piece) { return piece.state == PieceState::kDone; });
}

// Whether the newest answers still show that every lease is held.
bool AllHeld(const GangStep& step) {
  return AllPieces(step.job, [&](const Piece& piece) {
    const Worker* worker = step.cell.workers.find(piece.worker);
    return piece.state == PieceState::kReserved && worker != nullptr &&
           IsResponsive(*worker, step.world.self, step.now);
  });
}

void Stop(const GangStep& step, JobState end_state, std::string detail) {
  StopGang(step.cell, step.job, end_state, std::move(detail), step.now);
}

// Stops a gang that broke off, to be tried again if that cannot run it twice.
void BreakOff(const GangStep& step) {
  Job& job = step.job;
  const bool failed = AnyFailed(job);
  if (job.may_have_run && !job.spec.idempotent) {
    Stop(step, failed ? JobState::kFailed : JobState::kUnknown,
         failed ? "a piece failed" : "a worker was lost while it may have run");
  } else if (job.failed_on.size() >= kMaxFailedWorkers) {
    Stop(step, JobState::kFailed,
         fmt::format("a piece failed on each of {} workers",
                     job.failed_on.size()));
  } else {
    Stop(step, JobState::kWaiting, "");
  }
}

void AdvanceReclaiming(const GangStep& step) {
  if (AnyLost(step)) {
    Stop(step, JobState::kWaiting, "");
    return;
  }
  const bool room = AllPieces(step.job, [&](const Piece& piece) {
    return Holds(step.cell.workers.find(piece.worker)->free, Capacity{});
  });
  if (room) {
    ChangeState(step.cell, step.job, JobState::kReserving, step.now);
  }
}

void AdvanceReserving(const GangStep& step) {
  Job& job = step.job;
  if (AnyLost(step) || AnyFailed(job) || AnyReleased(job)) {
    Stop(step, JobState::kWaiting, "");
    return;
  }
  if (!AllHeld(step)) {
    return;
  }
  if (job.spec.idempotent) {
    job.may_have_run = true;
    ChangeState(step.cell, job, JobState::kStarting, step.now);
    return;
  }
  job.state = JobState::kRecording;
  AppendUntilRead(step.world, step.cell,
                  CellRecord{.kind = CellRecordKind::kJobStarting,
                             .epoch = step.cell.epoch,
                             .job = JobSpec{.id = job.spec.id},
                             .recorded_try = job.last_try},
                  step.outbox);
}

void AdvanceRecording(const GangStep& step) {
  Job& job = step.job;
  if (AnyLost(step) || AnyFailed(job) || AnyReleased(job)) {
    Stop(step, JobState::kWaiting, "");
  } else if (job.recorded_try == job.last_try && AllHeld(step)) {
    job.may_have_run = true;
    ChangeState(step.cell, job, JobState::kStarting, step.now);
  }
}

void AdvanceStarting(const GangStep& step) {
  Job& job = step.job;
  if (AnyLost(step) || AnyFailed(job) || AnyReleased(job)) {
    BreakOff(step);
  } else if (AllPieces(job, [](const Piece& piece) {
               return piece.state == PieceState::kRunning ||
                      piece.state == PieceState::kDone;
             })) {
    job.running_since = step.now;
    ChangeState(step.cell, job, JobState::kRunning, step.now);
  }
}

// Whether the platform is about to take a worker of the gang away.
bool IsOnLeavingWorker(const GangStep& step) {
  return AnyPiece(step.job, [&](const Piece& piece) {
    return step.cell.workers.find(piece.worker)->listed.state ==
           InstanceState::kLeaving;
  });
}

void AdvanceRunning(const GangStep& step) {
  Job& job = step.job;
  if (AllDone(job)) {
    WriteEnd(step.world, step.cell, job, JobState::kDone, "", step.now,
             step.outbox);
  } else if (AnyLost(step) || AnyFailed(job) || AnyReleased(job)) {
    BreakOff(step);
  } else if (job.spec.checkpointable && job.spec.idempotent &&
             IsOnLeavingWorker(step)) {
    job.grace_until = step.now + step.world.self.reclaim_grace;
    ChangeState(step.cell, job, JobState::kCheckpointing, step.now);
  }
}

void AdvanceCheckpointing(const GangStep& step) {
  Job& job = step.job;
  const bool written = AllPieces(job, [&](const Piece& piece) {
    return piece.state != PieceState::kRunning || IsLostPiece(step, piece);
  });
  if (AllDone(job)) {
    WriteEnd(step.world, step.cell, job, JobState::kDone, "", step.now,
             step.outbox);
  } else if (written || step.now >= job.grace_until) {
    Stop(step, JobState::kWaiting, "");
  }
}

void AdvanceStopping(const GangStep& step) {
  Job& job = step.job;
  const bool released = AllPieces(job, [&](const Piece& piece) {
    return piece.state == PieceState::kReleased || IsLostPiece(step, piece);
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
  WriteEnd(step.world, step.cell, job, end_state, job.end_detail, step.now,
           step.outbox);
}

void AdvanceGang(const GangStep& step) {
  Job& job = step.job;
  if (job.cancel_requested && job.state != JobState::kStopping &&
      !AllDone(job)) {
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

// Appends again what was not acknowledged.
void RepeatRecords(Cell& cell, TimePoint now, Outbox& outbox) {
  for (auto& [id, record] : cell.unconfirmed) {
    if (now >= record.repeat) {
      record.repeat = kNever;
      outbox.appends.push_back(
          AppendRecord{CellStream(cell.name), id, record.data});
    }
  }
}

// Writes long-lived jobs again before the log service drops their records.
void KeepJobs(World& world, Cell& cell, TimePoint now, Outbox& outbox) {
  for (std::size_t i = 0; i < kKeepsPerTick && !cell.keeps.empty() &&
                          now >= cell.keeps.front().due;
       ++i) {
    const JobId id = cell.keeps.front().job;
    cell.keeps.pop_front();
    const Job* job = cell.jobs.find(id);
    if (job == nullptr || HasEnded(job->state)) {
      continue;
    }
    AppendCellRecord(world, cell,
                     CellRecord{.kind = CellRecordKind::kJobKept,
                                .epoch = cell.epoch,
                                .job = job->spec,
                                .recorded_try = job->recorded_try,
                                .accepted = job->accepted,
                                .cancel_requested = job->cancel_requested},
                     outbox);
    cell.keeps.push_back(JobDue{id, now + world.self.keep_interval});
  }
}

void ForgetEndedJobs(const Self& self, Cell& cell, TimePoint now) {
  while (!cell.ended.empty() &&
         (now - cell.ended.front().at > self.ended_kept ||
          cell.ended.size() > self.max_waiting_jobs)) {
    cell.jobs.erase(cell.ended.front().job);
    cell.ended.pop_front();
  }
}

// Whether a worker that was taken out may be tried with a waiting gang.
bool MayTryWorkersAgain(const Cell& cell, TimePoint now) {
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
    cell.placement_due |= MayTryWorkersAgain(cell, now);
    RepeatRecords(cell, now, outbox);
    KeepJobs(world, cell, now, outbox);
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
    impl::ForgetEndedJobs(world.self, cell, now);
    if (IsHeld(cell) && cell.recovered) {
      impl::AdvanceCell(world, cell, now, outbox);
    }
  }
}

void WriteEnd(World& world,
              Cell& cell,
              Job& job,
              JobState end_state,
              std::string detail,
              TimePoint now,
              Outbox& outbox) {
  if (job.state == JobState::kWaiting) {
    Dequeue(cell, job);
  }
  // The room is free at once; leases of tasks that are done stay until the end
  // is durable, so that the next holder could still tell it.
  job.state = JobState::kEnding;
  RemovePieces(cell, job, now);
  cell.active.erase(job.spec.id);
  job.end_state = end_state;
  job.end_detail = std::move(detail);
  job.running_since = kNever;
  AppendUntilRead(world, cell,
                  CellRecord{.kind = CellRecordKind::kJobEnded,
                             .epoch = cell.epoch,
                             .job = JobSpec{.id = job.spec.id},
                             .end_state = end_state,
                             .detail = job.end_detail},
                  outbox);
}

}  // namespace chicorystep
