#include "chicorystep/systems/workflows/evacuation/task_evacuation.h"

#include <map>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

void BeginEvacuation(WorkflowWorld& world, const Zone& zone, TimePoint now) {
  if (world.evacuations.zones.try_emplace(zone, now).second) {
    Log(LogLevel::kInfo, "zone_evacuated", {{"zone", zone.value}});
  }
}

void EndEvacuation(WorkflowWorld& world, const Zone& zone, TimePoint now) {
  const auto evacuated = world.evacuations.zones.find(zone);
  if (evacuated == world.evacuations.zones.end()) {
    return;
  }
  Log(LogLevel::kInfo, "zone_taken_back",
      {{"zone", zone.value},
       {"evacuated_ms", WholeMillis(now - evacuated->second)}});
  world.evacuations.zones.erase(evacuated);
  world.scheduling.placement_due = true;
}

// Whether the task's start may not have been carried out and no answer to it is
// awaited.
bool IsWithdrawable(const TaskWorker& worker,
                    const TaskKey& key,
                    const Task& task) {
  if (task.state == TaskState::kPlaced) {
    return true;
  }
  const auto order = worker.orders_in_flight.find(key);
  return task.state == TaskState::kStarting &&
         (order == worker.orders_in_flight.end() ||
          order->second != OrderKind::kStart);
}

}  // namespace

void ApplyEvacuations(WorkflowWorld& world,
                      const StreamRead& read,
                      TimePoint now) {
  if (read.stream != FollowedStream::kConfig) {
    return;
  }
  if (read.evacuations_complete) {
    Evacuations newest;
    for (const EvacuationChange& change : read.evacuations) {
      newest.zones[change.zone] = now;
    }
    const auto before = world.evacuations.zones;
    for (const auto& [zone, since] : before) {
      if (!IsEvacuated(newest, zone)) {
        EndEvacuation(world, zone, now);
      }
    }
  }
  for (const EvacuationChange& change : read.evacuations) {
    if (change.evacuated) {
      BeginEvacuation(world, change.zone, now);
    } else {
      EndEvacuation(world, change.zone, now);
    }
  }
}

void WithdrawEvacuatedStarts(WorkflowWorld& world, TimePoint now) {
  if (world.holding.state != HoldingState::kHolding ||
      world.evacuations.zones.empty()) {
    return;
  }
  std::vector<std::pair<WorkerId, TaskKey>> withdrawn;
  for (const TaskWorker& worker : world.scheduling.workers.rows) {
    if (!IsEvacuated(world.evacuations, worker.listing.zone)) {
      continue;
    }
    for (const auto& [key, run] : worker.tasks) {
      if (const TaskRef ref = FindTask(world, key);
          ref && ref.task->run == run &&
          IsWithdrawable(worker, key, *ref.task)) {
        withdrawn.emplace_back(worker.listing.id, key);
      }
    }
  }
  for (const auto& [worker, key] : withdrawn) {
    const TaskRef ref = FindTask(world, key);
    if (ref.task->state != TaskState::kPlaced &&
        ref.task->state != TaskState::kStarting) {
      // Withdrawn with another member of its gang.
      continue;
    }
    Log(LogLevel::kInfo, "start_withdrawn",
        {{"workflow", key.workflow.value},
         {"step", key.step.value},
         {"task", key.task.value},
         {"run", ref.task->run.value},
         {"worker", worker.value},
         {"state", EnumName(ref.task->state)},
         {"start_unconfirmed", ref.task->start_unconfirmed}});
    StopRun(world, key, ref, now);
  }
}

}  // namespace chicorystep
