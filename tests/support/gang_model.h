#ifndef TESTS_SUPPORT_GANG_MODEL_H_
#define TESTS_SUPPORT_GANG_MODEL_H_

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/encoding/job_record.h"
#include "chicorystep/standin/worker_standin.h"
#include "chicorystep/systems/cells/cell_state.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/gangs.h"
#include "chicorystep/systems/cells/job_operations.h"
#include "chicorystep/systems/cells/packing.h"
#include "chicorystep/systems/cells/scheduling.h"
#include "chicorystep/systems/cells/worker_polls.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep::testing {

inline constexpr std::size_t kHolders = 2;
inline constexpr std::size_t kWorkers = 3;
inline constexpr Duration kModelLease = std::chrono::seconds(8);
inline constexpr Duration kModelTimeStep = std::chrono::seconds(2);
// The bound on partial runs that docs/design/jobs.md states: one and a half
// lease times and one message delay. One further time step allows for
// the coarse time of the model.
inline constexpr Duration kModelPartialBound =
    kModelLease + kModelLease / 2 + 2 * kModelTimeStep;

// How often each fault may still occur on the current path.
struct FaultBudget {
  int duplicates = 0;
  int lost_messages = 0;
  int lost_answers = 0;
  int lost_acknowledgements = 0;
  int lost_appends = 0;
  int holder_crashes = 0;
  int worker_crashes = 0;
  int failed_starts = 0;
  int cancels = 0;
  int time_steps = 0;
};

// A message in flight from a holder to a worker.
struct ModelMessage {
  std::size_t holder = 0;
  SendWorkerCommands message;
  // The holder no longer waits for the answer, but the message may still
  // arrive.
  bool abandoned = false;
  TimePoint sent{};
};
struct ModelAnswer {
  std::size_t holder = 0;
  WorkerAnswered answer;
};
struct ModelAppend {
  std::size_t holder = 0;
  AppendRecord record;
};

// The state of the protocol for one gang: the real world of each holder, the
// real message handling of each worker, the log, and the messages and appends
// in flight.
struct GangModel {
  std::array<World, kHolders> holders;
  std::array<bool, kHolders> alive = {true, true};
  std::vector<WorkerStandin> workers;
  std::vector<LogRecord> log;
  std::vector<ModelMessage> messages;
  std::vector<ModelAnswer> answers;
  std::vector<ModelAppend> appends;
  TimePoint now{};
  FaultBudget budget;
  // All leases that any worker has granted, with the epoch of the grant.
  std::map<LeaseId, Epoch> granted;
  // The number of starts of each piece over all attempts.
  std::map<PieceIndex, int> starts;
  // When the current partial run began: one piece runs and the other neither
  // runs nor is done. kNever if there is no partial run.
  TimePoint partial_since = kNever;
  Duration longest_partial{};
  // The end states that callers were notified of.
  std::set<JobState> notified_ends;
  // The first violation found; empty if there is none.
  std::string violation;
};

// A possible next step of the model. The index of a ModelStep selects the
// holder, worker, message, answer or append that it applies to.
enum class ModelAction : std::uint8_t {
  kClaim,
  kTick,
  kReadLog,
  kDeliverMessage,
  kDuplicateMessage,
  kLoseMessage,
  kDeliverAnswer,
  kLoseAnswer,
  kCompleteAppend,
  kCompleteUnacknowledged,
  kLoseAppend,
  kCrashHolder,
  kCrashWorker,
  kFailStart,
  kCancel,
  kPassTime,
};
inline constexpr std::array kModelActionNames = {
    "claim",
    "tick",
    "read_log",
    "deliver_message",
    "duplicate_message",
    "lose_message",
    "deliver_answer",
    "lose_answer",
    "complete_append",
    "complete_unacknowledged",
    "lose_append",
    "crash_holder",
    "crash_worker",
    "fail_start",
    "cancel",
    "pass_time",
};
struct ModelStep {
  ModelAction action = ModelAction::kTick;
  std::size_t index = 0;
};

