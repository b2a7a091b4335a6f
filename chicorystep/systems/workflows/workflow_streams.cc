#include "chicorystep/systems/workflows/workflow_streams.h"

#include <algorithm>
#include <array>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/evacuation/task_evacuation.h"
#include "chicorystep/systems/workflows/task_unresponsive_workers.h"
#include "chicorystep/systems/workflows/workflow_previous_holders.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// How long the platform may hold a read until a record is written. A longer
// wait saves calls, but the age of the configuration grows with it and must
// stay well below `revoke_bound`.
constexpr Duration kConfigWait = kLongestReadWait;
constexpr Duration kHolderWait = kLongestReadWait;
// How often entries other than the holder read the journal. On average callers
// see the end of a workflow half of this period late; the platform charges for
// each read.
constexpr Duration kFollowerPeriod = milliseconds(250);
// Records accumulate for this long between two reads of the configuration, and
// of the journal by an entry that holds or claims the holder role.
constexpr Duration kReadSpacing = milliseconds(15);
// The list of workers lags by a heartbeat, so more frequent reads gain little.
constexpr Duration kWorkersPeriod = milliseconds(700);
constexpr Duration kRetryDelayUnit = milliseconds(150);
constexpr Duration kMaxRetryDelay = milliseconds(800);
// The longest time-out until the answer to a read begins.
constexpr Duration kMaxReadTimeout = 4 * kReadTimeout;

void ApplyConfig(WorkflowWorld& world, const WorkflowConfig& config) {
  if (world.config && world.config->version >= config.version) {
    return;
  }
  Log(LogLevel::kInfo, "config_in_force",
      {{"version", config.version.value},
       {"routes", config.routes.size()},
       {"workspaces", config.workspaces.size()},
       {"keys", config.keys.size()}});
  world.config = config;
  world.scheduling.placement_due = true;
}

// Whether the workflow was cancelled before its acceptance was written. The
// cancel is no longer needed apart from the workflow then.
bool TakeEarlyCancel(WorkflowWorld& world, const AcceptedRecord& record) {
  const auto cancel = world.early_cancels.find(record.id);
  if (cancel == world.early_cancels.end() ||
      !MayCancel(cancel->second.workspace, record.terms.workspace)) {
    return false;
  }
  world.early_cancels.erase(cancel);
  return true;
}

void ApplyAccepted(WorkflowWorld& world,
                   const AcceptedRecord& record,
                   UnixMillis wall) {
  const bool holds = world.holding.state == HoldingState::kHolding;
  // A claiming entry is likely to place the workflow.
  const bool logs = world.holding.state != HoldingState::kFollowing;
  if (const Workflow* known = world.workflows.find(record.id)) {
    if (logs && known->accepted_by != record.entry) {
      Log(LogLevel::kInfo, "acceptance_repeated",
          {{"workflow", record.id.value},
           {"accepted_by", known->accepted_by.value},
           {"repeated_by", record.entry.value}});
    }
    return;
  }
  Workflow& workflow = world.workflows.insert(
      record.id, Workflow{.spec = record.spec,
                          .terms = record.terms,
                          .accepted = record.accepted,
                          .accepted_by = record.entry,
                          .cancel_requested = TakeEarlyCancel(world, record)});
  if (logs) {
    Log(LogLevel::kInfo, "workflow_accepted",
        {{"workflow", record.id.value},
         {"accepted_by", record.entry.value},
         {"cancelled", workflow.cancel_requested},
         {"age_ms", wall.value - record.accepted.value}});
  }
  if (holds) {
    world.scheduling.open.insert(record.id);
    world.scheduling.placement_due = true;
    QueueAdvance(world, record.id, workflow);
  }
}

void ApplyCancel(WorkflowWorld& world,
                 const CancelRecord& record,
                 TimePoint now) {
  Workflow* workflow = world.workflows.find(record.id);
  if (workflow == nullptr) {
    world.early_cancels.try_emplace(
        record.id, EarlyCancel{.workspace = record.workspace, .read = now});
  } else if (MayCancel(record.workspace, workflow->terms.workspace)) {
    workflow->cancel_requested = true;
    if (world.holding.state == HoldingState::kHolding) {
      QueueAdvance(world, record.id, *workflow);
    }
  }
}

void ApplyState(WorkflowWorld& world,
                const StateRecord& record,
                TimePoint now) {
  if (record.epoch == world.holding.epoch) {
    world.holding.last_seen = now;
  }
  Workflow* workflow = world.workflows.find(record.id);
  if (workflow == nullptr) {
    Log(LogLevel::kWarn, "state_of_unknown_workflow",
        {{"workflow", record.id.value}});
    return;
  }
  const bool own = world.holding.state == HoldingState::kHolding &&
                   record.epoch == world.holding.own_epoch;
  if (own) {
    return;
  }
  workflow->shown = record.state;
  workflow->ended_at = record.ended_at;
}

