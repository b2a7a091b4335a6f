#include "chicorystep/systems/workflow_writes.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <variant>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/task_worker_silence.h"
#include "chicorystep/systems/workflow_append_pace.h"
#include "chicorystep/systems/workflow_holder.h"
#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

constexpr Duration kWriteRetry = milliseconds(150);
// Records and tasks of one append. At some 70 bytes a task that is up to 140
// KB, which a connection between regions carries in 0.3 s.
constexpr std::size_t kMaxRecords = 300;
constexpr std::size_t kMaxTasks = 2000;

bool IsRelease(const AppendJournal& append) {
  return std::any_of(append.records.begin(), append.records.end(),
                     [](const JournalRecord& record) {
                       const auto* holder = std::get_if<HolderRecord>(&record);
                       return holder != nullptr && holder->released;
                     });
}

// Hands the state of written progress to the journal, if it is a new one.
void Announce(WorkflowWorld& world, const ProgressRecord& progress) {
  Workflow* workflow = world.workflows.find(progress.id);
  if (workflow == nullptr || workflow->announced == progress.state) {
    return;
  }
  workflow->announced = progress.state;
  world.scheduling.to_announce.push_back(
      StateRecord{.id = progress.id,
                  .epoch = progress.epoch,
                  .state = progress.state,
                  .over_since = progress.over_since});
}

// Orders the starts whose placement lasts now.
void StartRecorded(WorkflowWorld& world, TimePoint now) {
  Scheduling& scheduling = world.scheduling;
  for (const AwaitedStart& start : std::exchange(scheduling.recording, {})) {
    const TaskPlace place = FindTask(world, start.task);
    if (!place || place.task->state != TaskState::kPlaced ||
        place.task->run != start.run) {
      continue;
    }
    place.task->state = TaskState::kStarting;
    place.task->since = now;
    place.task->ordered = true;
    if (TaskWorker* worker = scheduling.workers.find(place.task->worker)) {
      worker->orders.push_back(
          WorkerOrder{.kind = OrderKind::kStart,
                      .worker = place.task->worker,
                      .task = start.task,
                      .run = start.run,
                      .payload = place.workflow->spec.payload,
                      .checkpoint = place.task->checkpoint});
    }
  }
}

// Lets workers forget the ends that last now.
void AcknowledgeRecorded(Scheduling& scheduling, TimePoint now) {
  for (const AwaitedEnds& ends : std::exchange(scheduling.recording_ends, {})) {
    if (TaskWorker* worker = scheduling.workers.find(ends.worker);
        worker != nullptr && worker->listing.life == ends.life) {
      worker->acknowledged = std::max(worker->acknowledged, ends.applied);
      worker->next_hold = std::min(worker->next_hold, now);
    }
  }
}

// Applies a batch of progress that lasts now.
void ApplyProgressWritten(WorkflowWorld& world,
                          const AppendJournal& written,
                          TimePoint now) {
  for (const JournalRecord& record : written.records) {
    if (const auto* progress = std::get_if<ProgressRecord>(&record)) {
      Announce(world, *progress);
    }
  }
  StartRecorded(world, now);
  AcknowledgeRecorded(world.scheduling, now);
}

// Applies a batch of the journal that lasts now.
void ApplyJournalWritten(WorkflowWorld& world, const AppendJournal& written) {
  for (const JournalRecord& record : written.records) {
    if (const auto* silent = std::get_if<SilentWorkersRecord>(&record)) {
      ApplySilenceWritten(world, *silent);
    }
    const auto* state = std::get_if<StateRecord>(&record);
    if (state == nullptr) {
      continue;
    }
    if (Workflow* workflow = world.workflows.find(state->id)) {
      workflow->shown = state->state;
      workflow->over_since = state->over_since;
    }
    if (IsOver(state->state)) {
      world.scheduling.to_drop.push_back(state->id);
    }
  }
}

HolderLane& LaneOf(Holding& holding, AppendLane lane) {
  return lane == AppendLane::kProgress ? holding.progress : holding.journal;
}

