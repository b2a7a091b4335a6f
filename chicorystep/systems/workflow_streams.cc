#include "chicorystep/systems/workflow_streams.h"

#include <algorithm>
#include <array>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/task_worker_silence.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// How long the platform may hold a read. Longer saves calls; the age of the
// configuration grows with it, and has to stay well below the bound for keys.
constexpr Duration kConfigWait = milliseconds(1500);
constexpr Duration kHolderWait = milliseconds(1500);
// Entries that do not schedule read the journal this often: callers see an end
// half of it late on average, and each read is a priced call.
constexpr Duration kFollowerPeriod = milliseconds(250);
// The holder collects records for this long before it reads on.
constexpr Duration kHolderSpacing = milliseconds(15);
// The list of workers lags by a heartbeat, so reading it more often gains
// little.
constexpr Duration kWorkersPeriod = milliseconds(700);
constexpr Duration kFirstRetry = milliseconds(150);
constexpr Duration kLongestRetry = milliseconds(800);

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

void ApplyAccepted(WorkflowWorld& world, const AcceptedRecord& record) {
  if (world.workflows.find(record.id) != nullptr) {
    return;
  }
  world.workflows.insert(record.id, Workflow{.spec = record.spec,
                                             .terms = record.terms,
                                             .accepted = record.accepted});
  if (world.holding.state == HoldingState::kHolding) {
    world.scheduling.open.insert(record.id);
    world.scheduling.placement_due = true;
  }
}

