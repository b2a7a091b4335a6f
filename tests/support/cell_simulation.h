#ifndef TESTS_SUPPORT_CELL_SIMULATION_H_
#define TESTS_SUPPORT_CELL_SIMULATION_H_

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chicorystep/control/tick.h"
#include "chicorystep/encoding/job_record.h"
#include "chicorystep/systems/cells/cell_state.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/job_operations.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"
#include "tests/support/ready_config.h"

namespace chicorystep::testing {

// A simulation of one cell in virtual time. It runs the real tick over a world,
// with simulated workers and a simulated log that answer after a fixed delay.
// No other property of a network is modelled.
inline const Zone kSimulatedZone("z");
inline constexpr Duration kWorkerDelay = std::chrono::milliseconds(1);
inline constexpr Duration kLogDelay = std::chrono::milliseconds(5);

struct SimulatedTask {
  JobId job;
  PieceIndex piece;
  PieceState state = PieceState::kReserved;
  Capacity capacity;
  TimePoint ends_at{};
};

struct SimulatedWorker {
  Capacity capacity;
  std::map<LeaseId, SimulatedTask> tasks;
  bool fails_starts = false;
  bool dead = false;
};

// The simulated properties and the observed results of a job.
struct SimulatedJob {
  JobSpec spec;
  TimePoint submitted{};
  // The run time that its pieces have left.
  Duration remaining{};
  // Its tasks never complete a requested checkpoint.
  bool checkpoint_hangs = false;
  bool fails_everywhere = false;
  std::optional<TimePoint> started;
  std::optional<TimePoint> ended;
  JobState end_state = JobState::kWaiting;
  std::optional<Refusal> refusal;
  int starts = 0;
};

// The time from the placement of a guaranteed gang to its start.
struct GuaranteedStart {
  JobId job;
  Duration delay{};
};

struct CellSimulation {
  World world;
  TimePoint now = TimePoint(std::chrono::seconds(10));
  std::map<WorkerId, SimulatedWorker> workers;
  std::vector<LogRecord> log;
  std::multimap<TimePoint, WorkerAnswered> answers;
  std::multimap<TimePoint, AppendRecord> appends;
  std::unordered_map<JobId, SimulatedJob> jobs;
  std::vector<GuaranteedStart> guaranteed_starts;
  Inbox inbox;
  std::vector<EndJobOperation> ended_operations;
  // The processor time of each tick.
  std::vector<std::chrono::nanoseconds> tick_costs;
  std::uint64_t messages = 0;
  std::uint64_t commands = 0;
  std::uint64_t records = 0;
};

namespace impl {

inline std::chrono::nanoseconds ThreadTime() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return std::chrono::seconds(spent.tv_sec) +
         std::chrono::nanoseconds(spent.tv_nsec);
}

inline void StartTask(CellSimulation& sim,
                      SimulatedWorker& worker,
                      SimulatedTask& task) {
  SimulatedJob& job = sim.jobs[task.job];
  if (worker.fails_starts || job.fails_everywhere) {
    task.state = PieceState::kFailed;
    return;
  }
  task.state = PieceState::kRunning;
  task.ends_at = sim.now + job.remaining;
  if (task.piece != PieceIndex(0)) {
    return;
  }
  ++job.starts;
  const Job* row = sim.world.jobs.cells.at(kDefaultCell).jobs.find(task.job);
  if (row->guaranteed) {
    sim.guaranteed_starts.push_back(
        GuaranteedStart{task.job, sim.now - row->placed_at});
  }
  if (!job.started) {
    job.started = sim.now;
  }
}

inline void ApplyCommand(CellSimulation& sim,
                         SimulatedWorker& worker,
                         const WorkerCommand& command) {
  const auto found = worker.tasks.find(command.lease);
  switch (command.kind) {
    case WorkerCommandKind::kReserve: {
      Capacity used{command.accelerators, command.processors, command.memory};
      const Capacity need = used;
      for (const auto& [id, task] : worker.tasks) {
        if (task.state != PieceState::kDone) {
          used = used + task.capacity;
        }
      }
      if (Holds(worker.capacity, used)) {
        worker.tasks.emplace(
            command.lease,
            SimulatedTask{
                .job = command.job, .piece = command.piece, .capacity = need});
      }
      break;
    }
    case WorkerCommandKind::kStart:
      if (found != worker.tasks.end() &&
          found->second.state == PieceState::kReserved) {
        StartTask(sim, worker, found->second);
      }
      break;
    case WorkerCommandKind::kCheckpoint:
      if (found != worker.tasks.end() &&
          found->second.state == PieceState::kRunning) {
        SimulatedJob& job = sim.jobs[command.job];
        if (!job.checkpoint_hangs) {
          found->second.state = PieceState::kCheckpointed;
          job.remaining =
              std::min(job.remaining, found->second.ends_at - sim.now);
        }
      }
      break;
    default:
      if (found != worker.tasks.end()) {
        worker.tasks.erase(found);
      }
      break;
  }
}

inline void Deliver(CellSimulation& sim, const SendWorkerCommands& message) {
  SimulatedWorker& worker = sim.workers[message.worker];
  ++sim.messages;
  sim.commands += message.commands.size();
  WorkerAnswered answer{.worker = message.worker,
                        .cell = message.cell,
                        .epoch = message.epoch,
                        .sequence = message.sequence,
                        .answered = !worker.dead};
  if (!worker.dead) {
    for (auto& [id, task] : worker.tasks) {
      if (task.state == PieceState::kRunning && sim.now >= task.ends_at) {
        task.state = PieceState::kDone;
      }
    }
    for (const WorkerCommand& command : message.commands) {
      ApplyCommand(sim, worker, command);
    }
    for (const auto& [id, task] : worker.tasks) {
      answer.leases.push_back(
          LeaseReport{id, task.job, task.piece, task.state});
    }
  }
  sim.answers.emplace(sim.now + kWorkerDelay, std::move(answer));
}

// Appends a record to the log, delivers the results to `inbox`, and records
// the end of a job in `sim` if there is one in the record.
inline void CompleteAppend(CellSimulation& sim,
                           const AppendRecord& append,
                           Inbox& inbox) {
  const LogRecord record{Offset(sim.log.size()), append.id, append.data};
  sim.log.push_back(record);
  ++sim.records;
  inbox.appends_ended.push_back(AppendEnded{append.stream, append.id, true});
  inbox.log_batches.push_back(
      LogBatch{append.stream, {record}, Offset(sim.log.size())});
  // The holder of the cell also appends to the configuration stream.
  if (append.stream != CellStream(kDefaultCell)) {
    return;
  }
  const auto decoded = DecodeCellRecord(append.data);
  if (!decoded) {
    throw std::runtime_error("cannot decode a record of the cell stream: " +
                             decoded.error().detail);
  }
  if (const CellRecord& value = decoded.value();
      value.kind == CellRecordKind::kJobEnded) {
    SimulatedJob& job = sim.jobs[value.job.id];
    job.ended = sim.now;
    job.end_state = value.end_state;
  }
}

inline void ApplyOutbox(CellSimulation& sim, const Outbox& outbox) {
  for (const FollowStream& follow : outbox.follows) {
    sim.inbox.log_batches.push_back(LogBatch{follow.stream, {}, Offset{}});
  }
  for (const AppendRecord& append : outbox.appends) {
    sim.appends.emplace(sim.now + kLogDelay, append);
  }
  for (const SendWorkerCommands& message : outbox.worker_commands) {
    Deliver(sim, message);
  }
  for (const EndJobOperation& end : outbox.ended_job_operations) {
    sim.ended_operations.push_back(end);
    if (end.refusal) {
      for (auto& [id, job] : sim.jobs) {
        if (ExchangeId(std::hash<JobId>{}(id)) == end.exchange) {
          job.refusal = end.refusal;
        }
      }
    }
  }
}

inline bool HasInput(const Inbox& inbox) {
  return !inbox.log_batches.empty() || !inbox.job_operations.empty() ||
         !inbox.instance_lists.empty();
}

}  // namespace impl

