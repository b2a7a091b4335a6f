#include "chicorystep/systems/workflow_holder.h"

#include <algorithm>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflow_streams.h"
#include "chicorystep/systems/workflow_writes.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

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
// So is one whose predecessor's progress is not loaded by then: 2 MB over a
// connection between regions.
constexpr Duration kLoadTimeout = milliseconds(5000);

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
  holding.claimed = time.now;
  holding.journal.sequence = FirstSequence(world.self);
  BeginAppend(holding, holding.journal,
              {HolderRecord{.epoch = holding.own_epoch,
                            .holder = world.self.id,
                            .incarnation = world.self.incarnation}},
              time.now);
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
  world.scheduling = Scheduling{};
  world.scheduling.placement_due = true;
  world.scheduling.to_drop = std::exchange(holding.progress_left_over, {});
  LoadAnew(world, FollowedStream::kWorkers, time.now);
  std::size_t placed = 0;
  for (std::size_t i = 0; i < world.workflows.size(); ++i) {
    Workflow& workflow = world.workflows.rows[i];
    workflow.dirty = false;
    workflow.announced = workflow.state;
    if (workflow.state != workflow.shown) {
      // The predecessor wrote this progress but did not tell of it.
      world.scheduling.to_announce.push_back(
          StateRecord{.id = world.workflows.keys[i],
                      .epoch = holding.own_epoch,
                      .state = workflow.state,
                      .over_since = workflow.over_since});
    }
    if (IsOver(workflow.state)) {
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

// Loads what the predecessor wrote once it can write no more, and takes the
// place up then.
void GoOnClaiming(WorkflowWorld& world, bool own, const WorkflowTime& time) {
  Holding& holding = world.holding;
  if (holding.progress_loaded) {
    TakeUp(world, time);
  } else if (holding.load_began != kNever) {
    if (time.now - holding.load_began > kLoadTimeout) {
      StopHolding(world, "the progress could not be loaded", time.now);
    }
  } else if (own && holding.progress_fenced) {
    holding.load_began = time.now;
    LoadAnew(world, FollowedStream::kProgress, time.now);
  } else if (time.now - holding.claimed > kClaimTimeout) {
    StopHolding(world, "the claim was not confirmed", time.now);
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
       {"state", std::string(NameOf(holding.state))},
       {"why", why}});
  const bool held = holding.state == HoldingState::kHolding;
  holding.state = HoldingState::kFollowing;
  for (HolderLane* lane : {&holding.journal, &holding.progress}) {
    lane->under_way.reset();
    lane->sent = false;
  }
  holding.progress_fenced = false;
  holding.load_began = kNever;
  holding.progress_loaded = false;
  holding.progress_left_over.clear();
  holding.may_order = false;
  holding.heard = now;
  if (held) {
    // What was decided but not written is void; the journal is read anew.
    world.scheduling = Scheduling{};
    world.workflows = {};
    LoadAnew(world, FollowedStream::kJournal, now);
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
    } else if (holding.state == HoldingState::kClaiming) {
      GoOnClaiming(world, own, time);
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

TimePoint NextHolderDue(const WorkflowWorld& world) {
  const Holding& holding = world.holding;
  if (holding.state == HoldingState::kFollowing) {
    return holding.claim_due == kLongAgo ? kNever : holding.claim_due;
  }
  return kNever;
}

}  // namespace chicorystep
