#include "chicorystep/systems/workflows/task_workers.h"

#include <algorithm>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/task_unresponsive_workers.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/workflow_holder.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

Rack GetRack(const WorkerListing& listing) {
  // The platform lists the worker's kind as the first label and its rack as the
  // second.
  return listing.labels.size() < 2 ? Rack() : Rack(listing.labels[1]);
}

// The tasks that the recorded progress places on workers that are not in the
// table yet.
using PlacedTasks = std::unordered_map<WorkerId, std::vector<TaskKey>>;

PlacedTasks CollectTasksOfNewWorkers(const WorkflowWorld& world) {
  PlacedTasks placed;
  for (const WorkflowId& id : world.scheduling.open) {
    const Workflow* workflow = world.workflows.find(id);
    for (const StepRun& run : workflow->runs) {
      for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
        const Task& task = run.tasks[i];
        if (HoldsCapacity(task.state) &&
            world.scheduling.workers.find(task.worker) == nullptr) {
          placed[task.worker].push_back(
              TaskKey{id, run.occurrence, run.step, TaskIndex(i)});
        }
      }
    }
  }
  return placed;
}

// Adds a worker and the tasks that the recorded progress places on it.
void AddWorker(WorkflowWorld& world,
               const WorkerListing& listing,
               const PlacedTasks& placed,
               TimePoint now) {
  TaskWorker worker{.listing = listing,
                    .rack = GetRack(listing),
                    .free = listing.capacity,
                    .incarnation_since = now,
                    .listed_incarnation = listing.incarnation,
                    .fence_raises = world.scheduling.fence_raises,
                    .next_hold = now};
  worker.inherited_lease_expiry = InheritedLeaseExpiry(world, listing.id);
  if (const auto own = placed.find(listing.id); own != placed.end()) {
    for (const TaskKey& key : own->second) {
      const TaskRef ref = FindTask(world, key);
      if (!ref || !HoldsCapacity(ref.task->state) ||
          ref.task->worker != listing.id) {
        continue;
      }
      worker.tasks[key] = ref.task->run;
      worker.free = worker.free - ref.spec->need;
      if (ref.task->state == TaskState::kStopping) {
        // The task was being stopped before the worker was added.
        worker.orders.push_back(WorkerOrder{.kind = OrderKind::kStop,
                                            .worker = listing.id,
                                            .task = key,
                                            .run = ref.task->run});
      }
    }
  }
  world.scheduling.workers.insert(listing.id, std::move(worker));
}

// Adds workers that the recorded progress places tasks on but the platform no
// longer lists: these tasks may run until their leases expire.
void AddUnlistedWorkers(WorkflowWorld& world,
                        const PlacedTasks& placed,
                        TimePoint now) {
  std::set<WorkerId> unknown;
  for (const auto& [id, tasks] : placed) {
    if (world.scheduling.workers.find(id) == nullptr) {
      unknown.insert(id);
    }
  }
  for (const WorkerId& id : unknown) {
    AddWorker(world, WorkerListing{.id = id}, placed, now);
    world.scheduling.workers.find(id)->listed = false;
    Log(LogLevel::kWarn, "worker_not_listed", {{"worker", id.value}});
  }
}

// The present incarnation of the worker may have carried out the start of the
// task's run, or may still do so until it has accepted this holder's fence. Its
// first report after that shows whether the run is there.
void AwaitReportOfRun(WorkflowWorld& world,
                      const TaskKey& key,
                      const TaskRef& ref,
                      TimePoint now) {
  const bool stopping = ref.task->state == TaskState::kStopping;
  ref.task->state = TaskState::kRunning;
  ref.task->since = now;
  ref.task->order_pending = false;
  if (stopping) {
    // The stop order may have gone to the earlier incarnation.
    StopRun(world, key, ref, now);
  }
}

// Whether the run is certain to have ended with `incarnation` of its worker: it
// was seen there and no start of it may still be carried out, or its start has
// never been sent.
bool EndedWithIncarnation(const Task& task,
                          WorkerIncarnation incarnation,
                          bool start_in_flight) {
  if (start_in_flight || task.start_unconfirmed) {
    return false;
  }
  return task.state == TaskState::kPlaced ||
         task.state == TaskState::kStarting || task.reported_by == incarnation;
}

// Runs that were placed on another incarnation of the worker may have ended
// with it, or have been started on this one.
void AwaitReportsOfOtherIncarnations(WorkflowWorld& world,
                                     const WorkerListing& listing,
                                     TimePoint now) {
  const auto tasks = world.scheduling.workers.find(listing.id)->tasks;
  for (const auto& [key, run] : tasks) {
    const TaskRef ref = FindTask(world, key);
    if (ref && !ref.task->incarnation.empty() && !listing.incarnation.empty() &&
        ref.task->incarnation != listing.incarnation) {
      AwaitReportOfRun(world, key, ref, now);
      // A start to the earlier incarnation carries a lease expiry on its clock,
      // and may still be carried out by the present one.
      TaskWorker* worker = world.scheduling.workers.find(listing.id);
      worker->restarted = true;
      worker->before_restart = ref.task->incarnation;
      worker->inherited_lease_expiry =
          world.holding.claimed + kConfirmationBound +
          ScaleForSlowClocks(world.self.longest_lease);
    }
  }
}

