#include "chicorystep/systems/workflow_holder.h"

#include <algorithm>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/task_worker_silence.h"
#include "chicorystep/systems/workflow_streams.h"
#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// The holder writes at least this often, so that the others notice its end.
constexpr Duration kHeartbeat = milliseconds(250);
// A holder that has not been read for this long counts as gone: two heartbeats
// and a follower's reading period.
constexpr Duration kHolderSilence = milliseconds(800);
// As a slow store delays the holder's writes, too, each read's time adds this
// many times itself.
constexpr int kReadTimesInSilence = 4;
// Entries near the store claim first: they write with the least delay.
constexpr int kRoundTripsBeforeClaim = 6;
constexpr Duration kLongestClaimDelay = milliseconds(700);
// Holding takes most of what the smallest instances have, so those with less
// than this part of a core leave it to others that claim in time.
constexpr double kAmpleShare = 0.25;
constexpr Duration kSmallShareDelay = milliseconds(400);
// Spreads claims of entries that are equally near.
constexpr std::uint64_t kClaimJitterMillis = 120;
// A claim that is not read back by then is given up.
constexpr Duration kClaimTimeout = milliseconds(4000);
constexpr Duration kWriteRetry = milliseconds(150);
// Records of one append; with 4 KB of payload each it stays below 2 MB.
constexpr std::size_t kMaxBatch = 300;

// A sequence number that no other claimer of the same epoch begins with.
std::uint64_t FirstSequence(const WorkflowSelf& self) {
  return 1 + (self.incarnation.value & 0xffffffffU);
}

bool IsVacant(const WorkflowWorld& world, TimePoint now) {
  const Holding& holding = world.holding;
  const auto journal = world.streams.find(FollowedStream::kJournal);
  if (journal == world.streams.end() || !journal->second.next ||
      journal->second.reachable_since == kNever) {
    return false;
  }
  if (holding.epoch.empty() || holding.released ||
      holding.holder_incarnation == world.self.incarnation) {
    return true;
  }
  const TimePoint since =
      std::max(holding.heard, journal->second.reachable_since);
  // Only a journal that has been read to its end shows a silence.
  const Duration silence =
      kHolderSilence + journal->second.read_time * kReadTimesInSilence;
  return journal->second.fresh - since > silence ||
         (holding.holder == world.self.id && now - since > kHeartbeat);
}

void BeginClaim(WorkflowWorld& world, const WorkflowTime& time) {
  Holding& holding = world.holding;
  holding.state = HoldingState::kClaiming;
  holding.own_epoch = Epoch(holding.epoch.value + 1);
  holding.sequence = FirstSequence(world.self);
  holding.claimed = time.now;
  holding.under_way = AppendJournal{
      .lane = AppendLane::kHolder,
      .batch = holding.sequence,
      .records = {HolderRecord{.epoch = holding.own_epoch,
                               .holder = world.self.id,
                               .incarnation = world.self.incarnation}},
      .epoch = holding.own_epoch,
      .sequence = holding.sequence};
  holding.append_sent = false;
  holding.next_try = time.now;
  world.streams[FollowedStream::kJournal].next_read = time.now;
  Log(LogLevel::kInfo, "claim_begins",
      {{"epoch", holding.own_epoch.value},
       {"previous", holding.holder.value},
       {"previous_silent_ms", WholeMillis(time.now - holding.heard)}});
}

// Takes up scheduling where the journal says that the last holder left it.
void TakeUp(WorkflowWorld& world, const WorkflowTime& time) {
  Holding& holding = world.holding;
  holding.state = HoldingState::kHolding;
  holding.last_written = time.now;
  world.scheduling = Scheduling{};
  world.scheduling.placement_due = true;
  LoadAnew(world, FollowedStream::kWorkers, time.now);
  std::size_t placed = 0;
  for (std::size_t i = 0; i < world.workflows.size(); ++i) {
    Workflow& workflow = world.workflows.rows[i];
    workflow.state = workflow.shown;
    workflow.dirty = false;
    if (IsOver(workflow.shown)) {
      continue;
    }
    world.scheduling.open.insert(world.workflows.keys[i]);
    for (StepRun& run : workflow.runs) {
      workflow.occurrences_begun =
          std::max(workflow.occurrences_begun, run.occurrence.value + 1);
      for (Task& task : run.tasks) {
        // A recorded placement may run until its worker says otherwise.
        if (HoldsRoom(task.state)) {
          task.state = TaskState::kRunning;
          task.since = time.now;
          task.ordered = false;
          ++placed;
        }
      }
    }
  }
  Log(LogLevel::kInfo, "holding_begins",
      {{"epoch", holding.own_epoch.value},
       {"open", world.scheduling.open.size()},
       {"placed", placed},
       {"claim_ms", WholeMillis(time.now - holding.claimed)}});
}

