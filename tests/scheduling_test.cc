#define BOOST_TEST_MODULE scheduling
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/core/logging.h"
#include "tests/support/cell_simulation.h"

namespace chicorystep::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

struct QuietLogs {
  QuietLogs() { ConfigureLogging(LogLevel::kError, "scheduling_test"); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLogs);

Shape MakeShape(std::int64_t pieces,
                std::int64_t accelerators,
                Adjacency adjacency = Adjacency::kNone) {
  return Shape{.pieces = pieces,
               .accelerators = Accelerators{accelerators},
               .adjacency = adjacency};
}

// A cell of 8 workers in two racks. Workspaces "a" and "b" may borrow; "c" may
// not and has no guarantee.
CellSimulation MakeCell() {
  CellSimulation sim = MakeSimulation(8, 4);
  for (const std::string name : {"a", "b", "c"}) {
    AddPool(sim, Pool{.key = {PoolName("main"), Workspace(name)},
                      .weight = Weight{1},
                      .borrows = name != "c"});
  }
  RunSimulation(sim, sim.now + seconds(1));
  return sim;
}

JobId SubmitJob(CellSimulation& sim,
                const std::string& workspace,
                const std::string& kind,
                Shape shape,
                Duration run_time,
                bool checkpointable = true) {
  return Submit(
      sim,
      JobSpec{.request_id = RequestId(fmt::format("r{}", sim.jobs.size())),
              .workspace = Workspace(workspace),
              .kind = Kind(kind),
              .shape = shape,
              .command = "run",
              .checkpointable = checkpointable},
      run_time);
}

// Submissions, and whether they are refused because the cell can never run
// them.
struct NeverRunnableCase {
  std::string name;
  std::string workspace;
  Shape shape;
  bool refused;
};

std::ostream& operator<<(std::ostream& stream, const NeverRunnableCase& value) {
  return stream << value.name;
}

const std::vector<NeverRunnableCase> kNeverRunnableCases = {
    {"fits", "a", MakeShape(8, 8), false},
    {"one piece is larger than a worker", "a", MakeShape(1, 9), true},
    {"more pieces than the cell holds", "a", MakeShape(9, 8), true},
    {"more pieces than a rack holds", "a", MakeShape(5, 8, Adjacency::kRack),
     true},
    {"more pieces than a worker holds", "a",
     MakeShape(3, 4, Adjacency::kWorker), true},
    {"no guarantee and no borrowing", "c", MakeShape(1, 1), true},
};

BOOST_AUTO_TEST_CASE(work_that_can_never_run_is_refused_at_once) {
  for (const NeverRunnableCase& sample : kNeverRunnableCases) {
    BOOST_TEST_CONTEXT(sample) {
      CellSimulation sim = MakeCell();
      const JobId id = SubmitJob(sim, sample.workspace, "normal-repeatable",
                                 sample.shape, seconds(1));
      RunSimulation(sim, sim.now + seconds(3));
      const auto& refusal = sim.jobs[id].refusal;
      BOOST_TEST(refusal.has_value() == sample.refused);
      if (refusal) {
        BOOST_TEST((refusal->reason == Reason::kNeverRunnable));
        BOOST_TEST((refusal->execution == Execution::kNotRun));
        BOOST_TEST(!refusal->detail.empty());
      }
    }
  }
}

// Work that fills the cell, and a job that must nevertheless start in time.
struct PreemptionCase {
  std::string name;
  std::string running_kind;
  Duration ran;
  std::string kind;
  Shape shape;
  Duration start_within;
};

std::ostream& operator<<(std::ostream& stream, const PreemptionCase& value) {
  return stream << value.name;
}

const std::vector<PreemptionCase> kPreemptionCases = {
    {"urgent before bulk", "bulk-repeatable", seconds(5), "urgent-repeatable",
     MakeShape(1, 1), seconds(1)},
    {"urgent before normal", "normal-repeatable", seconds(5),
     "urgent-repeatable", MakeShape(1, 8), seconds(1)},
    {"normal before bulk", "bulk-repeatable", seconds(5), "normal-repeatable",
     MakeShape(4, 8, Adjacency::kRack), seconds(1)},
    {"new work before long-running work", "normal-repeatable", minutes(2),
     "normal-repeatable", MakeShape(1, 1), seconds(1)},
};

BOOST_AUTO_TEST_CASE(work_with_precedence_starts_on_a_full_cell) {
  for (const PreemptionCase& sample : kPreemptionCases) {
    BOOST_TEST_CONTEXT(sample) {
      CellSimulation sim = MakeCell();
      for (int i = 0; i < 8; ++i) {
        SubmitJob(sim, "a", sample.running_kind, MakeShape(1, 8), minutes(30));
      }
      RunSimulation(sim, sim.now + sample.ran);
      const JobId id =
          SubmitJob(sim, "b", sample.kind, sample.shape, seconds(10));
      RunSimulation(sim, sim.now + sample.start_within);
      BOOST_TEST(sim.jobs[id].started.has_value());
      RunSimulation(sim, sim.now + minutes(40));
      for (const auto& [other, job] : sim.jobs) {
        BOOST_TEST((job.end_state == JobState::kDone));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_waiting_gang_is_not_starved_by_small_work) {
  CellSimulation sim = MakeCell();
  const auto submit_small = [&] {
    SubmitJob(sim, "a", "normal-repeatable", MakeShape(1, 4), seconds(20),
              false);
  };
  for (int i = 0; i < 16; ++i) {
    submit_small();
  }
  RunSimulation(sim, sim.now + seconds(2));
  const JobId gang = SubmitJob(sim, "b", "normal-repeatable",
                               MakeShape(4, 8, Adjacency::kRack), seconds(20));
  for (int i = 0; i < 60 && !sim.jobs[gang].started; ++i) {
    submit_small();
    submit_small();
    RunSimulation(sim, sim.now + seconds(1));
  }
  BOOST_TEST(sim.jobs[gang].started.has_value());
}

BOOST_AUTO_TEST_CASE(defragmentation_moves_small_gangs_for_a_large_one) {
  CellSimulation sim = MakeCell();
  std::vector<JobId> small;
  for (int i = 0; i < 16; ++i) {
    small.push_back(SubmitJob(sim, "a", "normal-repeatable", MakeShape(1, 4),
                              i % 2 == 0 ? minutes(30) : seconds(5)));
  }
  RunSimulation(sim, sim.now + seconds(10));
  const JobId gang = SubmitJob(sim, "b", "normal-repeatable",
                               MakeShape(4, 8, Adjacency::kRack), seconds(20));
  RunSimulation(sim, sim.now + seconds(1));
  BOOST_TEST(sim.jobs[gang].started.has_value());
  RunSimulation(sim, sim.now + minutes(32));
  for (const JobId& id : small) {
    BOOST_TEST((sim.jobs[id].end_state == JobState::kDone));
  }
}

// Injected failures and the expected end state of every job.
struct FailureCase {
  std::string name;
  std::string kind;
  int failing_workers;
  bool job_fails_everywhere;
  JobState end_state;
};

std::ostream& operator<<(std::ostream& stream, const FailureCase& value) {
  return stream << value.name;
}

const std::vector<FailureCase> kFailureCases = {
    {"one failing worker", "normal-repeatable", 1, false, JobState::kDone},
    {"two failing workers", "normal-repeatable", 2, false, JobState::kDone},
    {"a job that fails everywhere", "normal-repeatable", 0, true,
     JobState::kFailed},
    {"not idempotent", "normal-once", 8, false, JobState::kFailed},
};

BOOST_AUTO_TEST_CASE(failing_workers_and_failing_jobs_are_distinguished) {
  for (const FailureCase& sample : kFailureCases) {
    BOOST_TEST_CONTEXT(sample) {
      CellSimulation sim = MakeCell();
      for (int i = 0; i < sample.failing_workers; ++i) {
        sim.workers[WorkerId(fmt::format("w{:04}", i))].fails_starts = true;
      }
      std::vector<JobId> ids;
      for (int i = 0; i < 6; ++i) {
        ids.push_back(
            SubmitJob(sim, "a", sample.kind, MakeShape(1, 2), seconds(5)));
        sim.jobs[ids.back()].fails_everywhere = sample.job_fails_everywhere;
      }
      RunSimulation(sim, sim.now + minutes(2));
      for (const JobId& id : ids) {
        BOOST_TEST((sim.jobs[id].end_state == sample.end_state));
      }
      const auto& workers = GetSimulatedCell(sim).workers.rows;
      const auto excluded =
          std::count_if(workers.begin(), workers.end(), [](const Worker& row) {
            return row.excluded_until != TimePoint::min();
          });
      BOOST_TEST(excluded <= 2);
      if (sample.job_fails_everywhere) {
        BOOST_TEST(excluded == 0);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_burst_of_cancellations_ends_every_job_once) {
  constexpr int kJobs = 3'000;
  CellSimulation sim = MakeCell();
  std::vector<JobId> ids;
  for (int i = 0; i < kJobs; ++i) {
    ids.push_back(
        SubmitJob(sim, "a", "bulk-repeatable", MakeShape(1, 8), minutes(30)));
  }
  RunSimulation(sim, sim.now + seconds(2));
  for (const JobId& id : ids) {
    sim.inbox.job_operations.push_back(
        JobOperation{.kind = JobOperationKind::kCancel,
                     .spec = JobSpec{.id = id, .workspace = Workspace("a")}});
  }
  RunSimulation(sim, sim.now + seconds(3));
  for (const JobId& id : ids) {
    BOOST_TEST((sim.jobs[id].end_state == JobState::kCancelled));
  }
  RunSimulation(sim, sim.now + seconds(3));
  for (const auto& [id, worker] : sim.workers) {
    BOOST_TEST(worker.tasks.empty());
  }
}

// A cancellation of a job while its submissions are being appended.
struct CancelDuringAcceptanceCase {
  std::string name;
  // For each submission of the job, whether the log takes its record.
  std::vector<bool> appended;
  Duration cancelled_after;
  std::string cancelled_by;
  // Empty when the job must end as cancelled.
  std::optional<Reason> refused_for;
};

std::ostream& operator<<(std::ostream& stream,
                         const CancelDuringAcceptanceCase& value) {
  return stream << value.name;
}

const std::vector<CancelDuringAcceptanceCase> kCancelDuringAcceptanceCases = {
    {"in the same tick", {true}, Duration{}, "a", std::nullopt},
    {"before the record is read", {true}, kLogDelay / 2, "a", std::nullopt},
    {"of two submissions, the first is lost",
     {false, true},
     kLogDelay / 2,
     "a",
     std::nullopt},
    {"of two submissions, the second is lost",
     {true, false},
     kLogDelay / 2,
     "a",
     std::nullopt},
    {"the log does not confirm the acceptance",
     {false},
     kLogDelay / 2,
     "a",
     Reason::kLogUnavailable},
    {"by another workspace", {true}, kLogDelay / 2, "b", Reason::kUnknownJob},
    {"by another workspace, and the log does not confirm the acceptance",
     {false},
     kLogDelay / 2,
     "b",
     Reason::kUnknownJob},
};

BOOST_AUTO_TEST_CASE(a_cancel_waits_for_the_acceptance_of_its_job) {
  const ExchangeId cancel_exchange(1);
  for (const CancelDuringAcceptanceCase& sample :
       kCancelDuringAcceptanceCases) {
    BOOST_TEST_CONTEXT(sample) {
      CellSimulation sim = MakeCell();
      sim.appends.clear();
      const JobId id = SubmitJob(sim, "a", "normal-repeatable", MakeShape(1, 8),
                                 minutes(30));
      const JobOperation submission = sim.inbox.job_operations.back();
      sim.inbox.job_operations.insert(sim.inbox.job_operations.end(),
                                      sample.appended.size() - 1, submission);
      const JobOperation cancel{
          .exchange = cancel_exchange,
          .kind = JobOperationKind::kCancel,
          .spec =
              JobSpec{.id = id, .workspace = Workspace(sample.cancelled_by)}};
      if (sample.cancelled_after == Duration{}) {
        sim.inbox.job_operations.push_back(cancel);
      }
      StepSimulation(sim, sim.now);
      BOOST_REQUIRE(sim.appends.size() == sample.appended.size());
      const TimePoint append_end = sim.appends.begin()->first;
      std::vector<AppendEnded> lost;
      auto append = sim.appends.begin();
      for (const bool appended : sample.appended) {
        if (appended) {
          ++append;
        } else {
          lost.push_back(
              AppendEnded{append->second.stream, append->second.id, false});
          append = sim.appends.erase(append);
        }
      }
      if (sample.cancelled_after != Duration{}) {
        RunSimulation(sim, sim.now + sample.cancelled_after);
        sim.inbox.job_operations.push_back(cancel);
      }
      RunSimulation(sim, append_end - std::chrono::microseconds(1));
      sim.inbox.appends_ended = lost;
      RunSimulation(sim, sim.now + seconds(2));
      std::vector<EndJobOperation> answers;
      for (const EndJobOperation& end : sim.ended_operations) {
        if (end.exchange == cancel_exchange) {
          answers.push_back(end);
        }
      }
      BOOST_REQUIRE(answers.size() == 1);
      const std::optional<Refusal>& refusal = answers[0].refusal;
      BOOST_TEST(refusal.has_value() == sample.refused_for.has_value());
      if (refusal && sample.refused_for) {
        BOOST_TEST(EnumName(refusal->reason) == EnumName(*sample.refused_for));
        const bool may_be_accepted =
            sample.refused_for == Reason::kLogUnavailable;
        BOOST_TEST((refusal->execution == Execution::kUnknown) ==
                   may_be_accepted);
      }
      BOOST_TEST((sim.jobs[id].end_state == JobState::kCancelled) ==
                 !sample.refused_for.has_value());
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
