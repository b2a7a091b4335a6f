#include "chicorystep/systems/workflows/task_reports.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/interference/judgement.h"
#include "chicorystep/systems/workflows/interference/observations.h"
#include "chicorystep/systems/workflows/task_speed.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/task_worker_exclusion.h"
#include "chicorystep/systems/workflows/task_workers.h"
#include "chicorystep/systems/workflows/workflow_holder.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// A failed hold is repeated after this delay, doubled with each unanswered one.
// A dead connection is thus replaced quickly, and a worker that has left costs
// few calls.
constexpr Duration kMinHoldRetryDelay = milliseconds(200);
constexpr Duration kMaxHoldRetryDelay = milliseconds(1500);
// Delay of the next hold while ends are not recorded in the progress stream
// yet, so that the worker does not report them again. Several times as long as
// a write takes.
constexpr Duration kRecordWait = milliseconds(400);
// Delay of the next hold while no run is reported, such as until starts arrive.
constexpr Duration kUnreportedWait = milliseconds(200);
// An unanswered start is repeated for this long. On the platform the other
// members of a gang wait 3 s for it.
constexpr Duration kStartRetryTimeout = milliseconds(1800);
// Each sweep of idle workers costs a call to all of them.
constexpr Duration kSweepSpacing = std::chrono::seconds(5);

// Logs an end that the tables do not place on the worker which reports it, with
// what they have of its task. It is acknowledged like any other end.
void LogUnplacedEnd(const TaskWorker& worker,
                    const EndReport& end,
                    const TaskRef& ref) {
  Log(LogLevel::kWarn, "end_not_placed",
      {{"workflow", end.task.workflow.value},
       {"step", end.task.step.value},
       {"task", end.task.task.value},
       {"run", end.run.value},
       {"worker", worker.listing.id.value},
       {"incarnation", worker.listing.incarnation.value},
       {"number", end.number.value},
       {"end", EnumName(end.end)},
       {"table_run", ref ? fmt::format("{}", ref.task->run.value) : ""},
       {"table_worker", ref ? ref.task->worker.value : ""},
       {"table_state", ref ? EnumName(ref.task->state) : ""}});
}

// Whether the end is that of a member of a gang that has succeeded by the end
// of another member.
bool EndsSucceededMember(const TaskWorker& worker,
                         const EndReport& end,
                         const TaskRef& ref) {
  return ref && ref.spec->gang && ref.task->state == TaskState::kDone &&
         ref.task->run == end.run && ref.task->worker == worker.listing.id;
}

// Marks the task as done, and the rest of its gang if it belongs to one: a gang
// has succeeded when one of its members has.
void MarkSucceeded(WorkflowWorld& world,
                   const TaskKey& key,
                   const TaskRef& ref) {
  for (std::uint32_t i = 0; i < ref.run->tasks.size(); ++i) {
    Task& member = ref.run->tasks[i];
    if ((&member != ref.task && !ref.spec->gang) ||
        member.state == TaskState::kDone) {
      continue;
    }
    TaskKey member_key = key;
    member_key.task = TaskIndex(i);
    ReleaseCapacity(world, member_key, *ref.spec, member);
    member.state = TaskState::kDone;
    member.order_pending = false;
    ++ref.run->done;
  }
  MarkDirty(world, key.workflow, *ref.workflow);
}

// Counts a failed run, once for each run of a task or of its gang. Of runs that
// are older than the newest counted one it is not known whether they count
// already.
void CountFailure(const TaskRef& ref, RunNumber run) {
  if (run <= ref.task->failed_run) {
    return;
  }
  const std::uint32_t failures = ref.task->failures + 1;
  for (Task& member : ref.run->tasks) {
    if (&member == ref.task || ref.spec->gang) {
      member.failures = failures;
      member.failed_run = run;
    }
  }
}

