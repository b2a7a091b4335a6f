#ifndef TESTS_SUPPORT_WORKER_FIELD_H_
#define TESTS_SUPPORT_WORKER_FIELD_H_

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/standin/emulated_worker.h"

namespace chicorystep {

using std::chrono::milliseconds;
using std::chrono::seconds;

// All workers of a run, in whatever time the run keeps, and what must never
// happen on them.
struct WorkerField {
  struct Submitted {
    WorkflowSpec spec;
    // How long the first task of a step really runs, and how much longer than
    // the one before each further one does, up to the 16th.
    Duration work = milliseconds(1000);
    Duration uneven{};
    // Runs of any task that end as failed before one ends well.
    std::uint32_t failing_runs = 0;
  };
  TimePoint now{};
  std::vector<EmulatedWorker> workers;
  std::map<WorkflowId, Submitted> submitted;
  Duration stop_grace = milliseconds(300);
  Duration longest_lease = milliseconds(10'000);
  std::uint64_t starts = 0;
  // Task names that a worker reported as done with the end acknowledged.
  std::set<TaskKey> settled;
  // Tasks of which any run has ended well.
  std::set<TaskKey> ended_well;
  // A good end, until its worker's lease has lapsed or its life is over.
  struct GoodEnd {
    WorkerId worker;
    WorkerLife life;
    EndNumber number;
    // The task was started again after it.
    bool restarted = false;
  };
  std::multimap<TaskKey, GoodEnd> good_ends;
  std::vector<std::string> violations;
  std::vector<TimePoint> start_times;
  // Workflows of which any task has begun.
  std::set<WorkflowId> started;

  // Adds workers of 8 accelerators, 32 cores and 128 GiB, 8 to a rack.
  void AddWorkers(int count,
                  const Service& service = Service("service"),
                  bool guards_capacity = true) {
    for (int i = 0; i < count; ++i) {
      const std::size_t number = this->workers.size();
      EmulatedWorker worker;
      worker.listing = WorkerListing{
          .id = WorkerId(fmt::format("w{}", number)),
          .service = service,
          .address = Address(fmt::format("10.0.0.{}:80", number)),
          .capacity =
              Capacity{Accelerators(8), Millicores(32'000), Mebibytes(131'072)},
          .labels = {"a", fmt::format("r{}", number / 8)},
          .life = WorkerLife(1)};
      worker.started = this->now;
      worker.guards_capacity = guards_capacity;
      this->workers.push_back(std::move(worker));
    }
  }

  EmulatedWorker* FindWorker(const WorkerId& id) {
    const auto found = std::find_if(
        this->workers.begin(), this->workers.end(),
        [&](const EmulatedWorker& w) { return w.listing.id == id; });
    return found == this->workers.end() ? nullptr : &*found;
  }

  // Carries out an order that has reached a worker, and checks what must hold.
  OrderEnded CarryOutOn(EmulatedWorker& worker, const WorkerOrder& order) {
    if (order.kind == OrderKind::kStart) {
      this->CheckStart(worker, order);
    }
    const std::size_t before = worker.running.size();
    for (const EndReport& end : worker.ended) {
      if (order.kind == OrderKind::kHold && order.fence >= worker.fence &&
          end.number <= order.acknowledged && end.end == RunEnd::kDone) {
        this->Settle(worker, end);
      }
    }
    OrderEnded ended =
        chicorystep::CarryOut(worker, order, this->MakeRun(order),
                              this->stop_grace, this->longest_lease, this->now);
    if (worker.running.size() > before) {
      ++this->starts;
      this->start_times.push_back(this->now);
      this->started.insert(order.task.workflow);
      if (!HasRoom(worker, Capacity{})) {
        this->violations.push_back(worker.listing.id.value +
                                   " runs more than it has room for");
      }
    }
    return ended;
  }

  // Lets tasks end, lapse and stop.
  void StepWorkers() {
    for (EmulatedWorker& worker : this->workers) {
      if (!worker.up) {
        continue;
      }
      if (ClockOf(worker, this->now) > worker.leased_until) {
        std::erase_if(this->good_ends, [&](const auto& row) {
          return row.second.worker == worker.listing.id;
        });
      }
      const auto running = worker.running;
      for (const auto& [key, seen] : running) {
        const auto present = worker.running.find(key);
        if (present == worker.running.end() ||
            !this->submitted.contains(key.workflow)) {
          continue;
        }
        this->StepRun(worker, key, present->second);
      }
    }
  }

  // Tasks that run on workers that are up.
  [[nodiscard]] std::size_t RunningTasks() const {
    std::size_t count = 0;
    for (const EmulatedWorker& worker : this->workers) {
      count += worker.up ? worker.running.size() : 0;
    }
    return count;
  }

 private:
  EmulatedRun MakeRun(const WorkerOrder& order) {
    EmulatedRun run{.run = order.run, .present_since = this->now};
    if (const auto found = this->submitted.find(order.task.workflow);
        order.kind == OrderKind::kStart && found != this->submitted.end()) {
      const StepSpec& step = found->second.spec.steps[order.task.step.value];
      run.need = step.need;
      run.work = found->second.work +
                 found->second.uneven * (order.task.task.value % 16);
      run.gang = step.gang;
    }
    return run;
  }

  // What must hold whenever a worker begins a task.
  void CheckStart(const EmulatedWorker& worker, const WorkerOrder& order) {
    const bool acts = order.fence >= worker.fence && order.until &&
                      *order.until > ClockOf(worker, this->now) &&
                      !worker.running.contains(order.task) &&
                      (!worker.barred.contains(order.task) ||
                       order.run > worker.barred.at(order.task));
    if (!acts) {
      return;
    }
    const std::string name =
        fmt::format("{}.{}.{}", order.task.workflow.value,
                    order.task.step.value, order.task.task.value);
    if (!this->submitted.contains(order.task.workflow)) {
      this->violations.push_back(name + " was never submitted");
    } else if (this->submitted.at(order.task.workflow).spec.payload !=
               order.payload) {
      this->violations.push_back(name + " is started with another payload");
    }
    const auto [from, to] = this->good_ends.equal_range(order.task);
    std::for_each(from, to, [](auto& row) { row.second.restarted = true; });
    if (this->settled.contains(order.task)) {
      this->violations.push_back(name + " starts after its end was settled");
    }
    for (const EmulatedWorker& other : this->workers) {
      if (other.up && other.listing.id != worker.listing.id &&
          other.running.contains(order.task)) {
        this->violations.push_back(fmt::format("{} runs on {} and {}", name,
                                               other.listing.id.value,
                                               worker.listing.id.value));
      }
    }
  }

  // A good end is settled once it is acknowledged, unless the lease lapsed in
  // between; the task must not have been started after it.
  void Settle(const EmulatedWorker& worker, const EndReport& end) {
    const auto [from, to] = this->good_ends.equal_range(end.task);
    for (auto it = from; it != to; ++it) {
      if (it->second.worker != worker.listing.id ||
          it->second.life != worker.listing.life ||
          it->second.number != end.number) {
        continue;
      }
      this->settled.insert(end.task);
      if (it->second.restarted) {
        this->violations.push_back(
            fmt::format("{}.{}.{} started again after its end on {}",
                        end.task.workflow.value, end.task.step.value,
                        end.task.task.value, worker.listing.id.value));
      }
    }
  }

  // Ends a run and notes a good end.
  void End(EmulatedWorker& worker, const TaskKey& task, RunEnd how) {
    EndRun(worker, task, how);
    if (how == RunEnd::kDone) {
      this->ended_well.insert(task);
      this->good_ends.emplace(task, GoodEnd{.worker = worker.listing.id,
                                            .life = worker.listing.life,
                                            .number = worker.last_end});
    }
  }

  // How many members of a gang's run are present on workers that are up.
  [[nodiscard]] std::size_t CountMembers(const TaskKey& key,
                                         RunNumber run) const {
    std::size_t count = 0;
    for (const EmulatedWorker& worker : this->workers) {
      for (const auto& [other, present] : worker.running) {
        count += worker.up && other.workflow == key.workflow &&
                         other.occurrence == key.occurrence &&
                         other.step == key.step && present.run == run
                     ? 1
                     : 0;
      }
    }
    return count;
  }

  void EndGang(const TaskKey& key, RunNumber run, RunEnd how) {
    for (EmulatedWorker& worker : this->workers) {
      std::vector<TaskKey> members;
      for (const auto& [other, present] : worker.running) {
        if (other.workflow == key.workflow &&
            other.occurrence == key.occurrence && other.step == key.step &&
            present.run == run) {
          members.push_back(other);
        }
      }
      for (const TaskKey& member : members) {
        this->End(
            worker, member,
            how == RunEnd::kDone || member == key ? how : RunEnd::kBroken);
      }
    }
  }

  void StepRun(EmulatedWorker& worker, const TaskKey& key, EmulatedRun& run) {
    const Submitted& what = this->submitted.at(key.workflow);
    const StepSpec& step = what.spec.steps[key.step.value];
    const auto end = [&](RunEnd how) {
      if (run.gang) {
        this->EndGang(key, run.run, how);
      } else {
        this->End(worker, key, how);
      }
    };
    if (ClockOf(worker, this->now) > worker.leased_until) {
      end(RunEnd::kLapsed);
    } else if (this->now >= run.stops_at) {
      end(RunEnd::kStopped);
    } else if (run.working_since == kNever) {
      if (!run.gang || this->CountMembers(key, run.run) == step.count) {
        run.working_since = this->now;
      } else if (this->now - run.present_since > seconds(3)) {
        EndRun(worker, key, RunEnd::kAlone);
      }
    } else if (run.gang && this->CountMembers(key, run.run) < step.count) {
      // A member has gone with its worker.
      EndRun(worker, key, RunEnd::kBroken);
    } else if (static_cast<double>((this->now - run.working_since).count()) *
                   worker.speed >=
               static_cast<double>(run.work.count())) {
      end(run.run.value <= what.failing_runs ? RunEnd::kFailed : RunEnd::kDone);
    }
  }
};

// A step of `count` tasks with `accelerators` each.
inline StepSpec MakeStep(std::uint32_t count,
                         std::int64_t accelerators,
                         bool gang = false) {
  return StepSpec{.count = count,
                  .need = Capacity{Accelerators(accelerators), Millicores(1000),
                                   Mebibytes(1024)},
                  .estimate = milliseconds(1000),
                  .gang = gang};
}

}  // namespace chicorystep

#endif  // TESTS_SUPPORT_WORKER_FIELD_H_