namespace impl {

inline WorkerMessage ToWorkerMessage(const SendWorkerCommands& message) {
  return WorkerMessage{message.holder, message.epoch,      message.sequence,
                       message.renew,  message.lease_time, message.commands};
}

inline WorkerAnswered MakeUnanswered(const SendWorkerCommands& message) {
  return WorkerAnswered{.worker = message.worker,
                        .cell = message.cell,
                        .epoch = message.epoch,
                        .sequence = message.sequence};
}

// Runs the systems of a tick that work on cells, in the order of the tick.
inline void RunCellSystems(World& world,
                           const Inbox& inbox,
                           TimePoint now,
                           Outbox& outbox) {
  ApplyCellBatches(world, inbox, now, outbox);
  ApplyAppendsEnded(world, inbox, now, outbox);
  HandleJobOperations(world, inbox, now, outbox);
  ApplyWorkerAnswers(world, inbox, now);
  RecoverGangs(world, now, outbox);
  PlanGuarantees(world, now);
  PlaceGangs(world, now);
  AdvanceGangs(world, now, outbox);
  PollWorkers(world, now, outbox);
}

inline const Zone kZone("z");
inline const JobId kJob("z.0000000000000001");

// Converts model time to the clock that the worker stand-in uses.
inline std::chrono::steady_clock::time_point WorkerTime(TimePoint now) {
  return std::chrono::steady_clock::time_point(now.time_since_epoch());
}

inline World MakeHolder(std::size_t index, const CellRecord& accepted) {
  World world;
  world.config_ready = true;
  world.self = Self{.id = EntryId(fmt::format("holder-{}", index)),
                    .member_timeout = std::chrono::minutes(1),
                    .lease_time = kModelLease,
                    .worker_poll_interval = kModelTimeStep,
                    .max_waiting_jobs = 10};
  Cell cell{.name = kDefaultCell, .caught_up = true};
  cell.racks = 1;
  cell.next_offset = Offset(1);
  for (std::size_t i = 0; i < kWorkers; ++i) {
    const ListedWorker listed{.id = WorkerId(fmt::format("w{}", i)),
                              .zone = kZone,
                              .rack = Rack("r"),
                              .accelerators = Accelerators{1}};
    world.instances.workers.push_back(listed);
    cell.workers.insert(listed.id,
                        Worker{.listed = listed, .free = CapacityOf(listed)});
    cell.polls.emplace(TimePoint{}, listed.id);
  }
  const PoolKey pool{PoolName("p"), Workspace("w")};
  world.config.pools.emplace(pool, Pool{.key = pool, .borrows = true});
  Enqueue(cell,
          cell.jobs.insert(kJob, Job{.spec = accepted.job,
                                     .pool = pool.name,
                                     .accepted_offset = Offset{}}),
          TimePoint{});
  world.jobs.cells.emplace(kDefaultCell, std::move(cell));
  return world;
}

inline Cell* FindCell(World& world) {
  const auto found = world.jobs.cells.find(kDefaultCell);
  return found == world.jobs.cells.end() ? nullptr : &found->second;
}

inline void ReportViolation(GangModel& model, std::string violation) {
  if (model.violation.empty()) {
    model.violation = std::move(violation);
  }
}

inline std::size_t CountLeases(const WorkerStandin& worker, PieceState state) {
  return static_cast<std::size_t>(std::count_if(
      worker.leases.begin(), worker.leases.end(),
      [&](const auto& row) { return row.second.state == state; }));
}

// Tracks the duration of partial runs and checks it against the bound.
inline void TrackPartialRuns(GangModel& model) {
  std::size_t running = 0;
  std::size_t done = 0;
  for (const WorkerStandin& worker : model.workers) {
    running += CountLeases(worker, PieceState::kRunning);
    done += CountLeases(worker, PieceState::kDone);
  }
  if (running == 0 || running + done >= 2) {
    model.partial_since = kNever;
    return;
  }
  if (model.partial_since == kNever) {
    model.partial_since = model.now;
  }
  model.longest_partial =
      std::max(model.longest_partial, model.now - model.partial_since);
  if (model.longest_partial > kModelPartialBound) {
    ReportViolation(model, "a gang ran partially for longer than the bound");
  }
}

// Checks that the lease of the other piece was granted in the same epoch as
// that of the started piece, and that a piece of a non-idempotent job starts
// only once.
inline void CheckStart(GangModel& model,
                       const WorkerStandin& worker,
                       const TaskEvent& event) {
  const auto lease = std::find_if(
      worker.leases.begin(), worker.leases.end(), [&](const auto& row) {
        return row.second.command.piece == event.piece &&
               row.second.state == event.state;
      });
  const std::string& id = lease->first.value;
  const LeaseId other(id.substr(0, id.size() - 1) +
                      (id.back() == '0' ? "1" : "0"));
  const auto own_grant = model.granted.find(lease->first);
  const auto other_grant = model.granted.find(other);
  if (other_grant == model.granted.end() ||
      other_grant->second != own_grant->second) {
    ReportViolation(
        model,
        fmt::format(
            "lease {} started, but lease {} was not granted in the same epoch",
            id, other.value));
  }
  const int starts = ++model.starts[event.piece];
  const World& any = model.holders[0];
  const Job* job = any.jobs.cells.at(kDefaultCell).jobs.find(kJob);
  if (starts > 1 && !job->spec.idempotent) {
    ReportViolation(
        model, fmt::format("piece {} of a non-idempotent job started twice",
                           event.piece.value));
  }
}

// Describes the state of the holders, the job and the leases for the message of
// a failed check.
inline std::string Describe(const GangModel& model) {
  std::string text;
  for (std::size_t i = 0; i < kHolders; ++i) {
    const Cell& cell = model.holders[i].jobs.cells.at(kDefaultCell);
    text += fmt::format("holder {} alive={} epoch={} recovered={} job={} ", i,
                        model.alive[i], cell.epoch.value, cell.recovered,
                        EnumName(cell.jobs.find(kJob)->state));
  }
  for (const WorkerStandin& worker : model.workers) {
    for (const auto& [id, lease] : worker.leases) {
      text += fmt::format("lease {} {} ", id.value, EnumName(lease.state));
    }
  }
  return text;
}

inline void DeliverMessage(GangModel& model, std::size_t index, bool keep) {
  const ModelMessage message = model.messages[index];
  if (!keep) {
    model.messages.erase(model.messages.begin() +
                         static_cast<std::ptrdiff_t>(index));
  }
  const auto position =
      static_cast<std::size_t>(message.message.worker.value.back() - '0');
  WorkerStandin& worker = model.workers[position];
  std::set<LeaseId> before;
  for (const auto& [id, lease] : worker.leases) {
    before.insert(id);
  }
  const std::size_t events = worker.events.size();
  const auto report = ApplyWorkerMessage(
      worker, ToWorkerMessage(message.message), WorkerTime(model.now));
  for (const auto& [id, lease] : worker.leases) {
    if (!before.contains(id)) {
      model.granted[id] = worker.epoch;
    }
  }
  for (std::size_t i = events; i < worker.events.size(); ++i) {
    if (worker.events[i].state == PieceState::kRunning) {
      CheckStart(model, worker, worker.events[i]);
    }
  }
  worker.events.clear();
  if (!keep && !message.abandoned) {
    WorkerAnswered answer = MakeUnanswered(message.message);
    answer.answered = report.has_value();
    answer.stale_epoch = !report.has_value();
    if (report) {
      answer.leases = report->leases;
    }
    model.answers.push_back(ModelAnswer{message.holder, std::move(answer)});
  }
}

inline void RecordNotifiedEnds(GangModel& model, const Outbox& outbox) {
  for (const EndJobOperation& end : outbox.ended_job_operations) {
    if (!end.refusal && HasEnded(end.status.state)) {
      model.notified_ends.insert(end.status.state);
    }
  }
  if (model.notified_ends.size() > 1) {
    ReportViolation(model, "callers were notified of different end states");
  }
}

inline void RunHolder(GangModel& model,
                      std::size_t holder,
                      const Inbox& inbox) {
  World& world = model.holders[holder];
  Outbox outbox;
  RunCellSystems(world, inbox, model.now, outbox);
  RecordNotifiedEnds(model, outbox);
  for (SendWorkerCommands& message : outbox.worker_commands) {
    model.messages.push_back(ModelMessage{
        .holder = holder, .message = std::move(message), .sent = model.now});
  }
  for (AppendRecord& record : outbox.appends) {
    model.appends.push_back(ModelAppend{holder, std::move(record)});
  }
}

inline void ReadLog(GangModel& model, std::size_t holder) {
  const Cell* cell = FindCell(model.holders[holder]);
  Inbox inbox;
  const auto from = static_cast<std::ptrdiff_t>(cell->next_offset.value);
  inbox.log_batches.push_back(
      LogBatch{CellStream(kDefaultCell),
               {model.log.begin() + from, model.log.end()},
               Offset(model.log.size())});
  RunHolder(model, holder, inbox);
}

inline void EndAppend(GangModel& model,
                      std::size_t index,
                      bool is_written,
                      bool acknowledged) {
  const ModelAppend append = model.appends[index];
  model.appends.erase(model.appends.begin() +
                      static_cast<std::ptrdiff_t>(index));
  if (is_written) {
    model.log.push_back(LogRecord{Offset(model.log.size()), append.record.id,
                                  append.record.data});
  }
  Inbox inbox;
  inbox.appends_ended.push_back(
      AppendEnded{append.record.stream, append.record.id, acknowledged});
  if (model.alive[append.holder]) {
    RunHolder(model, append.holder, inbox);
  }
}

inline void AbandonMessage(GangModel& model, std::size_t index) {
  ModelMessage& message = model.messages[index];
  message.abandoned = true;
  Inbox inbox;
  inbox.worker_answers.push_back(MakeUnanswered(message.message));
  const std::size_t holder = message.holder;
  if (model.alive[holder]) {
    RunHolder(model, holder, inbox);
  }
}

inline void LoseAnswer(GangModel& model, std::size_t index) {
  ModelAnswer lost = model.answers[index];
  model.answers.erase(model.answers.begin() +
                      static_cast<std::ptrdiff_t>(index));
  lost.answer.answered = false;
  lost.answer.stale_epoch = false;
  lost.answer.leases.clear();
  Inbox inbox;
  inbox.worker_answers.push_back(lost.answer);
  RunHolder(model, lost.holder, inbox);
}

inline void DeliverAnswer(GangModel& model, std::size_t index) {
  const ModelAnswer answer = model.answers[index];
  model.answers.erase(model.answers.begin() +
                      static_cast<std::ptrdiff_t>(index));
  Inbox inbox;
  inbox.worker_answers.push_back(answer.answer);
  RunHolder(model, answer.holder, inbox);
}

inline void AdvanceModelTime(GangModel& model) {
  model.now += kModelTimeStep;
  // The client of a holder stops waiting for an answer after its time-out,
  // which is one step.
  for (std::size_t i = 0; i < model.messages.size(); ++i) {
    ModelMessage& message = model.messages[i];
    if (!message.abandoned && model.now - message.sent >= kModelTimeStep) {
      message.abandoned = true;
      model.answers.push_back(
          ModelAnswer{message.holder, MakeUnanswered(message.message)});
    }
  }
  // The connection of an abandoned message is closed after another step, and a
  // message that has not arrived by then is lost.
  std::erase_if(model.messages, [&](const ModelMessage& message) {
    return message.abandoned && model.now - message.sent > 2 * kModelTimeStep;
  });
  for (WorkerStandin& worker : model.workers) {
    AdvanceTime(worker, WorkerTime(model.now));
    worker.events.clear();
  }
}

inline void CrashHolder(GangModel& model, std::size_t holder) {
  model.alive[holder] = false;
  std::erase_if(model.answers, [&](const ModelAnswer& answer) {
    return answer.holder == holder;
  });
  for (ModelMessage& message : model.messages) {
    message.abandoned |= message.holder == holder;
  }
}

inline void Cancel(GangModel& model, std::size_t holder) {
  Inbox inbox;
  inbox.job_operations.push_back(
      JobOperation{.exchange = ExchangeId(1),
                   .kind = JobOperationKind::kCancel,
                   .spec = JobSpec{.id = kJob, .workspace = Workspace("w")}});
  RunHolder(model, holder, inbox);
}

inline void Claim(GangModel& model, std::size_t holder) {
  World& world = model.holders[holder];
  Cell* cell = FindCell(world);
  Outbox outbox;
  cell->own_claim_id = AppendCellRecord(
      world, *cell,
      CellRecord{.kind = CellRecordKind::kClaim, .holder = world.self.id},
      outbox);
  model.appends.push_back(ModelAppend{holder, outbox.appends.front()});
}

}  // namespace impl

