#ifndef CHICORYSTEP_STANDIN_EMULATED_WORKER_H_
#define CHICORYSTEP_STANDIN_EMULATED_WORKER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/tables/task_workers.h"

namespace chicorystep {

// A run on an emulated worker.
struct EmulatedRun {
  RunNumber run;
  Capacity need;
  // When it began to work; kNever while its gang is not whole.
  TimePoint working_since = kNever;
  TimePoint present_since{};
  // When it ends by itself, once it works.
  Duration work{};
  bool gang = false;
  // When a stop order takes effect; kNever without one.
  TimePoint stops_at = kNever;
};

// The rules of one of the platform's workers as a plain struct.
struct EmulatedWorker {
  WorkerListing listing;
  bool up = true;
  // Its clock began at zero when it started, and may run slow.
  TimePoint started{};
  double clock_rate = 1.0;
  // Whether it rejects what does not fit.
  bool guards_capacity = true;
  // How fast its tasks go, compared with a sound worker.
  double speed = 1.0;

  Epoch fence;
  WorkerClock leased_until;
  std::map<TaskKey, EmulatedRun> running;
  // The highest run of each task that was stopped or has ended here.
  std::map<TaskKey, RunNumber> barred;
  std::vector<EndReport> ended;
  EndNumber last_end;
  EndNumber acknowledged;
};

[[nodiscard]] WorkerClock ClockOf(const EmulatedWorker& worker, TimePoint now);

// Whether `need` fits beside what runs there.
[[nodiscard]] bool HasRoom(const EmulatedWorker& worker, const Capacity& need);

// Carries out an order and gives its answer. `run` is what a start would run.
[[nodiscard]] OrderEnded CarryOut(EmulatedWorker& worker,
                                  const WorkerOrder& order,
                                  const EmulatedRun& run,
                                  Duration stop_grace,
                                  Duration longest_lease,
                                  TimePoint now);

// Ends a run there.
void EndRun(EmulatedWorker& worker, const TaskKey& task, RunEnd how);

// The process starts anew under its id and knows nothing.
void Restart(EmulatedWorker& worker, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_EMULATED_WORKER_H_
