#include "chicorystep/systems/task_candidates.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chicorystep/systems/workflow_tables.h"

namespace chicorystep {
namespace {

// How long a gang that runs slower across racks waits for a single rack.
constexpr Duration kSameRackTimeout = std::chrono::seconds(10);

TimePoint WaitingSince(const PlacementUnit& unit) {
  return std::max(unit.run->ready_since,
                  unit.run->tasks[unit.tasks.front().value].since);
}

// Whether the worker rejects starts that exceed its capacity. If it does not,
// orphaned runs occupy capacity that the tables do not account for.
bool EnforcesCapacity(const WorkflowWorld& world, const TaskWorker& worker) {
  const auto service = world.config->services.find(worker.listing.service);
  return service == world.config->services.end() ||
         service->second.enforces_capacity;
}

bool IsUsable(const WorkflowWorld& world,
              const TaskWorker& worker,
              TimePoint now) {
  return worker.fenced && worker.listed && !worker.listing.draining &&
         worker.unanswered_holds == 0 && now < worker.answer_deadline &&
         now >= worker.excluded_until &&
         (worker.orphaned_runs == 0 || EnforcesCapacity(world, worker));
}

// Packs the tasks of the unit onto the candidates at `indices`, fullest worker
// first (best fit), so that whole workers stay free for wide tasks. With
// `include_stopping`, capacity that stop orders will free counts as free.
std::optional<std::vector<std::size_t>> Pack(
    const TaskPlacementPass& pass,
    const PlacementUnit& unit,
    const std::vector<std::size_t>& indices,
    bool include_stopping) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  struct Bin {
    std::size_t candidate;
    Capacity free;
    std::uint32_t max_tasks;
    bool near_data;
  };
  std::vector<Bin> usable;
  for (const std::size_t index : indices) {
    const CandidateWorker& candidate = pass.candidates[index];
    if (!IsEligible(unit, spec, candidate)) {
      continue;
    }
    std::uint32_t max_tasks = static_cast<std::uint32_t>(unit.tasks.size());
    if (spec.max_per_worker > 0) {
      const std::uint32_t there =
          CountTasksOnWorker(unit, candidate.worker->listing.id);
      max_tasks = std::min(max_tasks, spec.max_per_worker -
                                          std::min(there, spec.max_per_worker));
    }
    const Capacity free =
        include_stopping ? candidate.free_after_stops
                         : Min(candidate.free_now, candidate.free_after_stops);
    if (max_tasks > 0 && Holds(free, spec.need)) {
      usable.push_back(
          Bin{.candidate = index,
              .free = free,
              .max_tasks = max_tasks,
              .near_data = spec.data_rack.empty() ||
                           candidate.worker->rack == spec.data_rack});
    }
  }
  std::stable_sort(
      usable.begin(), usable.end(), [](const Bin& a, const Bin& b) {
        return std::tuple(!a.near_data, a.free.accelerators, a.free.memory) <
               std::tuple(!b.near_data, b.free.accelerators, b.free.memory);
      });
  std::vector<std::size_t> chosen;
  for (Bin& bin : usable) {
    while (bin.max_tasks > 0 && chosen.size() < unit.tasks.size() &&
           Holds(bin.free, spec.need)) {
      bin.free = bin.free - spec.need;
      --bin.max_tasks;
      chosen.push_back(bin.candidate);
    }
  }
  if (chosen.size() < unit.tasks.size()) {
    return std::nullopt;
  }
  return chosen;
}

// Whether some rack could run the whole gang if nothing else ran there.
bool FitsOneRack(const TaskPlacementPass& pass, const PlacementUnit& unit) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  return std::any_of(
      pass.racks.begin(), pass.racks.end(), [&](const auto& rack) {
        std::size_t fits = 0;
        for (const std::size_t index : rack.second) {
          const CandidateWorker& candidate = pass.candidates[index];
          Capacity left = candidate.worker->listing.capacity;
          while (IsEligible(unit, spec, candidate) &&
                 fits < unit.tasks.size() && Holds(left, spec.need)) {
            left = left - spec.need;
            ++fits;
          }
        }
        return fits >= unit.tasks.size();
      });
}