// Applies an end that the tables do not place on the worker which reports it:
// of a run that was given up, or of one whose start was carried out late. The
// task has nevertheless run: after a success it is not started again, and its
// newest run is stopped; a failure is one of its attempts.
void ApplyUnplacedEnd(WorkflowWorld& world,
                      TaskWorker& worker,
                      const EndReport& end,
                      const TaskRef& ref,
                      TimePoint now) {
  LogUnplacedEnd(worker, end, ref);
  worker.unplaced_end = end.number;
  if (!ref || ref.task->state == TaskState::kDone || ref.spec->long_running) {
    return;
  }
  if (end.end == RunEnd::kDone) {
    StopRun(world, end.task, ref, now);
    MarkSucceeded(world, end.task, ref);
  } else if (end.end == RunEnd::kFailed) {
    CountFailure(ref, end.run);
    MarkDirty(world, end.task.workflow, *ref.workflow);
  }
}

// Applies the end of a run.
void ApplyEnd(WorkflowWorld& world,
              TaskWorker& worker,
              const EndReport& end,
              TimePoint now) {
  const TaskRef ref = FindTask(world, end.task);
  if (!ref || ref.task->run != end.run || !HoldsCapacity(ref.task->state) ||
      ref.task->worker != worker.listing.id) {
    if (!EndsSucceededMember(worker, end, ref)) {
      ApplyUnplacedEnd(world, worker, end, ref, now);
    }
    return;
  }
  Task& task = *ref.task;
  Log(LogLevel::kInfo, "run_ended",
      {{"workflow", end.task.workflow.value},
       {"step", end.task.step.value},
       {"task", end.task.task.value},
       {"run", end.run.value},
       {"worker", worker.listing.id.value},
       {"worker_zone", worker.listing.zone.value},
       {"incarnation", worker.listing.incarnation.value},
       {"number", end.number.value},
       {"end", std::string(EnumName(end.end))},
       {"ran_ms", WholeMillis(now - task.since)},
       {"accelerators", ref.spec->need.accelerators.value},
       {"state", std::string(EnumName(task.state))},
       {"saves", ref.spec->saves_progress},
       {"cancelled", ref.workflow->cancel_requested}});
  MarkBegun(world, end.task.workflow, *ref.workflow);
  ObserveEnd(world, end.task, ref, end.end, now);
  if (!end.checkpoint.empty()) {
    task.checkpoint = end.checkpoint;
  }
  if (end.end == RunEnd::kDone && !ref.spec->long_running) {
    MarkSucceeded(world, end.task, ref);
    return;
  }
  MarkDirty(world, end.task.workflow, *ref.workflow);
  if (end.end == RunEnd::kFailed) {
    CountFailure(ref, end.run);
  }
  ReturnToWaiting(world, end.task, ref, now);
  if (!ref.spec->gang) {
    return;
  }
  if (!end.checkpoint.empty()) {
    for (Task& member : ref.run->tasks) {
      member.checkpoint = end.checkpoint;
    }
  }
  StopStepRun(world, end.task.workflow, *ref.workflow, *ref.run, now);
}

// Whether any task of the step run has failed before.
bool HasFailedBefore(WorkflowWorld& world, const TaskKey& key) {
  const TaskRef ref = FindTask(world, key);
  return ref && std::any_of(ref.run->tasks.begin(), ref.run->tasks.end(),
                            [](const Task& t) { return t.failures > 0; });
}