HolderRecord OwnClaim(const WorkflowWorld& world, bool released) {
  return HolderRecord{.epoch = world.holding.own_epoch,
                      .holder = world.self.id,
                      .incarnation = world.self.incarnation,
                      .released = released};
}

void EndWritten(WorkflowWorld& world,
                HolderLane& lane,
                const JournalAppended& ended,
                const WorkflowTime& time) {
  Holding& holding = world.holding;
  const AppendJournal written = std::move(*lane.under_way);
  lane.under_way.reset();
  lane.last_written = time.now;
  ++lane.sequence;
  if (lane.lane == AppendLane::kProgress) {
    holding.progress_fenced = true;
    if (holding.state == HoldingState::kHolding) {
      ApplyProgressWritten(world, written, time.now);
    }
    return;
  }
  // A successor counts this process's right to order from its own claim, which
  // fences the journal first. So only the journal confirms it.
  holding.confirmed = std::max(holding.confirmed, ended.began);
  if (holding.state == HoldingState::kHolding) {
    ApplyJournalWritten(world, written);
  } else if (written.sequence == FirstSequence(world.self)) {
    // The claim is this process's: no other may write progress from here on.
    holding.progress.sequence = FirstSequence(world.self);
    BeginAppend(holding, holding.progress, {OwnClaim(world, false)}, time.now);
  }
  if (IsRelease(written)) {
    StopHolding(world, "released", time.now);
  }
}

// Puts progress that has changed under way.
void WriteProgress(WorkflowWorld& world, const WorkflowTime& time) {
  Scheduling& scheduling = world.scheduling;
  if (scheduling.dirty.empty() && scheduling.to_drop.empty()) {
    return;
  }
  std::vector<JournalRecord> records;
  std::size_t taken = 0;
  std::size_t tasks = 0;
  while (taken < scheduling.dirty.size() && taken < kMaxRecords &&
         tasks < kMaxTasks) {
    const WorkflowId& id = scheduling.dirty[taken++];
    Workflow* workflow = world.workflows.find(id);
    if (workflow == nullptr) {
      continue;
    }
    workflow->dirty = false;
    for (const StepRun& run : workflow->runs) {
      tasks += run.tasks.size();
    }
    records.push_back(ProgressRecord{
        .id = id,
        .epoch = world.holding.own_epoch,
        .state = workflow->state,
        .over_since = IsOver(workflow->state) ? time.wall : UnixMillis{},
        .runs = workflow->runs});
  }
  scheduling.dirty.erase(
      scheduling.dirty.begin(),
      scheduling.dirty.begin() + static_cast<std::ptrdiff_t>(taken));
  for (const WorkflowId& id : std::exchange(scheduling.to_drop, {})) {
    records.push_back(ProgressDroppedRecord{.id = id});
  }
  if (scheduling.dirty.empty()) {
    scheduling.recording = std::exchange(scheduling.to_record, {});
    for (const TaskWorker& worker : scheduling.workers.rows) {
      if (worker.applied > worker.acknowledged) {
        scheduling.recording_ends.push_back(
            AwaitedEnds{.worker = worker.listing.id,
                        .life = worker.listing.life,
                        .applied = worker.applied});
      }
    }
  }
  BeginAppend(world.holding, world.holding.progress, std::move(records),
              time.now);
}

// Puts what callers and other entries have to know under way.
void WriteJournal(WorkflowWorld& world, const WorkflowTime& time) {
  Holding& holding = world.holding;
  Scheduling& scheduling = world.scheduling;
  const bool holds = holding.state == HoldingState::kHolding;
  const bool heartbeat_due =
      time.now - holding.journal.last_written >= kHeartbeat;
  const bool release = world.stopping && holding.release_wanted;
  const bool silence = holds && WantsSilenceNote(world, time.now);
  if (scheduling.to_announce.empty() && !heartbeat_due && !release &&
      !silence) {
    return;
  }
  std::vector<JournalRecord> records;
  for (StateRecord& state : std::exchange(scheduling.to_announce, {})) {
    records.push_back(std::move(state));
  }
  for (const WorkflowId& id : std::exchange(scheduling.to_forget, {})) {
    records.push_back(ForgetRecord{.id = id});
  }
  if (silence) {
    records.push_back(NoteSilence(world, time.now));
  }
  if (records.empty() || release) {
    records.push_back(OwnClaim(world, release));
  }
  BeginAppend(holding, holding.journal, std::move(records), time.now);
}