// Advances the time to the next due event, but not past `end`, and runs one
// tick.
inline void StepSimulation(CellSimulation& sim, TimePoint end) {
  TimePoint due = std::min(end, NextDue(sim.world, sim.now));
  if (!sim.answers.empty()) {
    due = std::min(due, sim.answers.begin()->first);
  }
  if (!sim.appends.empty()) {
    due = std::min(due, sim.appends.begin()->first);
  }
  if (!impl::HasInput(sim.inbox)) {
    sim.now = std::max(sim.now, due);
  }
  Inbox inbox = std::exchange(sim.inbox, Inbox{});
  while (!sim.appends.empty() && sim.appends.begin()->first <= sim.now) {
    impl::CompleteAppend(sim, sim.appends.begin()->second, inbox);
    sim.appends.erase(sim.appends.begin());
  }
  while (!sim.answers.empty() && sim.answers.begin()->first <= sim.now) {
    inbox.worker_answers.push_back(std::move(sim.answers.begin()->second));
    sim.answers.erase(sim.answers.begin());
  }
  const auto before = impl::ThreadTime();
  const Outbox outbox = Tick(sim.world, inbox, sim.now);
  sim.tick_costs.push_back(impl::ThreadTime() - before);
  impl::ApplyOutbox(sim, outbox);
}