void ApplyEnds(WorkflowWorld& world, const OrderResult& hold, TimePoint now) {
  const WorkerId id = hold.worker;
  const EndNumber applied_before =
      world.scheduling.workers.find(id)->applied_ends;
  // An end counts as applied with all lower numbers, and the platform's pages
  // leave the order of the list open.
  std::vector<EndReport> ends = hold.ended;
  std::sort(ends.begin(), ends.end(),
            [](const EndReport& a, const EndReport& b) {
              return a.number < b.number;
            });
  for (const EndReport& end : ends) {
    TaskWorker* worker = world.scheduling.workers.find(id);
    if (end.number <= worker->applied_ends) {
      continue;
    }
    const bool first_failure =
        end.end == RunEnd::kFailed && !HasFailedBefore(world, end.task);
    ApplyEnd(world, *worker, end, now);
    worker->applied_ends = end.number;
    if (end.end == RunEnd::kFailed) {
      // Only the first failure counts against the worker: a task that fails on
      // several workers is itself at fault.
      if (first_failure) {
        ++worker->consecutive_failures;
        if (MayExcludeAnother(world, now)) {
          ExcludeFaultyWorker(*worker, "a run failed on it", now);
        }
      }
    } else if (end.end == RunEnd::kDone) {
      worker->consecutive_failures = 0;
      worker->exclusion = {};
    }
  }
  if (const TaskWorker* worker = world.scheduling.workers.find(id);
      worker->applied_ends > applied_before) {
    world.scheduling.ends_to_record.push_back(
        AwaitedEnds{.worker = id,
                    .incarnation = worker->listing.incarnation,
                    .applied = worker->applied_ends,
                    .change = world.scheduling.changes_queued});
  }
}

// Whether a report of the run tells more of the incarnation that carried out
// its start than what was logged before: the start got no answer, or the run
// was placed on, or reported by, another incarnation.
bool ShowsIncarnation(const Task& task, WorkerIncarnation reporter) {
  return task.reported_by != reporter &&
         (!task.reported_by.empty() || task.state == TaskState::kStarting ||
          task.incarnation != reporter);
}

// Reconciles the runs that the worker reports with the tables: stops orphaned
// runs, updates reported ones and ends those that are missing.
void ReconcileRuns(WorkflowWorld& world,
                   const OrderResult& hold,
                   TimePoint now) {
  const WorkerId id = hold.worker;
  std::set<std::pair<TaskKey, RunNumber>> present;
  std::uint32_t orphaned = 0;
  std::vector<TaskKey> running;
  std::vector<TaskKey> measured;
  const WorkerIncarnation reporter =
      world.scheduling.workers.find(id)->listing.incarnation;
  for (const RunningReport& report : hold.running) {
    present.emplace(report.task, report.run);
    const TaskRef ref = FindTask(world, report.task);
    const bool ours = ref && ref.task->run == report.run &&
                      HoldsCapacity(ref.task->state) && ref.task->worker == id;
    if (!ours) {
      ++orphaned;
      TaskWorker* worker = world.scheduling.workers.find(id);
      const bool queued = std::any_of(
          worker->orders.begin(), worker->orders.end(),
          [&](const WorkerOrder& order) {
            return order.task == report.task && order.run == report.run;
          });
      if (!queued) {
        Log(LogLevel::kWarn, "orphaned_run_stopped",
            {{"workflow", report.task.workflow.value},
             {"task", report.task.task.value},
             {"run", report.run.value},
             {"worker", id.value},
             {"incarnation", reporter.value}});
        worker->orders.push_back(WorkerOrder{.kind = OrderKind::kStop,
                                             .worker = id,
                                             .task = report.task,
                                             .run = report.run});
      }
      continue;
    }
    if (!report.checkpoint.empty()) {
      ref.task->checkpoint = report.checkpoint;
      if (ref.spec->gang) {
        for (Task& member : ref.run->tasks) {
          member.checkpoint = report.checkpoint;
        }
      }
    }
    if (ShowsIncarnation(*ref.task, reporter)) {
      Log(ref.task->incarnation == reporter ? LogLevel::kInfo : LogLevel::kWarn,
          "run_reported",
          {{"workflow", report.task.workflow.value},
           {"step", report.task.step.value},
           {"task", report.task.task.value},
           {"run", report.run.value},
           {"worker", id.value},
           {"incarnation", reporter.value},
           {"placed_on", ref.task->incarnation.value},
           {"state", EnumName(ref.task->state)}});
    }
    MarkBegun(world, report.task.workflow, *ref.workflow);
    if (ref.task->state == TaskState::kStarting) {
      ref.task->state = TaskState::kRunning;
      ref.task->since = now;
      ref.task->order_pending = false;
    }
    ref.task->last_running = now;
    ref.task->reported = true;
    ref.task->reported_by = reporter;
    running.push_back(report.task);
    if (UpdateSpeed(world, ref, report, now)) {
      measured.push_back(report.task);
    }
  }
  world.scheduling.workers.find(id)->orphaned_runs = orphaned;
  ObserveReport(world, running, measured, now);
  JudgePairs(world.scheduling.interference, now);
  CheckWorkerSpeed(world, id, measured, now);
  // A run that the tables place on this worker but that the report omits has
  // never begun or no longer exists, provided that its start or stop was
  // answered before the hold was sent. If the worker has more ends to list, the
  // run's end may be among them.
  if (!hold.ends_complete) {
    return;
  }
  const auto tasks = world.scheduling.workers.find(id)->tasks;
  for (const auto& [key, run] : tasks) {
    const TaskRef ref = FindTask(world, key);
    if (!ref || ref.task->run != run || present.contains({key, run})) {
      continue;
    }
    const Task& task = *ref.task;
    const bool settled = (task.state == TaskState::kRunning ||
                          task.state == TaskState::kStopping) &&
                         !task.order_pending && task.since <= hold.sent;
    if (!settled) {
      continue;
    }
    Log(LogLevel::kInfo, "run_absent",
        {{"workflow", key.workflow.value},
         {"step", key.step.value},
         {"task", key.task.value},
         {"run", run.value},
         {"worker", id.value},
         {"incarnation", reporter.value}});
    HandleUnreportedEnd(world, key, ref, now);
  }
}

