#include "chicorystep/systems/task_workers.h"

#include <algorithm>
#include <set>
#include <string>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/task_worker_clock.h"
#include "chicorystep/systems/task_worker_silence.h"
#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

Rack RackOf(const WorkerListing& listing) {
  // The platform lists a worker's kind first and its rack second.
  return listing.labels.size() < 2 ? Rack() : Rack(listing.labels[1]);
}

// Adds a worker and the tasks that the journal places on it.
void AddWorker(WorkflowWorld& world,
               const WorkerListing& listing,
               TimePoint now) {
  TaskWorker worker{.listing = listing,
                    .rack = RackOf(listing),
                    .free = listing.capacity,
                    .next_hold = now};
  InheritLapse(world, worker);
  for (const WorkflowId& id : world.scheduling.open) {
    Workflow* workflow = world.workflows.find(id);
    if (workflow == nullptr) {
      continue;
    }
    for (const StepRun& run : workflow->runs) {
      const Capacity& need = workflow->spec.steps[run.step.value].need;
      for (std::uint32_t i = 0; i < run.tasks.size(); ++i) {
        const Task& task = run.tasks[i];
        if (!HoldsRoom(task.state) || task.worker != listing.id) {
          continue;
        }
        worker.tasks[TaskKey{id, run.occurrence, run.step, TaskIndex(i)}] =
            task.run;
        worker.free = worker.free - need;
        if (task.state == TaskState::kStopping) {
          // It was to be stopped before the worker was known.
          worker.orders.push_back(WorkerOrder{
              .kind = OrderKind::kStop,
              .worker = listing.id,
              .task = TaskKey{id, run.occurrence, run.step, TaskIndex(i)},
              .run = task.run});
        }
      }
    }
  }
  world.scheduling.workers.insert(listing.id, std::move(worker));
}

// Adds the workers that the journal places tasks on but the platform no longer
// lists: they may run on until their leases lapse.
void AddUnlistedWorkers(WorkflowWorld& world, TimePoint now) {
  std::set<WorkerId> unknown;
  for (const WorkflowId& id : world.scheduling.open) {
    const Workflow* workflow = world.workflows.find(id);
    for (const StepRun& run : workflow->runs) {
      for (const Task& task : run.tasks) {
        if (HoldsRoom(task.state) &&
            world.scheduling.workers.find(task.worker) == nullptr) {
          unknown.insert(task.worker);
        }
      }
    }
  }
  for (const WorkerId& id : unknown) {
    AddWorker(world, WorkerListing{.id = id}, now);
    world.scheduling.workers.find(id)->listed = false;
    Log(LogLevel::kWarn, "worker_not_listed", {{"worker", id.value}});
  }
}

// A start that was meant for an earlier life of the worker may be carried out
// by the present one: the stop bars it there, and the next hold tells whether
// it ran.
void StopInPresentLife(WorkflowWorld& world,
                       const TaskKey& key,
                       const TaskPlace& place,
                       WorkerLife life,
                       TimePoint now) {
  place.task->life = life;
  if (place.task->state == TaskState::kStopping) {
    // Its order went to the earlier life.
    place.task->state = TaskState::kRunning;
  }
  StopRun(world, key, place, now);
}

// Tasks that were placed in another life of the worker have gone with it, but
// starts that the predecessor sent may still arrive.
void StopTasksOfOtherLives(WorkflowWorld& world,
                           const WorkerListing& listing,
                           TimePoint now) {
  const auto tasks = world.scheduling.workers.find(listing.id)->tasks;
  for (const auto& [key, run] : tasks) {
    const TaskPlace place = FindTask(world, key);
    if (place && !place.task->life.empty() && !listing.life.empty() &&
        place.task->life != listing.life) {
      StopInPresentLife(world, key, place, listing.life, now);
    }
  }
}

void ApplyListing(WorkflowWorld& world,
                  const WorkerListing& listing,
                  TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(listing.id);
  if (worker == nullptr) {
    AddWorker(world, listing, now);
    world.scheduling.placement_due = true;
    StopTasksOfOtherLives(world, listing, now);
    return;
  }
  if (worker->listing.life.empty()) {
    // The journal placed tasks there before it was listed again.
    StopTasksOfOtherLives(world, listing, now);
    worker->next_hold = now;
  } else if (!listing.life.empty() && worker->listing.life != listing.life) {
    if (listing.life < worker->listing.life) {
      return;
    }
    BeginLife(world, listing.id, listing.life, now);
    worker = world.scheduling.workers.find(listing.id);
  }
  if (listing.draining && !worker->listing.draining) {
    Log(LogLevel::kInfo, "worker_draining", {{"worker", listing.id.value}});
  }
  worker->free = worker->free + listing.capacity - worker->listing.capacity;
  worker->listing = listing;
  worker->rack = RackOf(listing);
  if (!worker->listed) {
    worker->listed = true;
    world.scheduling.placement_due = true;
  }
}