// Whether the record's step runs belong to the workflow's steps.
bool MatchesSpec(const ProgressRecord& record, const WorkflowSpec& spec) {
  return std::all_of(
      record.runs.begin(), record.runs.end(), [&](const StepRun& run) {
        return run.step.value < spec.steps.size() &&
               CountTasks(run) == spec.steps[run.step.value].count;
      });
}

// Adds the tasks of a part of the progress to those of the parts before it.
void AddProgressPart(std::vector<StepRun>& runs,
                     const std::vector<StepRun>& part) {
  if (runs.empty()) {
    runs = part;
    return;
  }
  for (const StepRun& added : part) {
    const auto run =
        std::find_if(runs.begin(), runs.end(), [&](const StepRun& known) {
          return known.occurrence == added.occurrence &&
                 known.step == added.step;
        });
    if (run == runs.end()) {
      runs.push_back(added);
      continue;
    }
    for (std::uint32_t i = 0; i < added.tasks.size(); ++i) {
      if (added.tasks[i].state != TaskState::kWaiting ||
          !added.tasks[i].run.empty()) {
        AddTaskRow(*run, TaskIndex(i)) = added.tasks[i];
      }
    }
    run->done += added.done;
  }
}

// Replaces the tasks' state with the progress that the previous holder has
// written.
void ApplyProgressLoad(WorkflowWorld& world, const StreamRead& read) {
  if (world.holding.load_began == kNever ||
      read.began < world.holding.load_began) {
    return;
  }
  for (Workflow& workflow : world.workflows.rows) {
    workflow.state = workflow.shown;
    workflow.runs.clear();
    workflow.progress_parts = 0;
  }
  for (const auto& [offset, record] : read.journal) {
    const auto* progress = std::get_if<ProgressRecord>(&record);
    if (progress == nullptr) {
      continue;
    }
    Workflow* workflow = world.workflows.find(progress->id);
    if (workflow == nullptr || IsTerminal(workflow->shown)) {
      // The previous holder stopped before it removed this progress.
      world.holding.progress_left_over.push_back(
          ProgressRemovalRecord{.id = progress->id, .part = progress->part});
      continue;
    }
    if (!MatchesSpec(*progress, workflow->spec)) {
      Log(LogLevel::kWarn, "progress_of_other_steps",
          {{"workflow", progress->id.value}, {"offset", offset.value}});
      continue;
    }
    // The state that callers see may be newer than the progress.
    workflow->state = std::max(progress->state, workflow->state);
    workflow->ended_at = std::max(workflow->ended_at, progress->ended_at);
    AddProgressPart(workflow->runs, progress->runs);
    workflow->progress_parts =
        std::max(workflow->progress_parts, progress->part + 1);
  }
  // Pages of the stream have the order of keys, not that of parts.
  for (Workflow& workflow : world.workflows.rows) {
    std::sort(workflow.runs.begin(), workflow.runs.end(),
              [](const StepRun& a, const StepRun& b) {
                return std::pair(a.occurrence, a.step) <
                       std::pair(b.occurrence, b.step);
              });
  }
  world.holding.progress_loaded = true;
}

void ApplyHolder(WorkflowWorld& world,
                 const HolderRecord& record,
                 TimePoint now) {
  Holding& holding = world.holding;
  if (record.epoch > holding.epoch) {
    Log(LogLevel::kInfo, "holder_seen",
        {{"epoch", record.epoch.value}, {"holder", record.holder.value}});
    RecordSupersededHolder(holding, record, now);
    holding.epoch = record.epoch;
    holding.holder = record.holder;
    holding.holder_incarnation = record.incarnation;
    holding.released = record.released;
    holding.holder_address = record.address;
    holding.holder_before = record.previous;
    holding.last_seen = now;
  } else if (record.epoch == holding.epoch &&
             record.incarnation == holding.holder_incarnation) {
    holding.released = holding.released || record.released;
    holding.last_seen = now;
    ShortenUnknownOrders(holding, record, now);
  }
}

// Whether a read of any stream has succeeded since `began`.
bool HasStoreAnsweredSince(const WorkflowWorld& world, TimePoint began) {
  return std::any_of(
      world.streams.begin(), world.streams.end(),
      [&](const auto& row) { return row.second.last_success > began; });
}

// Retries the reads that have failed, since the store answers again.
void RetryFailedReads(WorkflowWorld& world, TimePoint now) {
  for (auto& [stream, position] : world.streams) {
    if (position.failures > 0) {
      position.next_read = std::min(position.next_read, now);
    }
  }
}