// Returns a model with one accepted job of two pieces, which both holders have
// read.
inline GangModel MakeGangModel(bool idempotent, FaultBudget budget) {
  CellRecord accepted{.kind = CellRecordKind::kJobAccepted};
  accepted.job =
      JobSpec{.id = impl::kJob,
              .workspace = Workspace("w"),
              .shape = Shape{.pieces = 2, .accelerators = Accelerators{1}},
              .command = "run-ms=4000"};
  accepted.job.idempotent = idempotent;
  GangModel model{
      .holders = {impl::MakeHolder(0, accepted), impl::MakeHolder(1, accepted)},
      .now = TimePoint(std::chrono::hours(2)),
      .budget = budget};
  model.log.push_back(
      LogRecord{Offset{}, RecordId("accepted"), EncodeCellRecord(accepted)});
  for (std::size_t i = 0; i < kWorkers; ++i) {
    WorkerStandin worker;
    worker.accelerators = Accelerators{1};
    model.workers.push_back(worker);
  }
  return model;
}

// Returns all steps that are possible in `model`.
inline std::vector<ModelStep> NextSteps(const GangModel& model) {
  std::vector<ModelStep> steps;
  const auto add = [&](bool possible, ModelAction action, std::size_t index) {
    if (possible) {
      steps.push_back(ModelStep{action, index});
    }
  };
  const FaultBudget& budget = model.budget;
  const std::size_t alive = model.alive[0] && model.alive[1] ? 2 : 1;
  for (std::size_t i = 0; i < kHolders; ++i) {
    const Cell& cell = model.holders[i].jobs.cells.at(kDefaultCell);
    const bool held = model.alive[i] && IsHeld(cell);
    add(model.alive[i] && cell.own_claim_id.empty() && !IsHeld(cell) &&
            model.now >= cell.claim_due &&
            cell.next_offset.value == model.log.size() &&
            (i == 0 || model.log.size() > 1 || !model.alive[0]),
        ModelAction::kClaim, i);
    add(model.alive[i] && cell.next_offset.value < model.log.size(),
        ModelAction::kReadLog, i);
    add(held && NextCellDue(model.holders[i]) <= model.now, ModelAction::kTick,
        i);
    add(held && budget.cancels > 0, ModelAction::kCancel, i);
    add(model.alive[i] && alive > 1 && budget.holder_crashes > 0,
        ModelAction::kCrashHolder, i);
  }
  for (std::size_t i = 0; i < model.messages.size(); ++i) {
    add(true, ModelAction::kDeliverMessage, i);
    add(budget.duplicates > 0, ModelAction::kDuplicateMessage, i);
    add(budget.lost_messages > 0 && !model.messages[i].abandoned,
        ModelAction::kLoseMessage, i);
  }
  for (std::size_t i = 0; i < model.answers.size(); ++i) {
    add(true, ModelAction::kDeliverAnswer, i);
    add(budget.lost_answers > 0, ModelAction::kLoseAnswer, i);
  }
  for (std::size_t i = 0; i < model.appends.size(); ++i) {
    add(true, ModelAction::kCompleteAppend, i);
    add(budget.lost_acknowledgements > 0, ModelAction::kCompleteUnacknowledged,
        i);
    add(budget.lost_appends > 0, ModelAction::kLoseAppend, i);
  }
  for (std::size_t i = 0; i < kWorkers; ++i) {
    add(budget.worker_crashes > 0 && !model.workers[i].leases.empty(),
        ModelAction::kCrashWorker, i);
    add(budget.failed_starts > 0 && !model.workers[i].faults.fail_starts,
        ModelAction::kFailStart, i);
  }
  add(budget.time_steps > 0, ModelAction::kPassTime, 0);
  return steps;
}

