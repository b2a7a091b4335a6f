#include "chicorystep/systems/cells/worker_polls.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cells/cell_state.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/worker_health.h"

namespace chicorystep {
namespace impl {

const LeaseReport* FindReport(const Worker& worker, const LeaseId& lease) {
  const auto found =
      std::find_if(worker.reported_leases.begin(), worker.reported_leases.end(),
                   [&](const LeaseReport& row) { return row.lease == lease; });
  return found == worker.reported_leases.end() ? nullptr : &*found;
}

// The state of one piece after its worker's last report.
PieceState StateAfterReport(const Worker& worker,
                            const Job& job,
                            const Piece& piece) {
  if (const LeaseReport* report = FindReport(worker, piece.lease)) {
    return report->state;
  }
  if (piece.state != PieceState::kReserving ||
      job.state == JobState::kStopping) {
    return PieceState::kReleased;
  }
  const bool requested =
      std::find(worker.requested_leases.begin(), worker.requested_leases.end(),
                piece.lease) != worker.requested_leases.end();
  return requested ? PieceState::kFailed : PieceState::kReserving;
}

void ApplyReports(Cell& cell, Worker& worker, TimePoint now) {
  for (const PieceRef& ref : std::vector(worker.pieces)) {
    Job* job = cell.jobs.find(ref.job);
    Piece& piece = job->pieces.at(ref.piece.value);
    const PieceState state = StateAfterReport(worker, *job, piece);
    if (state == piece.state) {
      continue;
    }
    // A refused reservation does not count as a failure of the worker.
    if (state == PieceState::kFailed && piece.state != PieceState::kReserving) {
      job->failed_workers.insert(worker.listed.id);
      RecordFailure(cell, worker, *job, now);
    } else if (state == PieceState::kDone) {
      RecordSuccess(worker);
    }
    piece.state = state;
    MarkTouched(cell, ref.job);
  }
}

// Gives up the cell after a worker has rejected this process's epoch.
void HandleSuperseded(const World& world, Cell& cell, TimePoint now) {
  Log(LogLevel::kInfo, "cell_superseded",
      {{"cell", cell.name.value}, {"epoch", cell.epoch.value}});
  LoseCell(cell, now + world.self.member_timeout, now);
}

void ApplyAnswer(const World& world,
                 Cell& cell,
                 const WorkerAnswered& answer,
                 TimePoint now) {
  Worker* worker = cell.workers.find(answer.worker);
  if (worker == nullptr || answer.sequence != worker->sequence ||
      answer.epoch != cell.epoch || !worker->exchange_in_flight) {
    return;
  }
  worker->exchange_in_flight = false;
  cell.polls.emplace(worker->next_poll, worker->listed.id);
  if (answer.stale_epoch) {
    HandleSuperseded(world, cell, now);
    return;
  }
  if (answer.answered) {
    // A worker that becomes responsive again may be given work.
    cell.placement_due |= !IsResponsive(*worker, world.self, now);
    worker->last_answered_send = worker->last_send;
    worker->reported_leases = answer.leases;
    ApplyReports(cell, *worker, now);
  }
  worker->requested_leases.clear();
}

// The command that moves one piece towards the state its gang requires, if any.
std::optional<WorkerCommandKind> NextCommand(const Job& job,
                                             const Piece& piece,
                                             bool reported) {
  switch (job.state) {
    case JobState::kReserving:
      if (!reported && piece.state == PieceState::kReserving) {
        return WorkerCommandKind::kReserve;
      }
      break;
    case JobState::kStarting:
      if (piece.state == PieceState::kReserved) {
        return WorkerCommandKind::kStart;
      }
      break;
    case JobState::kCheckpointing:
      if (piece.state == PieceState::kRunning) {
        return WorkerCommandKind::kCheckpoint;
      }
      break;
    case JobState::kStopping:
      if (piece.state != PieceState::kReleased) {
        return WorkerCommandKind::kRelease;
      }
      break;
    default:
      break;
  }
  return std::nullopt;
}

WorkerCommand MakeCommand(WorkerCommandKind kind,
                          const Job& job,
                          const Piece& piece) {
  WorkerCommand command{.kind = kind,
                        .lease = piece.lease,
                        .job = job.spec.id,
                        .piece = piece.index};
  if (kind == WorkerCommandKind::kReserve) {
    command.accelerators = job.spec.shape.accelerators;
    command.processors = job.spec.shape.processors;
    command.memory = job.spec.shape.memory;
    command.command = job.spec.command;
  }
  return command;
}

// Whether a lease that belongs to no placement may be released. While the end
// of its job is being recorded, the lease is kept as the only evidence of that
// end.
bool IsReleasable(const Cell& cell, const LeaseReport& report) {
  const Job* job = cell.jobs.find(report.job);
  return job == nullptr || job->state != JobState::kEnding;
}

void ReleaseUnplaced(const Cell& cell,
                     const Worker& worker,
                     std::vector<WorkerCommand>& commands) {
  for (const LeaseReport& report : worker.reported_leases) {
    const bool placed = std::any_of(
        worker.pieces.begin(), worker.pieces.end(), [&](const PieceRef& ref) {
          const Job* job = cell.jobs.find(ref.job);
          return job->pieces.at(ref.piece.value).lease == report.lease;
        });
    if (!placed && IsReleasable(cell, report)) {
      commands.push_back(WorkerCommand{.kind = WorkerCommandKind::kRelease,
                                       .lease = report.lease,
                                       .job = report.job,
                                       .piece = report.piece});
    }
  }
}

std::vector<WorkerCommand> CommandsFor(const Cell& cell, const Worker& worker) {
  std::vector<WorkerCommand> commands;
  if (!cell.recovered) {
    return commands;
  }
  for (const PieceRef& ref : worker.pieces) {
    const Job* job = cell.jobs.find(ref.job);
    const Piece& piece = job->pieces.at(ref.piece.value);
    const bool reported = FindReport(worker, piece.lease) != nullptr;
    if (const auto kind = NextCommand(*job, piece, reported)) {
      commands.push_back(MakeCommand(*kind, *job, piece));
    }
  }
  ReleaseUnplaced(cell, worker, commands);
  return commands;
}

void PollWorker(const World& world,
                const Cell& cell,
                Worker& worker,
                TimePoint now,
                Outbox& outbox) {
  worker.sequence = MessageSequence(worker.sequence.value + 1);
  // Leases on an unresponsive worker are not renewed, so that they are certain
  // to expire at a known time.
  const bool renew = worker.last_answered_send == TimePoint::min() ||
                     IsResponsive(worker, world.self, now);
  SendWorkerCommands message{.worker = worker.listed.id,
                             .address = worker.listed.address,
                             .cell = cell.name,
                             .holder = world.self.id,
                             .epoch = cell.epoch,
                             .sequence = worker.sequence,
                             .renew = renew,
                             .lease_time = world.self.lease_time,
                             .commands = CommandsFor(cell, worker)};
  worker.requested_leases.clear();
  for (const WorkerCommand& command : message.commands) {
    if (command.kind == WorkerCommandKind::kReserve) {
      worker.requested_leases.push_back(command.lease);
    }
  }
  worker.last_send = now;
  if (renew || !worker.requested_leases.empty()) {
    worker.last_renewal_send = now;
  }
  worker.exchange_in_flight = true;
  worker.next_poll = now + world.self.worker_poll_interval;
  outbox.worker_commands.push_back(std::move(message));
}

}  // namespace impl

void ApplyWorkerAnswers(World& world, const Inbox& inbox, TimePoint now) {
  for (const WorkerAnswered& answer : inbox.worker_answers) {
    if (const auto cell = world.jobs.cells.find(answer.cell);
        cell != world.jobs.cells.end() && IsHeld(cell->second)) {
      impl::ApplyAnswer(world, cell->second, answer, now);
    }
  }
}

void PollWorkers(World& world, TimePoint now, Outbox& outbox) {
  for (auto& [name, cell] : world.jobs.cells) {
    if (!IsHeld(cell)) {
      continue;
    }
    while (!cell.polls.empty() && cell.polls.begin()->first <= now) {
      Worker* worker = cell.workers.find(cell.polls.begin()->second);
      cell.polls.erase(cell.polls.begin());
      if (worker != nullptr) {
        impl::PollWorker(world, cell, *worker, now, outbox);
      }
    }
  }
}

TimePoint NextCellDue(const World& world) {
  TimePoint due = kNever;
  for (const auto& [name, cell] : world.jobs.cells) {
    if (!IsHeld(cell)) {
      if (cell.caught_up && cell.own_claim_id.empty() && !cell.leaving) {
        due = std::min(due, cell.claim_due);
      }
      continue;
    }
    if (!cell.polls.empty()) {
      due = std::min(due, cell.polls.begin()->first);
    }
    if (cell.placement_due) {
      due = std::min(due, cell.next_placement);
    }
    if (!cell.active.empty() || !cell.unconfirmed.empty()) {
      due = std::min(due, cell.next_scan);
    }
  }
  return due;
}

bool IsResponsive(const Worker& worker,
                  const Self& self,
                  TimePoint now) noexcept {
  return worker.last_answered_send != TimePoint::min() &&
         now - worker.last_answered_send <= self.lease_time / 2;
}

bool HaveLeasesExpired(const Worker& worker,
                       const Self& self,
                       TimePoint now) noexcept {
  return worker.last_renewal_send != TimePoint::min() &&
         now - worker.last_renewal_send >
             self.lease_time + self.worker_poll_interval;
}

}  // namespace chicorystep
