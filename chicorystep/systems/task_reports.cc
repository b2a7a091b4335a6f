#include "chicorystep/systems/task_reports.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/task_speed.h"
#include "chicorystep/systems/task_worker_exclusion.h"
#include "chicorystep/systems/task_workers.h"
#include "chicorystep/systems/workflow_holder.h"
#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// A hold that got no answer is repeated after this, doubled with each further
// one: a connection that went dead costs little, a worker that left few calls.
constexpr Duration kHoldRetry = milliseconds(200);
constexpr Duration kLongestHoldRetry = milliseconds(1500);
// Ends that are not written yet are not asked for again before this, some
// times as long as a write takes.
constexpr Duration kRecordPause = milliseconds(400);
// A start that got no answer is repeated for this long; a gang's other members
// wait 3 s for it on the platform.
constexpr Duration kStartPatience = milliseconds(1800);

// The end of one run that the tables know as running on this worker.
void ApplyEnd(WorkflowWorld& world,
              const TaskWorker& worker,
              const EndReport& end,
              TimePoint now) {
  const TaskPlace place = FindTask(world, end.task);
  if (!place || place.task->run != end.run || !HoldsRoom(place.task->state) ||
      place.task->worker != worker.listing.id) {
    return;
  }
  Task& task = *place.task;
  Log(LogLevel::kInfo, "run_ended",
      {{"workflow", end.task.workflow.value},
       {"step", end.task.step.value},
       {"task", end.task.task.value},
       {"run", end.run.value},
       {"worker", worker.listing.id.value},
       {"worker_zone", worker.listing.zone.value},
       {"end", std::string(NameOf(end.end))},
       {"ran_ms", WholeMillis(now - task.since)},
       {"accelerators", place.spec->need.accelerators.value},
       {"state", std::string(NameOf(task.state))},
       {"saves", place.spec->saves_progress},
       {"cancelled", place.workflow->cancel_requested}});
  if (!end.checkpoint.empty()) {
    task.checkpoint = end.checkpoint;
  }
  MarkDirty(world, end.task.workflow, *place.workflow);
  if (end.end == RunEnd::kDone && !place.spec->long_running) {
    // One member's good end is that of the whole gang.
    for (std::uint32_t i = 0; i < place.run->tasks.size(); ++i) {
      Task& member = place.run->tasks[i];
      if ((&member != &task && !place.spec->gang) ||
          member.state == TaskState::kDone) {
        continue;
      }
      TaskKey key = end.task;
      key.task = TaskIndex(i);
      ReleaseRoom(world, key, *place.spec, member);
      member.state = TaskState::kDone;
      member.ordered = false;
      ++place.run->done;
    }
    return;
  }
  if (end.end == RunEnd::kFailed) {
    ++task.failures;
  }
  ReturnToWaiting(world, end.task, place, now);
  if (!place.spec->gang) {
    return;
  }
  for (Task& member : place.run->tasks) {
    if (!end.checkpoint.empty()) {
      member.checkpoint = end.checkpoint;
    }
    if (end.end == RunEnd::kFailed && &member != &task) {
      member.failures = std::max(member.failures, task.failures);
    }
  }
  StopStepRun(world, end.task.workflow, *place.workflow, *place.run, now);
}

// Whether a run of any task of the step has failed before.
bool HasFailedBefore(WorkflowWorld& world, const TaskKey& key) {
  const TaskPlace place = FindTask(world, key);
  return place && std::any_of(place.run->tasks.begin(), place.run->tasks.end(),
                              [](const Task& t) { return t.failures > 0; });
}

void ApplyEnds(WorkflowWorld& world, const OrderEnded& hold, TimePoint now) {
  const WorkerId id = hold.worker;
  for (const EndReport& end : hold.ended) {
    TaskWorker* worker = world.scheduling.workers.find(id);
    if (end.number <= worker->applied) {
      continue;
    }
    const bool first_failure =
        end.end == RunEnd::kFailed && !HasFailedBefore(world, end.task);
    ApplyEnd(world, *worker, end, now);
    worker->applied = end.number;
    if (end.end == RunEnd::kFailed) {
      // A task that fails on several workers is itself at fault.
      if (first_failure) {
        ++worker->failures_in_row;
        ExcludeFaultyWorker(*worker, "a run failed there", now);
      }
    } else if (end.end == RunEnd::kDone) {
      worker->failures_in_row = 0;
      worker->exclusion = {};
    }
  }
}