void ScheduleNextRead(WorkflowWorld& world,
                      const StreamRead& read,
                      StreamPosition& position,
                      TimePoint now) {
  if (!read.ok) {
    ++position.failures;
    const Duration delay =
        HasStoreAnsweredSince(world, read.began)
            ? kRetryDelayUnit
            : std::min(
                  kMaxRetryDelay,
                  kRetryDelayUnit * (1 << std::min(position.failures, 4U)));
    position.next_read = now + delay;
    return;
  }
  if (std::exchange(position.failures, 0) > 0) {
    RetryFailedReads(world, now);
  }
  if (!read.at_end) {
    position.next_read = now;
    return;
  }
  switch (read.stream) {
    case FollowedStream::kConfig:
      position.next_read = now + kReadSpacing;
      break;
    case FollowedStream::kWorkers:
      position.next_read = std::max(now, read.began + kWorkersPeriod);
      break;
    case FollowedStream::kJournal:
      position.next_read = world.holding.state == HoldingState::kFollowing
                               ? std::max(now, read.began + kFollowerPeriod)
                               : now + kReadSpacing;
      break;
    case FollowedStream::kProgress:
      position.next_read = now;
      break;
  }
}

// Whether this entry follows the stream in its present role.
bool IsReadNeeded(const Holding& holding, FollowedStream stream) {
  switch (stream) {
    case FollowedStream::kConfig:
    case FollowedStream::kJournal:
      return true;
    case FollowedStream::kWorkers:
      return holding.state == HoldingState::kHolding;
    case FollowedStream::kProgress:
      return holding.load_began != kNever && !holding.progress_loaded;
  }
  return false;
}

// How long to wait for the answer to the next read of the stream. Long answers
// to many entries at once, after a restart or an outage, may fill the link
// between two regions for several time-outs. Reads that gave up and began again
// would then keep it full for good, so each waits longer than the one before.
// The configuration is short and shows early that the store answers again.
Duration AnswerTimeout(FollowedStream stream, const StreamPosition& position) {
  return stream == FollowedStream::kConfig
             ? kReadTimeout
             : std::min(kMaxReadTimeout,
                        kReadTimeout * (1 << std::min(position.failures, 4U)));
}

// After a longer gap between two successful reads, the holder's time-out
// restarts, because the holder may have been unable to write in the same
// period.
constexpr Duration kMaxReadGap = milliseconds(2600);

// A read that does not wait for a record is logged when it takes at least this
// long, several times the longest round trip to the store.
constexpr Duration kSlowRead = milliseconds(500);

// Logs a read that failed, was slow or is the first to succeed after failures.
void LogRead(const StreamPosition& position,
             const StreamRead& read,
             TimePoint now) {
  const std::string stream(EnumName(read.stream));
  const std::int64_t took = WholeMillis(now - read.began);
  const std::int64_t from =
      position.next ? static_cast<std::int64_t>(position.next->value) : -1;
  if (!read.ok) {
    Log(LogLevel::kWarn,
        position.failures == 0 ? "stream_read_failed" : "stream_read_failing",
        {{"stream", stream},
         {"why", read.failure},
         {"from", from},
         {"received_bytes", read.received.value},
         {"took_ms", took}});
    return;
  }
  if (position.failures > 0) {
    Log(LogLevel::kInfo, "stream_read_recovered",
        {{"stream", stream},
         {"failures", position.failures},
         {"lost_ms", WholeMillis(now - position.last_success)}});
  }
  if (now - read.began >= kSlowRead && !position.waited) {
    Log(LogLevel::kInfo, "read_slow",
        {{"stream", stream},
         {"from", from},
         {"records", read.journal.size() + read.workers.size()},
         {"received_bytes", read.received.value},
         {"at_end", read.at_end},
         {"took_ms", took}});
  }
}

void UpdateReachability(StreamPosition& position,
                        const StreamRead& read,
                        TimePoint now) {
  if (!read.ok) {
    position.reachable_since = kNever;
    return;
  }
  if (position.reachable_since == kNever ||
      now - position.last_success > kMaxReadGap) {
    position.reachable_since = now;
  }
  position.last_success = now;
  if (!read.at_end) {
    return;
  }
  position.fresh_as_of = std::max(position.fresh_as_of, read.began);
  if (!position.waited) {
    position.round_trip = std::min(position.round_trip, now - read.began);
    position.read_time = (position.read_time + (now - read.began)) / 2;
  }
}

}  // namespace

