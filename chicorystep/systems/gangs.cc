#include "chicorystep/systems/gangs.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/cells.h"
#include "chicorystep/systems/job_records.h"
#include "chicorystep/systems/placement.h"

namespace chicorystep {
namespace impl {

LeaseId MakeLeaseId(const JobId& job, std::uint32_t tries, PieceIndex piece) {
  return LeaseId(fmt::format("{}/{}/{}", job.value, tries, piece.value));
}

// The try that a lease was taken for; empty when the id is not one of ours.
std::optional<std::uint32_t> TriesOf(const LeaseId& lease) {
  const std::string_view text = lease.value;
  const std::size_t last = text.rfind('/');
  if (last == std::string_view::npos || last == 0) {
    return std::nullopt;
  }
  const std::size_t first = text.rfind('/', last - 1);
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint32_t tries = 0;
  const char* const begin = text.data() + first + 1;
  const char* const end = text.data() + last;
  if (const auto [rest, error] = std::from_chars(begin, end, tries);
      error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return tries;
}

bool IsActive(const Job& job) {
  return job.state == JobState::kReserving ||
         job.state == JobState::kStarting || job.state == JobState::kRunning ||
         job.state == JobState::kStopping;
}

bool IsLost(const Worker* worker, const Self& self, TimePoint now) {
  return worker == nullptr || (worker->heard != TimePoint::min() &&
                               now - worker->heard > self.lease_time);
}

void WakeWorkers(Cell& cell, const Job& job, TimePoint now) {
  for (const Piece& piece : job.pieces) {
    if (Worker* worker = cell.workers.find(piece.worker)) {
      worker->next_poll = std::min(worker->next_poll, now);
    }
  }
}

void ChangeState(Cell& cell, Job& job, JobState state, TimePoint now) {
  job.state = state;
  WakeWorkers(cell, job, now);
  Log(LogLevel::kDebug, "job_state",
      {{"job", job.spec.id.value}, {"state", NameOf(state)}});
}

// Stops every piece; `end_state` follows when all leases are released.
void StopGang(Cell& cell,
              Job& job,
              JobState end_state,
              std::string detail,
              TimePoint now) {
  job.end_state = end_state;
  job.end_detail = std::move(detail);
  ChangeState(cell, job, JobState::kStopping, now);
}

bool AllPieces(const Job& job, auto predicate) {
  return std::all_of(job.pieces.begin(), job.pieces.end(), predicate);
}

bool AnyPiece(const Job& job, auto predicate) {
  return std::any_of(job.pieces.begin(), job.pieces.end(), predicate);
}

const LeaseReport* FindReport(const Worker& worker, const LeaseId& lease) {
  const auto found =
      std::find_if(worker.reported.begin(), worker.reported.end(),
                   [&](const LeaseReport& row) { return row.lease == lease; });
  return found == worker.reported.end() ? nullptr : &*found;
}

// Updates one piece from its worker's report.
void ApplyReport(const Worker& worker, Piece& piece) {
  if (const LeaseReport* report = FindReport(worker, piece.lease)) {
    piece.state = report->state;
    return;
  }
  const bool asked = std::find(worker.reserving.begin(), worker.reserving.end(),
                               piece.lease) != worker.reserving.end();
  if (piece.state == PieceState::kReserving && asked) {
    piece.state = PieceState::kFailed;
  } else if (piece.state != PieceState::kReserving) {
    piece.state = PieceState::kReleased;
  }
}

void ApplyAnswer(Cell& cell, const WorkerAnswered& answer, TimePoint now) {
  Worker* worker = cell.workers.find(answer.worker);
  if (worker == nullptr) {
    return;
  }
  worker->exchange_under_way = false;
  if (!answer.answered || answer.stale_epoch || answer.epoch != cell.epoch) {
    worker->reserving.clear();
    return;
  }
  worker->heard = now;
  worker->reported = answer.leases;
  for (const PieceRef& ref : worker->pieces) {
    if (Job* job = cell.jobs.find(ref.job)) {
      ApplyReport(*worker, job->pieces.at(ref.piece.value));
    }
  }
  worker->reserving.clear();
}

bool IsLostPiece(const Cell& cell,
                 const Piece& piece,
                 const Self& self,
                 TimePoint now) {
  return IsLost(cell.workers.find(piece.worker), self, now);
}

void RemovePieces(Cell& cell, Job& job) {
  for (const Piece& piece : job.pieces) {
    Worker* worker = cell.workers.find(piece.worker);
    if (worker == nullptr) {
      continue;
    }
    Vacate(*worker, job.spec.shape);
    std::erase_if(worker->pieces, [&](const PieceRef& ref) {
      return ref.job == job.spec.id && ref.piece == piece.index;
    });
  }
  job.pieces.clear();
}

void FinishStopping(World& world, Cell& cell, Job& job, Outbox& outbox) {
  RemovePieces(cell, job);
  if (job.end_state == JobState::kWaiting) {
    job.state = JobState::kWaiting;
    return;
  }
  job.state = JobState::kEnding;
  AppendCellRecord(world, cell,
                   CellRecord{.kind = CellRecordKind::kJobEnded,
                              .job = JobSpec{.id = job.spec.id},
                              .end_state = job.end_state,
                              .detail = job.end_detail},
                   outbox);
}

void AdvanceGang(World& world,
                 Cell& cell,
                 Job& job,
                 TimePoint now,
                 Outbox& outbox) {
  const auto is_lost = [&](const Piece& piece) {
    return IsLostPiece(cell, piece, world.self, now);
  };
  const auto has_failed = [](const Piece& piece) {
    return piece.state == PieceState::kFailed ||
           piece.state == PieceState::kReleased;
  };
  if (job.state == JobState::kStopping) {
    if (AllPieces(job, [&](const Piece& piece) {
          return piece.state == PieceState::kReleased || is_lost(piece);
        })) {
      FinishStopping(world, cell, job, outbox);
    }
    return;
  }
  if (AnyPiece(job, is_lost)) {
    StopGang(cell, job,
             job.state == JobState::kReserving ? JobState::kWaiting
                                               : JobState::kFailed,
             "a worker was lost", now);
    return;
  }
  if (AnyPiece(job, has_failed)) {
    StopGang(cell, job,
             job.state == JobState::kReserving ? JobState::kWaiting
                                               : JobState::kFailed,
             "a piece failed", now);
    return;
  }
  if (job.state == JobState::kReserving &&
      AllPieces(job, [](const Piece& piece) {
        return piece.state == PieceState::kReserved;
      })) {
    ChangeState(cell, job, JobState::kStarting, now);
  } else if (job.state == JobState::kStarting &&
             AllPieces(job, [](const Piece& piece) {
               return piece.state == PieceState::kRunning ||
                      piece.state == PieceState::kDone;
             })) {
    ChangeState(cell, job, JobState::kRunning, now);
  } else if (job.state == JobState::kRunning &&
             AllPieces(job, [](const Piece& piece) {
               return piece.state == PieceState::kDone;
             })) {
    StopGang(cell, job, JobState::kDone, "", now);
  }
}

// Puts the pieces of `job` that the workers reported back into its row.
void AdoptReports(Cell& cell, Job& job) {
  const auto wanted = static_cast<std::size_t>(job.spec.shape.pieces);
  for (Worker& worker : cell.workers.rows) {
    for (const LeaseReport& report : worker.reported) {
      if (report.job != job.spec.id || report.piece.value >= wanted) {
        continue;
      }
      job.tries = std::max(job.tries, TriesOf(report.lease).value_or(0));
      job.pieces.push_back(Piece{.index = report.piece,
                                 .worker = worker.listed.id,
                                 .lease = report.lease,
                                 .state = report.state});
    }
  }
  std::sort(job.pieces.begin(), job.pieces.end(),
            [](const Piece& a, const Piece& b) { return a.index < b.index; });
}

bool IsWholeGang(const Job& job) {
  const bool complete = std::ssize(job.pieces) == job.spec.shape.pieces &&
                        std::adjacent_find(job.pieces.begin(), job.pieces.end(),
                                           [](const Piece& a, const Piece& b) {
                                             return a.index == b.index;
                                           }) == job.pieces.end();
  return complete && AllPieces(job, [&](const Piece& piece) {
           return TriesOf(piece.lease) == job.tries &&
                  (piece.state == PieceState::kRunning ||
                   piece.state == PieceState::kDone);
         });
}

void RecoverGang(Cell& cell, Job& job, TimePoint now) {
  AdoptReports(cell, job);
  if (job.pieces.empty()) {
    return;
  }
  if (!IsWholeGang(job)) {
    // The leases belong to no placement and are released as unknown ones.
    job.pieces.clear();
    ++job.tries;
    return;
  }
  for (const Piece& piece : job.pieces) {
    Worker* worker = cell.workers.find(piece.worker);
    Occupy(*worker, job.spec.shape);
    worker->pieces.push_back(PieceRef{job.spec.id, piece.index});
  }
  ChangeState(cell, job, JobState::kRunning, now);
}

void PlaceGang(Cell& cell, Job& job, TimePoint now) {
  const auto chosen = ChooseWorkers(cell, job.spec.shape);
  if (!chosen) {
    return;
  }
  ++job.tries;
  for (std::uint32_t i = 0; i < chosen->size(); ++i) {
    const PieceIndex index(i);
    Worker* worker = cell.workers.find(chosen->at(i));
    Occupy(*worker, job.spec.shape);
    worker->pieces.push_back(PieceRef{job.spec.id, index});
    job.pieces.push_back(Piece{
        .index = index,
        .worker = worker->listed.id,
        .lease = MakeLeaseId(job.spec.id, job.tries, index),
        .state = PieceState::kReserving,
    });
  }
  ChangeState(cell, job, JobState::kReserving, now);
}

// The command that brings one piece nearer to what its gang wants, if any.
std::optional<WorkerCommandKind> WantedCommand(const Job& job,
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

std::vector<WorkerCommand> CommandsFor(const Cell& cell, const Worker& worker) {
  std::vector<WorkerCommand> commands;
  for (const PieceRef& ref : worker.pieces) {
    const Job* job = cell.jobs.find(ref.job);
    const Piece& piece = job->pieces.at(ref.piece.value);
    const bool reported = FindReport(worker, piece.lease) != nullptr;
    if (const auto kind = WantedCommand(*job, piece, reported)) {
      commands.push_back(
          WorkerCommand{.kind = *kind,
                        .lease = piece.lease,
                        .job = ref.job,
                        .piece = ref.piece,
                        .accelerators = job->spec.shape.accelerators,
                        .processors = job->spec.shape.processors,
                        .memory = job->spec.shape.memory,
                        .command = job->spec.command});
    }
  }
  if (!cell.recovered) {
    return commands;
  }
  for (const LeaseReport& report : worker.reported) {
    const bool placed = std::any_of(
        worker.pieces.begin(), worker.pieces.end(), [&](const PieceRef& ref) {
          const Job* job = cell.jobs.find(ref.job);
          return job->pieces.at(ref.piece.value).lease == report.lease;
        });
    if (!placed) {
      commands.push_back(WorkerCommand{.kind = WorkerCommandKind::kRelease,
                                       .lease = report.lease,
                                       .job = report.job,
                                       .piece = report.piece});
    }
  }
  return commands;
}

void PollWorker(const World& world,
                const Cell& cell,
                Worker& worker,
                TimePoint now,
                Outbox& outbox) {
  SendWorkerCommands message{.worker = worker.listed.id,
                             .address = worker.listed.address,
                             .zone = cell.zone,
                             .holder = world.self.id,
                             .epoch = cell.epoch,
                             .lease_time = world.self.lease_time,
                             .commands = CommandsFor(cell, worker)};
  worker.reserving.clear();
  for (const WorkerCommand& command : message.commands) {
    if (command.kind == WorkerCommandKind::kReserve) {
      worker.reserving.push_back(command.lease);
    }
  }
  worker.exchange_under_way = true;
  worker.next_poll = now + world.self.worker_poll_interval;
  outbox.worker_commands.push_back(std::move(message));
}

}  // namespace impl

void ApplyWorkerAnswers(World& world, const Inbox& inbox, TimePoint now) {
  for (const WorkerAnswered& answer : inbox.worker_answers) {
    if (const auto cell = world.jobs.cells.find(answer.zone);
        cell != world.jobs.cells.end()) {
      impl::ApplyAnswer(cell->second, answer, now);
    }
  }
}

void RecoverGangs(World& world, TimePoint now) {
  for (auto& [zone, cell] : world.jobs.cells) {
    if (cell.recovered || !IsHeld(cell)) {
      continue;
    }
    const bool all_heard = std::all_of(
        cell.workers.rows.begin(), cell.workers.rows.end(),
        [](const Worker& worker) { return worker.heard != TimePoint::min(); });
    if (!all_heard && now < cell.recovered_by) {
      continue;
    }
    for (Job& job : cell.jobs.rows) {
      if (job.state == JobState::kWaiting) {
        impl::RecoverGang(cell, job, now);
      }
    }
    cell.recovered = true;
    Log(LogLevel::kInfo, "cell_recovered",
        {{"zone", zone.value}, {"workers", cell.workers.size()}});
  }
}

void AdvanceGangs(World& world, TimePoint now, Outbox& outbox) {
  for (auto& [zone, cell] : world.jobs.cells) {
    if (!IsHeld(cell) || !cell.recovered) {
      continue;
    }
    for (Job& job : cell.jobs.rows) {
      if (impl::IsActive(job)) {
        impl::AdvanceGang(world, cell, job, now, outbox);
      }
    }
  }
}

void PlaceGangs(World& world, TimePoint now) {
  for (auto& [zone, cell] : world.jobs.cells) {
    if (!IsHeld(cell) || !cell.recovered) {
      continue;
    }
    std::vector<Job*> waiting;
    for (Job& job : cell.jobs.rows) {
      if (job.state == JobState::kWaiting) {
        waiting.push_back(&job);
      }
    }
    std::sort(waiting.begin(), waiting.end(), [](const Job* a, const Job* b) {
      return std::pair(a->priority, a->accepted) <
             std::pair(b->priority, b->accepted);
    });
    for (Job* job : waiting) {
      impl::PlaceGang(cell, *job, now);
    }
  }
}

void PollWorkers(World& world, TimePoint now, Outbox& outbox) {
  for (auto& [zone, cell] : world.jobs.cells) {
    if (!IsHeld(cell)) {
      continue;
    }
    for (Worker& worker : cell.workers.rows) {
      if (!worker.exchange_under_way && now >= worker.next_poll) {
        impl::PollWorker(world, cell, worker, now, outbox);
      }
    }
  }
}

TimePoint NextPollDue(const World& world) {
  TimePoint due = kNever;
  for (const auto& [zone, cell] : world.jobs.cells) {
    if (!IsHeld(cell)) {
      continue;
    }
    for (const Worker& worker : cell.workers.rows) {
      if (!worker.exchange_under_way) {
        due = std::min(due, worker.next_poll);
      }
    }
  }
  return due;
}

}  // namespace chicorystep
