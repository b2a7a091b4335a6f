#include "chicorystep/systems/workflows/task_candidates.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chicorystep/systems/workflows/interference/preference.h"
#include "chicorystep/systems/workflows/interference/task_kinds.h"
#include "chicorystep/systems/workflows/task_orders.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

// How long a gang that runs slower across racks waits for a single rack while
// the service is busy, so that it does not occupy the capacity of others for
// several times as long.
constexpr Duration kBusySameRackTimeout = std::chrono::seconds(10);
// The same while there is room. A workflow must not stand still for 3 s then.
constexpr Duration kSameRackTimeout = std::chrono::seconds(2);
// The same for a gang within its workspace's guarantee. It must have begun 2.9
// seconds after its acceptance, and may still have to wait 0.9 s for stops and
// 0.8 s for the records and starts of its tasks.
constexpr Duration kGuaranteedSameRackTimeout = std::chrono::milliseconds(1200);
// How long a gang waits for workers on which all its members can start before
// those that come first have waited for the gang time-out. After that it is
// placed wherever it fits, as the time of an order is only an estimate.
constexpr Duration kLimitedStartsTimeout = std::chrono::seconds(2);
// A service is busy while more than this share of it is in use, in percent. It
// is above the half below which a workflow must not stand still, since
// placements that have not started count as in use here.
constexpr std::int64_t kBusyPercent = 60;
// A preemption examines every running task of lower priority on every worker,
// so a pass plans only so many. Urgent units beyond that wait for the next
// pass.
constexpr std::size_t kMaxPreemptionsPerPass = 8;

// Since when no task of the unit has run although it is ready, whatever was
// placed and did not start.
TimePoint WaitingSince(const PlacementUnit& unit) {
  const std::size_t first = unit.tasks.front().value;
  return first < unit.run->tasks.size()
             ? std::max(unit.run->ready_since,
                        unit.run->tasks[first].last_running)
             : unit.run->ready_since;
}

// Whether the unit's workers take no more of its members than can start there
// in time.
bool LimitsStarts(const TaskPlacementPass& pass, const PlacementUnit& unit) {
  return unit.workflow->spec.steps[unit.run->step.value].gang &&
         pass.time.now - WaitingSince(unit) < kLimitedStartsTimeout;
}

// Whether much of the service's accelerators, or of its processors if it has
// none, is in use.
bool IsBusy(TaskPlacementPass& pass, const Service& service) {
  const auto [row, added] = pass.busy_services.try_emplace(service, false);
  if (added) {
    Capacity total;
    Capacity free;
    for (const CandidateWorker& candidate : pass.candidates) {
      const TaskWorker& worker = *candidate.worker;
      if (worker.listed && worker.listing.service == service) {
        total = total + worker.listing.capacity;
        free = free + worker.free;
      }
    }
    const bool accelerated = total.accelerators > Accelerators{0};
    const std::int64_t all =
        accelerated ? total.accelerators.value : total.processors.value;
    const std::int64_t used =
        all - (accelerated ? free.accelerators.value : free.processors.value);
    row->second = used * 100 > all * kBusyPercent;
  }
  return row->second;
}

// Whether the worker rejects starts that exceed its capacity. If it does not,
// orphaned runs occupy capacity that the tables do not account for.
bool EnforcesCapacity(const WorkflowWorld& world, const TaskWorker& worker) {
  const auto service = world.config->services.find(worker.listing.service);
  return service == world.config->services.end() ||
         service->second.enforces_capacity;
}

// Number of tasks of the unit's step run on each worker that it occupies.
std::map<WorkerId, std::uint32_t> CountTasksByWorker(
    const PlacementUnit& unit) {
  std::map<WorkerId, std::uint32_t> counts;
  for (const Task& task : unit.run->tasks) {
    if (HoldsCapacity(task.state)) {
      ++counts[task.worker];
    }
  }
  return counts;
}

