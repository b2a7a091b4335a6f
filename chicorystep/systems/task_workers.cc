#include "chicorystep/systems/task_workers.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflow_holder.h"
#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How long a worker may wait for an end before it answers a hold. Each hold is
// a priced call; each also renews the leases, which are several times longer.
constexpr Duration kHoldWait = milliseconds(900);
// Where urgent tasks run, reports come more often, to notice slow ones early.
constexpr Duration kUrgentHoldWait = milliseconds(500);
// A hold that got no answer is repeated after this.
constexpr Duration kHoldRetry = milliseconds(200);
constexpr Duration kLongestHoldRetry = milliseconds(1500);
// Holds without an answer after which leases are not renewed any more: one may
// be lost with a connection that has gone dead.
constexpr std::uint32_t kRenewalsWhileSilent = 2;
// Orders to one worker at the same time, each on a connection of its own: the
// members of a gang that come later keep the others waiting.
constexpr std::size_t kMaxOrdersUnderWay = 8;
// Ends that are not written yet are not asked for again before this.
constexpr Duration kRecordPause = milliseconds(400);
// A start that got no answer is repeated for this long; a gang's other members
// do not wait much longer.
constexpr Duration kStartPatience = milliseconds(1800);
// A worker's clock may run this much slower than ours, in thousandths.
constexpr std::int64_t kClockSlowness = 20;
// Nothing is placed on a worker for this long after it has rejected a start,
// doubled with each further failure.
constexpr Duration kFirstExclusion = milliseconds(500);
constexpr Duration kLongestExclusion = milliseconds(8000);
// The first exclusion after a failed run is twice this: faulty workers were
// seen to stay so for some seconds, and a second failure may be the last that
// a workflow is allowed.
constexpr Duration kFailureExclusion = milliseconds(1500);

// A run tells its speed once the half second that a report covers lies well
// after its start.
constexpr Duration kSpeedSettled = milliseconds(700);
// A measured speed is taken for the present one for this long: a hold's wait
// and some time for its answer.
constexpr Duration kSpeedLasts = milliseconds(1300);
// Sound workers were seen at 0.6 and above, slow ones at 0.3 and below.
constexpr double kSlowSpeed = 0.45;
// At most one worker in this many is left out for going slowly.
constexpr std::size_t kMostExcludedShare = 3;