// Logs that a worker has received an acknowledgement, so that no later holder
// reads these ends, if the tables do not place one of them or another
// incarnation has answered. The others are each logged as they are applied.
void LogAcknowledged(TaskWorker& worker, const OrderResult& hold) {
  if (hold.outcome != OrderOutcome::kDone || hold.acknowledged == EndNumber()) {
    return;
  }
  const WorkerIncarnation incarnation =
      hold.incarnation.value_or(worker.listing.incarnation);
  const bool unplaced = worker.unplaced_end != EndNumber() &&
                        hold.acknowledged >= worker.unplaced_end;
  if (!unplaced && incarnation == worker.listing.incarnation) {
    return;
  }
  worker.unplaced_end = EndNumber();
  Log(LogLevel::kWarn, "ends_acknowledged",
      {{"worker", hold.worker.value},
       {"incarnation", incarnation.value},
       {"in_table", worker.listing.incarnation.value},
       {"number", hold.acknowledged.value}});
}

void UpdateClock(const WorkflowWorld& world,
                 TaskWorker& worker,
                 const OrderResult& result) {
  if (result.clock && result.answered >= worker.clock_read) {
    worker.clock = *result.clock;
    worker.clock_read = result.answered;
    if (!worker.fenced) {
      // The previous holder's leases were granted earlier, relative to no later
      // reading of the worker's clock. An order to an earlier incarnation bears
      // an expiry on that incarnation's clock, for which the present one may
      // have granted its longest lease.
      const Duration lease =
          worker.restarted ? world.self.longest_lease : world.self.lease;
      worker.leased_until = std::max(
          worker.leased_until, worker.clock + WorkerClock(WholeMillis(lease)));
    }
  }
}

// Measures how long the worker takes to answer. Only the first hold to an
// incarnation is sent without a wait for certain.
void MeasureOrderTime(TaskWorker& worker, const OrderResult& result) {
  constexpr int kWeightOfEarlier = 3;
  const bool waits = result.kind == OrderKind::kHold && worker.fenced;
  if (waits || !result.clock || result.answered < result.sent) {
    return;
  }
  const Duration newest = std::max(Duration(1), result.answered - result.sent);
  worker.order_time = worker.order_time == Duration()
                          ? newest
                          : (worker.order_time * kWeightOfEarlier + newest) /
                                (kWeightOfEarlier + 1);
}