void ApplyListing(WorkflowWorld& world,
                  const WorkerListing& listing,
                  const PlacedTasks& placed,
                  TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(listing.id);
  if (worker == nullptr) {
    AddWorker(world, listing, placed, now);
    world.scheduling.placement_due = true;
    AwaitReportsOfOtherIncarnations(world, listing, now);
    return;
  }
  const bool listed_before =
      std::exchange(worker->listed_incarnation, listing.incarnation) ==
      listing.incarnation;
  if (worker->listing.incarnation.empty()) {
    // The worker was added because the recorded progress places tasks on it,
    // and is listed only now.
    AwaitReportsOfOtherIncarnations(world, listing, now);
    worker->next_hold = now;
  } else if (!listing.incarnation.empty() &&
             worker->listing.incarnation != listing.incarnation) {
    // The list lags behind the answers that named the present incarnation.
    if (listed_before || listing.incarnation < worker->listing.incarnation) {
      return;
    }
    ApplyWorkerRestart(world, listing.id, listing.incarnation, "list", now);
    worker = world.scheduling.workers.find(listing.id);
  }
  if (listing.draining && !worker->listing.draining) {
    Log(LogLevel::kInfo, "worker_draining", {{"worker", listing.id.value}});
  }
  worker->free = worker->free + listing.capacity - worker->listing.capacity;
  worker->listing = listing;
  if (std::exchange(worker->listing_outdated, false)) {
    world.scheduling.placement_due = true;
  }
  worker->rack = GetRack(listing);
  if (!worker->listed) {
    worker->listed = true;
    world.scheduling.placement_due = true;
  }
}

// Whether a start is in flight, for which a later incarnation of the worker may
// grant its longest lease. Its result shows whether it may have arrived.
bool HasStartInFlight(const TaskWorker& worker) {
  return std::any_of(
      worker.orders_in_flight.begin(), worker.orders_in_flight.end(),
      [](const auto& row) { return row.second == OrderKind::kStart; });
}

void ApplyUnlisted(WorkflowWorld& world, const WorkerId& id) {
  if (TaskWorker* worker = world.scheduling.workers.find(id);
      worker != nullptr && worker->listed) {
    worker->listed = false;
    Log(LogLevel::kInfo, "worker_unlisted",
        {{"worker", id.value}, {"tasks", worker->tasks.size()}});
  }
}

}  // namespace

void LogRunGivenUp(const TaskWorker& worker,
                   const TaskKey& key,
                   const Task& task,
                   std::string_view why,
                   TimePoint now) {
  Log(LogLevel::kWarn, "run_given_up",
      {{"workflow", key.workflow.value},
       {"step", key.step.value},
       {"task", key.task.value},
       {"run", task.run.value},
       {"worker", worker.listing.id.value},
       {"incarnation", worker.listing.incarnation.value},
       {"reported_by", task.reported_by.value},
       {"start_unconfirmed", task.start_unconfirmed},
       {"state", EnumName(task.state)},
       {"state_ms", WholeMillis(now - task.since)},
       {"why", why}});
}

void ReleaseLostTasks(WorkflowWorld& world,
                      const WorkerId& id,
                      std::string_view why,
                      TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(id);
  if (worker->tasks.empty()) {
    return;
  }
  Log(LogLevel::kWarn, "worker_tasks_lost",
      {{"worker", id.value},
       {"worker_zone", worker->listing.zone.value},
       {"tasks", worker->tasks.size()},
       {"why", why}});
  const auto tasks = worker->tasks;
  for (const auto& [key, run] : tasks) {
    const TaskRef ref = FindTask(world, key);
    if (ref && ref.task->run == run && HoldsCapacity(ref.task->state)) {
      LogRunGivenUp(*world.scheduling.workers.find(id), key, *ref.task, why,
                    now);
      HandleUnreportedEnd(world, key, ref, now);
    }
  }
  worker->tasks.clear();
  worker->free = worker->listing.capacity;
  worker->orders.clear();
}