// Compares what runs there with what the tables say.
void Reconcile(WorkflowWorld& world, const OrderEnded& hold, TimePoint now) {
  const WorkerId id = hold.worker;
  std::set<std::pair<TaskKey, RunNumber>> present;
  std::uint32_t strays = 0;
  std::vector<TaskKey> measured;
  for (const RunningReport& report : hold.running) {
    present.emplace(report.task, report.run);
    const TaskPlace place = FindTask(world, report.task);
    const bool ours = place && place.task->run == report.run &&
                      HoldsRoom(place.task->state) && place.task->worker == id;
    if (!ours) {
      ++strays;
      TaskWorker* worker = world.scheduling.workers.find(id);
      const bool queued = std::any_of(
          worker->orders.begin(), worker->orders.end(),
          [&](const WorkerOrder& order) {
            return order.task == report.task && order.run == report.run;
          });
      if (!queued) {
        Log(LogLevel::kInfo, "stray_run_stopped",
            {{"workflow", report.task.workflow.value},
             {"task", report.task.task.value},
             {"run", report.run.value},
             {"worker", id.value}});
        worker->orders.push_back(WorkerOrder{.kind = OrderKind::kStop,
                                             .worker = id,
                                             .task = report.task,
                                             .run = report.run});
      }
      continue;
    }
    if (!report.checkpoint.empty()) {
      place.task->checkpoint = report.checkpoint;
      if (place.spec->gang) {
        for (Task& member : place.run->tasks) {
          member.checkpoint = report.checkpoint;
        }
      }
    }
    if (place.task->state == TaskState::kStarting) {
      place.task->state = TaskState::kRunning;
      place.task->since = now;
      place.task->ordered = false;
    }
    if (MeasureSpeed(world, place, report, now)) {
      measured.push_back(report.task);
    }
  }
  world.scheduling.workers.find(id)->strays = strays;
  JudgeSpeed(world, id, measured, now);
  // What the tables have running, and was settled before the worker was
  // asked, but is not there, never began or has gone.
  const auto tasks = world.scheduling.workers.find(id)->tasks;
  for (const auto& [key, run] : tasks) {
    const TaskPlace place = FindTask(world, key);
    if (!place || place.task->run != run || present.contains({key, run})) {
      continue;
    }
    const Task& task = *place.task;
    const bool settled = (task.state == TaskState::kRunning ||
                          task.state == TaskState::kStopping) &&
                         !task.ordered && task.since < hold.sent;
    if (!settled) {
      continue;
    }
    Log(LogLevel::kInfo, "run_absent",
        {{"workflow", key.workflow.value},
         {"step", key.step.value},
         {"task", key.task.value},
         {"run", run.value},
         {"worker", id.value}});
    EndWithoutReport(world, key, place, now);
  }
}

void ReadClock(const WorkflowWorld& world,
               TaskWorker& worker,
               const OrderEnded& ended) {
  if (ended.clock && ended.answered >= worker.clock_read) {
    worker.clock = *ended.clock;
    worker.clock_read = ended.answered;
    if (!worker.fenced) {
      // The previous holder gave its leases earlier and from no later reading.
      worker.leased_until =
          std::max(worker.leased_until,
                   worker.clock + WorkerClock(WholeMillis(world.self.lease)));
    }
  }
}

void ApplyHold(WorkflowWorld& world, const OrderEnded& hold, TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(hold.worker);
  worker->hold_under_way = false;
  worker->overdue = kNever;
  if (hold.outcome != OrderOutcome::kDone) {
    if (hold.outcome == OrderOutcome::kUnknown) {
      ++worker->silent_holds;
    }
    worker->next_hold =
        now + std::min(kLongestHoldRetry,
                       kHoldRetry * (1 << std::min(worker->silent_holds, 3U)));
    return;
  }
  worker->silent_holds = 0;
  if (!worker->fenced) {
    worker->fenced = true;
    world.scheduling.placement_due = true;
  }
  ApplyEnds(world, hold, now);
  Reconcile(world, hold, now);
  worker = world.scheduling.workers.find(hold.worker);
  worker->next_hold =
      worker->applied > worker->acknowledged ? now + kRecordPause : now;
}