// Whether an answer reads an earlier time on the worker's clock than the
// incarnation in the table can read, so that a later one has given it.
bool ReadsRestartedClock(const TaskWorker& worker, const OrderResult& result) {
  return !result.incarnation && result.clock &&
         worker.clock_read != kDistantPast &&
         *result.clock < EarliestWorkerClock(worker, result.sent);
}

// Notes that the hold in flight has ended.
void EndHold(TaskWorker& worker) {
  worker.hold_in_flight = false;
  worker.answer_deadline = kNever;
}

// Whether the connection of the hold in flight ended before the answer was
// overdue, as when the worker's process has been replaced.
bool IsCutShort(const TaskWorker& worker, const OrderResult& hold) {
  return hold.outcome == OrderOutcome::kUnknown &&
         hold.answered < worker.answer_deadline;
}

void ApplyHold(WorkflowWorld& world,
               const OrderResult& hold,
               bool cut_short,
               TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(hold.worker);
  if (hold.outcome != OrderOutcome::kDone) {
    ++worker->unanswered_holds;
    // The worker may not have received the acknowledgement in this hold.
    worker->acknowledged_ends = EndNumber();
    const bool ask_at_once = cut_short && worker->unanswered_holds == 1;
    worker->next_hold =
        ask_at_once
            ? now
            : now + std::min(kMaxHoldRetryDelay,
                             kMinHoldRetryDelay *
                                 (1 << std::min(worker->unanswered_holds, 3U)));
    return;
  }
  worker->unanswered_holds = 0;
  NoteIdentified(*worker, hold);
  if (!worker->fenced) {
    worker->fenced = true;
    world.scheduling.placement_due = true;
  }
  ApplyEnds(world, hold, now);
  ReconcileRuns(world, hold, now);
  worker = world.scheduling.workers.find(hold.worker);
  if (worker->applied_ends > worker->recorded_ends) {
    worker->next_hold = now + kRecordWait;
  } else {
    // A hold that waits for no end is not repeated at once. A confirmed start
    // brings the next one forward.
    worker->next_hold = hold.running.empty() ? now + kUnreportedWait : now;
  }
}

// Asks the other workers of the service for a report, after one has not
// answered a start: what cut it off may have cut off others, and the next
// placement should avoid them.
void SweepIdleWorkers(WorkflowWorld& world,
                      const TaskWorker& silent,
                      TimePoint now) {
  IdleSweep& sweep = world.scheduling.sweep;
  if (now - sweep.began >= kSweepSpacing) {
    sweep = IdleSweep{.service = silent.listing.service, .began = now};
  }
}

void ApplyStart(WorkflowWorld& world, const OrderResult& start, TimePoint now) {
  const TaskRef ref = FindTask(world, start.task);
  if (!ref || ref.task->run != start.run ||
      ref.task->state != TaskState::kStarting) {
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
           {"incarnation", worker->listing.incarnation.value},
           {"placed_ms", WholeMillis(now - ref.task->since)},
           {"answer_ms", WholeMillis(start.answered - start.sent)}});
      MarkBegun(world, start.task.workflow, *ref.workflow);
      ref.task->state = TaskState::kRunning;
      ref.task->since = now;
      ref.task->last_running = now;
      ref.task->reported = true;
      ref.task->order_pending = false;
      worker->next_hold = now;
      return;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kUnknown:
      ref.task->start_unconfirmed |= start.outcome == OrderOutcome::kUnknown;
      SweepIdleWorkers(world, *worker, now);
      if (now - ref.task->since < kStartRetryTimeout) {
        worker->orders.push_front(
            WorkerOrder{.kind = OrderKind::kStart,
                        .worker = start.worker,
                        .task = start.task,
                        .run = start.run,
                        .payload = ref.workflow->spec.payload,
                        .checkpoint = ref.task->checkpoint});
        return;
      }
      ExcludeWorker(*worker, "no answer to a start within the retry time", now);
      if (ref.task->start_unconfirmed) {
        StopRun(world, start.task, ref, now);
      } else {
        LogRunGivenUp(*worker, start.task, *ref.task,
                      "its start could not be sent", now);
        HandleUnreportedEnd(world, start.task, ref, now);
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
       {"outcome", std::string(EnumName(start.outcome))}});
  ExcludeWorker(*worker, EnumName(start.outcome), now);
  if (ref.task->start_unconfirmed || start.outcome == OrderOutcome::kOldRun) {
    // An earlier attempt of this start may have been carried out, so that its
    // run is in progress or has ended, or may still be carried out. The stop
    // order rules out the latter, and the next hold shows whether the run has
    // begun and whether it has ended.
    StopRun(world, start.task, ref, now);
    return;
  }
  HandleUnreportedEnd(world, start.task, ref, now);
}