// Whether there are enough accelerators for the unit, ignoring other resources.
// Rules out most waiting units without examining each worker.
bool MayFitByAccelerators(TaskPlacementPass& pass,
                          const PlacementUnit& unit,
                          bool include_stopping) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  const Accelerators each = spec.need.accelerators;
  if (each <= Accelerators{0}) {
    return true;
  }
  const auto [row, added] = pass.fit_counts.try_emplace(each);
  if (added) {
    for (const CandidateWorker& candidate : pass.candidates) {
      if (candidate.usable) {
        const Accelerators free_now =
            Min(candidate.free_now, candidate.free_after_stops).accelerators;
        row->second.now +=
            std::max<std::int64_t>(0, free_now.value / each.value);
        row->second.after_stops += std::max<std::int64_t>(
            0, candidate.free_after_stops.accelerators.value / each.value);
      }
    }
  }
  const std::int64_t fits =
      include_stopping ? row->second.after_stops : row->second.now;
  return fits >= std::ssize(unit.tasks);
}

}  // namespace

void AllocateCapacity(TaskPlacementPass& pass,
                      std::size_t candidate,
                      const Capacity& need) {
  CandidateWorker& row = pass.candidates[candidate];
  row.worker->free = row.worker->free - need;
  row.free_now = row.free_now - need;
  ReserveCapacity(pass, candidate, need);
}

void ReserveCapacity(TaskPlacementPass& pass,
                     std::size_t candidate,
                     const Capacity& need) {
  pass.candidates[candidate].free_after_stops =
      pass.candidates[candidate].free_after_stops - need;
  pass.fit_counts.clear();
}

void AddReclaimableCapacity(TaskPlacementPass& pass,
                            std::size_t candidate,
                            const Capacity& need) {
  pass.candidates[candidate].free_after_stops =
      pass.candidates[candidate].free_after_stops + need;
  pass.fit_counts.clear();
}

TaskPlacementPass BeginPass(WorkflowWorld& world, const WorkflowTime& time) {
  TaskPlacementPass pass{.world = &world, .time = time};
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    CandidateWorker candidate{.worker = &worker,
                              .free_now = worker.free,
                              .free_after_stops = worker.free,
                              .usable = IsUsable(world, worker, time.now)};
    for (const auto& [key, run] : worker.tasks) {
      if (const TaskRef ref = FindTask(world, key);
          ref && ref.task->state == TaskState::kStopping) {
        candidate.free_after_stops =
            candidate.free_after_stops + ref.spec->need;
      }
    }
    pass.racks[worker.rack].push_back(pass.candidates.size());
    pass.candidates.push_back(candidate);
  }
  return pass;
}

std::uint32_t CountTasksOnWorker(const PlacementUnit& unit,
                                 const WorkerId& worker) {
  return static_cast<std::uint32_t>(std::count_if(
      unit.run->tasks.begin(), unit.run->tasks.end(), [&](const Task& task) {
        return HoldsCapacity(task.state) && task.worker == worker;
      }));
}

bool MeetsRequirements(const WorkerListing& listing,
                       const Workflow& workflow,
                       const StepSpec& step) {
  return listing.service == workflow.terms.service &&
         (step.required_label.empty() ||
          std::find(listing.labels.begin(), listing.labels.end(),
                    step.required_label) != listing.labels.end());
}

bool IsEligible(const PlacementUnit& unit,
                const StepSpec& spec,
                const CandidateWorker& candidate) {
  return candidate.usable &&
         MeetsRequirements(candidate.worker->listing, *unit.workflow, spec);
}

bool NeedsOneRack(const TaskPlacementPass& pass, const PlacementUnit& unit) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  return spec.gang && spec.same_rack && unit.tasks.size() > 1 &&
         pass.time.now - WaitingSince(unit) < kSameRackTimeout &&
         FitsOneRack(pass, unit);
}

std::vector<std::size_t> ListAllCandidates(const TaskPlacementPass& pass) {
  std::vector<std::size_t> all(pass.candidates.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i] = i;
  }
  return all;
}

std::optional<std::vector<std::size_t>> SelectCandidates(
    TaskPlacementPass& pass,
    const PlacementUnit& unit,
    bool include_stopping) {
  if (!MayFitByAccelerators(pass, unit, include_stopping)) {
    return std::nullopt;
  }
  if (!NeedsOneRack(pass, unit)) {
    return Pack(pass, unit, ListAllCandidates(pass), include_stopping);
  }
  std::optional<std::vector<std::size_t>> best;
  Accelerators best_left{};
  for (const auto& [rack, members] : pass.racks) {
    if (auto chosen = Pack(pass, unit, members, include_stopping)) {
      Accelerators left{};
      for (const std::size_t index : members) {
        left += pass.candidates[index].free_now.accelerators;
      }
      if (!best || left < best_left) {
        best = std::move(chosen);
        best_left = left;
      }
    }
  }
  return best;
}

}  // namespace chicorystep