// How a unit's tasks are kept apart from tasks that they slow down or that slow
// them down.
struct Apartness {
  // The unit's kind is part of a judged pair.
  bool applies = false;
  // Workers without such tasks come before fuller ones. Otherwise whole workers
  // are kept free for wide tasks first.
  bool before_fit = false;
  // The unit's tasks slow each other down.
  bool among_themselves = false;
};

Apartness FindApartness(TaskPlacementPass& pass, const PlacementUnit& unit) {
  Interference& interference = pass.world->scheduling.interference;
  if (interference.judged.empty()) {
    return {};
  }
  const KindNumber kind =
      ResolveKind(interference, *unit.workflow, *unit.run, pass.time.now);
  if (!IsInJudgedPair(interference, kind)) {
    return {};
  }
  const bool room = !IsBusy(pass, unit.workflow->terms.service);
  return Apartness{
      .applies = true,
      .before_fit = room,
      .among_themselves = room && Disturbance(interference, kind, {kind}) > 0};
}

// Packs the tasks of the unit onto the candidates at `indices`, fullest worker
// first (best fit), so that whole workers stay free for wide tasks. Of a
// divisible unit it packs as many as fit. With `include_stopping`, capacity
// that stop orders will free counts as free.
std::optional<std::vector<std::size_t>> Pack(
    const TaskPlacementPass& pass,
    const PlacementUnit& unit,
    const Apartness& apartness,
    const std::vector<std::size_t>& indices,
    bool include_stopping) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  struct Bin {
    std::size_t candidate;
    Capacity free;
    std::uint32_t max_tasks;
    bool near_data;
    int disturbance;
  };
  const Interference& interference = pass.world->scheduling.interference;
  const std::map<WorkerId, std::uint32_t> tasks_there =
      spec.max_per_worker > 0 ? CountTasksByWorker(unit)
                              : std::map<WorkerId, std::uint32_t>();
  const bool limits_starts = LimitsStarts(pass, unit);
  std::vector<Bin> usable;
  for (const std::size_t index : indices) {
    const CandidateWorker& candidate = pass.candidates[index];
    if (!IsEligible(unit, spec, candidate)) {
      continue;
    }
    std::uint32_t max_tasks = static_cast<std::uint32_t>(unit.tasks.size());
    if (spec.max_per_worker > 0) {
      const auto row = tasks_there.find(candidate.worker->listing.id);
      const std::uint32_t there = row == tasks_there.end() ? 0 : row->second;
      max_tasks = std::min(max_tasks, spec.max_per_worker -
                                          std::min(there, spec.max_per_worker));
    }
    if (limits_starts) {
      max_tasks = static_cast<std::uint32_t>(std::min<std::size_t>(
          max_tasks, CountGangStarts(pass.world->self, *candidate.worker)));
    }
    const Capacity free =
        include_stopping ? candidate.free_after_stops
                         : Min(candidate.free_now, candidate.free_after_stops);
    if (max_tasks > 0 && Holds(free, spec.need)) {
      usable.push_back(Bin{
          .candidate = index,
          .free = free,
          .max_tasks = max_tasks,
          .near_data = spec.data_rack.empty() ||
                       candidate.worker->rack == spec.data_rack,
          .disturbance =
              apartness.applies
                  ? Disturbance(interference, unit.run->kind, candidate.kinds)
                  : 0});
    }
  }
  std::stable_sort(
      usable.begin(), usable.end(), [&](const Bin& a, const Bin& b) {
        const auto order = [&](const Bin& bin) {
          return std::tuple(
              !bin.near_data, apartness.before_fit ? bin.disturbance : 0,
              bin.free.accelerators, bin.free.memory, bin.disturbance);
        };
        return order(a) < order(b);
      });
  std::vector<std::size_t> chosen;
  const auto fill = [&](Bin& bin, std::uint32_t most) {
    const std::uint32_t wanted = std::min(most, bin.max_tasks);
    for (std::uint32_t i = 0; i < wanted && chosen.size() < unit.tasks.size() &&
                              Holds(bin.free, spec.need);
         ++i) {
      bin.free = bin.free - spec.need;
      --bin.max_tasks;
      chosen.push_back(bin.candidate);
    }
  };
  if (apartness.among_themselves) {
    for (Bin& bin : usable) {
      if (bin.near_data && bin.disturbance == 0) {
        fill(bin, 1);
      }
    }
  }
  for (Bin& bin : usable) {
    fill(bin, bin.max_tasks);
  }
  if (chosen.empty() ||
      (chosen.size() < unit.tasks.size() && !unit.divisible)) {
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
  return fits >= (unit.divisible ? 1 : std::ssize(unit.tasks));
}