std::int64_t Millis(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

Rack RackOf(const WorkerListing& listing) {
  // The platform lists a worker's kind first and its rack second.
  return listing.labels.size() < 2 ? Rack() : Rack(listing.labels[1]);
}

void Exclude(TaskWorker& worker, std::string_view why, TimePoint now) {
  worker.exclusion =
      std::clamp(worker.exclusion * 2, kFirstExclusion, kLongestExclusion);
  worker.excluded_until = now + worker.exclusion;
  Log(LogLevel::kInfo, "worker_excluded",
      {{"worker", worker.listing.id.value},
       {"why", why},
       {"for_ms", Millis(worker.exclusion)}});
}

// Whether signs that may be wrong have left out few enough workers so far.
bool MayExcludeMore(const WorkflowWorld& world, TimePoint now) {
  const auto& rows = world.scheduling.workers.rows;
  const auto excluded = std::count_if(
      rows.begin(), rows.end(),
      [&](const TaskWorker& worker) { return worker.excluded_until > now; });
  return static_cast<std::size_t>(excluded) * kMostExcludedShare < rows.size();
}

// Every task there has surely ended: the worker's process is another one, or
// its leases have lapsed.
void LoseTasks(WorkflowWorld& world,
               const WorkerId& id,
               std::string_view why,
               TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(id);
  if (worker->tasks.empty()) {
    return;
  }
  Log(LogLevel::kWarn, "worker_tasks_lost",
      {{"worker", id.value}, {"tasks", worker->tasks.size()}, {"why", why}});
  const auto tasks = worker->tasks;
  for (const auto& [key, run] : tasks) {
    const TaskPlace place = FindTask(world, key);
    if (place && place.task->run == run && HoldsRoom(place.task->state)) {
      ReturnToWaiting(world, key, place, now);
      if (place.spec->gang) {
        StopStepRun(world, key.workflow, *place.workflow, *place.run, now);
      }
    }
  }
  worker->tasks.clear();
  worker->free = worker->listing.capacity;
  worker->orders.clear();
}

// The worker's process has started anew: it holds and knows nothing.
void BeginLife(WorkflowWorld& world,
               const WorkerId& id,
               WorkerLife life,
               TimePoint now) {
  LoseTasks(world, id, "it started anew", now);
  TaskWorker* worker = world.scheduling.workers.find(id);
  worker->listing.life = life;
  worker->fenced = false;
  worker->orders.clear();
  worker->acknowledged = worker->applied = worker->told = EndNumber();
  worker->leased_until = WorkerClock();
  worker->clock_read = kLongAgo;
  worker->inherited_lapse = kLongAgo;
  worker->next_hold = now;
  worker->silent_holds = 0;
}

// Adds a worker and the tasks that the journal places on it.
void AddWorker(WorkflowWorld& world,
               const WorkerListing& listing,
               TimePoint now) {
  TaskWorker worker{.listing = listing,
                    .rack = RackOf(listing),
                    .free = listing.capacity,
                    .next_hold = now};
  worker.inherited_lapse =
      world.holding.claimed + kConfirmationBound +
      world.self.lease * (1000 + 2 * kClockSlowness) / 1000;
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
        worker.free.accelerators -= need.accelerators;
        worker.free.processors -= need.processors;
        worker.free.memory -= need.memory;
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

void ApplyListing(WorkflowWorld& world,
                  const WorkerListing& listing,
                  TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(listing.id);
  if (worker == nullptr) {
    AddWorker(world, listing, now);
    world.scheduling.placement_due = true;
    // Tasks of its earlier life have gone with it.
    worker = world.scheduling.workers.find(listing.id);
    const auto tasks = worker->tasks;
    for (const auto& [key, run] : tasks) {
      const TaskPlace place = FindTask(world, key);
      if (place && !place.task->life.empty() && !listing.life.empty() &&
          place.task->life != listing.life) {
        ReturnToWaiting(world, key, place, now);
        if (place.spec->gang) {
          StopStepRun(world, key.workflow, *place.workflow, *place.run, now);
        }
      }
    }
    return;
  }
  if (!listing.life.empty() && worker->listing.life != listing.life) {
    if (listing.life < worker->listing.life) {
      return;
    }
    BeginLife(world, listing.id, listing.life, now);
    worker = world.scheduling.workers.find(listing.id);
  }
  if (listing.draining && !worker->listing.draining) {
    Log(LogLevel::kInfo, "worker_draining", {{"worker", listing.id.value}});
  }
  const Capacity before = worker->listing.capacity;
  worker->free.accelerators +=
      listing.capacity.accelerators - before.accelerators;
  worker->free.processors += listing.capacity.processors - before.processors;
  worker->free.memory += listing.capacity.memory - before.memory;
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
       {"end", std::string(NameOf(end.end))},
       {"ran_ms", Millis(now - task.since)},
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
        worker->exclusion = std::max(worker->exclusion, kFailureExclusion);
        Exclude(*worker, "a run failed there", now);
      }
    } else if (end.end == RunEnd::kDone) {
      worker->failures_in_row = 0;
      worker->exclusion = {};
    }
  }
}

// Whether the task runs away from its data or from the rest of its gang, which
// slows it on any worker.
bool IsRemote(const WorkflowWorld& world, const TaskPlace& place) {
  const auto rack_of = [&](const Task& task) {
    const TaskWorker* worker = world.scheduling.workers.find(task.worker);
    return worker == nullptr ? Rack() : worker->rack;
  };
  const Rack rack = rack_of(*place.task);
  if (!place.spec->data_rack.empty() && rack != place.spec->data_rack) {
    return true;
  }
  return place.spec->same_rack &&
         std::any_of(place.run->tasks.begin(), place.run->tasks.end(),
                     [&](const Task& t) { return rack_of(t) != rack; });
}

// Notes how fast a run goes; false when the report does not tell.
bool MeasureSpeed(const WorkflowWorld& world,
                  const TaskPlace& place,
                  const RunningReport& report,
                  TimePoint now) {
  Task& task = *place.task;
  const std::int64_t need = place.spec->need.processors.value;
  if (!report.in_use || need == 0 || task.state != TaskState::kRunning ||
      now - task.since < kSpeedSettled || place.spec->long_running ||
      IsRemote(world, place)) {
    return false;
  }
  const TimePoint from = std::max(task.measured, task.since);
  task.speed = std::min(1.0, static_cast<double>(report.in_use->value) /
                                 static_cast<double>(need));
  const bool anew = task.measured < task.since && task.checkpoint.empty();
  task.worked = (anew ? Duration() : task.worked) +
                Duration(static_cast<Duration::rep>(
                    task.speed * static_cast<double>((now - from).count())));
  task.measured = now;
  return true;
}

// The speed of a task or of its whole gang: members that have less to do than
// others use nothing while they wait for these. Gangs of which a member has
// not been measured lately count as sound.
double SpeedOf(const TaskPlace& place, TimePoint now) {
  if (!place.spec->gang) {
    return place.task->speed;
  }
  double fastest = 0;
  for (const Task& member : place.run->tasks) {
    fastest = std::max(
        fastest, now - member.measured <= kSpeedLasts ? member.speed : 1.0);
  }
  return fastest;
}