void ApplyStart(WorkflowWorld& world, const OrderEnded& start, TimePoint now) {
  const TaskPlace place = FindTask(world, start.task);
  if (!place || place.task->run != start.run ||
      place.task->state != TaskState::kStarting) {
    return;
  }
  TaskWorker* worker = world.scheduling.workers.find(start.worker);
  switch (start.outcome) {
    case OrderOutcome::kDone:
      Log(LogLevel::kInfo, "run_started",
          {{"workflow", start.task.workflow.value},
           {"step", start.task.step.value},
           {"task", start.task.task.value},
           {"run", start.run.value},
           {"worker", start.worker.value},
           {"worker_zone", worker->listing.zone.value},
           {"placed_ms", WholeMillis(now - place.task->since)},
           {"answer_ms", WholeMillis(start.answered - start.sent)}});
      place.task->state = TaskState::kRunning;
      place.task->since = now;
      place.task->ordered = false;
      worker->next_hold = now;
      return;
    case OrderOutcome::kUnknown:
      place.task->start_doubtful = true;
      if (now - place.task->since < kStartPatience) {
        worker->orders.push_front(
            WorkerOrder{.kind = OrderKind::kStart,
                        .worker = start.worker,
                        .task = start.task,
                        .run = start.run,
                        .payload = place.workflow->spec.payload,
                        .checkpoint = place.task->checkpoint});
        return;
      }
      ExcludeWorker(*worker, "starts get no answer", now);
      StopRun(world, start.task, place, now);
      return;
    default:
      break;
  }
  Log(LogLevel::kInfo, "start_rejected",
      {{"workflow", start.task.workflow.value},
       {"step", start.task.step.value},
       {"task", start.task.task.value},
       {"run", start.run.value},
       {"worker", start.worker.value},
       {"outcome", std::string(NameOf(start.outcome))}});
  ExcludeWorker(*worker, NameOf(start.outcome), now);
  if (place.task->start_doubtful || start.outcome == OrderOutcome::kOldRun) {
    // An earlier sending may have been carried out, and its run may even have
    // ended, or may be carried out later. A stop rules the latter out, and the
    // next hold tells the rest.
    StopRun(world, start.task, place, now);
    return;
  }
  EndWithoutReport(world, start.task, place, now);
}

void ApplyStop(WorkflowWorld& world, const OrderEnded& stop, TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(stop.worker);
  if (stop.outcome == OrderOutcome::kDone) {
    if (const TaskPlace place = FindTask(world, stop.task);
        place && place.task->run == stop.run &&
        place.task->state == TaskState::kStopping) {
      place.task->since = now;
      place.task->ordered = false;
    }
    return;
  }
  if (worker->tasks.contains(stop.task)) {
    worker->orders.push_back(WorkerOrder{.kind = OrderKind::kStop,
                                         .worker = stop.worker,
                                         .task = stop.task,
                                         .run = stop.run});
  }
}

}  // namespace

void ApplyOrdersEnded(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time) {
  for (const OrderEnded& ended : inbox.orders_ended) {
    TaskWorker* worker = world.scheduling.workers.find(ended.worker);
    if (world.holding.state != HoldingState::kHolding || worker == nullptr ||
        ended.fence != world.holding.own_epoch) {
      continue;
    }
    if (ended.kind != OrderKind::kHold) {
      worker->ordering.erase(ended.task);
    }
    if (ended.outcome == OrderOutcome::kFenced) {
      StopHolding(world, "a worker has obeyed a higher fence", time.now);
      return;
    }
    if (ended.outcome == OrderOutcome::kOtherLife) {
      if (ended.kind == OrderKind::kHold) {
        worker->hold_under_way = false;
        worker->overdue = kNever;
      }
      worker->next_hold = time.now + kLongestHoldRetry;
      LoseTasks(world, ended.worker, "another process has its address",
                time.now);
      continue;
    }
    if (ended.life && *ended.life != worker->listing.life) {
      if (*ended.life > worker->listing.life) {
        if (const TaskPlace place = FindTask(world, ended.task);
            ended.kind == OrderKind::kStart && place &&
            place.task->run == ended.run) {
          // This life may have carried it out.
          place.task->start_doubtful = true;
        }
        BeginLife(world, ended.worker, *ended.life, time.now);
      }
      if (ended.kind == OrderKind::kHold) {
        worker->hold_under_way = false;
        worker->overdue = kNever;
      }
      continue;
    }
    ReadClock(world, *worker, ended);
    switch (ended.kind) {
      case OrderKind::kHold:
        ApplyHold(world, ended, time.now);
        break;
      case OrderKind::kStart:
        ApplyStart(world, ended, time.now);
        break;
      case OrderKind::kStop:
        ApplyStop(world, ended, time.now);
        break;
    }
  }
}

}  // namespace chicorystep
