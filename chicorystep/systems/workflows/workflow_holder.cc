#include "chicorystep/systems/workflows/workflow_holder.h"

#include <algorithm>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/workflow_previous_holders.h"
#include "chicorystep/systems/workflows/workflow_streams.h"
#include "chicorystep/systems/workflows/workflow_tables.h"
#include "chicorystep/systems/workflows/workflow_writes.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// The holder counts as failed when no record of it has been read for this long:
// two heartbeats and a follower's read period.
constexpr Duration kHolderTimeout = milliseconds(800);
// A slow store also delays the holder's writes, so the time-out grows by this
// multiple of the average read time.
constexpr int kReadTimesInTimeout = 4;
// The claim is delayed by this many round trips to the store, so that entries
// near the store, which write with the least delay, claim first.
constexpr int kRoundTripsBeforeClaim = 6;
constexpr Duration kMaxClaimDelay = milliseconds(700);
// The holder role takes most of the processor time of the smallest instances.
// Entries with less than this part of a core therefore delay their claim, to
// let larger ones claim first.
constexpr double kMinProcessorShare = 0.25;
constexpr Duration kSmallShareClaimDelay = milliseconds(400);
// An entry that lost the role, or could not complete a claim, less than this
// long ago lets others claim first: it is probably too slow, or the store turns
// it away.
constexpr Duration kFailureMemory = std::chrono::seconds(10);
constexpr Duration kFailureClaimDelay = milliseconds(600);
// Spreads the claims of entries that are equally near to the store.
constexpr std::uint64_t kClaimJitterMillis = 120;
// A claim that is not read back within this time is abandoned.
constexpr Duration kClaimTimeout = milliseconds(4000);
// A claim is also abandoned when the previous holder's progress is not loaded
// within this time, which allows for 2 MB over a connection between regions.
constexpr Duration kLoadTimeout = milliseconds(5000);

bool IsHolderRoleVacant(const WorkflowWorld& world, TimePoint now) {
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
      std::max(holding.last_seen, journal->second.reachable_since);
  // Only a read up to the end of the journal proves that the holder wrote
  // nothing. A holder that was an earlier incarnation of this entry counts as
  // failed after one heartbeat.
  const Duration timeout =
      kHolderTimeout + journal->second.read_time * kReadTimesInTimeout;
  return journal->second.fresh_as_of - since > timeout ||
         (holding.holder == world.self.id && now - since > kHeartbeat);
}

void BeginClaim(WorkflowWorld& world, const WorkflowTime& time) {
  Holding& holding = world.holding;
  holding.state = HoldingState::kClaiming;
  holding.own_epoch = Epoch(holding.epoch.value + 1);
  holding.claimed = time.now;
  holding.journal.sequence = FirstSequence(world.self);
  BeginAppend(holding, holding.journal,
              {HolderRecord{.epoch = holding.own_epoch,
                            .holder = world.self.id,
                            .incarnation = world.self.incarnation,
                            .address = world.self.address,
                            .previous = {.id = holding.holder,
                                         .address = holding.holder_address}}},
              time.now);
  world.streams[FollowedStream::kJournal].next_read = time.now;
  Log(LogLevel::kInfo, "claim_begins",
      {{"epoch", holding.own_epoch.value},
       {"previous", holding.holder.value},
       {"previous_silent_ms", WholeMillis(time.now - holding.last_seen)}});
}