void ApplyState(WorkflowWorld& world,
                const StateRecord& record,
                TimePoint now) {
  if (record.epoch == world.holding.epoch) {
    world.holding.heard = now;
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
  workflow->over_since = record.over_since;
}

// Takes over the progress that the predecessor has written.
void ApplyProgressLoad(WorkflowWorld& world, const StreamRead& read) {
  if (world.holding.load_began == kNever ||
      read.began < world.holding.load_began) {
    return;
  }
  for (Workflow& workflow : world.workflows.rows) {
    workflow.state = workflow.shown;
    workflow.runs.clear();
  }
  for (const auto& [offset, record] : read.journal) {
    const auto* progress = std::get_if<ProgressRecord>(&record);
    if (progress == nullptr) {
      continue;
    }
    Workflow* workflow = world.workflows.find(progress->id);
    if (workflow == nullptr || IsOver(workflow->shown)) {
      // The predecessor ended before it dropped this.
      world.holding.progress_left_over.push_back(progress->id);
      continue;
    }
    workflow->state = progress->state;
    workflow->over_since = progress->over_since;
    workflow->runs = progress->runs;
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
    holding.epoch = record.epoch;
    holding.holder = record.holder;
    holding.holder_incarnation = record.incarnation;
    holding.released = record.released;
    holding.heard = now;
  } else if (record.epoch == holding.epoch &&
             record.incarnation == holding.holder_incarnation) {
    holding.released = holding.released || record.released;
    holding.heard = now;
  }
}

void ScheduleNextRead(WorkflowWorld& world,
                      const StreamRead& read,
                      StreamPosition& position,
                      TimePoint now) {
  if (!read.ok) {
    ++position.failures;
    const Duration delay = std::min(
        kLongestRetry, kFirstRetry * (1 << std::min(position.failures, 4U)));
    position.next_read = now + delay;
    return;
  }
  position.failures = 0;
  if (!read.at_end) {
    position.next_read = now;
    return;
  }
  switch (read.stream) {
    case FollowedStream::kConfig:
      position.next_read = now + kHolderSpacing;
      break;
    case FollowedStream::kWorkers:
      position.next_read = std::max(now, read.began + kWorkersPeriod);
      break;
    case FollowedStream::kJournal:
      position.next_read = world.holding.state == HoldingState::kFollowing
                               ? std::max(now, read.began + kFollowerPeriod)
                               : now + kHolderSpacing;
      break;
    case FollowedStream::kProgress:
      position.next_read = now;
      break;
  }
}

// Whether this entry has to read the stream now.
bool IsWanted(const Holding& holding, FollowedStream stream) {
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

// A break between two successful reads longer than this restarts the watch on
// the holder, which may have been unable to write all the same.
constexpr Duration kLongestBreak = milliseconds(2600);

// A read that takes longer without waiting for a record is logged: some times
// the longest way to the store and back.
constexpr Duration kSlowRead = milliseconds(500);

// One line for a read that failed, took long or is the first to succeed again.
void LogRead(const StreamPosition& position,
             const StreamRead& read,
             TimePoint now) {
  const std::string stream(NameOf(read.stream));
  const std::int64_t took = WholeMillis(now - read.began);
  const std::int64_t from =
      position.next ? static_cast<std::int64_t>(position.next->value) : -1;
  if (!read.ok) {
    Log(LogLevel::kWarn,
        position.failures == 0 ? "stream_lost" : "stream_still_lost",
        {{"stream", stream},
         {"why", read.failure},
         {"from", from},
         {"received_bytes", read.received.value},
         {"took_ms", took}});
    return;
  }
  if (position.failures > 0) {
    Log(LogLevel::kInfo, "stream_regained",
        {{"stream", stream},
         {"failures", position.failures},
         {"lost_ms", WholeMillis(now - position.succeeded)}});
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

void NoteReachable(StreamPosition& position,
                   const StreamRead& read,
                   TimePoint now) {
  if (!read.ok) {
    position.reachable_since = kNever;
    return;
  }
  if (position.reachable_since == kNever ||
      now - position.succeeded > kLongestBreak) {
    position.reachable_since = now;
  }
  position.succeeded = now;
  if (!read.at_end) {
    return;
  }
  position.fresh = std::max(position.fresh, read.began);
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
    ApplyAccepted(world, *accepted);
  } else if (const auto* state = std::get_if<StateRecord>(&record)) {
    ApplyState(world, *state, time.now);
  } else if (const auto* holder = std::get_if<HolderRecord>(&record)) {
    ApplyHolder(world, *holder, time.now);
  } else if (const auto* silent = std::get_if<SilentWorkersRecord>(&record)) {
    ApplySilentWorkers(world.holding, *silent, time.now);
  } else if (const auto* cancel = std::get_if<CancelRecord>(&record)) {
    if (Workflow* workflow = world.workflows.find(cancel->id)) {
      workflow->cancel_requested = true;
    }
  } else if (const auto* forget = std::get_if<ForgetRecord>(&record)) {
    if (world.holding.state != HoldingState::kHolding) {
      world.workflows.erase(forget->id);
    }
  }
}

void ApplyStreamReads(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time) {
  for (const StreamRead& read : inbox.reads) {
    StreamPosition& position = world.streams[read.stream];
    position.read_under_way = false;
    if (std::exchange(position.discard_read, false)) {
      position.next_read = time.now;
      continue;
    }
    if (read.compacted) {
      Log(LogLevel::kWarn, "stream_compacted",
          {{"stream", std::string(NameOf(read.stream))}});
      position.next.reset();
      position.next_read = time.now;
      continue;
    }
    LogRead(position, read, time.now);
    NoteReachable(position, read, time.now);
    ScheduleNextRead(world, read, position, time.now);
    if (!read.ok) {
      continue;
    }
    position.next = read.next;
    if (read.config) {
      ApplyConfig(world, *read.config);
    }
    if (read.stream == FollowedStream::kProgress) {
      ApplyProgressLoad(world, read);
      continue;
    }
    for (const auto& [offset, record] : read.journal) {
      ApplyJournalRecord(world, record, time);
    }
  }
}

void LoadAnew(WorkflowWorld& world, FollowedStream stream, TimePoint now) {
  StreamPosition& position = world.streams[stream];
  position.next.reset();
  position.next_read = now;
  position.discard_read = position.read_under_way;
}

bool IsFresh(const WorkflowWorld& world,
             FollowedStream stream,
             Duration bound,
             TimePoint now) {
  const auto position = world.streams.find(stream);
  return position != world.streams.end() && position->second.next &&
         now - position->second.fresh <= bound;
}

void FollowStreams(WorkflowWorld& world,
                   TimePoint now,
                   WorkflowOutbox& outbox) {
  constexpr std::array kAll = {
      FollowedStream::kConfig, FollowedStream::kJournal,
      FollowedStream::kWorkers, FollowedStream::kProgress};
  for (const FollowedStream stream : kAll) {
    if (!IsWanted(world.holding, stream)) {
      continue;
    }
    StreamPosition& position = world.streams[stream];
    if (stream == FollowedStream::kJournal && !world.awaiting_read.empty() &&
        position.failures == 0) {
      position.next_read = now;
    }
    if (position.read_under_way || now < position.next_read) {
      continue;
    }
    ReadStream read{.stream = stream, .from = position.next};
    if (stream == FollowedStream::kConfig) {
      read.wait = kConfigWait;
    } else if (stream == FollowedStream::kJournal &&
               world.holding.state == HoldingState::kHolding) {
      read.wait = kHolderWait;
    }
    position.read_under_way = true;
    position.waited = read.wait != Duration::zero();
    outbox.reads.push_back(read);
  }
}

TimePoint NextReadDue(const WorkflowWorld& world) {
  TimePoint due = kNever;
  for (const auto& [stream, position] : world.streams) {
    if (!position.read_under_way && IsWanted(world.holding, stream)) {
      due = std::min(due, position.next_read);
    }
  }
  return due;
}

}  // namespace chicorystep
