#include "chicorystep/systems/workflows/workflow_writes.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <utility>
#include <variant>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/task_unresponsive_workers.h"
#include "chicorystep/systems/workflows/workflow_append_latency.h"
#include "chicorystep/systems/workflows/workflow_holder.h"
#include "chicorystep/systems/workflows/workflow_previous_holders.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

constexpr Duration kWriteRetryDelay = milliseconds(150);
// Maximum number of records and of tasks in one append. At about 70 bytes for
// each task that is up to 140 kB, which a connection between regions carries in
// 0.3 s.
constexpr std::size_t kMaxRecords = 300;
constexpr std::int64_t kMaxTasks = 2000;
// Each change rewrites all tasks of its workflow, so appends are spaced in
// proportion to the tasks that the last one held. Several changes of a wide
// workflow then share one record.
constexpr Duration kProgressSpacingPerTask = std::chrono::microseconds(50);

bool IsRelease(const AppendJournal& append) {
  return std::any_of(append.records.begin(), append.records.end(),
                     [](const JournalRecord& record) {
                       const auto* holder = std::get_if<HolderRecord>(&record);
                       return holder != nullptr && holder->released;
                     });
}

// Queues a state record for the journal when written progress has a new state.
void QueueStateRecord(WorkflowWorld& world, const ProgressRecord& progress) {
  Workflow* workflow = world.workflows.find(progress.id);
  // Progress that was queued before a start was confirmed has an earlier state.
  if (workflow == nullptr || progress.state <= workflow->announced) {
    return;
  }
  workflow->announced = progress.state;
  world.scheduling.to_announce.push_back(
      StateRecord{.id = progress.id,
                  .epoch = progress.epoch,
                  .state = progress.state,
                  .ended_at = progress.ended_at});
}

// Orders the starts whose placement has been written.
void OrderRecordedStarts(WorkflowWorld& world, TimePoint now) {
  Scheduling& scheduling = world.scheduling;
  while (!scheduling.starts_to_record.empty() &&
         scheduling.starts_to_record.front().change <=
             scheduling.changes_taken) {
    const AwaitedStart start = std::move(scheduling.starts_to_record.front());
    scheduling.starts_to_record.pop_front();
    const TaskRef ref = FindTask(world, start.task);
    if (!ref || ref.task->state != TaskState::kPlaced ||
        ref.task->run != start.run) {
      continue;
    }
    ref.task->state = TaskState::kStarting;
    ref.task->since = now;
    ref.task->order_pending = true;
    if (TaskWorker* worker = scheduling.workers.find(ref.task->worker)) {
      worker->orders.push_back(
          WorkerOrder{.kind = OrderKind::kStart,
                      .worker = ref.task->worker,
                      .task = start.task,
                      .run = start.run,
                      .payload = ref.workflow->spec.payload,
                      .checkpoint = ref.task->checkpoint});
    }
  }
}

// Acknowledges to workers the ends that have been written.
void AcknowledgeRecordedEnds(Scheduling& scheduling, TimePoint now) {
  while (!scheduling.ends_to_record.empty() &&
         scheduling.ends_to_record.front().change <= scheduling.changes_taken) {
    const AwaitedEnds awaited = std::move(scheduling.ends_to_record.front());
    scheduling.ends_to_record.pop_front();
    if (TaskWorker* worker = scheduling.workers.find(awaited.worker);
        worker != nullptr &&
        worker->listing.incarnation == awaited.incarnation) {
      worker->recorded_ends = std::max(worker->recorded_ends, awaited.applied);
      worker->next_hold = std::min(worker->next_hold, now);
    }
  }
}

// Applies a batch of progress that has been written.
void ApplyProgressWritten(WorkflowWorld& world,
                          const AppendJournal& written,
                          TimePoint now) {
  for (const JournalRecord& record : written.records) {
    if (const auto* progress = std::get_if<ProgressRecord>(&record)) {
      QueueStateRecord(world, *progress);
    }
  }
  OrderRecordedStarts(world, now);
  AcknowledgeRecordedEnds(world.scheduling, now);
}

