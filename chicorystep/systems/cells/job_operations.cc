#include "chicorystep/systems/cells/job_operations.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/job_check.h"
#include "chicorystep/systems/cells/job_records.h"
#include "chicorystep/systems/cells/job_status.h"
#include "chicorystep/systems/cells/scheduling.h"

namespace chicorystep {
namespace impl {

void Refuse(Outbox& outbox,
            const JobOperation& operation,
            Execution execution,
            Reason reason,
            std::string detail) {
  outbox.ended_job_operations.push_back(EndJobOperation{
      operation.exchange,
      Refusal{execution, reason, std::move(detail), Duration{}}, JobStatus{}});
}

std::uint64_t HashSubmission(const Workspace& workspace,
                             const RequestId& request_id) {
  const std::string key = workspace.value + '\0' + request_id.value;
  return XXH3_64bits(key.data(), key.size());
}

// Chooses the cell of a job. Repeats of a submission get the same cell, since
// the choice depends only on the tables and the settings.
CellName ChooseCell(const CellMap& map, const Pool& pool, const JobSpec& spec) {
  std::set<CellName> cells;
  for (const Guarantee& guarantee : pool.guarantees) {
    cells.insert(CellForZone(map, guarantee.zone));
  }
  if (cells.empty()) {
    cells = ConfiguredCells(map);
  }
  const auto index =
      HashSubmission(spec.workspace, spec.request_id) % cells.size();
  return *std::next(cells.begin(), static_cast<std::ptrdiff_t>(index));
}

// Validates a submission and assigns the job id, or refuses it.
bool PrepareSubmission(const World& world,
                       JobOperation& operation,
                       Outbox& outbox) {
  JobSpec& spec = operation.spec;
  if (auto refusal = CheckJob(spec, world.self.job_limits)) {
    outbox.ended_job_operations.push_back(
        EndJobOperation{operation.exchange, std::move(refusal), JobStatus{}});
    return false;
  }
  const auto route = world.config.routes.find(spec.kind);
  if (route == world.config.routes.end()) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kUnknownKind,
           spec.kind.value);
    return false;
  }
  const auto pool =
      world.config.pools.find(PoolKey{route->second.pool, spec.workspace});
  if (pool == world.config.pools.end()) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kUnknownWorkspace,
           spec.workspace.value);
    return false;
  }
  if (world.instances.workers.empty()) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kNeverRunnable,
           "no availability zone has workers");
    return false;
  }
  const CellName cell = ChooseCell(world.self.cells, pool->second, spec);
  spec.id = MakeJobId(cell, spec.workspace, spec.request_id);
  spec.idempotent = route->second.idempotent;
  return true;
}

void Forward(const World& world,
             const JobOperation& operation,
             TimePoint now,
             Outbox& outbox) {
  const EntryId holder =
      PreferredHolder(world, CellNameOf(operation.spec.id), now);
  const Member* member = world.members.table.find(holder);
  if (operation.forwarded || member == nullptr) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kNotReady,
           "the cell has no holder yet");
    return;
  }
  outbox.forwards.push_back(ForwardJobOperation{member->address, operation});
}

bool IsSameJob(const JobSpec& a, const JobSpec& b) {
  return a.kind == b.kind && a.shape == b.shape && a.command == b.command;
}

// Returns why the cell can never run the job. Empty when it can, and while its
// workers are not known.
std::string FindNeverRunnableReason(const World& world,
                                    const Cell& cell,
                                    const JobSpec& spec) {
  const auto route = world.config.routes.find(spec.kind);
  if (route == world.config.routes.end() || cell.workers.empty()) {
    return "";
  }
  const auto pool =
      world.config.pools.find(PoolKey{route->second.pool, spec.workspace});
  return pool == world.config.pools.end()
             ? ""
             : ExplainNeverRunnable(world.self.cells, cell, pool->second,
                                    spec.shape);
}

void Submit(World& world,
            Cell& cell,
            const JobOperation& operation,
            Outbox& outbox) {
  if (const Job* job = cell.jobs.find(operation.spec.id)) {
    if (IsSameJob(job->spec, operation.spec)) {
      outbox.ended_job_operations.push_back(EndJobOperation{
          operation.exchange, std::nullopt, DescribeJob(cell, *job)});
    } else {
      Refuse(outbox, operation, Execution::kNotRun, Reason::kDuplicateId,
             "the request id names another job");
    }
    return;
  }
  if (cell.jobs.size() - cell.ended.size() >= world.self.max_waiting_jobs) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kOverloaded,
           "the cell's queue is full");
    return;
  }
  if (std::string reason = FindNeverRunnableReason(world, cell, operation.spec);
      !reason.empty()) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kNeverRunnable,
           std::move(reason));
    return;
  }
  const RecordId record = AppendCellRecord(
      world, cell,
      CellRecord{.kind = CellRecordKind::kJobAccepted, .job = operation.spec},
      outbox);
  cell.pending_answers.emplace(
      record, PendingAnswer{operation.exchange, operation.spec.id, true});
  JobUnderAcceptance& accepting = cell.under_acceptance[operation.spec.id];
  accepting.workspace = operation.spec.workspace;
  ++accepting.appends;
}