void ApplyJournalRecord(WorkflowWorld& world,
                        const JournalRecord& record,
                        const WorkflowTime& time) {
  if (const auto* accepted = std::get_if<AcceptedRecord>(&record)) {
    ApplyAccepted(world, *accepted, time.wall);
  } else if (const auto* state = std::get_if<StateRecord>(&record)) {
    ApplyState(world, *state, time.now);
  } else if (const auto* holder = std::get_if<HolderRecord>(&record)) {
    ApplyHolder(world, *holder, time.now);
  } else if (const auto* ended = std::get_if<OrdersEndedRecord>(&record)) {
    ApplyOrdersEnded(world, *ended, time.now);
  } else if (const auto* unresponsive =
                 std::get_if<UnresponsiveWorkersRecord>(&record)) {
    ApplyUnresponsiveRecord(world.holding, *unresponsive, time.now);
  } else if (const auto* cancel = std::get_if<CancelRecord>(&record)) {
    ApplyCancel(world, *cancel, time.now);
  } else if (const auto* removal = std::get_if<CancelRemovalRecord>(&record)) {
    world.early_cancels.erase(removal->id);
  } else if (const auto* eviction = std::get_if<EvictionRecord>(&record)) {
    if (world.holding.state != HoldingState::kHolding) {
      world.workflows.erase(eviction->id);
    }
  }
}

void ApplyStreamReads(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time) {
  for (const StreamRead& read : inbox.reads) {
    StreamPosition& position = world.streams[read.stream];
    position.read_in_flight = false;
    if (std::exchange(position.discard_read, false)) {
      position.next_read = time.now;
      continue;
    }
    if (read.compacted) {
      Log(LogLevel::kWarn, "stream_compacted",
          {{"stream", std::string(EnumName(read.stream))}});
      position.next.reset();
      position.next_read = time.now;
      continue;
    }
    LogRead(position, read, time.now);
    UpdateReachability(position, read, time.now);
    ScheduleNextRead(world, read, position, time.now);
    if (!read.ok) {
      continue;
    }
    const bool loaded = !position.next;
    position.next = read.next;
    if (read.config) {
      ApplyConfig(world, *read.config);
    }
    ApplyEvacuations(world, read, time.now);
    if (read.stream == FollowedStream::kProgress) {
      ApplyProgressLoad(world, read);
      continue;
    }
    for (const auto& [offset, record] : read.journal) {
      ApplyJournalRecord(world, record, time);
    }
    if (loaded && read.stream == FollowedStream::kJournal) {
      QueueOrdersEndedOfEarlierProcess(world);
    }
  }
}

void ReloadStream(WorkflowWorld& world, FollowedStream stream, TimePoint now) {
  StreamPosition& position = world.streams[stream];
  position.next.reset();
  position.next_read = now;
  position.discard_read = position.read_in_flight;
}

bool IsFresh(const WorkflowWorld& world,
             FollowedStream stream,
             Duration bound,
             TimePoint now) {
  const auto position = world.streams.find(stream);
  return position != world.streams.end() && position->second.next &&
         now - position->second.fresh_as_of <= bound;
}

void FollowStreams(WorkflowWorld& world,
                   TimePoint now,
                   WorkflowOutbox& outbox) {
  constexpr std::array kAll = {
      FollowedStream::kConfig, FollowedStream::kJournal,
      FollowedStream::kWorkers, FollowedStream::kProgress};
  for (const FollowedStream stream : kAll) {
    if (!IsReadNeeded(world.holding, stream)) {
      continue;
    }
    StreamPosition& position = world.streams[stream];
    if (stream == FollowedStream::kJournal && !world.awaiting_read.empty() &&
        position.failures == 0) {
      position.next_read = now;
    }
    if (position.read_in_flight || now < position.next_read) {
      continue;
    }
    ReadStream read{.stream = stream,
                    .from = position.next,
                    .answer_timeout = AnswerTimeout(stream, position)};
    if (position.failures > 0) {
      // A read that waits for a record would confirm late that the store
      // answers again.
      read.wait = Duration::zero();
    } else if (stream == FollowedStream::kConfig) {
      read.wait = kConfigWait;
    } else if (stream == FollowedStream::kJournal &&
               world.holding.state == HoldingState::kHolding) {
      read.wait = kHolderWait;
    }
    position.read_in_flight = true;
    position.waited = read.wait != Duration::zero();
    outbox.reads.push_back(read);
  }
}

TimePoint NextReadDue(const WorkflowWorld& world) {
  TimePoint due = kNever;
  for (const auto& [stream, position] : world.streams) {
    if (!position.read_in_flight && IsReadNeeded(world.holding, stream)) {
      due = std::min(due, position.next_read);
    }
  }
  return due;
}

}  // namespace chicorystep