// Queues the removal of all parts of the workflow's progress.
void RemoveProgress(WorkflowWorld& world, const WorkflowId& id) {
  Workflow* workflow = world.workflows.find(id);
  const std::uint32_t parts =
      workflow == nullptr
          ? 1
          : std::max(1U, std::exchange(workflow->progress_parts, 0));
  for (std::uint32_t part = 0; part < parts; ++part) {
    world.scheduling.progress_to_remove.push_back(
        ProgressRemovalRecord{.id = id, .part = part});
  }
}

// Applies a batch of journal records that has been written.
void ApplyJournalWritten(WorkflowWorld& world, const AppendJournal& written) {
  for (const JournalRecord& record : written.records) {
    if (const auto* unresponsive =
            std::get_if<UnresponsiveWorkersRecord>(&record)) {
      ApplyUnresponsiveRecordWritten(world, *unresponsive);
    }
    const auto* state = std::get_if<StateRecord>(&record);
    if (state == nullptr) {
      continue;
    }
    if (Workflow* workflow = world.workflows.find(state->id)) {
      workflow->shown = state->state;
      workflow->ended_at = state->ended_at;
    }
    if (IsTerminal(state->state)) {
      RemoveProgress(world, state->id);
    }
  }
}

HolderLane& SelectLane(Holding& holding, AppendLane lane) {
  return lane == AppendLane::kProgress ? holding.progress : holding.journal;
}

HolderRecord OwnClaim(const WorkflowWorld& world,
                      bool released,
                      TimePoint now) {
  return HolderRecord{
      .epoch = world.holding.own_epoch,
      .holder = world.self.id,
      .incarnation = world.self.incarnation,
      .released = released,
      .address = world.self.address,
      .previous = world.holding.holder_before,
      .earlier_orders = TimeUntilPreviousOrdersEnd(world.holding, now)};
}

void EndWritten(WorkflowWorld& world,
                HolderLane& lane,
                const JournalAppended& ended,
                const WorkflowTime& time) {
  Holding& holding = world.holding;
  const AppendJournal written = std::move(*lane.in_flight);
  lane.in_flight.reset();
  lane.last_written = time.now;
  ++lane.sequence;
  if (lane.lane == AppendLane::kProgress) {
    holding.progress_fenced = true;
    if (holding.state == HoldingState::kHolding) {
      ApplyProgressWritten(world, written, time.now);
    }
    return;
  }
  // The next holder assumes that this process may send orders for
  // `kConfirmationBound` after the next holder's own claim. That claim fences
  // the journal before the progress stream, so only a write to the journal
  // confirms this process's claim.
  holding.confirmed = std::max(holding.confirmed, ended.began);
  if (holding.state == HoldingState::kHolding) {
    ApplyJournalWritten(world, written);
  } else if (written.sequence == FirstSequence(world.self)) {
    // The written claim is this process's own, so no other may write progress
    // from here on. The first append to the progress stream fences the previous
    // holder there.
    holding.progress.sequence = FirstSequence(world.self);
    BeginAppend(holding, holding.progress, {OwnClaim(world, false, time.now)},
                time.now);
  }
  if (IsRelease(written)) {
    StopHolding(world, "released", time.now);
  }
}

// Adds the workflow's progress to an append, and the removal of the parts that
// it no longer has: the next holder would take them for the newest state.
void AddProgress(const Holding& holding,
                 const WorkflowId& id,
                 Workflow& workflow,
                 UnixMillis wall,
                 std::vector<JournalRecord>& records) {
  const bool ended = IsTerminal(workflow.state);
  records.push_back(
      ProgressRecord{.id = id,
                     .epoch = holding.own_epoch,
                     .state = workflow.state,
                     .ended_at = ended ? wall : UnixMillis{},
                     .runs = ended ? std::vector<StepRun>() : workflow.runs});
  const std::uint32_t parts = ended ? 1 : CountProgressParts(workflow.runs);
  const std::uint32_t before = std::exchange(workflow.progress_parts, parts);
  for (std::uint32_t part = parts; part < before; ++part) {
    records.push_back(ProgressRemovalRecord{.id = id, .part = part});
  }
}