void ApplyWorkerRestart(WorkflowWorld& world,
                        const WorkerId& id,
                        WorkerIncarnation incarnation,
                        std::string_view shown_by,
                        TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(id);
  const WorkerIncarnation before = worker->listing.incarnation;
  worker->listing.incarnation = incarnation;
  worker->incarnation_since = now;
  worker->listing_outdated = true;
  worker->restarted = true;
  worker->before_restart = before;
  worker->fence_raises = ++world.scheduling.fence_raises;
  worker->fenced = false;
  worker->orders.clear();
  std::size_t lost = 0;
  const auto tasks = worker->tasks;
  for (const auto& [key, run] : tasks) {
    const TaskRef ref = FindTask(world, key);
    if (!ref || ref.task->run != run || !HoldsCapacity(ref.task->state)) {
      continue;
    }
    const auto& in_flight = world.scheduling.workers.find(id)->orders_in_flight;
    const auto order = in_flight.find(key);
    const bool start_in_flight =
        order != in_flight.end() && order->second == OrderKind::kStart;
    const bool ended = EndedWithIncarnation(*ref.task, before, start_in_flight);
    Log(LogLevel::kWarn, "run_at_restart",
        {{"workflow", key.workflow.value},
         {"step", key.step.value},
         {"task", key.task.value},
         {"run", run.value},
         {"worker", id.value},
         {"state", EnumName(ref.task->state)},
         {"state_ms", WholeMillis(now - ref.task->since)},
         {"start_in_flight", start_in_flight},
         {"start_unconfirmed", ref.task->start_unconfirmed},
         {"reported_by", ref.task->reported_by.value},
         {"taken_for", ended ? "lost" : "unknown"}});
    if (ended) {
      HandleUnreportedEnd(world, key, ref, now);
      ++lost;
    } else {
      AwaitReportOfRun(world, key, ref, now);
    }
  }
  worker = world.scheduling.workers.find(id);
  Log(LogLevel::kWarn, "worker_restarted",
      {{"worker", id.value},
       {"worker_zone", worker->listing.zone.value},
       {"before", before.value},
       {"incarnation", incarnation.value},
       {"shown_by", shown_by},
       {"tasks_lost", lost},
       {"tasks_unconfirmed", tasks.size() - lost}});
  worker->recorded_ends = worker->applied_ends = worker->acknowledged_ends =
      worker->unplaced_end = EndNumber();
  worker->leased_until = WorkerClock();
  worker->clock_read = kDistantPast;
  worker->inherited_lease_expiry =
      worker->tasks.empty() ? kDistantPast : RestartedLeaseExpiry(world, now);
  // A hold that is still in flight was sent to the earlier incarnation.
  worker->hold_in_flight = false;
  worker->answer_deadline = kNever;
  worker->next_hold = now;
  worker->unanswered_holds = 0;
  worker->orphaned_runs = 0;
}

void AskForIncarnation(WorkflowWorld& world,
                       TaskWorker& worker,
                       TimePoint now) {
  Log(LogLevel::kInfo, "worker_clock_went_back",
      {{"worker", worker.listing.id.value},
       {"worker_zone", worker.listing.zone.value},
       {"incarnation", worker.listing.incarnation.value}});
  worker.restarted = true;
  worker.fenced = false;
  worker.clock_read = kDistantPast;
  worker.inherited_lease_expiry = RestartedLeaseExpiry(world, now);
  worker.hold_in_flight = false;
  worker.answer_deadline = kNever;
  worker.next_hold = now;
}

void ApplyWorkerListings(WorkflowWorld& world,
                         const WorkflowInbox& inbox,
                         const WorkflowTime& time) {
  if (world.holding.state != HoldingState::kHolding) {
    return;
  }
  for (const StreamRead& read : inbox.reads) {
    if (read.stream != FollowedStream::kWorkers || !read.ok) {
      continue;
    }
    // Changes requested before this process became holder may be out of date.
    if (!read.workers_complete && !world.scheduling.workers_loaded) {
      continue;
    }
    world.scheduling.workers_loaded = true;
    // Only a complete list can name workers with tasks that are not in the
    // table: the first one adds every worker that has tasks.
    const PlacedTasks placed =
        read.workers_complete ? CollectTasksOfNewWorkers(world) : PlacedTasks();
    std::unordered_set<WorkerId> seen;
    for (const auto& [id, listing] : read.workers) {
      if (listing) {
        seen.insert(id);
        ApplyListing(world, *listing, placed, time.now);
      } else {
        ApplyUnlisted(world, id);
      }
    }
    if (read.workers_complete) {
      const auto known = world.scheduling.workers.keys;
      for (const WorkerId& id : known) {
        if (!seen.contains(id)) {
          ApplyUnlisted(world, id);
        }
      }
      AddUnlistedWorkers(world, placed, time.now);
    }
  }
}

void ExpireWorkers(WorkflowWorld& world, const WorkflowTime& time) {
  if (world.holding.state != HoldingState::kHolding) {
    return;
  }
  Table<WorkerId, TaskWorker>& workers = world.scheduling.workers;
  // Erasing moves the last row into the gap, so going backwards visits each row
  // once.
  for (std::size_t i = workers.size(); i-- > 0;) {
    const TaskWorker& worker = workers.rows[i];
    if ((worker.unanswered_holds > 0 || !worker.listed) &&
        !worker.tasks.empty() && HaveLeasesExpired(worker, time.now) &&
        !HasStartInFlight(worker)) {
      ReleaseLostTasks(world, WorkerId(workers.keys[i]),
                       "all its leases have expired", time.now);
    }
    if (!worker.listed && worker.tasks.empty() && !worker.hold_in_flight &&
        worker.orders_in_flight.empty() && !worker.recorded_unresponsive &&
        (worker.unanswered_holds > 0 ||
         worker.recorded_ends == worker.acknowledged_ends)) {
      workers.erase(WorkerId(workers.keys[i]));
    }
  }
}

}  // namespace chicorystep
