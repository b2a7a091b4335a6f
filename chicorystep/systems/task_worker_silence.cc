#include "chicorystep/systems/task_worker_silence.h"

#include <algorithm>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/task_worker_clock.h"
#include "chicorystep/systems/workflow_holder.h"

namespace chicorystep {
namespace {

// How many holds a worker that has answered this holder may leave unanswered
// before it is noted. Most that miss one answer the next, and would lose their
// leases if the store failed just then. One that never answered has no lease
// from this holder to lose.
constexpr std::uint32_t kHoldsToNote = 2;

// One that is not listed has no address to answer from.
bool IsSilent(const TaskWorker& worker) {
  return !worker.tasks.empty() &&
         (worker.listing.address.empty() ||
          worker.silent_holds >= (worker.fenced ? kHoldsToNote : 1));
}

// A successor counts the times in a record from when it reads it, which may be
// as late as its own start. So records are renewed this often while any worker
// is silent, about as often as the shortest takeover.
constexpr Duration kNoteAge = std::chrono::seconds(1);

bool SilenceChanged(const WorkflowWorld& world) {
  const auto& rows = world.scheduling.workers.rows;
  return std::any_of(rows.begin(), rows.end(), [](const TaskWorker& worker) {
    return IsSilent(worker) != worker.noted_silent;
  });
}

}  // namespace

bool WantsSilenceNote(const WorkflowWorld& world, TimePoint now) {
  const auto& rows = world.scheduling.workers.rows;
  const bool noted =
      std::any_of(rows.begin(), rows.end(),
                  [](const TaskWorker& worker) { return worker.noted_silent; });
  return SilenceChanged(world) ||
         (noted && now - world.scheduling.silence_noted >= kNoteAge);
}

SilentWorkersRecord NoteSilence(WorkflowWorld& world, TimePoint now) {
  const bool changed = SilenceChanged(world);
  world.scheduling.silence_noted = now;
  SilentWorkersRecord record{.epoch = world.holding.own_epoch};
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    if (IsSilent(worker)) {
      worker.noted_silent = true;
      record.workers.push_back(SilentWorker{
          .id = worker.listing.id, .leased = LeasesLapseIn(worker, now)});
    }
  }
  if (changed) {
    Log(LogLevel::kInfo, "silent_workers_noted",
        {{"epoch", record.epoch.value}, {"workers", record.workers.size()}});
  }
  return record;
}

void ApplySilenceWritten(WorkflowWorld& world,
                         const SilentWorkersRecord& record) {
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    worker.noted_silent =
        std::any_of(record.workers.begin(), record.workers.end(),
                    [&](const SilentWorker& silent) {
                      return silent.id == worker.listing.id;
                    });
  }
}

void ApplySilentWorkers(Holding& holding,
                        const SilentWorkersRecord& record,
                        TimePoint now) {
  if (record.epoch == holding.epoch) {
    holding.heard = now;
  }
  SilentWorkers& noted = holding.silent[record.epoch.value % 2];
  noted.epoch = record.epoch;
  noted.lapse.clear();
  for (const auto& [id, leased] : record.workers) {
    noted.lapse[id] = now + OnSlowClocks(leased);
  }
}

void InheritLapse(const WorkflowWorld& world, TaskWorker& worker) {
  const Holding& holding = world.holding;
  worker.inherited_lapse =
      holding.claimed + kConfirmationBound + OnSlowClocks(world.self.lease);
  const std::uint64_t predecessor = holding.own_epoch.value - 1;
  const SilentWorkers& noted = holding.silent[predecessor % 2];
  // What an earlier holder noted says nothing of those after it.
  if (noted.epoch != Epoch(predecessor)) {
    return;
  }
  if (const auto row = noted.lapse.find(worker.listing.id);
      row != noted.lapse.end()) {
    worker.inherited_lapse = std::min(worker.inherited_lapse, row->second);
  }
}

bool MayLease(const TaskWorker& worker) noexcept {
  return worker.silent_holds == 0 && !worker.noted_silent;
}

}  // namespace chicorystep