// Takes one step and checks the rules of the protocol.
inline void TakeStep(GangModel& model, ModelStep step) {
  FaultBudget& budget = model.budget;
  const std::size_t i = step.index;
  switch (step.action) {
    case ModelAction::kClaim:
      impl::Claim(model, i);
      break;
    case ModelAction::kTick:
      impl::RunHolder(model, i, Inbox{});
      break;
    case ModelAction::kReadLog:
      impl::ReadLog(model, i);
      break;
    case ModelAction::kDeliverMessage:
      impl::DeliverMessage(model, i, false);
      break;
    case ModelAction::kDuplicateMessage:
      --budget.duplicates;
      impl::DeliverMessage(model, i, true);
      break;
    case ModelAction::kLoseMessage:
      --budget.lost_messages;
      impl::AbandonMessage(model, i);
      break;
    case ModelAction::kDeliverAnswer:
      impl::DeliverAnswer(model, i);
      break;
    case ModelAction::kLoseAnswer:
      --budget.lost_answers;
      impl::LoseAnswer(model, i);
      break;
    case ModelAction::kCompleteAppend:
      impl::EndAppend(model, i, true, true);
      break;
    case ModelAction::kCompleteUnacknowledged:
      --budget.lost_acknowledgements;
      impl::EndAppend(model, i, true, false);
      break;
    case ModelAction::kLoseAppend:
      --budget.lost_appends;
      impl::EndAppend(model, i, false, false);
      break;
    case ModelAction::kCrashHolder:
      --budget.holder_crashes;
      impl::CrashHolder(model, i);
      break;
    case ModelAction::kCrashWorker:
      --budget.worker_crashes;
      model.workers[i].leases.clear();
      break;
    case ModelAction::kFailStart:
      --budget.failed_starts;
      model.workers[i].faults.fail_starts = true;
      break;
    case ModelAction::kCancel:
      --budget.cancels;
      impl::Cancel(model, i);
      break;
    case ModelAction::kPassTime:
      --budget.time_steps;
      impl::AdvanceModelTime(model);
      break;
  }
  impl::TrackPartialRuns(model);
}

