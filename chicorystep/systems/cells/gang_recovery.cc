#include <algorithm>
#include <iterator>
#include <optional>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cells/cell_state.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/gangs.h"

namespace chicorystep {
namespace impl {

// The leases that workers reported for the newest attempt of one job.
struct ReportedGang {
  std::optional<GangAttempt> attempt;
  std::vector<Piece> pieces;
};

void AddReport(ReportedGang& gang,
               const Worker& worker,
               const LeaseReport& report) {
  const auto attempt = ParseGangAttempt(report.lease);
  if (!attempt || (gang.attempt && *attempt < *gang.attempt)) {
    return;
  }
  if (gang.attempt != attempt) {
    gang.attempt = attempt;
    gang.pieces.clear();
  }
  gang.pieces.push_back(Piece{.index = report.piece,
                              .worker = worker.listed.id,
                              .lease = report.lease,
                              .state = report.state});
}

bool IsComplete(const ReportedGang& gang, const Job& job) {
  if (std::ssize(gang.pieces) != job.spec.shape.pieces) {
    return false;
  }
  for (std::size_t i = 0; i < gang.pieces.size(); ++i) {
    if (gang.pieces[i].index.value != i) {
      return false;
    }
  }
  return true;
}

// The state in which the new holder adopts a complete gang; empty when it
// cannot be continued.
std::optional<JobState> StateToAdopt(const Job& job, const ReportedGang& gang) {
  const auto count = [&](PieceState state) {
    return static_cast<std::size_t>(std::count_if(
        gang.pieces.begin(), gang.pieces.end(),
        [&](const Piece& piece) { return piece.state == state; }));
  };
  const std::size_t started =
      count(PieceState::kRunning) + count(PieceState::kDone);
  const std::size_t reserved = count(PieceState::kReserved);
  if (started == gang.pieces.size()) {
    return JobState::kRunning;
  }
  if (started + reserved != gang.pieces.size()) {
    return std::nullopt;
  }
  if (job.spec.idempotent || job.recorded_attempt == gang.attempt) {
    return JobState::kStarting;
  }
  return started == 0 ? std::optional(JobState::kReserving) : std::nullopt;
}

void AdoptGang(Cell& cell,
               Job& job,
               const ReportedGang& gang,
               JobState state,
               TimePoint now) {
  Dequeue(cell, job);
  job.last_attempt = *gang.attempt;
  job.pieces = gang.pieces;
  job.placed_at = now;
  job.may_have_run = state != JobState::kReserving;
  if (state == JobState::kRunning) {
    job.running_since = now;
  }
  for (const Piece& piece : job.pieces) {
    AttachPiece(cell, job, piece);
  }
  cell.active.insert(job.spec.id);
  ChangeState(cell, job, state, now);
}

void RecoverGang(World& world,
                 Cell& cell,
                 Job& job,
                 ReportedGang gang,
                 TimePoint now,
                 Outbox& outbox) {
  std::sort(gang.pieces.begin(), gang.pieces.end(),
            [](const Piece& a, const Piece& b) { return a.index < b.index; });
  job.may_have_run = job.recorded_attempt != GangAttempt{};
  if (gang.attempt && IsComplete(gang, job)) {
    if (const auto state = StateToAdopt(job, gang)) {
      AdoptGang(cell, job, gang, *state, now);
      return;
    }
  }
  // The leases of a gang that is not adopted belong to no placement and are
  // released by later messages to the workers.
  if (job.may_have_run && !job.spec.idempotent) {
    AppendJobEnd(world, cell, job, JobState::kUnknown,
                 "its start was recorded, and it was not found whole after its "
                 "holder was lost",
                 now, outbox);
  } else if (job.cancel_requested) {
    AppendJobEnd(world, cell, job, JobState::kCancelled, "", now, outbox);
  }
}

void RecoverCell(World& world, Cell& cell, TimePoint now, Outbox& outbox) {
  std::unordered_map<JobId, ReportedGang> gangs;
  for (const Worker& worker : cell.workers.rows) {
    for (const LeaseReport& report : worker.reported_leases) {
      AddReport(gangs[report.job], worker, report);
    }
  }
  for (Job& job : cell.jobs.rows) {
    if (job.state == JobState::kWaiting) {
      RecoverGang(world, cell, job, std::move(gangs[job.spec.id]), now, outbox);
    }
  }
  cell.recovered = true;
  cell.plan_stale = true;
  cell.rewrites.clear();
  for (const JobId& id : cell.jobs.keys) {
    cell.rewrites.push_back(
        JobRewrite{id, now + world.self.job_rewrite_interval / 2});
  }
  for (Worker& worker : cell.workers.rows) {
    SchedulePoll(cell, worker, now);
  }
  Log(LogLevel::kInfo, "cell_recovered",
      {{"cell", cell.name.value},
       {"workers", cell.workers.size()},
       {"gangs", cell.active.size()}});
}

}  // namespace impl

void RecoverGangs(World& world, TimePoint now, Outbox& outbox) {
  for (auto& [name, cell] : world.jobs.cells) {
    if (cell.recovered || !IsHeld(cell)) {
      continue;
    }
    const bool all_answered =
        std::all_of(cell.workers.rows.begin(), cell.workers.rows.end(),
                    [](const Worker& worker) {
                      return worker.last_answered_send != TimePoint::min();
                    });
    if (all_answered || now >= cell.recovery_deadline) {
      impl::RecoverCell(world, cell, now, outbox);
    }
  }
}

}  // namespace chicorystep