// Selects the rack that can run the unit and has the fewest accelerators free.
std::optional<std::vector<std::size_t>> SelectInOneRack(
    const TaskPlacementPass& pass,
    const PlacementUnit& unit,
    const Apartness& apartness,
    bool include_stopping) {
  std::optional<std::vector<std::size_t>> best;
  Accelerators best_left{};
  for (const auto& [rack, members] : pass.racks) {
    if (auto chosen = Pack(pass, unit, apartness, members, include_stopping)) {
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

}  // namespace

WorkerRejection FindRejection(const WorkflowWorld& world,
                              const TaskWorker& worker,
                              TimePoint now) {
  if (!worker.listed) {
    return WorkerRejection::kUnlisted;
  }
  if (worker.listing.draining) {
    return WorkerRejection::kDraining;
  }
  if (IsEvacuated(world.evacuations, worker.listing.zone)) {
    return WorkerRejection::kEvacuated;
  }
  if (!worker.fenced) {
    return WorkerRejection::kUnread;
  }
  if (worker.listing_outdated) {
    return WorkerRejection::kListingOutdated;
  }
  // A worker that is recorded as unresponsive is sent no start.
  if (worker.unanswered_holds > 0 || worker.recorded_unresponsive) {
    return WorkerRejection::kUnanswered;
  }
  if (now >= worker.answer_deadline) {
    return WorkerRejection::kAnswerOverdue;
  }
  if (now < worker.excluded_until) {
    return WorkerRejection::kExcluded;
  }
  return worker.orphaned_runs == 0 || EnforcesCapacity(world, worker)
             ? WorkerRejection::kNone
             : WorkerRejection::kOrphanedRuns;
}

FitRequirements MakeRequirements(const PlacementUnit& unit,
                                 bool one_rack,
                                 AvailableCapacity available) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  FitRequirements requirements{.service = unit.workflow->terms.service,
                               .label = spec.required_label,
                               .need = spec.need,
                               .one_rack = one_rack,
                               .available = available};
  if (available == AvailableCapacity::kFreeAfterPreemption && unit.guaranteed) {
    requirements.reclaiming = unit.workflow->terms.workspace;
  }
  return requirements;
}

bool IsKnownMisfit(const TaskPlacementPass& pass,
                   const FitRequirements& requirements,
                   std::size_t tasks) {
  return std::any_of(
      pass.misfits.begin(), pass.misfits.end(), [&](const KnownMisfit& row) {
        return tasks >= row.tasks && row.requirements == requirements;
      });
}

void RecordMisfit(TaskPlacementPass& pass,
                  const PlacementUnit& unit,
                  const FitRequirements& requirements) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  if (spec.max_per_worker > 0) {
    // Whether its tasks fit also depends on where the others run.
    return;
  }
  const std::size_t tasks = unit.divisible ? 1 : unit.tasks.size();
  const auto row = std::find_if(pass.misfits.begin(), pass.misfits.end(),
                                [&](const KnownMisfit& known) {
                                  return known.requirements == requirements;
                                });
  if (row == pass.misfits.end()) {
    pass.misfits.push_back(
        KnownMisfit{.requirements = requirements, .tasks = tasks});
  } else {
    row->tasks = std::min(row->tasks, tasks);
  }
}

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
  pass.misfits.clear();
}