// Delivers all messages without faults until the job has ended and no worker
// holds a lease. Reports a violation if this does not happen, or if the holders
// have different states of the job.
inline void RunToCompletion(GangModel& model) {
  constexpr int kMaxRounds = 400;
  model.budget = FaultBudget{.time_steps = kMaxRounds};
  std::erase_if(model.messages,
                [](const ModelMessage& message) { return message.abandoned; });
  for (WorkerStandin& worker : model.workers) {
    worker.faults.fail_starts = false;
  }
  const auto settled = [&] {
    for (std::size_t i = 0; i < kHolders; ++i) {
      const Job* job =
          model.holders[i].jobs.cells.at(kDefaultCell).jobs.find(impl::kJob);
      if (model.alive[i] && job != nullptr && !HasEnded(job->state)) {
        return false;
      }
    }
    return std::all_of(
        model.workers.begin(), model.workers.end(),
        [](const WorkerStandin& worker) { return worker.leases.empty(); });
  };
  for (int round = 0; round < kMaxRounds && !settled(); ++round) {
    // The number of steps per round is limited, so that time advances between
    // rounds.
    for (int step = 0; step < 40; ++step) {
      const auto steps = NextSteps(model);
      if (steps.front().action == ModelAction::kPassTime) {
        break;
      }
      TakeStep(model, steps.front());
    }
    TakeStep(model, ModelStep{ModelAction::kPassTime, 0});
    if (!model.violation.empty()) {
      return;
    }
  }
  if (!settled()) {
    impl::ReportViolation(model, "the job did not end or leases remained: " +
                                     impl::Describe(model));
  }
  std::set<JobState> ends;
  for (std::size_t i = 0; i < kHolders; ++i) {
    const Job* job =
        model.holders[i].jobs.cells.at(kDefaultCell).jobs.find(impl::kJob);
    if (model.alive[i] && job != nullptr) {
      ends.insert(job->state);
    }
  }
  if (ends.size() > 1) {
    impl::ReportViolation(model,
                          "the holders have different end states of the job");
  }
}