// Keeps the cancellation of a job that is unknown until its acceptance is read
// back, as it would be refused although the job runs afterwards. Returns
// whether there is such an acceptance.
bool WaitForAcceptance(Cell& cell, const JobOperation& operation) {
  const auto accepting = cell.under_acceptance.find(operation.spec.id);
  if (operation.kind != JobOperationKind::kCancel ||
      accepting == cell.under_acceptance.end() ||
      accepting->second.workspace != operation.spec.workspace) {
    return false;
  }
  accepting->second.cancels.push_back(operation);
  return true;
}

// Answers at once when the job has ended, otherwise when the cancellation is
// durable. Of a cancellation and an end, the first in the stream takes effect.
void Cancel(World& world,
            Cell& cell,
            const Job& job,
            const JobOperation& operation,
            Outbox& outbox) {
  if (HasEnded(job.state)) {
    outbox.ended_job_operations.push_back(
        EndJobOperation{operation.exchange, std::nullopt,
                        JobStatus{job.spec.id, job.state, job.end_detail}});
    return;
  }
  const RecordId record =
      AppendCellRecord(world, cell,
                       CellRecord{.kind = CellRecordKind::kJobCancelled,
                                  .job = JobSpec{.id = job.spec.id}},
                       outbox);
  cell.pending_answers.emplace(record,
                               PendingAnswer{operation.exchange, job.spec.id});
}

void HandleJobOperation(World& world,
                        JobOperation operation,
                        TimePoint now,
                        Outbox& outbox) {
  if (!world.config_ready) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kNotReady,
           "the tables have not been read yet");
    return;
  }
  if (operation.kind == JobOperationKind::kSubmit && !operation.forwarded &&
      !PrepareSubmission(world, operation, outbox)) {
    return;
  }
  const CellName name = CellNameOf(operation.spec.id);
  if (!world.jobs.known_cells.empty() &&
      !world.jobs.known_cells.contains(name)) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kUnknownJob,
           operation.spec.id.value);
    return;
  }
  const auto cell = world.jobs.cells.find(name);
  if (cell == world.jobs.cells.end() || !IsHeld(cell->second) ||
      cell->second.leaving) {
    Forward(world, operation, now, outbox);
    return;
  }
  if (operation.kind == JobOperationKind::kSubmit) {
    Submit(world, cell->second, operation, outbox);
    return;
  }
  const Job* job = cell->second.jobs.find(operation.spec.id);
  if (job == nullptr && WaitForAcceptance(cell->second, operation)) {
    return;
  }
  if (job == nullptr || job->spec.workspace != operation.spec.workspace) {
    Refuse(outbox, operation, Execution::kNotRun, Reason::kUnknownJob,
           operation.spec.id.value);
    return;
  }
  if (operation.kind == JobOperationKind::kCancel) {
    Cancel(world, cell->second, *job, operation, outbox);
    return;
  }
  outbox.ended_job_operations.push_back(EndJobOperation{
      operation.exchange, std::nullopt, DescribeJob(cell->second, *job)});
}

}  // namespace impl

JobId MakeJobId(const CellName& cell,
                const Workspace& workspace,
                const RequestId& request_id) {
  return JobId(fmt::format("{}.{:016x}", cell.value,
                           impl::HashSubmission(workspace, request_id)));
}

CellName CellNameOf(const JobId& id) {
  return CellName(id.value.substr(0, id.value.rfind('.')));
}

void HandleJobOperations(World& world,
                         const Inbox& inbox,
                         TimePoint now,
                         Outbox& outbox) {
  for (auto& [name, cell] : world.jobs.cells) {
    for (JobOperation& cancel : std::exchange(cell.due_cancels, {})) {
      impl::HandleJobOperation(world, std::move(cancel), now, outbox);
    }
  }
  for (const JobOperation& operation : inbox.job_operations) {
    impl::HandleJobOperation(world, operation, now, outbox);
  }
}

}  // namespace chicorystep