TaskPlacementPass BeginPass(WorkflowWorld& world, const WorkflowTime& time) {
  TaskPlacementPass pass{.world = &world,
                         .time = time,
                         .preemptions_left = kMaxPreemptionsPerPass};
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    CandidateWorker candidate{
        .worker = &worker,
        .free_now = worker.free,
        .free_after_stops = worker.free,
        .usable =
            FindRejection(world, worker, time.now) == WorkerRejection::kNone};
    pass.racks[worker.rack].push_back(pass.candidates.size());
    pass.candidates.push_back(candidate);
  }
  Interference& interference = world.scheduling.interference;
  const bool needs_kinds = !interference.judged.empty();
  for (const WorkflowId& id : world.scheduling.open) {
    Workflow& workflow = *world.workflows.find(id);
    for (StepRun& run : workflow.runs) {
      for (const Task& task : run.tasks) {
        const bool stopping = task.state == TaskState::kStopping;
        if (!stopping && !(needs_kinds && HoldsCapacity(task.state))) {
          continue;
        }
        const auto row = world.scheduling.workers.index.find(task.worker);
        if (row == world.scheduling.workers.index.end()) {
          continue;
        }
        CandidateWorker& candidate = pass.candidates[row->second];
        if (stopping) {
          candidate.free_after_stops = candidate.free_after_stops +
                                       workflow.spec.steps[run.step.value].need;
        } else {
          candidate.kinds.push_back(
              ResolveKind(interference, workflow, run, time.now));
        }
      }
    }
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

bool NeedsOneRack(TaskPlacementPass& pass, const PlacementUnit& unit) {
  const StepSpec& spec = unit.workflow->spec.steps[unit.run->step.value];
  if (!spec.gang || !spec.same_rack || unit.tasks.size() <= 1) {
    return false;
  }
  if (const Duration waited = pass.time.now - WaitingSince(unit);
      waited >= kBusySameRackTimeout ||
      (waited >= kGuaranteedSameRackTimeout && unit.guaranteed) ||
      (waited >= kSameRackTimeout &&
       !IsBusy(pass, unit.workflow->terms.service))) {
    return false;
  }
  const FitRequirements requirements =
      MakeRequirements(unit, true, AvailableCapacity::kFreeNow);
  const auto known = std::find_if(pass.rack_fits.begin(), pass.rack_fits.end(),
                                  [&](const RackFit& row) {
                                    return row.tasks == unit.tasks.size() &&
                                           row.requirements == requirements;
                                  });
  if (known != pass.rack_fits.end()) {
    return known->fits;
  }
  const bool fits = FitsOneRack(pass, unit);
  pass.rack_fits.push_back(RackFit{
      .requirements = requirements, .tasks = unit.tasks.size(), .fits = fits});
  return fits;
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
  const bool one_rack = NeedsOneRack(pass, unit);
  FitRequirements requirements =
      MakeRequirements(unit, one_rack,
                       include_stopping ? AvailableCapacity::kFreeAfterStops
                                        : AvailableCapacity::kFreeNow);
  requirements.limited_starts = LimitsStarts(pass, unit);
  if (IsKnownMisfit(pass, requirements,
                    unit.divisible ? 1 : unit.tasks.size())) {
    return std::nullopt;
  }
  const Apartness apartness = FindApartness(pass, unit);
  auto chosen = one_rack
                    ? SelectInOneRack(pass, unit, apartness, include_stopping)
                    : Pack(pass, unit, apartness, ListAllCandidates(pass),
                           include_stopping);
  if (!chosen) {
    RecordMisfit(pass, unit, requirements);
  }
  return chosen;
}

}  // namespace chicorystep