// Whether starting the task again elsewhere should end it clearly sooner.
bool EndsSoonerElsewhere(const WorkflowWorld& world,
                         const TaskPlace& place,
                         double speed_here) {
  const Task& task = *place.task;
  const Duration work = place.spec->estimate;
  const Duration left = std::max(work - task.worked, work / 4);
  const double speed = std::max(speed_here, 0.05);
  const auto here = Duration(
      static_cast<Duration::rep>(static_cast<double>(left.count()) / speed));
  const Duration again = place.spec->saves_progress ? left : work;
  return here > (again + world.self.stop_grace) * 3 / 2;
}

// Leaves out a worker on which everything goes slowly, and moves urgent work
// off it.
void JudgeSpeed(WorkflowWorld& world,
                const WorkerId& id,
                const std::vector<TaskKey>& measured,
                TimePoint now) {
  if (measured.empty()) {
    return;
  }
  const bool any_sound =
      std::any_of(measured.begin(), measured.end(), [&](const TaskKey& key) {
        return SpeedOf(FindTask(world, key), now) >= kSlowSpeed;
      });
  TaskWorker* worker = world.scheduling.workers.find(id);
  if (any_sound) {
    return;
  }
  if (now >= worker->excluded_until && MayExcludeMore(world, now)) {
    worker->exclusion = std::max(worker->exclusion, kFailureExclusion);
    Exclude(*worker, "tasks go slowly there", now);
  }
  for (const TaskKey& key : measured) {
    const TaskPlace place = FindTask(world, key);
    const bool may_move =
        place.workflow->terms.priority == 0 || place.spec->saves_progress;
    if (place.task->state != TaskState::kRunning || !may_move ||
        !EndsSoonerElsewhere(world, place, SpeedOf(place, now))) {
      continue;
    }
    Log(LogLevel::kInfo, "moved_off_slow_worker",
        {{"workflow", key.workflow.value},
         {"step", key.step.value},
         {"task", key.task.value},
         {"worker", id.value},
         {"speed", place.task->speed},
         {"worked_ms", Millis(place.task->worked)}});
    if (place.spec->gang) {
      StopStepRun(world, key.workflow, *place.workflow, *place.run, now);
    } else {
      StopTask(world, key, place, now);
    }
  }
}

// Compares what runs there with what the tables say.
void Reconcile(WorkflowWorld& world, const OrderEnded& hold, TimePoint now) {
  const WorkerId id = hold.worker;
  std::set<std::pair<TaskKey, RunNumber>> present;
  std::vector<TaskKey> measured;
  for (const RunningReport& report : hold.running) {
    present.emplace(report.task, report.run);
    const TaskPlace place = FindTask(world, report.task);
    const bool ours = place && place.task->run == report.run &&
                      HoldsRoom(place.task->state) && place.task->worker == id;
    if (!ours) {
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
    ReturnToWaiting(world, key, place, now);
    if (place.spec->gang) {
      StopStepRun(world, key.workflow, *place.workflow, *place.run, now);
    }
  }
}

void ReadClock(const WorkflowWorld& world,
               TaskWorker& worker,
               const OrderEnded& ended) {
  if (ended.clock && ended.answered >= worker.clock_read) {
    worker.clock = *ended.clock;
    worker.clock_sent = ended.sent;
    worker.clock_read = ended.answered;
    if (!worker.fenced) {
      // The previous holder cannot have leased for longer than this.
      worker.leased_until =
          std::max(worker.leased_until,
                   worker.clock + WorkerClock(Millis(world.self.lease)));
    }
  }
}

void ApplyHold(WorkflowWorld& world, const OrderEnded& hold, TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(hold.worker);
  worker->hold_under_way = false;
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
           {"placed_ms", Millis(now - place.task->since)},
           {"answer_ms", Millis(start.answered - start.sent)}});
      place.task->state = TaskState::kRunning;
      place.task->since = now;
      place.task->ordered = false;
      worker->next_hold = now;
      return;
    case OrderOutcome::kUnknown:
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
      Exclude(*worker, "starts get no answer", now);
      if (place.spec->gang) {
        StopStepRun(world, start.task.workflow, *place.workflow, *place.run,
                    now);
      } else {
        StopTask(world, start.task, place, now);
      }
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
  Exclude(*worker, NameOf(start.outcome), now);
  ReturnToWaiting(world, start.task, place, now);
  if (place.spec->gang) {
    StopStepRun(world, start.task.workflow, *place.workflow, *place.run, now);
  }
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

