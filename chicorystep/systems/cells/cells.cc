#include "chicorystep/systems/cells/cells.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/encoding/job_record.h"
#include "chicorystep/systems/cells/cell_state.h"
#include "chicorystep/systems/cells/gangs.h"
#include "chicorystep/systems/cells/job_check.h"
#include "chicorystep/systems/cells/membership.h"
#include "chicorystep/systems/requests/rendezvous.h"

namespace chicorystep {
namespace impl {

// Delay before a record that was not acknowledged is appended again.
inline constexpr Duration kReappendDelay = std::chrono::seconds(1);

// Adds or updates one listed worker. Returns whether the packing of the
// guaranteed shapes may change.
bool UpdateWorker(Cell& cell, const ListedWorker& listed, TimePoint now) {
  Worker* known = cell.workers.find(listed.id);
  if (known == nullptr) {
    cell.workers.insert(
        listed.id,
        Worker{.listed = listed, .free = CapacityOf(listed), .next_poll = now});
    cell.polls.emplace(now, listed.id);
    return true;
  }
  const Capacity grown = CapacityOf(listed) - CapacityOf(known->listed);
  const bool changed = grown != Capacity{} ||
                       known->listed.state != listed.state ||
                       known->listed.rack != listed.rack;
  known->free = known->free + grown;
  known->listed = listed;
  return changed;
}

// Numbers the racks, so that workers are grouped without comparing names. Racks
// are identified by zone and name, since two zones may use the same name.
void NumberRacks(Cell& cell) {
  std::map<std::pair<Zone, Rack>, std::size_t> racks;
  for (Worker& worker : cell.workers.rows) {
    const std::pair rack_key(worker.listed.zone, worker.listed.rack);
    worker.rack = racks.emplace(rack_key, racks.size()).first->second;
  }
  cell.racks = racks.size();
}

void UpdateWorkers(const CellMap& map,
                   Cell& cell,
                   const InstanceList& list,
                   TimePoint now) {
  std::set<WorkerId> listed;
  bool changed = false;
  for (const ListedWorker& worker : list.workers) {
    if (CellForZone(map, worker.zone) == cell.name) {
      listed.insert(worker.id);
      changed |= UpdateWorker(cell, worker, now);
    }
  }
  for (Worker& worker : cell.workers.rows) {
    if (!listed.contains(worker.listed.id) &&
        worker.listed.state != InstanceState::kLeaving) {
      worker.listed.state = InstanceState::kLeaving;
      changed = true;
    }
  }
  cell.workers.EraseIf([&](const WorkerId& id, const Worker& worker) {
    const bool gone = !listed.contains(id) && worker.pieces.empty();
    if (gone) {
      cell.polls.erase({worker.next_poll, id});
    }
    return gone;
  });
  if (changed) {
    NumberRacks(cell);
    cell.plan_stale = true;
  }
}

void AddJob(const World& world, Cell& cell, Job job, TimePoint now) {
  if (const auto route = world.config.routes.find(job.spec.kind);
      route != world.config.routes.end()) {
    job.pool = route->second.pool;
    job.priority = route->second.priority;
  }
  const JobId id = job.spec.id;
  Enqueue(cell, cell.jobs.insert(id, std::move(job)), now);
  cell.rewrites.push_back(
      JobRewrite{id, now + world.self.job_rewrite_interval});
}

void AcceptJob(const World& world,
               Cell& cell,
               const CellRecord& record,
               Offset offset,
               TimePoint now) {
  if (cell.jobs.find(record.job.id) == nullptr) {
    AddJob(world, cell, Job{.spec = record.job, .accepted_offset = offset},
           now);
  }
}

void RestoreKeptJob(const World& world,
                    Cell& cell,
                    const CellRecord& record,
                    TimePoint now) {
  if (cell.jobs.find(record.job.id) == nullptr) {
    AddJob(world, cell,
           Job{.spec = record.job,
               .accepted_offset = record.accepted_offset,
               .recorded_attempt = record.recorded_attempt,
               .cancel_requested = record.cancel_requested},
           now);
  }
}

// Notes that one append of an acceptance has ended. Returns the cancellations
// that waited for it, once the job is known or no append of it is left.
std::vector<JobOperation> EndAcceptance(Cell& cell,
                                        const PendingAnswer& pending) {
  const auto accepting = cell.under_acceptance.find(pending.job);
  if (!pending.accepts || accepting == cell.under_acceptance.end()) {
    return {};
  }
  JobUnderAcceptance& row = accepting->second;
  std::vector<JobOperation> cancels;
  if (--row.appends == 0 || cell.jobs.find(pending.job) != nullptr) {
    cancels = std::exchange(row.cancels, {});
  }
  if (row.appends == 0) {
    cell.under_acceptance.erase(accepting);
  }
  return cancels;
}

// Answers the caller that waits for the record `id` with the state of the job.
void AnswerPending(Cell& cell, const RecordId& id, Outbox& outbox) {
  const auto pending = cell.pending_answers.find(id);
  if (pending == cell.pending_answers.end()) {
    return;
  }
  if (const Job* job = cell.jobs.find(pending->second.job)) {
    outbox.ended_job_operations.push_back(
        EndJobOperation{pending->second.exchange, std::nullopt,
                        JobStatus{job->spec.id, job->state, job->end_detail}});
  } else {
    outbox.ended_job_operations.push_back(
        EndJobOperation{pending->second.exchange,
                        Refusal{Execution::kUnknown, Reason::kUnknownJob,
                                "the job ended long ago", Duration{}},
                        JobStatus{}});
  }
  std::vector<JobOperation> cancels = EndAcceptance(cell, pending->second);
  std::move(cancels.begin(), cancels.end(),
            std::back_inserter(cell.due_cancels));
  cell.pending_answers.erase(pending);
}

// Refuses an operation whose record, or that of the acceptance for which it
// waited, may be in the stream or not.
void RefuseUnconfirmed(ExchangeId exchange, Outbox& outbox) {
  outbox.ended_job_operations.push_back(EndJobOperation{
      exchange,
      Refusal{Execution::kUnknown, Reason::kLogUnavailable,
              "the log did not confirm the record; the same call may be "
              "repeated",
              Duration{}},
      JobStatus{}});
}

void ApplyClaim(const World& world,
                Cell& cell,
                const LogRecord& record,
                TimePoint now) {
  // A claim that was appended twice counts once.
  if (record.id == cell.newest_claim_id) {
    return;
  }
  cell.newest_claim_id = record.id;
  cell.newest_claim_epoch = Epoch(record.offset.value + 1);
  if (IsHeld(cell)) {
    Log(LogLevel::kInfo, "cell_lost",
        {{"cell", cell.name.value}, {"epoch", cell.epoch.value}});
    LoseCell(cell, now + world.self.member_timeout, now);
  } else if (record.id == cell.own_claim_id) {
    cell.epoch = cell.newest_claim_epoch;
    cell.recovery_deadline =
        now + world.self.lease_time + world.self.lease_time / 2;
    Log(LogLevel::kInfo, "cell_claimed",
        {{"cell", cell.name.value}, {"epoch", cell.epoch.value}});
  }
}

void CancelJob(World& world, Cell& cell, Job& job, TimePoint now, Outbox& out) {
  if (HasEnded(job.state) || job.state == JobState::kEnding) {
    return;
  }
  job.cancel_requested = true;
  if (!IsHeld(cell) || !cell.recovered) {
    return;
  }
  if (job.state == JobState::kWaiting) {
    AppendJobEnd(world, cell, job, JobState::kCancelled, "", now, out);
  } else {
    MarkTouched(cell, job.spec.id);
  }
}

// Applies a record about a known job. Starts and ends written under an earlier
// epoch are ignored: their writer reads the newer claim first and does not act
// on them either.
void ApplyJobRecord(World& world,
                    Cell& cell,
                    const CellRecord& record,
                    TimePoint now,
                    Outbox& outbox) {
  Job* job = cell.jobs.find(record.job.id);
  if (job == nullptr) {
    return;
  }
  const bool is_stale = record.epoch < cell.newest_claim_epoch;
  if (record.kind == CellRecordKind::kJobCancelled) {
    CancelJob(world, cell, *job, now, outbox);
  } else if (record.kind == CellRecordKind::kJobStarting && !is_stale) {
    job->recorded_attempt = record.recorded_attempt;
    MarkTouched(cell, job->spec.id);
  } else if (record.kind == CellRecordKind::kJobEnded && !is_stale &&
             !HasEnded(job->state)) {
    EndJob(cell, *job, record.end_state, record.detail, now);
  }
}

// A record may come from a process with other settings, so only a job beyond
// the largest limits that any settings allow is skipped.
inline constexpr JobLimits kRecordLimits{.max_pieces = kMaxPiecesSetting,
                                         .max_command = kMaxCommandSetting};

void ApplyCellRecord(World& world,
                     Cell& cell,
                     const LogRecord& record,
                     TimePoint now,
                     Outbox& outbox) {
  auto decoded = DecodeCellRecord(record.data);
  if (decoded && decoded.value().kind == CellRecordKind::kJobAccepted) {
    if (auto refusal = CheckJob(decoded.value().job, kRecordLimits)) {
      decoded = failure(DecodingError{std::move(refusal->detail)});
    }
  }
  if (!decoded) {
    Log(LogLevel::kWarn, "cell_record_skipped",
        {{"cell", cell.name.value},
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
      AcceptJob(world, cell, value, record.offset, now);
      break;
    case CellRecordKind::kJobKept:
      RestoreKeptJob(world, cell, value, now);
      break;
    default:
      ApplyJobRecord(world, cell, value, now, outbox);
      break;
  }
  cell.unconfirmed.erase(record.id);
  AnswerPending(cell, record.id, outbox);
}

// Follows the streams of the cells of which this process is the preferred
// holder, and drops the other cells once no caller waits for their records.
void UpdateFollowedCells(World& world, TimePoint now, Outbox& outbox) {
  for (const CellName& name : world.jobs.known_cells) {
    const bool preferred =
        !world.stopping && PreferredHolder(world, name, now) == world.self.id;
    const auto known = world.jobs.cells.find(name);
    if (known == world.jobs.cells.end()) {
      if (preferred) {
        Cell& cell =
            world.jobs.cells.emplace(name, Cell{.name = name}).first->second;
        UpdateWorkers(world.self.cells, cell, world.instances, now);
        outbox.follows.push_back(FollowStream{CellStream(name), Offset{}});
      }
      continue;
    }
    known->second.leaving = !preferred;
    if (!preferred && known->second.pending_answers.empty()) {
      world.jobs.cells.erase(known);
      outbox.unfollows.push_back(UnfollowStream{CellStream(name)});
      Log(LogLevel::kInfo, "cell_dropped", {{"cell", name.value}});
    }
  }
}

}  // namespace impl

Stream CellStream(const CellName& name) {
  return Stream("cell." + name.value);
}

bool IsHeld(const Cell& cell) noexcept {
  return cell.epoch != Epoch{};
}

EntryId PreferredHolder(const World& world,
                        const CellName& name,
                        TimePoint now) {
  EntryId best = world.self.id;
  std::uint64_t best_weight = RendezvousWeight(name.value, best);
  for (const Member& member : world.members.table.rows) {
    if (!IsAlive(member, world.self, now)) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(name.value, member.id);
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
      AppendRecord{CellStream(cell.name), id, EncodeCellRecord(record)});
  return id;
}

void AppendUntilReadBack(World& world,
                         Cell& cell,
                         const CellRecord& record,
                         Outbox& outbox) {
  const RecordId id = AppendCellRecord(world, cell, record, outbox);
  cell.unconfirmed.emplace(
      id, UnconfirmedRecord{.data = outbox.appends.back().data});
}

void LoseCell(Cell& cell, TimePoint claim_due, TimePoint now) {
  cell.epoch = Epoch{};
  cell.own_claim_id = RecordId{};
  cell.claim_due = claim_due;
  ClearPlacements(cell, now);
}

void AssignCells(World& world,
                 const Inbox& inbox,
                 TimePoint now,
                 Outbox& outbox) {
  if (!inbox.instance_lists.empty()) {
    world.jobs.known_cells = ConfiguredCells(world.self.cells);
    for (const ListedWorker& worker : world.instances.workers) {
      world.jobs.known_cells.insert(CellForZone(world.self.cells, worker.zone));
    }
    for (auto& [name, cell] : world.jobs.cells) {
      impl::UpdateWorkers(world.self.cells, cell, world.instances, now);
    }
  }
  // A starting process first waits for the heartbeats of its peers, so that it
  // does not claim the cells of live holders.
  if (!world.config_ready ||
      now < TimePoint(Duration::zero()) + world.self.member_timeout) {
    return;
  }
  impl::UpdateFollowedCells(world, now, outbox);
  for (auto& [name, cell] : world.jobs.cells) {
    if (cell.caught_up && cell.own_claim_id.empty() && !cell.leaving &&
        now >= cell.claim_due) {
      cell.own_claim_id = AppendCellRecord(
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
    for (auto& [name, cell] : world.jobs.cells) {
      if (batch.stream != CellStream(name)) {
        continue;
      }
      for (const LogRecord& record : batch.records) {
        if (record.offset >= cell.next_offset) {
          impl::ApplyCellRecord(world, cell, record, now, outbox);
          cell.next_offset = Offset(record.offset.value + 1);
        }
      }
      cell.caught_up |= batch.records.empty() && batch.next <= cell.next_offset;
    }
  }
}

void ApplyAppendsEnded(World& world,
                       const Inbox& inbox,
                       TimePoint now,
                       Outbox& outbox) {
  for (const AppendEnded& ended : inbox.appends_ended) {
    if (ended.acknowledged) {
      continue;
    }
    for (auto& [name, cell] : world.jobs.cells) {
      if (cell.own_claim_id == ended.id && !IsHeld(cell)) {
        cell.own_claim_id = RecordId{};
      }
      if (const auto record = cell.unconfirmed.find(ended.id);
          record != cell.unconfirmed.end()) {
        record->second.next_append = now + impl::kReappendDelay;
      }
      if (const auto pending = cell.pending_answers.find(ended.id);
          pending != cell.pending_answers.end()) {
        impl::RefuseUnconfirmed(pending->second.exchange, outbox);
        for (const JobOperation& cancel :
             impl::EndAcceptance(cell, pending->second)) {
          impl::RefuseUnconfirmed(cancel.exchange, outbox);
        }
        cell.pending_answers.erase(pending);
      }
    }
  }
}

}  // namespace chicorystep