// Resumes scheduling from the recorded state of the previous holder.
void BecomeHolder(WorkflowWorld& world, const WorkflowTime& time) {
  Holding& holding = world.holding;
  holding.state = HoldingState::kHolding;
  world.scheduling = Scheduling{};
  world.scheduling.placement_due = true;
  world.scheduling.progress_to_remove =
      std::exchange(holding.progress_left_over, {});
  ReloadStream(world, FollowedStream::kWorkers, time.now);
  std::size_t placed = 0;
  for (std::size_t i = 0; i < world.workflows.size(); ++i) {
    Workflow& workflow = world.workflows.rows[i];
    workflow.dirty = false;
    workflow.advance_queued = false;
    workflow.announced = workflow.state;
    if (workflow.state != workflow.shown) {
      // The previous holder wrote this progress but not the state record that
      // shows it to callers.
      world.scheduling.to_announce.push_back(
          StateRecord{.id = world.workflows.keys[i],
                      .epoch = holding.own_epoch,
                      .state = workflow.state,
                      .ended_at = workflow.ended_at});
    }
    if (IsTerminal(workflow.state)) {
      continue;
    }
    world.scheduling.open.insert(world.workflows.keys[i]);
    QueueAdvance(world, world.workflows.keys[i], workflow);
    for (StepRun& run : workflow.runs) {
      workflow.occurrences_begun =
          std::max(workflow.occurrences_begun, run.occurrence.value + 1);
      for (Task& task : run.tasks) {
        // A task with a recorded placement may run until its worker reports
        // otherwise.
        if (HoldsCapacity(task.state)) {
          task.state = TaskState::kRunning;
          task.since = time.now;
          task.order_pending = false;
          task.start_unconfirmed = true;
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

// Loads the previous holder's progress once that holder is fenced, then takes
// over. Abandons the claim when either step times out.
void AdvanceClaim(WorkflowWorld& world,
                  bool is_own_claim,
                  const WorkflowTime& time) {
  Holding& holding = world.holding;
  if (holding.progress_loaded) {
    BecomeHolder(world, time);
  } else if (holding.load_began != kNever) {
    if (time.now - holding.load_began > kLoadTimeout) {
      holding.failed_to_hold = time.now;
      StopHolding(world,
                  "loading the progress of the previous holder timed out",
                  time.now);
    }
  } else if (is_own_claim && holding.progress_fenced) {
    holding.load_began = time.now;
    ReloadStream(world, FollowedStream::kProgress, time.now);
  } else if (time.now - holding.claimed > kClaimTimeout) {
    holding.failed_to_hold = time.now;
    StopHolding(world, "the claim was not confirmed in time", time.now);
  }
}

}  // namespace

void StopHolding(WorkflowWorld& world, std::string_view why, TimePoint now) {
  Holding& holding = world.holding;
  if (holding.state == HoldingState::kFollowing) {
    return;
  }
  Log(LogLevel::kWarn, "holding_ends",
      {{"epoch", holding.own_epoch.value},
       {"state", std::string(EnumName(holding.state))},
       {"why", why}});
  const bool held = holding.state == HoldingState::kHolding;
  holding.state = HoldingState::kFollowing;
  if (held) {
    holding.failed_to_hold = now;
  }
  for (HolderLane* lane : {&holding.journal, &holding.progress}) {
    lane->in_flight.reset();
    lane->sent = false;
  }
  holding.progress_fenced = false;
  holding.load_began = kNever;
  holding.progress_loaded = false;
  holding.progress_left_over.clear();
  holding.may_order = false;
  holding.last_seen = now;
  const bool claim_read =
      holding.epoch > holding.own_epoch ||
      (holding.epoch == holding.own_epoch &&
       holding.holder_incarnation == world.self.incarnation);
  if (held || claim_read) {
    // The next holder counts this process among its predecessors.
    QueueOrdersEnded(world);
  }
  if (held) {
    // Decisions that were not written are void, so the state is reloaded from
    // the journal.
    world.scheduling = Scheduling{};
    world.workflows = {};
    world.early_cancels.clear();
    ReloadStream(world, FollowedStream::kJournal, now);
    // Until then no workflow is known to be absent.
    world.streams[FollowedStream::kJournal].fresh_as_of = kDistantPast;
  }
}

void UpdateHolding(WorkflowWorld& world, const WorkflowTime& time) {
  Holding& holding = world.holding;
  const bool is_own_claim =
      holding.epoch == holding.own_epoch &&
      holding.holder_incarnation == world.self.incarnation;
  if (holding.state != HoldingState::kFollowing) {
    if (holding.epoch > holding.own_epoch ||
        (holding.epoch == holding.own_epoch && !is_own_claim)) {
      StopHolding(world, "another entry has claimed the holder role", time.now);
    } else if (holding.state == HoldingState::kClaiming) {
      AdvanceClaim(world, is_own_claim, time);
    }
  }
  if (holding.state == HoldingState::kHolding && is_own_claim) {
    holding.confirmed = std::max(
        holding.confirmed, world.streams[FollowedStream::kJournal].fresh_as_of);
  }
  holding.may_order = holding.state == HoldingState::kHolding &&
                      time.now - holding.confirmed <= kConfirmationBound;
  if (holding.state != HoldingState::kFollowing) {
    return;
  }
  if (!world.config || world.stopping || !IsHolderRoleVacant(world, time.now)) {
    holding.claim_due = kNever;
    return;
  }
  if (holding.claim_due == kNever || holding.claim_due == kDistantPast) {
    const Duration distance_delay = std::min(
        kMaxClaimDelay, world.streams[FollowedStream::kJournal].round_trip *
                            kRoundTripsBeforeClaim);
    const Duration small_share_delay =
        world.self.processor_share < kMinProcessorShare ? kSmallShareClaimDelay
                                                        : Duration();
    const Duration failure_delay =
        time.now - holding.failed_to_hold < kFailureMemory ? kFailureClaimDelay
                                                           : Duration();
    holding.claim_due =
        time.now + distance_delay + small_share_delay + failure_delay +
        milliseconds(world.self.incarnation.value % kClaimJitterMillis);
  }
  if (time.now >= holding.claim_due) {
    holding.claim_due = kNever;
    BeginClaim(world, time);
  }
}

TimePoint NextHolderDue(const WorkflowWorld& world) {
  const Holding& holding = world.holding;
  if (holding.state == HoldingState::kFollowing) {
    return holding.claim_due == kDistantPast ? kNever : holding.claim_due;
  }
  return kNever;
}

}  // namespace chicorystep