bool IsRelease(const AppendJournal& append) {
  return std::any_of(append.records.begin(), append.records.end(),
                     [](const JournalRecord& record) {
                       const auto* holder = std::get_if<HolderRecord>(&record);
                       return holder != nullptr && holder->released;
                     });
}

// Applies a batch that lasts now.
void ApplyWritten(WorkflowWorld& world, const WorkflowTime& time) {
  Scheduling& scheduling = world.scheduling;
  for (const JournalRecord& record : world.holding.under_way->records) {
    if (const auto* silent = std::get_if<SilentWorkersRecord>(&record)) {
      ApplySilenceWritten(world, *silent);
    }
    const auto* progress = std::get_if<ProgressRecord>(&record);
    if (progress == nullptr) {
      continue;
    }
    if (Workflow* workflow = world.workflows.find(progress->id)) {
      workflow->shown = progress->state;
      workflow->over_since = progress->over_since;
    }
  }
  for (const AwaitedStart& start : scheduling.recording) {
    const TaskPlace place = FindTask(world, start.task);
    if (!place || place.task->state != TaskState::kPlaced ||
        place.task->run != start.run) {
      continue;
    }
    place.task->state = TaskState::kStarting;
    place.task->since = time.now;
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
  scheduling.recording.clear();
  for (const AwaitedEnds& ends : scheduling.recording_ends) {
    if (TaskWorker* worker = scheduling.workers.find(ends.worker);
        worker != nullptr && worker->listing.life == ends.life) {
      worker->acknowledged = std::max(worker->acknowledged, ends.applied);
      worker->next_hold = std::min(worker->next_hold, time.now);
    }
  }
  scheduling.recording_ends.clear();
}

}  // namespace

void StopHolding(WorkflowWorld& world, std::string_view why, TimePoint now) {
  Holding& holding = world.holding;
  if (holding.state == HoldingState::kFollowing) {
    return;
  }
  Log(LogLevel::kWarn, "holding_ends",
      {{"epoch", holding.own_epoch.value},
       {"state", std::string(NameOf(holding.state))},
       {"why", why}});
  const bool held = holding.state == HoldingState::kHolding;
  holding.state = HoldingState::kFollowing;
  holding.under_way.reset();
  holding.append_sent = false;
  holding.may_order = false;
  holding.heard = now;
  if (held) {
    // What was decided but not written is void; the journal is read anew.
    world.scheduling = Scheduling{};
    world.workflows = {};
    LoadAnew(world, FollowedStream::kJournal, now);
  }
}

void EndHolderAppend(WorkflowWorld& world,
                     const WorkflowInbox& inbox,
                     const WorkflowTime& time) {
  Holding& holding = world.holding;
  for (const JournalAppended& ended : inbox.appended) {
    if (ended.lane != AppendLane::kHolder || !holding.under_way ||
        ended.batch != holding.under_way->batch) {
      continue;
    }
    holding.append_sent = false;
    holding.next_try = time.now + kWriteRetry;
    // A repeat whose first sending took effect late is told the next number.
    const bool written = ended.outcome == AppendOutcome::kWritten ||
                         (ended.outcome == AppendOutcome::kOutOfSequence &&
                          holding.state == HoldingState::kHolding &&
                          ended.expected_sequence == holding.sequence + 1);
    if (written) {
      const bool released = IsRelease(*holding.under_way);
      if (holding.state == HoldingState::kHolding) {
        ApplyWritten(world, time);
      }
      holding.under_way.reset();
      holding.last_written = time.now;
      holding.confirmed = std::max(holding.confirmed, ended.began);
      ++holding.sequence;
      if (released) {
        StopHolding(world, "released", time.now);
      }
    } else if (ended.outcome == AppendOutcome::kFenced ||
               ended.outcome == AppendOutcome::kOutOfSequence) {
      StopHolding(world, NameOf(ended.outcome), time.now);
    } else {
      Log(LogLevel::kWarn, "append_not_confirmed",
          {{"lane", "holder"},
           {"outcome", std::string(NameOf(ended.outcome))},
           {"batch", ended.batch},
           {"sent_bytes", ended.sent.value},
           {"took_ms", WholeMillis(time.now - ended.began)}});
    }
  }
}

