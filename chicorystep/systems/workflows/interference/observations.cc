#include "chicorystep/systems/workflows/interference/observations.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

#include "chicorystep/systems/workflows/interference/task_kinds.h"

namespace chicorystep {
namespace {

// Samples that are kept of each kind.
constexpr std::size_t kMaxSamples = 128;

void Add(MeasuredUse& total, const MeasuredUse& use) {
  total.reports += use.reports;
  total.sum += use.sum;
}

Neighbour& FindOrAdd(ObservedRun& observed, KindNumber kind) {
  const auto found =
      std::find_if(observed.beside.begin(), observed.beside.end(),
                   [&](const Neighbour& row) { return row.kind == kind; });
  return found != observed.beside.end()
             ? *found
             : observed.beside.emplace_back(Neighbour{
                   .kind = kind, .from_begin = observed.reports == 1});
}

}  // namespace

void ObserveReport(WorkflowWorld& world,
                   const std::vector<TaskKey>& running,
                   const std::vector<TaskKey>& measured,
                   TimePoint now) {
  Interference& interference = world.scheduling.interference;
  std::vector<const Task*> tasks;
  std::vector<KindNumber> kinds;
  std::map<KindNumber, std::uint32_t> counts;
  for (const TaskKey& key : running) {
    const TaskRef ref = FindTask(world, key);
    tasks.push_back(ref.task);
    kinds.push_back(ResolveKind(interference, *ref.workflow, *ref.run, now));
    ++counts[kinds.back()];
  }
  auto next_measured = measured.begin();
  for (std::size_t i = 0; i < running.size(); ++i) {
    const Task& task = *tasks[i];
    ObservedRun& observed = interference.observed[running[i]];
    if (observed.run != task.run) {
      observed = ObservedRun{.run = task.run};
    }
    observed.newest = now;
    ++observed.reports;
    const bool has_use =
        next_measured != measured.end() && *next_measured == running[i];
    const MeasuredUse use{.reports = has_use ? 1U : 0U,
                          .sum = has_use ? task.use : 0.0};
    next_measured += has_use ? 1 : 0;
    Add(observed.use, use);
    for (const auto& [kind, count] : counts) {
      if (kind != kinds[i] || count > 1) {
        Add(FindOrAdd(observed, kind).use, use);
      }
    }
  }
}

void ObserveEnd(WorkflowWorld& world,
                const TaskKey& key,
                const TaskRef& ref,
                RunEnd end,
                TimePoint now) {
  Interference& interference = world.scheduling.interference;
  const auto found = interference.observed.find(key);
  if (found == interference.observed.end()) {
    return;
  }
  const ObservedRun observed = std::move(found->second);
  interference.observed.erase(found);
  KindRow* row = interference.kinds.find(ref.run->kind);
  // Members of a gang wait for the slowest one, whatever is beside them.
  if (row == nullptr || observed.run != ref.task->run ||
      observed.use.reports == 0 || ref.spec->gang) {
    return;
  }
  RunSample sample{.worker = ref.task->worker,
                   .workflow = key.workflow,
                   .beside = observed.beside,
                   .use = observed.use,
                   .at = now};
  // A later run may resume from a checkpoint and have less to do.
  if (const Duration ran = now - ref.task->since;
      end == RunEnd::kDone && observed.run.value == 1 && ran > Duration()) {
    sample.pace = static_cast<double>(ref.spec->estimate.count()) /
                  static_cast<double>(ran.count());
  }
  row->samples.push_back(std::move(sample));
  if (row->samples.size() > kMaxSamples) {
    row->samples.pop_front();
  }
  row->changed = true;
}

}  // namespace chicorystep
