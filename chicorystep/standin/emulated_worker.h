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

// A run of a task on an emulated worker.
struct EmulatedRun {
  RunNumber run;
  Capacity need;
  // When the work began; kNever until all members of the gang are present.
  TimePoint working_since = kNever;
  // When the worker executed the start order.
  TimePoint present_since{};
  // How long the task works before it ends by itself, at a worker speed of 1.
  Duration work{};
  bool gang = false;
  // The share of the requested processors that the run uses at a worker speed
  // of 1.
  double use = 1.0;
  // Speed of the run beside the others on the worker, relative to a run alone.
  double speed_beside = 1.0;
  // When a stop order takes effect; kNever without a stop order.
  TimePoint stops_at = kNever;
};

// A worker lists at most this many ends in one report.
inline constexpr std::size_t kEndsPerReport = 500;

// An in-memory model of one of the platform's workers.
struct EmulatedWorker {
  WorkerListing listing;
  bool up = true;
  // The worker's clock reads zero at `started` and runs `clock_rate` times as
  // fast as the time of the test.
  TimePoint started{};
  double clock_rate = 1.0;
  // Whether the worker rejects start orders that exceed its free capacity.
  bool enforces_capacity = true;
  // Speed of the tasks relative to a healthy worker.
  double speed = 1.0;
  // Every run fails soon after it has begun to work.
  bool fails_runs = false;
  // Whether a report lists the newest of its ends first. The platform's pages
  // leave the order open.
  bool lists_newest_first = false;
  // Whether an acknowledged number also counts for ends that come later, which
  // the platform's pages leave open.
  bool keeps_acknowledgements = false;

  Fence fence;
  WorkerClock leased_until;
  std::map<TaskKey, EmulatedRun> running;
  // The highest run of each task that was stopped or has ended on this worker;
  // start orders for this run and earlier ones are rejected.
  std::map<TaskKey, RunNumber> barred;
  // Reports of ended runs that no hold has acknowledged yet.
  std::vector<EndReport> ended;
  EndNumber last_end;
  EndNumber acknowledged;
};

[[nodiscard]] WorkerClock ReadWorkerClock(const EmulatedWorker& worker,
                                          TimePoint now);

// Whether `need` fits beside the tasks that run on the worker.
[[nodiscard]] bool HasFreeCapacity(const EmulatedWorker& worker,
                                   const Capacity& need);

// The number up to which a hold removes ends from the worker's list.
[[nodiscard]] EndNumber AcknowledgedEnds(const EmulatedWorker& worker,
                                         const WorkerOrder& hold);

// Executes an order and returns the worker's answer. A start order adds `run`.
// No order extends the lease by more than `longest_lease` from now. Only the
// answer to a hold names the incarnation.
[[nodiscard]] OrderResult ExecuteOrder(EmulatedWorker& worker,
                                       const WorkerOrder& order,
                                       const EmulatedRun& run,
                                       Duration stop_grace,
                                       Duration longest_lease,
                                       TimePoint now);

// Ends the task's run, if there is one, and queues the report of its end.
void EndRun(EmulatedWorker& worker, const TaskKey& task, RunEnd how);

// Restarts the worker process: the id stays, the incarnation rises and all
// other state is lost.
void Restart(EmulatedWorker& worker, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_EMULATED_WORKER_H_