inline void RunSimulation(CellSimulation& sim, TimePoint end) {
  while (sim.now < end) {
    StepSimulation(sim, end);
  }
}

// Returns a cell of `workers` workers with 8 accelerators each, and `per_rack`
// workers to a rack.
inline CellSimulation MakeSimulation(int workers, int per_rack) {
  CellSimulation sim;
  MakeConfigReady(sim.world);
  sim.world.self = Self{.id = EntryId("entry-1"),
                        .zone = kSimulatedZone,
                        .heartbeat_interval = std::chrono::hours(1),
                        .member_timeout = std::chrono::seconds(2),
                        .lease_time = std::chrono::seconds(10),
                        .worker_poll_interval = std::chrono::seconds(1),
                        .max_waiting_jobs = 100'000};
  InstanceList list;
  for (int i = 0; i < workers; ++i) {
    list.workers.push_back(
        ListedWorker{.id = WorkerId(fmt::format("w{:04}", i)),
                     .zone = kSimulatedZone,
                     .rack = Rack(fmt::format("r{:03}", i / per_rack)),
                     .accelerators = Accelerators{8},
                     .processors = Millicores{32'000},
                     .memory = Mebibytes{128 * 1024}});
    sim.workers[list.workers.back().id].capacity =
        CapacityOf(list.workers.back());
  }
  sim.inbox.instance_lists.push_back(std::move(list));
  return sim;
}

// Adds a pool row, and the routes "<priority>-repeatable" and "<priority>-once"
// to its pool.
inline void AddPool(CellSimulation& sim, Pool pool) {
  for (const Priority priority :
       {Priority::kUrgent, Priority::kNormal, Priority::kBulk}) {
    for (const bool idempotent : {true, false}) {
      const Kind kind(fmt::format("{}-{}", EnumName(priority),
                                  idempotent ? "repeatable" : "once"));
      sim.world.config.routes[kind] = Route{.kind = kind,
                                            .service = Service("s"),
                                            .pool = pool.key.name,
                                            .priority = priority,
                                            .idempotent = idempotent};
    }
  }
  sim.world.config.pools[pool.key] = std::move(pool);
  sim.world.config.revision = Revision(sim.world.config.revision.value + 1);
}

// Submits a job that runs for `run_time`, and returns its id.
inline JobId Submit(CellSimulation& sim,
                    JobSpec spec,
                    Duration run_time,
                    bool checkpoint_hangs = false) {
  JobId id = MakeJobId(kDefaultCell, spec.workspace, spec.request_id);
  sim.jobs[id] = SimulatedJob{.spec = spec,
                              .submitted = sim.now,
                              .remaining = run_time,
                              .checkpoint_hangs = checkpoint_hangs};
  sim.inbox.job_operations.push_back(
      JobOperation{.exchange = ExchangeId(std::hash<JobId>{}(id)),
                   .kind = JobOperationKind::kSubmit,
                   .spec = std::move(spec)});
  return id;
}

inline const Cell& GetSimulatedCell(const CellSimulation& sim) {
  return sim.world.jobs.cells.at(kDefaultCell);
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_CELL_SIMULATION_H_
