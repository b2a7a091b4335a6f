#ifndef TESTS_SUPPORT_STANDSTILL_H_
#define TESTS_SUPPORT_STANDSTILL_H_

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/worker_fleet.h"

namespace chicorystep {

// How long a workflow may have nothing running while there is room for a ready
// step of it; the users' bound.
inline constexpr Duration kStandstillBound = seconds(3);

// Finds workflows that stand still: nothing of them runs, a step is ready, its
// workers have room for twice its tasks, and less than half of their capacity
// is in use.
struct StandstillCheck {
  struct Standing {
    TimePoint since{};
    bool reported = false;
  };
  std::map<WorkflowId, Standing> standing;
  // The longest time that a workflow has stood still.
  Duration longest{};
  std::vector<std::string> violations;
};

// Whether all tasks of a step have succeeded; one end stands for a whole gang.
inline bool HasSucceeded(const WorkerFleet& fleet,
                         const WorkflowId& id,
                         const WorkflowSpec& spec,
                         StepIndex step,
                         Occurrence occurrence) {
  const StepSpec& steps = spec.steps[step.value];
  std::uint32_t done = 0;
  for (std::uint32_t i = 0; i < steps.count; ++i) {
    done += fleet.succeeded_tasks.contains(
                TaskKey{id, occurrence, step, TaskIndex(i)})
                ? 1
                : 0;
  }
  return steps.gang ? done > 0 : done == steps.count;
}

// The first step of a workflow without a schedule that is ready and has not
// succeeded.
inline std::optional<StepIndex> FindReadyStep(const WorkerFleet& fleet,
                                              const WorkflowId& id,
                                              const WorkflowSpec& spec) {
  const auto succeeded = [&](StepIndex step) {
    return HasSucceeded(fleet, id, spec, step, Occurrence(0));
  };
  for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
    const auto& needed = spec.steps[i].depends_on;
    if (!succeeded(StepIndex(i)) &&
        std::all_of(needed.begin(), needed.end(), succeeded)) {
      return StepIndex(i);
    }
  }
  return std::nullopt;
}

// Whether the workers that may run the step have room for twice its tasks, and
// less than half of the accelerators of the service are in use.
inline bool HasRoomTwiceOver(const WorkerFleet& fleet,
                             const Service& service,
                             const StepSpec& step) {
  std::uint64_t fits = 0;
  Accelerators used{};
  Accelerators total{};
  for (const EmulatedWorker& worker : fleet.workers) {
    const auto& labels = worker.listing.labels;
    if (!worker.up || worker.listing.draining ||
        worker.listing.service != service) {
      continue;
    }
    Capacity free = worker.listing.capacity;
    for (const auto& [task, run] : worker.running) {
      free = free - run.need;
    }
    total += worker.listing.capacity.accelerators;
    used += worker.listing.capacity.accelerators - free.accelerators;
    if (!step.required_label.empty() &&
        std::find(labels.begin(), labels.end(), step.required_label) ==
            labels.end()) {
      continue;
    }
    std::uint32_t here = 0;
    while (Holds(free, step.need) && fits < 2ULL * step.count &&
           (step.max_per_worker == 0 || here < 2 * step.max_per_worker)) {
      free = free - step.need;
      ++here;
      ++fits;
    }
  }
  return fits >= 2ULL * step.count && used * 2 < total;
}

// Whether anything of the workflow runs on a worker that is up.
inline bool IsAnythingRunning(const WorkerFleet& fleet, const WorkflowId& id) {
  return std::any_of(
      fleet.workers.begin(), fleet.workers.end(),
      [&](const EmulatedWorker& worker) {
        return worker.up &&
               std::any_of(
                   worker.running.begin(), worker.running.end(),
                   [&](const auto& row) { return row.first.workflow == id; });
      });
}

// Records whether the workflow, which has not ended, stands still now, and
// reports it once it has done so for the bound. Called at a constant rate.
inline void ObserveStandstill(StandstillCheck& check,
                              const WorkerFleet& fleet,
                              const Service& service,
                              const WorkflowId& id) {
  const auto submitted = fleet.submitted.find(id);
  const std::optional<StepIndex> ready =
      submitted == fleet.submitted.end()
          ? std::nullopt
          : FindReadyStep(fleet, id, submitted->second.spec);
  if (!ready || IsAnythingRunning(fleet, id) ||
      !HasRoomTwiceOver(fleet, service,
                        submitted->second.spec.steps[ready->value])) {
    check.standing.erase(id);
    return;
  }
  auto& row = check.standing
                  .try_emplace(id, StandstillCheck::Standing{fleet.now, false})
                  .first->second;
  const Duration stood = fleet.now - row.since;
  check.longest = std::max(check.longest, stood);
  if (stood >= kStandstillBound && !row.reported) {
    row.reported = true;
    check.violations.push_back(fmt::format(
        "{} stands still for {} ms: step {} could run", id.value,
        std::chrono::duration_cast<milliseconds>(stood).count(), ready->value));
  }
}

}  // namespace chicorystep

#endif  // TESTS_SUPPORT_STANDSTILL_H_