// Returns a hash of the state that determines which steps can follow, so that
// equivalent states have equal hashes.
inline std::uint64_t Fingerprint(const GangModel& model) {
  std::string text;
  const auto add = [&](const auto&... values) {
    ((text += fmt::format("{},", values)), ...);
  };
  const auto add_leases = [&](const std::vector<LeaseReport>& leases) {
    for (const LeaseReport& report : leases) {
      add(report.lease.value, static_cast<int>(report.state));
    }
    add("|");
  };
  const auto add_job = [&](const Job& job) {
    add(static_cast<int>(job.state), static_cast<int>(job.end_state),
        job.last_attempt.epoch.value, job.last_attempt.number,
        job.recorded_attempt.epoch.value, job.recorded_attempt.number,
        job.cancel_requested, job.may_have_run, job.failed_workers.size());
    for (const Piece& piece : job.pieces) {
      add(piece.worker.value, piece.lease.value, static_cast<int>(piece.state));
    }
  };
  const FaultBudget& budget = model.budget;
  add(budget.duplicates, budget.lost_messages, budget.lost_answers,
      budget.lost_acknowledgements, budget.lost_appends, budget.holder_crashes,
      budget.worker_crashes, budget.failed_starts, budget.cancels,
      budget.time_steps, model.alive[0], model.alive[1],
      model.now.time_since_epoch().count(),
      model.partial_since == kNever
          ? -1
          : model.partial_since.time_since_epoch().count());
  for (const World& world : model.holders) {
    const Cell& cell = world.jobs.cells.at(kDefaultCell);
    add(cell.next_offset.value, cell.own_claim_id.value, cell.epoch.value,
        cell.recovered, cell.unconfirmed.size(), cell.placement_due,
        cell.next_scan.time_since_epoch().count(),
        cell.recovery_deadline.time_since_epoch().count(),
        cell.pending_answers.size());
    add_job(*cell.jobs.find(impl::kJob));
    for (const Worker& worker : cell.workers.rows) {
      add(worker.last_answered_send.time_since_epoch().count(),
          worker.next_poll.time_since_epoch().count(),
          worker.last_renewal_send.time_since_epoch().count(),
          worker.sequence.value, worker.exchange_in_flight,
          worker.requested_leases.size());
      add_leases(worker.reported_leases);
    }
  }
  for (const WorkerStandin& worker : model.workers) {
    add(worker.epoch.value, worker.sequence.value, worker.faults.fail_starts);
    for (const auto& [id, lease] : worker.leases) {
      add(id.value, static_cast<int>(lease.state),
          lease.expiry.time_since_epoch().count());
    }
  }
  for (const ModelMessage& message : model.messages) {
    add(message.holder, message.message.worker.value,
        message.message.epoch.value, message.message.sequence.value,
        message.message.renew, message.abandoned);
    for (const WorkerCommand& command : message.message.commands) {
      add(command.lease.value, static_cast<int>(command.kind));
    }
  }
  for (const ModelAnswer& answer : model.answers) {
    add(answer.holder, answer.answer.worker.value, answer.answer.answered,
        answer.answer.stale_epoch);
    add_leases(answer.answer.leases);
  }
  for (const ModelAppend& append : model.appends) {
    add(append.holder, append.record.data);
  }
  for (const LogRecord& record : model.log) {
    add(record.id.value);
  }
  for (const auto& [lease, epoch] : model.granted) {
    add(lease.value, epoch.value);
  }
  for (const auto& [piece, starts] : model.starts) {
    add(piece.value, starts);
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_GANG_MODEL_H_