void ApplyStop(WorkflowWorld& world, const OrderResult& stop, TimePoint now) {
  TaskWorker* worker = world.scheduling.workers.find(stop.worker);
  if (stop.outcome == OrderOutcome::kDone) {
    if (const TaskRef ref = FindTask(world, stop.task);
        ref && ref.task->run == stop.run &&
        ref.task->state == TaskState::kStopping) {
      ref.task->since = now;
      ref.task->order_pending = false;
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

void ApplyOrderResults(WorkflowWorld& world,
                       const WorkflowInbox& inbox,
                       const WorkflowTime& time) {
  for (const OrderResult& result : inbox.order_results) {
    TaskWorker* worker = world.scheduling.workers.find(result.worker);
    if (world.holding.state != HoldingState::kHolding || worker == nullptr ||
        EpochOf(result.fence) != world.holding.own_epoch) {
      continue;
    }
    NoteUnansweredOrder(*worker, result, world.self.longest_lease);
    LogAcknowledged(*worker, result);
    // The order was sent before the worker was seen to restart, or before it
    // was asked again because it may have restarted.
    const bool outdated =
        result.fence !=
            MakeFence(world.holding.own_epoch, worker->fence_raises) ||
        (result.kind == OrderKind::kHold && result.sent < worker->hold_sent);
    const bool cut_short =
        result.kind == OrderKind::kHold && IsCutShort(*worker, result);
    if (result.kind != OrderKind::kHold) {
      worker->orders_in_flight.erase(result.task);
    } else if (!outdated) {
      EndHold(*worker);
    }
    if (result.outcome == OrderOutcome::kFenced && !outdated) {
      StopHolding(world, "a worker has accepted a higher fence", time.now);
      return;
    }
    if (result.outcome == OrderOutcome::kOtherIncarnation) {
      if (outdated) {
        // The present incarnation may have another address.
        continue;
      }
      worker->next_hold = time.now + kMaxHoldRetryDelay;
      // A worker that lives is listed again with each heartbeat.
      worker->listing_outdated = true;
      ReleaseLostTasks(world, result.worker,
                       "another process answers at its address", time.now);
      continue;
    }
    if (result.incarnation &&
        *result.incarnation != worker->listing.incarnation) {
      // An order that was sent after the present incarnation was known cannot
      // reach an earlier one. The number of a later one may be lower, as it is
      // a time on the worker's clock.
      if (*result.incarnation > worker->listing.incarnation ||
          result.sent > worker->incarnation_since) {
        ApplyWorkerRestart(world, result.worker, *result.incarnation, "answer",
                           time.now);
      }
      continue;
    }
    if (outdated) {
      // Other late orders may still change what the worker runs, so only a
      // report under the current fence counts. The answer to a start or stop
      // may be that of the earlier incarnation, whose clock is another.
      continue;
    }
    MeasureOrderTime(*worker, result);
    if (ReadsRestartedClock(*worker, result)) {
      AskForIncarnation(world, *worker, time.now);
    } else {
      UpdateClock(world, *worker, result);
    }
    switch (result.kind) {
      case OrderKind::kHold:
        ApplyHold(world, result, cut_short, time.now);
        break;
      case OrderKind::kStart:
        ApplyStart(world, result, time.now);
        break;
      case OrderKind::kStop:
        ApplyStop(world, result, time.now);
        break;
    }
  }
}

}  // namespace chicorystep
