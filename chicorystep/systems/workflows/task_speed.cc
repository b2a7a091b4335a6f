#include "chicorystep/systems/workflows/task_speed.h"

#include <algorithm>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/interference/preference.h"
#include "chicorystep/systems/workflows/interference/task_kinds.h"
#include "chicorystep/systems/workflows/task_candidates.h"
#include "chicorystep/systems/workflows/task_worker_exclusion.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// A run's speed is measured only once the half second that a report covers lies
// well after the start of the run.
constexpr Duration kSpeedSettleTime = milliseconds(700);
// A measured speed counts as current for this long: the wait of a hold and some
// time for its answer.
constexpr Duration kSpeedMaxAge = milliseconds(1300);
// Healthy workers run at 0.6 of the full speed and above, slow ones at 0.3 and
// below.
constexpr double kMinHealthySpeed = 0.45;
// A kind that uses less than this share of its request everywhere says nothing
// of its worker.
constexpr double kMinTellingUse = 0.05;
// How often a task is moved off slow workers, and how often if its speed was
// judged by its request alone, which it may not need.
constexpr std::uint32_t kMaxMoves = 3;
constexpr std::uint32_t kMaxUncomparedMoves = 1;

// Whether the task runs in another rack than its data or the rest of its gang,
// which slows it down on any worker.
bool IsRemote(const WorkflowWorld& world, const TaskRef& ref) {
  const auto rack_of = [&](const Task& task) {
    const TaskWorker* worker = world.scheduling.workers.find(task.worker);
    return worker == nullptr ? Rack() : worker->rack;
  };
  const Rack rack = rack_of(*ref.task);
  if (!ref.spec->data_rack.empty() && rack != ref.spec->data_rack) {
    return true;
  }
  return ref.spec->same_rack &&
         std::any_of(ref.run->tasks.begin(), ref.run->tasks.end(),
                     [&](const Task& t) { return rack_of(t) != rack; });
}

// Returns the speed of a task, or of the fastest member of its gang: members
// with less work use no processor time while they wait for the others. A gang
// with a member that has no current measurement counts as running at full
// speed.
double ComputeSpeed(const TaskRef& ref, TimePoint now) {
  if (!ref.spec->gang) {
    return ref.task->speed;
  }
  double fastest = 0;
  for (const Task& member : ref.run->tasks) {
    fastest = std::max(
        fastest, now - member.measured <= kSpeedMaxAge ? member.speed : 1.0);
  }
  return fastest;
}

// Records how much the run uses, unless it is a member of a gang and waits for
// others that use more.
void RecordOwnUse(WorkflowWorld& world,
                  const TaskRef& ref,
                  KindNumber kind,
                  TimePoint now) {
  const auto uses_more = [&](const Task& member) {
    return now - member.measured > kSpeedMaxAge || member.use > ref.task->use;
  };
  if (!ref.spec->gang ||
      std::none_of(ref.run->tasks.begin(), ref.run->tasks.end(), uses_more)) {
    RecordUse(world.scheduling.interference, kind, ref.task->worker,
              ref.task->use, now);
  }
}

// Whether the task runs as fast on its worker as its neighbours there let
// expect.
bool IsHealthy(WorkflowWorld& world, const TaskRef& ref, TimePoint now) {
  const Interference& interference = world.scheduling.interference;
  double expected = 1.0;
  if (const TaskWorker* worker =
          world.scheduling.workers.find(ref.task->worker);
      worker != nullptr && IsInJudgedPair(interference, ref.run->kind)) {
    std::vector<KindNumber> others;
    for (const auto& [key, run] : worker->tasks) {
      const TaskRef other = FindTask(world, key);
      if (other && other.task != ref.task) {
        others.push_back(other.run->kind);
      }
    }
    expected = ExpectedSpeed(interference, ref.run->kind, others);
  }
  return ComputeSpeed(ref, now) >= kMinHealthySpeed * expected;
}

// Whether a worker other than the task's own may be given the task now.
bool MayRunElsewhere(const WorkflowWorld& world,
                     const TaskRef& ref,
                     TimePoint now) {
  const auto& rows = world.scheduling.workers.rows;
  return std::any_of(rows.begin(), rows.end(), [&](const TaskWorker& worker) {
    return worker.listing.id != ref.task->worker &&
           MeetsRequirements(worker.listing, *ref.workflow, *ref.spec) &&
           (ref.task->compared || Holds(worker.free, ref.spec->need)) &&
           FindRejection(world, worker, now) == WorkerRejection::kNone;
  });
}