// Begins an append of progress that has changed. No append of progress is in
// flight, so every change taken so far is written.
void WriteProgress(WorkflowWorld& world, const WorkflowTime& time) {
  Scheduling& scheduling = world.scheduling;
  AcknowledgeRecordedEnds(scheduling, time.now);
  if ((scheduling.dirty.empty() && scheduling.progress_to_remove.empty()) ||
      time.now < scheduling.next_progress) {
    return;
  }
  std::vector<JournalRecord> records;
  std::int64_t tasks = 0;
  while (!scheduling.dirty.empty() && records.size() < kMaxRecords &&
         tasks < kMaxTasks) {
    const WorkflowId id = std::move(scheduling.dirty.front());
    scheduling.dirty.pop_front();
    ++scheduling.changes_taken.value;
    Workflow* workflow = world.workflows.find(id);
    if (workflow == nullptr) {
      continue;
    }
    workflow->dirty = false;
    for (const StepRun& run : workflow->runs) {
      tasks += std::ssize(run.tasks);
    }
    AddProgress(world.holding, id, *workflow, time.wall, records);
  }
  for (ProgressRemovalRecord& removal :
       std::exchange(scheduling.progress_to_remove, {})) {
    records.push_back(std::move(removal));
  }
  scheduling.next_progress = time.now + kProgressSpacingPerTask * tasks;
  BeginAppend(world.holding, world.holding.progress, std::move(records),
              time.now);
}

// Begins an append of the records that callers and other entries depend on:
// workflow states, evictions, unresponsive workers and the holder's claim.
void WriteJournal(WorkflowWorld& world, const WorkflowTime& time) {
  Holding& holding = world.holding;
  Scheduling& scheduling = world.scheduling;
  const bool is_holder = holding.state == HoldingState::kHolding;
  const bool heartbeat_due =
      time.now - holding.journal.last_written >= kHeartbeat;
  const bool release = world.stopping && holding.release_wanted;
  const bool unresponsive_due =
      is_holder && NeedsUnresponsiveRecord(world, time.now);
  if (scheduling.to_announce.empty() && !heartbeat_due && !release &&
      !unresponsive_due) {
    return;
  }
  std::vector<JournalRecord> records;
  for (StateRecord& state : std::exchange(scheduling.to_announce, {})) {
    records.push_back(std::move(state));
  }
  for (const WorkflowId& id : std::exchange(scheduling.to_evict, {})) {
    records.push_back(EvictionRecord{.id = id});
  }
  for (const WorkflowId& id : std::exchange(scheduling.cancels_to_remove, {})) {
    records.push_back(CancelRemovalRecord{.id = id});
  }
  if (unresponsive_due) {
    records.push_back(RecordUnresponsiveWorkers(world, time.now));
  }
  if (records.empty() || release) {
    records.push_back(OwnClaim(world, release, time.now));
  }
  BeginAppend(holding, holding.journal, std::move(records), time.now);
}

// Sends the append in flight, and resends it when its answer is probably lost.
// The store recognises repeats by their sequence number.
void SendOrResend(HolderLane& lane,
                  const StoreAnswer& newest,
                  TimePoint now,
                  WorkflowOutbox& outbox) {
  if (!lane.in_flight || (lane.sent ? !IsProbablyLost(lane.latency, newest, now)
                                    : now < lane.next_send)) {
    return;
  }
  lane.unconfirmed = lane.unconfirmed || lane.sent;
  lane.sent = true;
  RecordSend(lane.latency, now);
  outbox.appends.push_back(*lane.in_flight);
}

// When progress that has changed may be appended.
TimePoint NextProgressDue(const WorkflowWorld& world) {
  const Scheduling& scheduling = world.scheduling;
  return world.holding.progress.in_flight ||
                 (scheduling.dirty.empty() &&
                  scheduling.progress_to_remove.empty())
             ? kNever
             : scheduling.next_progress;
}