void KeepHolding(WorkflowWorld& world, const WorkflowTime& time) {
  Holding& holding = world.holding;
  const bool own = holding.epoch == holding.own_epoch &&
                   holding.holder_incarnation == world.self.incarnation;
  if (holding.state != HoldingState::kFollowing) {
    if (holding.epoch > holding.own_epoch ||
        (holding.epoch == holding.own_epoch && !own)) {
      StopHolding(world, "another entry has claimed", time.now);
    } else if (holding.state == HoldingState::kClaiming && own &&
               !holding.under_way) {
      TakeUp(world, time);
    } else if (holding.state == HoldingState::kClaiming &&
               time.now - holding.claimed > kClaimTimeout) {
      StopHolding(world, "the claim was not confirmed", time.now);
    }
  }
  if (holding.state == HoldingState::kHolding && own) {
    holding.confirmed = std::max(holding.confirmed,
                                 world.streams[FollowedStream::kJournal].fresh);
  }
  holding.may_order = holding.state == HoldingState::kHolding &&
                      time.now - holding.confirmed <= kConfirmationBound;
  if (holding.state != HoldingState::kFollowing) {
    return;
  }
  if (!world.config || world.stopping || !IsVacant(world, time.now)) {
    holding.claim_due = kNever;
    return;
  }
  if (holding.claim_due == kNever || holding.claim_due == kLongAgo) {
    const Duration distance = std::min(
        kLongestClaimDelay, world.streams[FollowedStream::kJournal].round_trip *
                                kRoundTripsBeforeClaim);
    const Duration smallness = world.self.processor_share < kAmpleShare
                                   ? kSmallShareDelay
                                   : Duration();
    holding.claim_due =
        time.now + distance + smallness +
        milliseconds(world.self.incarnation.value % kClaimJitterMillis);
  }
  if (time.now >= holding.claim_due) {
    holding.claim_due = kNever;
    BeginClaim(world, time);
  }
}

void WriteHolderRecords(WorkflowWorld& world,
                        const WorkflowTime& time,
                        WorkflowOutbox& outbox) {
  Holding& holding = world.holding;
  Scheduling& scheduling = world.scheduling;
  if (holding.state == HoldingState::kFollowing) {
    return;
  }
  if (!holding.under_way && holding.state == HoldingState::kHolding) {
    const bool heartbeat_due = time.now - holding.last_written >= kHeartbeat;
    const bool release = world.stopping && holding.release_wanted;
    const bool silence = WantsSilenceNote(world, time.now);
    if (scheduling.dirty.empty() && !heartbeat_due && !release && !silence) {
      return;
    }
    AppendJournal append{.lane = AppendLane::kHolder,
                         .batch = holding.sequence,
                         .epoch = holding.own_epoch,
                         .sequence = holding.sequence};
    const std::size_t count = std::min(kMaxBatch, scheduling.dirty.size());
    for (std::size_t i = 0; i < count; ++i) {
      const WorkflowId& id = scheduling.dirty[i];
      Workflow* workflow = world.workflows.find(id);
      if (workflow == nullptr) {
        continue;
      }
      workflow->dirty = false;
      append.records.push_back(ProgressRecord{
          .id = id,
          .epoch = holding.own_epoch,
          .state = workflow->state,
          .over_since = IsOver(workflow->state) ? time.wall : UnixMillis{},
          .runs = workflow->runs});
    }
    scheduling.dirty.erase(
        scheduling.dirty.begin(),
        scheduling.dirty.begin() + static_cast<std::ptrdiff_t>(count));
    for (const WorkflowId& id : std::exchange(scheduling.to_forget, {})) {
      append.records.push_back(ForgetRecord{.id = id});
    }
    if (silence) {
      append.records.push_back(NoteSilence(world, time.now));
    }
    if (append.records.empty() || release) {
      append.records.push_back(
          HolderRecord{.epoch = holding.own_epoch,
                       .holder = world.self.id,
                       .incarnation = world.self.incarnation,
                       .released = release});
    }
    if (scheduling.dirty.empty()) {
      scheduling.recording = std::exchange(scheduling.to_record, {});
      for (std::size_t i = 0; i < scheduling.workers.size(); ++i) {
        const TaskWorker& worker = scheduling.workers.rows[i];
        if (worker.applied > worker.acknowledged) {
          scheduling.recording_ends.push_back(
              AwaitedEnds{.worker = worker.listing.id,
                          .life = worker.listing.life,
                          .applied = worker.applied});
        }
      }
    }
    holding.under_way = std::move(append);
    holding.append_sent = false;
    holding.next_try = time.now;
  }
  if (holding.under_way && !holding.append_sent &&
      time.now >= holding.next_try) {
    holding.append_sent = true;
    outbox.appends.push_back(*holding.under_way);
  }
}

TimePoint NextHolderDue(const WorkflowWorld& world) {
  const Holding& holding = world.holding;
  if (holding.state == HoldingState::kFollowing) {
    return holding.claim_due == kLongAgo ? kNever : holding.claim_due;
  }
  if (holding.under_way) {
    return holding.append_sent ? kNever : holding.next_try;
  }
  return holding.last_written + kHeartbeat;
}

}  // namespace chicorystep