// Whether the speed of the task tells something of its worker. Without a
// comparison it does only until the task has been moved, since the task may use
// as little everywhere.
bool TellsOfWorker(const WorkflowWorld& world,
                   const TaskRef& ref,
                   TimePoint now) {
  return ref.task->compared || (ref.task->moves < kMaxUncomparedMoves &&
                                MayRunElsewhere(world, ref, now));
}

// Whether the slow task may be moved off its worker.
bool MayMove(const WorkflowWorld& world, const TaskRef& ref, TimePoint now) {
  return ref.task->state == TaskState::kRunning &&
         (ref.workflow->terms.priority == 0 || ref.spec->saves_progress) &&
         ref.task->moves < kMaxMoves && TellsOfWorker(world, ref, now) &&
         MayRunElsewhere(world, ref, now);
}

// Whether the task is expected to end clearly sooner if it is restarted on
// another worker.
bool EndsSoonerElsewhere(const WorkflowWorld& world,
                         const TaskRef& ref,
                         double speed_here) {
  const Task& task = *ref.task;
  const Duration work = ref.spec->estimate;
  const Duration left = std::max(work - task.worked, work / 4);
  const double speed = std::max(speed_here, 0.05);
  const auto here = Duration(
      static_cast<Duration::rep>(static_cast<double>(left.count()) / speed));
  const Duration again = ref.spec->saves_progress ? left : work;
  return here > (again + world.self.stop_grace) * 3 / 2;
}

}  // namespace

bool UpdateSpeed(WorkflowWorld& world,
                 const TaskRef& ref,
                 const RunningReport& report,
                 TimePoint now) {
  Task& task = *ref.task;
  const std::int64_t need = ref.spec->need.processors.value;
  if (!report.in_use || need == 0 || task.state != TaskState::kRunning ||
      now - task.since < kSpeedSettleTime || ref.spec->long_running ||
      IsRemote(world, ref)) {
    return false;
  }
  const TimePoint from = std::max(task.measured, task.since);
  task.use = std::min(1.0, static_cast<double>(report.in_use->value) /
                               static_cast<double>(need));
  const KindNumber kind =
      ResolveKind(world.scheduling.interference, *ref.workflow, *ref.run, now);
  const std::optional<double> usual =
      UsualUse(world.scheduling.interference, kind, task.worker, now);
  task.compared = usual.has_value();
  const double full = usual.value_or(1.0);
  task.speed = full < kMinTellingUse ? 1.0 : std::min(1.0, task.use / full);
  const bool restarted = task.measured < task.since && task.checkpoint.empty();
  task.worked = (restarted ? Duration() : task.worked) +
                Duration(static_cast<Duration::rep>(
                    task.speed * static_cast<double>((now - from).count())));
  task.measured = now;
  RecordOwnUse(world, ref, kind, now);
  return true;
}

void CheckWorkerSpeed(WorkflowWorld& world,
                      const WorkerId& id,
                      const std::vector<TaskKey>& measured,
                      TimePoint now) {
  if (measured.empty()) {
    return;
  }
  const bool any_healthy =
      std::any_of(measured.begin(), measured.end(), [&](const TaskKey& key) {
        return IsHealthy(world, FindTask(world, key), now);
      });
  TaskWorker* worker = world.scheduling.workers.find(id);
  if (any_healthy) {
    return;
  }
  const bool tells =
      std::any_of(measured.begin(), measured.end(), [&](const TaskKey& key) {
        return TellsOfWorker(world, FindTask(world, key), now);
      });
  if (tells && now >= worker->excluded_until && MayExcludeAnother(world, now)) {
    ExcludeFaultyWorker(*worker, "its tasks run slowly", now);
  }
  for (const TaskKey& key : measured) {
    const TaskRef ref = FindTask(world, key);
    if (!MayMove(world, ref, now) ||
        !EndsSoonerElsewhere(world, ref, ComputeSpeed(ref, now))) {
      continue;
    }
    Log(LogLevel::kInfo, "moved_off_slow_worker",
        {{"workflow", key.workflow.value},
         {"step", key.step.value},
         {"task", key.task.value},
         {"worker", id.value},
         {"use", ref.task->use},
         {"speed", ref.task->speed},
         {"compared", ref.task->compared},
         {"worked_ms", WholeMillis(ref.task->worked)}});
    for (Task& task : ref.run->tasks) {
      if (&task == ref.task || ref.spec->gang) {
        ++task.moves;
      }
    }
    StopRun(world, key, ref, now);
  }
}

}  // namespace chicorystep