TimePoint NextSendDue(const HolderLane& lane, const StoreAnswer& newest) {
  if (!lane.in_flight) {
    return lane.lane == AppendLane::kHolder ? lane.last_written + kHeartbeat
                                            : kNever;
  }
  return lane.sent ? ResendDue(lane.latency, newest) : lane.next_send;
}

}  // namespace

std::uint64_t FirstSequence(const WorkflowSelf& self) {
  return 1 + (self.incarnation.value & 0xffffffffU);
}

void BeginAppend(const Holding& holding,
                 HolderLane& lane,
                 std::vector<JournalRecord> records,
                 TimePoint now) {
  lane.in_flight = AppendJournal{.lane = lane.lane,
                                 .batch = lane.sequence,
                                 .records = std::move(records),
                                 .epoch = holding.own_epoch,
                                 .sequence = lane.sequence};
  lane.sent = false;
  lane.unconfirmed = false;
  lane.latency.unanswered_sends = 0;
  lane.next_send = now;
}

void EndHolderAppends(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time) {
  Holding& holding = world.holding;
  for (const JournalAppended& ended : inbox.appended) {
    HolderLane& lane = SelectLane(holding, ended.lane);
    if (ended.lane != lane.lane || !lane.in_flight ||
        ended.epoch != lane.in_flight->epoch ||
        ended.batch != lane.in_flight->batch) {
      continue;
    }
    lane.unconfirmed =
        lane.unconfirmed || ended.outcome == AppendOutcome::kUnknown;
    if (!RecordSendOutcome(lane.latency, ended, time.now)) {
      continue;
    }
    lane.sent = false;
    lane.next_send = time.now + kWriteRetryDelay;
    // When the first send of an append is written late, the resend is rejected
    // with the next sequence number, so the append is written. For a claim the
    // same rejection may be due to another entry's claim.
    const bool is_claim = lane.lane == AppendLane::kHolder &&
                          lane.sequence == FirstSequence(world.self);
    const bool written =
        ended.outcome == AppendOutcome::kWritten ||
        (ended.outcome == AppendOutcome::kOutOfSequence && !is_claim &&
         ended.expected_sequence == lane.sequence + 1);
    if (written) {
      EndWritten(world, lane, ended, time);
    } else if (ended.outcome == AppendOutcome::kFenced ||
               ended.outcome == AppendOutcome::kOutOfSequence) {
      StopHolding(world, EnumName(ended.outcome), time.now);
    } else if (is_claim && ended.outcome == AppendOutcome::kRejected &&
               !lane.unconfirmed) {
      // The store may serve other entries better. A claim that it accepts from
      // this one later would end a holder that has recovered meanwhile. A claim
      // that may have been written is repeated instead: the other entries would
      // wait for its heartbeats.
      holding.failed_to_hold = time.now;
      StopHolding(world, "the store rejected the claim", time.now);
    } else {
      Log(LogLevel::kWarn, "append_not_confirmed",
          {{"lane", std::string(EnumName(ended.lane))},
           {"outcome", std::string(EnumName(ended.outcome))},
           {"batch", ended.batch},
           {"sent_bytes", ended.sent.value},
           {"took_ms", WholeMillis(time.now - ended.began)}});
    }
  }
}

void WriteHolderRecords(WorkflowWorld& world,
                        const WorkflowTime& time,
                        WorkflowOutbox& outbox) {
  Holding& holding = world.holding;
  if (holding.state == HoldingState::kFollowing) {
    return;
  }
  if (!holding.progress.in_flight && holding.state == HoldingState::kHolding) {
    WriteProgress(world, time);
  }
  if (!holding.journal.in_flight) {
    WriteJournal(world, time);
  }
  SendOrResend(holding.progress, world.store_answer, time.now, outbox);
  SendOrResend(holding.journal, world.store_answer, time.now, outbox);
}

TimePoint NextWriteDue(const WorkflowWorld& world) {
  const Holding& holding = world.holding;
  return holding.state == HoldingState::kFollowing
             ? kNever
             : std::min({NextSendDue(holding.journal, world.store_answer),
                         NextSendDue(holding.progress, world.store_answer),
                         NextProgressDue(world)});
}

}  // namespace chicorystep
