#include "chicorystep/control/workflow_tick.h"

#include <algorithm>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/evacuation/task_evacuation.h"
#include "chicorystep/systems/workflows/task_orders.h"
#include "chicorystep/systems/workflows/task_placement.h"
#include "chicorystep/systems/workflows/task_reports.h"
#include "chicorystep/systems/workflows/task_status.h"
#include "chicorystep/systems/workflows/task_workers.h"
#include "chicorystep/systems/workflows/workflow_append_latency.h"
#include "chicorystep/systems/workflows/workflow_calls.h"
#include "chicorystep/systems/workflows/workflow_holder.h"
#include "chicorystep/systems/workflows/workflow_progress.h"
#include "chicorystep/systems/workflows/workflow_streams.h"
#include "chicorystep/systems/workflows/workflow_writes.h"

namespace chicorystep {
namespace {

// How often conditions that only the passing of time changes, such as lease
// expiry, are checked. The holder checks well within the second in which work
// should restart elsewhere, a follower once per heartbeat of the holder.
constexpr Duration kHolderPeriod = std::chrono::milliseconds(100);
constexpr Duration kFollowerPeriod = std::chrono::milliseconds(250);

void BeginStop(WorkflowWorld& world,
               const WorkflowInbox& inbox,
               const WorkflowTime& time) {
  if (inbox.self) {
    world.self = *inbox.self;
  }
  if (inbox.stop && !world.stopping) {
    world.stopping = true;
    world.stop_deadline = time.now + world.self.stop_timeout;
    world.holding.release_wanted = true;
    Log(LogLevel::kInfo, "stopping", {});
  }
}

}  // namespace

WorkflowOutbox WorkflowTick(WorkflowWorld& world,
                            const WorkflowInbox& inbox,
                            const WorkflowTime& time) {
  WorkflowOutbox outbox;
  BeginStop(world, inbox, time);
  RecordStoreAnswers(world, inbox, time.now);
  ApplyStreamReads(world, inbox, time);
  EndHolderAppends(world, inbox, time);
  UpdateHolding(world, time);
  ApplyWorkerListings(world, inbox, time);
  ApplyOrderResults(world, inbox, time);
  ExpireWorkers(world, time);
  WithdrawEvacuatedStarts(world, time.now);

  HandleCalls(world, inbox, time, outbox);
  EndCalls(world, inbox, time, outbox);

  AdvanceWorkflows(world, time);
  EvictEndedWorkflows(world, time);
  PlaceTasks(world, time);
  WriteHolderRecords(world, time, outbox);
  AppendCalls(world, time.now, outbox);
  SendOrders(world, time.now, outbox);
  ObserveWaits(world, time);
  FollowStreams(world, time.now, outbox);
  return outbox;
}

void RecoverFromFailedTick(WorkflowWorld& world,
                           const WorkflowInbox& inbox,
                           TimePoint now) {
  StopHolding(world, "a tick failed", now);
  world.scheduling = Scheduling{};
  world.workflows = {};
  for (const StreamRead& read : inbox.reads) {
    world.streams[read.stream].read_in_flight = false;
  }
  for (auto& [stream, position] : world.streams) {
    // Drops the result of a read that is still in flight.
    ReloadStream(world, stream, now);
  }
}

TimePoint NextWorkflowDue(const WorkflowWorld& world,
                          const WorkflowTime& time) {
  const bool holds = world.holding.state != HoldingState::kFollowing;
  const TimePoint period = time.now + (holds ? kHolderPeriod : kFollowerPeriod);
  const TimePoint due = std::min(
      {period, NextReadDue(world), NextHolderDue(world), NextWriteDue(world),
       NextCallAppendDue(world), NextOrderDue(world, time.now),
       NextPlacementDue(world), NextOccurrenceDue(world, time)});
  // Work that is overdue runs in the next tick, but two ticks never have the
  // same time.
  return std::max(due, time.now + std::chrono::milliseconds(1));
}

}  // namespace chicorystep