void ApplyLeft(WorkflowWorld& world, const WorkerId& id) {
  if (TaskWorker* worker = world.scheduling.workers.find(id);
      worker != nullptr && worker->listed) {
    worker->listed = false;
    Log(LogLevel::kInfo, "worker_unlisted",
        {{"worker", id.value}, {"tasks", worker->tasks.size()}});
  }
}

}  // namespace

void LoseTasks(WorkflowWorld& world,
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
    const TaskPlace place = FindTask(world, key);
    if (place && place.task->run == run && HoldsRoom(place.task->state)) {
      EndWithoutReport(world, key, place, now);
    }
  }
  worker->tasks.clear();
  worker->free = worker->listing.capacity;
  worker->orders.clear();
}

void BeginLife(WorkflowWorld& world,
               const WorkerId& id,
               WorkerLife life,
               TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(id);
  // Until it has obeyed this holder, starts of the predecessor may arrive, too.
  const bool obeyed = worker->fenced;
  worker->listing.life = life;
  worker->fenced = false;
  worker->orders.clear();
  std::size_t lost = 0;
  const auto tasks = worker->tasks;
  for (const auto& [key, run] : tasks) {
    const TaskPlace place = FindTask(world, key);
    if (!place || place.task->run != run || !HoldsRoom(place.task->state)) {
      continue;
    }
    if (!obeyed || place.task->start_doubtful ||
        world.scheduling.workers.find(id)->ordering.contains(key)) {
      StopInPresentLife(world, key, place, life, now);
    } else {
      EndWithoutReport(world, key, place, now);
      ++lost;
    }
  }
  worker = world.scheduling.workers.find(id);
  Log(LogLevel::kWarn, "worker_started_anew",
      {{"worker", id.value},
       {"worker_zone", worker->listing.zone.value},
       {"tasks_lost", lost},
       {"tasks_in_doubt", tasks.size() - lost}});
  worker->acknowledged = worker->applied = worker->told = EndNumber();
  worker->leased_until = WorkerClock();
  worker->clock_read = kLongAgo;
  // An order for an earlier life asks for a time on that one's clock.
  worker->inherited_lapse = worker->tasks.empty()
                                ? kLongAgo
                                : now + OnSlowClocks(world.self.longest_lease);
  worker->next_hold = now;
  worker->silent_holds = 0;
  worker->strays = 0;
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
    // Changes that were asked for before the place was taken up may be old.
    if (!read.whole && !world.scheduling.workers_loaded) {
      continue;
    }
    world.scheduling.workers_loaded = true;
    std::set<WorkerId> seen;
    for (const auto& [id, listing] : read.workers) {
      if (listing) {
        seen.insert(id);
        ApplyListing(world, *listing, time.now);
      } else {
        ApplyLeft(world, id);
      }
    }
    if (read.whole) {
      const auto known = world.scheduling.workers.keys;
      for (const WorkerId& id : known) {
        if (!seen.contains(id)) {
          ApplyLeft(world, id);
        }
      }
      AddUnlistedWorkers(world, time.now);
    }
  }
}

void ExpireWorkers(WorkflowWorld& world, const WorkflowTime& time) {
  if (world.holding.state != HoldingState::kHolding) {
    return;
  }
  const auto known = world.scheduling.workers.keys;
  for (const WorkerId& id : known) {
    TaskWorker* worker = world.scheduling.workers.find(id);
    if ((worker->silent_holds > 0 || !worker->listed) &&
        !worker->tasks.empty() && LeasesSurelyLapsed(*worker, time.now)) {
      // A start that is under way cannot be carried out any more either.
      LoseTasks(world, id, "its leases have lapsed", time.now);
    }
    if (!worker->listed && worker->tasks.empty() && !worker->hold_under_way &&
        worker->ordering.empty() && !worker->noted_silent &&
        (worker->silent_holds > 0 || worker->acknowledged == worker->told)) {
      world.scheduling.workers.erase(id);
    }
  }
}

}  // namespace chicorystep