// Sends what is under way, again when its answer seems lost: the store knows
// repeats by their sequence number.
void Send(HolderLane& lane,
          const StoreAnswer& newest,
          TimePoint now,
          WorkflowOutbox& outbox) {
  if (!lane.under_way || (lane.sent ? !IsProbablyLost(lane.pace, newest, now)
                                    : now < lane.next_try)) {
    return;
  }
  lane.sent = true;
  NoteSent(lane.pace, now);
  outbox.appends.push_back(*lane.under_way);
}

TimePoint NextDue(const HolderLane& lane, const StoreAnswer& newest) {
  if (!lane.under_way) {
    return lane.lane == AppendLane::kHolder ? lane.last_written + kHeartbeat
                                            : kNever;
  }
  return lane.sent ? DoubtDue(lane.pace, newest) : lane.next_try;
}

}  // namespace

std::uint64_t FirstSequence(const WorkflowSelf& self) {
  return 1 + (self.incarnation.value & 0xffffffffU);
}

void BeginAppend(const Holding& holding,
                 HolderLane& lane,
                 std::vector<JournalRecord> records,
                 TimePoint now) {
  lane.under_way = AppendJournal{.lane = lane.lane,
                                 .batch = lane.sequence,
                                 .records = std::move(records),
                                 .epoch = holding.own_epoch,
                                 .sequence = lane.sequence};
  lane.sent = false;
  lane.pace.sendings = 0;
  lane.next_try = now;
}

void EndHolderAppends(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time) {
  Holding& holding = world.holding;
  for (const JournalAppended& ended : inbox.appended) {
    HolderLane& lane = LaneOf(holding, ended.lane);
    if (ended.lane != lane.lane || !lane.under_way ||
        ended.epoch != lane.under_way->epoch ||
        ended.batch != lane.under_way->batch) {
      continue;
    }
    if (!NoteSendingEnded(lane.pace, ended, time.now)) {
      continue;
    }
    lane.sent = false;
    lane.next_try = time.now + kWriteRetry;
    // A repeat whose first sending took effect late is told the next number.
    // That of a claim may be told so because of another claimer's.
    const bool claims = lane.lane == AppendLane::kHolder &&
                        lane.sequence == FirstSequence(world.self);
    const bool written =
        ended.outcome == AppendOutcome::kWritten ||
        (ended.outcome == AppendOutcome::kOutOfSequence && !claims &&
         ended.expected_sequence == lane.sequence + 1);
    if (written) {
      EndWritten(world, lane, ended, time);
    } else if (ended.outcome == AppendOutcome::kFenced ||
               ended.outcome == AppendOutcome::kOutOfSequence) {
      StopHolding(world, NameOf(ended.outcome), time.now);
    } else {
      Log(LogLevel::kWarn, "append_not_confirmed",
          {{"lane", std::string(NameOf(ended.lane))},
           {"outcome", std::string(NameOf(ended.outcome))},
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
  if (!holding.progress.under_way && holding.state == HoldingState::kHolding) {
    WriteProgress(world, time);
  }
  if (!holding.journal.under_way) {
    WriteJournal(world, time);
  }
  Send(holding.progress, world.store_answer, time.now, outbox);
  Send(holding.journal, world.store_answer, time.now, outbox);
}

TimePoint NextWriteDue(const WorkflowWorld& world) {
  const Holding& holding = world.holding;
  return holding.state == HoldingState::kFollowing
             ? kNever
             : std::min(NextDue(holding.journal, world.store_answer),
                        NextDue(holding.progress, world.store_answer));
}

}  // namespace chicorystep
