#include "chicorystep/systems/cells.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/job_record.h"
#include "chicorystep/systems/job_check.h"
#include "chicorystep/systems/membership.h"

namespace chicorystep {
namespace impl {

std::uint64_t RendezvousWeight(const Zone& zone, const EntryId& entry) {
  const std::string key = zone.value + '\0' + entry.value;
  return XXH3_64bits(key.data(), key.size());
}

void UpdateWorkers(Cell& cell, const InstanceList& list) {
  std::set<WorkerId> listed;
  for (const ListedWorker& worker : list.workers) {
    if (worker.zone != cell.zone) {
      continue;
    }
    listed.insert(worker.id);
    if (Worker* known = cell.workers.find(worker.id)) {
      known->listed = worker;
    } else {
      cell.workers.insert(worker.id,
                          Worker{.listed = worker,
                                 .free_accelerators = worker.accelerators,
                                 .free_processors = worker.processors,
                                 .free_memory = worker.memory});
    }
  }
  cell.workers.EraseIf([&](const WorkerId& id, const Worker& worker) {
    return !listed.contains(id) && worker.pieces.empty();
  });
}

void AcceptJob(World& world,
               Cell& cell,
               const CellRecord& record,
               Offset offset) {
  if (cell.jobs.find(record.job.id) != nullptr) {
    return;
  }
  Job job{.spec = record.job, .accepted = offset};
  if (const auto route = world.config.routes.find(record.job.kind);
      route != world.config.routes.end()) {
    job.pool = route->second.pool;
    job.priority = route->second.priority;
  }
  cell.jobs.insert(record.job.id, std::move(job));
}

void AnswerPending(Cell& cell, const JobId& id, Outbox& outbox) {
  const Job* job = cell.jobs.find(id);
  std::erase_if(cell.pending, [&](const PendingAcceptance& pending) {
    if (pending.job != id) {
      return false;
    }
    outbox.ended_job_operations.push_back(
        EndJobOperation{pending.exchange, std::nullopt,
                        JobStatus{id, job->state, job->end_detail}});
    return true;
  });
}

void ApplyClaim(World& world,
                Cell& cell,
                const LogRecord& record,
                TimePoint now) {
  if (record.id == cell.claim) {
    cell.epoch = Epoch(record.offset.value + 1);
    cell.recovered_by = now + world.self.lease_time;
    Log(LogLevel::kInfo, "cell_claimed",
        {{"zone", cell.zone.value}, {"epoch", cell.epoch.value}});
  } else if (IsHeld(cell)) {
    Log(LogLevel::kInfo, "cell_lost",
        {{"zone", cell.zone.value}, {"epoch", cell.epoch.value}});
    cell.epoch = Epoch{};
    cell.claim = RecordId{};
    cell.claim_due = now + world.self.member_timeout;
  }
}

// A record may come from a process with other settings, so only what no
// setting allows is skipped.
inline constexpr JobLimits kRecordLimits{.max_pieces = kMostPieces,
                                         .max_command = kMostCommand};

void ApplyCellRecord(World& world,
                     Cell& cell,
                     const LogRecord& record,
                     TimePoint now,
                     Outbox& outbox) {
  auto decoded = DecodeCellRecord(record.data);
  if (decoded && decoded.value().kind == CellRecordKind::kJobAccepted) {
    if (auto refusal = CheckJob(decoded.value().job, kRecordLimits)) {
      decoded = failure(EncodingError{std::move(refusal->detail)});
    }
  }
  if (!decoded) {
    Log(LogLevel::kWarn, "cell_record_skipped",
        {{"zone", cell.zone.value},
         {"offset", record.offset.value},
         {"error", decoded.error().detail}});
    return;
  }
  const CellRecord& value = decoded.value();
  switch (value.kind) {
    case CellRecordKind::kClaim:
      ApplyClaim(world, cell, record, now);
      break;
    case CellRecordKind::kJobAccepted:
      AcceptJob(world, cell, value, record.offset);
      AnswerPending(cell, value.job.id, outbox);
      break;
    case CellRecordKind::kJobCancelled:
      if (Job* job = cell.jobs.find(value.job.id);
          job != nullptr && !HasEnded(job->state)) {
        job->end_state = JobState::kCancelled;
        job->state = JobState::kStopping;
      }
      break;
    case CellRecordKind::kJobEnded:
      if (Job* job = cell.jobs.find(value.job.id);
          job != nullptr && !HasEnded(job->state)) {
        job->state = value.end_state;
        job->end_detail = value.detail;
        Log(LogLevel::kInfo, "job_ended",
            {{"job", job->spec.id.value}, {"state", NameOf(job->state)}});
      }
      break;
  }
}

}  // namespace impl

Stream CellStream(const Zone& zone) {
  return Stream("cell." + zone.value);
}

bool IsHeld(const Cell& cell) noexcept {
  return cell.epoch != Epoch{};
}

EntryId PreferredHolder(const World& world, const Zone& zone, TimePoint now) {
  EntryId best = world.self.id;
  std::uint64_t best_weight = impl::RendezvousWeight(zone, best);
  for (const Member& member : world.members.table.rows) {
    if (!IsAlive(member, world.self, now)) {
      continue;
    }
    const std::uint64_t weight = impl::RendezvousWeight(zone, member.id);
    if (std::pair(weight, member.id) > std::pair(best_weight, best)) {
      best = member.id;
      best_weight = weight;
    }
  }
  return best;
}

RecordId AppendCellRecord(World& world,
                          const Cell& cell,
                          const CellRecord& record,
                          Outbox& outbox) {
  RecordId id(fmt::format("{}-{}-{}", world.self.id.value,
                          world.self.incarnation.value,
                          ++world.jobs.records_written));
  outbox.appends.push_back(
      AppendRecord{CellStream(cell.zone), id, EncodeCellRecord(record)});
  return id;
}

void AssignCells(World& world, TimePoint now, Outbox& outbox) {
  // A starting process first learns who else is alive.
  if (!world.config_ready ||
      now < TimePoint(Duration::zero()) + world.self.member_timeout) {
    return;
  }
  std::set<Zone> zones;
  for (const ListedWorker& worker : world.instances.workers) {
    zones.insert(worker.zone);
  }
  for (const Zone& zone : zones) {
    const bool preferred =
        !world.stopping && PreferredHolder(world, zone, now) == world.self.id;
    const bool known = world.jobs.cells.contains(zone);
    if (preferred && !known) {
      world.jobs.cells.emplace(zone, Cell{.zone = zone});
      outbox.follows.push_back(FollowStream{CellStream(zone), Offset{}});
    } else if (!preferred && known) {
      world.jobs.cells.erase(zone);
      outbox.unfollows.push_back(UnfollowStream{CellStream(zone)});
      Log(LogLevel::kInfo, "cell_dropped", {{"zone", zone.value}});
    }
  }
  for (auto& [zone, cell] : world.jobs.cells) {
    impl::UpdateWorkers(cell, world.instances);
    if (cell.caught_up && cell.claim.empty() && now >= cell.claim_due) {
      cell.claim = AppendCellRecord(
          world, cell,
          CellRecord{.kind = CellRecordKind::kClaim, .holder = world.self.id},
          outbox);
    }
  }
}

void ApplyCellBatches(World& world,
                      const Inbox& inbox,
                      TimePoint now,
                      Outbox& outbox) {
  for (const LogBatch& batch : inbox.log_batches) {
    for (auto& [zone, cell] : world.jobs.cells) {
      if (batch.stream != CellStream(zone)) {
        continue;
      }
      for (const LogRecord& record : batch.records) {
        if (record.offset >= cell.next) {
          impl::ApplyCellRecord(world, cell, record, now, outbox);
          cell.next = Offset(record.offset.value + 1);
        }
      }
      cell.caught_up |= batch.records.empty() && batch.next <= cell.next;
    }
  }
}

void ApplyAppendsEnded(World& world, const Inbox& inbox, Outbox& outbox) {
  for (const AppendEnded& ended : inbox.appends_ended) {
    if (ended.acknowledged) {
      continue;
    }
    for (auto& [zone, cell] : world.jobs.cells) {
      if (cell.claim == ended.id && !IsHeld(cell)) {
        cell.claim = RecordId{};
      }
      std::erase_if(cell.pending, [&](const PendingAcceptance& pending) {
        if (pending.record != ended.id) {
          return false;
        }
        outbox.ended_job_operations.push_back(EndJobOperation{
            pending.exchange,
            Refusal{Execution::kUnknown, Reason::kLogUnavailable,
                    "the log did not confirm the acceptance; the same request "
                    "may be repeated",
                    Duration{}},
            JobStatus{}});
        return true;
      });
    }
  }
}

}  // namespace chicorystep