bool LeasesSurelyLapsed(const TaskWorker& worker, TimePoint now) {
  if (worker.fenced) {
    return SlowestClock(worker, now) > worker.leased_until;
  }
  return now > worker.inherited_lapse;
}

// The latest that the worker's clock can read now.
WorkerClock FastestClock(const TaskWorker& worker, TimePoint now) {
  return worker.clock + WorkerClock(Millis(now - worker.clock_sent));
}

bool RunsUrgent(const WorkflowWorld& world, const TaskWorker& worker) {
  return std::any_of(
      worker.tasks.begin(), worker.tasks.end(), [&](const auto& row) {
        const Workflow* workflow = world.workflows.find(row.first.workflow);
        return workflow != nullptr && workflow->terms.priority == 0;
      });
}

void SendHold(WorkflowWorld& world,
              TaskWorker& worker,
              TimePoint now,
              WorkflowOutbox& outbox) {
  WorkerOrder hold{.kind = OrderKind::kHold,
                   .worker = worker.listing.id,
                   .address = worker.listing.address,
                   .fence = world.holding.own_epoch,
                   .acknowledged = worker.acknowledged};
  // A worker that does not answer is not granted more time: its leases must
  // lapse before its tasks can start elsewhere.
  if (!worker.tasks.empty() && worker.clock_read != kLongAgo &&
      worker.silent_holds < kRenewalsWhileSilent) {
    hold.until =
        FastestClock(worker, now) + WorkerClock(Millis(world.self.lease));
    worker.leased_until = std::max(worker.leased_until, *hold.until);
    if (worker.fenced && worker.silent_holds == 0) {
      hold.wait = RunsUrgent(world, worker) ? kUrgentHoldWait : kHoldWait;
    }
  }
  worker.told = worker.acknowledged;
  worker.hold_under_way = true;
  outbox.orders.push_back(std::move(hold));
}

// Sends the queued orders of tasks that have none under way.
void SendQueued(WorkflowWorld& world,
                TaskWorker& worker,
                TimePoint now,
                WorkflowOutbox& outbox) {
  std::deque<WorkerOrder> later;
  while (!worker.orders.empty()) {
    WorkerOrder order = std::move(worker.orders.front());
    worker.orders.pop_front();
    if (worker.ordering.size() >= kMaxOrdersUnderWay ||
        worker.ordering.contains(order.task)) {
      later.push_back(std::move(order));
      continue;
    }
    order.address = worker.listing.address;
    order.fence = world.holding.own_epoch;
    if (order.kind == OrderKind::kStart) {
      order.until =
          FastestClock(worker, now) + WorkerClock(Millis(world.self.lease));
      worker.leased_until = std::max(worker.leased_until, *order.until);
    }
    worker.ordering.insert(order.task);
    outbox.orders.push_back(std::move(order));
  }
  worker.orders = std::move(later);
}

// Whether the worker has to be asked or told anything.
bool WantsHold(const TaskWorker& worker) {
  if (worker.listing.address.empty()) {
    return false;
  }
  return !worker.tasks.empty() || worker.acknowledged > worker.told ||
         (!worker.fenced && worker.listed);
}

}  // namespace

WorkerClock SlowestClock(const TaskWorker& worker, TimePoint now) {
  return worker.clock + WorkerClock(Millis(now - worker.clock_read) *
                                    (1000 - kClockSlowness) / 1000);
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
      worker->hold_under_way =
          worker->hold_under_way && ended.kind != OrderKind::kHold;
      worker->next_hold = time.now + kLongestHoldRetry;
      LoseTasks(world, ended.worker, "another process has its address",
                time.now);
      continue;
    }
    if (ended.life && *ended.life != worker->listing.life) {
      if (*ended.life > worker->listing.life) {
        BeginLife(world, ended.worker, *ended.life, time.now);
      }
      if (ended.kind == OrderKind::kHold) {
        worker->hold_under_way = false;
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
        worker->ordering.empty() &&
        (worker->silent_holds > 0 || worker->acknowledged == worker->told)) {
      world.scheduling.workers.erase(id);
    }
  }
}

void SendOrders(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox) {
  if (!world.holding.may_order) {
    return;
  }
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    SendQueued(world, worker, now, outbox);
    if (!worker.hold_under_way && now >= worker.next_hold &&
        WantsHold(worker)) {
      SendHold(world, worker, now, outbox);
    }
  }
}

TimePoint NextOrderDue(const WorkflowWorld& world) {
  TimePoint due = kNever;
  for (const TaskWorker& worker : world.scheduling.workers.rows) {
    if (!worker.hold_under_way && WantsHold(worker)) {
      due = std::min(due, worker.next_hold);
    }
  }
  return due;
}

}  // namespace chicorystep
