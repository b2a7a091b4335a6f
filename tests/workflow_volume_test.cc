#define BOOST_TEST_MODULE workflow_volume
#include <boost/test/unit_test.hpp>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

// What one entry may read for each workflow, so that all entries of a region
// use at most a quarter of the link to the store and leave the rest to appends
// and orders: 60 Mbit/s for 17 entries, at 23 workflows per second.
constexpr Bytes kMaxBytesPerWorkflow(60'000'000 / 8 / 4 / 17 / 23);

// Workflows that are submitted at a constant rate. Those without a gang run in
// parts when they are wider than the free capacity.
struct VolumeCase {
  std::string name;
  std::uint32_t width;
  bool gang;
  int workflows;
};

const std::vector<VolumeCase> kVolumeCases = {
    {"a few tasks each", 5, false, 40},
    {"gangs", 16, true, 40},
    {"wide steps in a busy service", 60, false, 30},
    {"the widest steps", 180, false, 10},
};

// Guards against entries that read everything the holder writes on each task,
// which in a burst saturates the link to a region without the store
// (bssp-sched-grown, SHORT).
BOOST_AUTO_TEST_CASE(entries_read_little_for_each_workflow) {
  for (const VolumeCase& sample : kVolumeCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(16);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      const auto follower = static_cast<std::size_t>((run.Holder() + 1) % 3);
      const Bytes before = run.entries[follower]->received;
      for (int number = 1; number <= sample.workflows; ++number) {
        Emulation::Submitted what{.work = milliseconds(600 + number % 7 * 200),
                                  .work_increment = milliseconds(60)};
        what.spec.payload = std::string(200, 'p');
        what.spec.steps = {MakeStep(sample.width, 1, sample.gang)};
        run.Submit(number % 3, "bulk", Emulation::MakeId(number), what);
        run.RunFor(milliseconds(200));
      }
      BOOST_REQUIRE(
          run.RunFor(seconds(60), [&] { return run.AllWorkflowsEnded(); }));
      const Bytes read = run.entries[follower]->received - before;
      const Bytes bytes_per_workflow(read.value / sample.workflows);
      BOOST_TEST(bytes_per_workflow.value <= kMaxBytesPerWorkflow.value);
      BOOST_TEST_MESSAGE(sample.name << ": " << bytes_per_workflow.value
                                     << " bytes");
    }
  }
}

// The platform's bounds on one record and on the records of one append.
constexpr std::size_t kRecordBytes = 262'144;
constexpr std::size_t kAppendBytes = 2'097'152;

// A workflow whose tasks all run: how many steps, how many tasks each, and the
// length of a checkpoint.
struct RecordCase {
  std::string name;
  std::uint32_t steps;
  std::uint32_t tasks;
  std::size_t checkpoint;
};

const std::vector<RecordCase> kRecordCases = {
    {"a single task", 1, 1, 16},
    {"the widest gang", 1, 1024, 16},
    {"many wide steps", 5, 1024, 16},
    {"as many tasks as a workflow may have", 10, 1000, 16},
    {"one step with as many tasks", 1, 10'000, 16},
    {"many short steps", 2000, 5, 16},
    {"long checkpoints", 1, 5000, 100},
};

std::vector<StepRun> MakeRunningSteps(const RecordCase& sample) {
  std::vector<StepRun> runs;
  for (std::uint32_t step = 0; step < sample.steps; ++step) {
    StepRun run{.step = StepIndex(step)};
    for (std::uint32_t task = 0; task < sample.tasks; ++task) {
      run.tasks.push_back(
          Task{.state = TaskState::kRunning,
               .run = RunNumber(1 + task % 7),
               .failures = task % 3,
               .worker = WorkerId(fmt::format("i-{:08x}", task)),
               .incarnation = WorkerIncarnation(1'760'000'000'000 + task),
               .checkpoint = std::string(sample.checkpoint, 'c')});
    }
    // Every fifth task is done.
    for (std::uint32_t task = 0; task < sample.tasks; task += 5) {
      run.tasks[task] = Task{.state = TaskState::kDone};
      ++run.done;
    }
    runs.push_back(std::move(run));
  }
  return runs;
}

// Pattern: a job with thousands of tasks comes among others. Guards against a
// record that is longer than the store takes: its append is repeated for ever,
// and no task of any workflow starts (review, case_large_job).
BOOST_AUTO_TEST_CASE(
    progress_of_large_workflows_fits_the_records_of_an_append) {
  for (const RecordCase& sample : kRecordCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto records =
          EncodeJournalRecord(ProgressRecord{.id = Emulation::MakeId(1),
                                             .epoch = Epoch(1),
                                             .state = WorkflowState::kRunning,
                                             .runs = MakeRunningSteps(sample)});
      std::size_t total = 0;
      for (const KeyedValue& record : records) {
        const std::size_t size = 1 + record.key.size() + record.value->size();
        BOOST_TEST(size <= kRecordBytes);
        total += 4 + size;
      }
      BOOST_TEST(total <= kAppendBytes);
    }
  }
}

// A workflow with occurrences that are all due when it is submitted.
struct DueOccurrencesCase {
  std::string name;
  std::uint32_t occurrences;
  bool kill_holder;
};

const std::vector<DueOccurrencesCase> kDueOccurrencesCases = {
    {"a few", 20, false},
    {"thousands", 3000, false},
    {"thousands, and the holder is killed while they run", 3000, true},
};

// Pattern: a schedule that begins far in the past. Guards against work of every
// tick and append for each occurrence that was ever due (review/7).
BOOST_AUTO_TEST_CASE(due_occurrences_begin_as_others_end) {
  constexpr std::size_t kMaxRows = 2000;
  for (const DueOccurrencesCase& sample : kDueOccurrencesCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(16);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      Emulation::Submitted what{.work = milliseconds(100)};
      what.spec.steps = {MakeStep(1, 1), MakeStep(1, 1)};
      what.spec.steps[1].depends_on = {StepIndex(0)};
      what.spec.occurrences = sample.occurrences;
      what.spec.first_due = UnixMillis(Emulation::kWallClockStartMs - 100'000);
      what.spec.interval = milliseconds(10);
      const WorkflowId scheduled = Emulation::MakeId(1);
      run.Submit(0, "bulk", scheduled, what);
      std::size_t most_rows = 0;
      const auto all_ended = [&] {
        for (const auto& entry : run.entries) {
          if (const Workflow* workflow =
                  entry->world.workflows.find(scheduled)) {
            std::size_t rows = 0;
            for (const StepRun& step : workflow->runs) {
              rows += 1 + step.tasks.size();
            }
            most_rows = std::max(most_rows, rows);
          }
        }
        return run.AllWorkflowsEnded();
      };
      if (sample.kill_holder) {
        BOOST_TEST(!run.RunFor(seconds(3), all_ended));
        run.KillEntry(run.Holder());
      }
      BOOST_TEST(run.RunFor(seconds(60), all_ended));
      BOOST_TEST(most_rows <= kMaxRows);
      BOOST_TEST(run.starts >= 2 * sample.occurrences);
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
    }
  }
}

// Rows of step runs and tasks that the holder has in memory, and the tasks of
// these that are placed.
struct HeldRows {
  std::size_t rows = 0;
  std::size_t placed = 0;
};

HeldRows CountHeldRows(const Emulation& run) {
  HeldRows held;
  if (run.Holder() < 0) {
    return held;
  }
  const auto& world =
      run.entries[static_cast<std::size_t>(run.Holder())]->world;
  for (const Workflow& workflow : world.workflows.rows) {
    for (const StepRun& step : workflow.runs) {
      held.rows += 1 + step.tasks.size();
      held.placed += static_cast<std::size_t>(std::count_if(
          step.tasks.begin(), step.tasks.end(),
          [](const Task& task) { return HoldsCapacity(task.state); }));
    }
  }
  return held;
}

// Schedules whose occurrences are all due when they are submitted.
struct ManySchedulesCase {
  std::string name;
  int schedules;
  // Tasks of each of the two steps of an occurrence.
  std::uint32_t tasks;
  bool kill_holder;
};

const std::vector<ManySchedulesCase> kManySchedulesCases = {
    {"one", 1, 1, false},
    {"thirty", 30, 1, false},
    {"hundreds", 300, 1, false},
    {"hundreds, and the holder is killed while they run", 300, 1, true},
    {"occurrences of thousands of tasks", 30, 5000, false},
    {"the same, and the holder is killed while they run", 30, 5000, true},
};

// Pattern: many schedules that begin far in the past. Guards against memory and
// ticks that follow what is due rather than what can start (review/7), and
// against one of several equal schedules that gets all workers.
BOOST_AUTO_TEST_CASE(schedules_share_what_can_start) {
  constexpr int kWorkers = 16;
  constexpr std::size_t kSlots = 8 * kWorkers;
  // An occurrence that runs and one that waits, of each schedule, and a few for
  // each task that can run.
  constexpr std::size_t kRowsPerSchedule = 2 * 2 * (1 + kInitialTaskRows);
  constexpr std::size_t kRowsPerSlot = 20;
  for (const ManySchedulesCase& sample : kManySchedulesCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(kWorkers);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      Emulation::Submitted what{.work = milliseconds(200)};
      what.spec.steps = {MakeStep(sample.tasks, 1), MakeStep(sample.tasks, 1)};
      what.spec.steps[1].depends_on = {StepIndex(0)};
      what.spec.occurrences = 20'000;
      what.spec.first_due =
          UnixMillis(Emulation::kWallClockStartMs - 20'000'000);
      what.spec.interval = seconds(1);
      for (int i = 1; i <= sample.schedules; ++i) {
        run.Submit(i % 3, "bulk", Emulation::MakeId(i), what);
      }
      std::size_t most_rows = 0;
      std::size_t most_placed = 0;
      const auto observe = [&] {
        const HeldRows held = CountHeldRows(run);
        most_rows = std::max(most_rows, held.rows);
        most_placed = std::max(most_placed, held.placed);
        return false;
      };
      if (sample.kill_holder) {
        run.RunFor(seconds(4), observe);
        run.KillEntry(run.Holder());
      }
      run.RunFor(seconds(12), observe);
      const std::size_t per_schedule =
          std::min<std::size_t>(kRowsPerSchedule, 4 * (1 + sample.tasks));
      BOOST_TEST(most_rows <=
                 static_cast<std::size_t>(sample.schedules) * per_schedule +
                     kSlots * kRowsPerSlot);
      BOOST_TEST(most_placed == kSlots);
      // Every schedule has been served, unless the others need all workers.
      std::map<WorkflowId, std::size_t> ends;
      for (const TaskKey& task : run.succeeded_tasks) {
        ++ends[task.workflow];
      }
      if (sample.tasks == 1) {
        BOOST_TEST(ends.size() == static_cast<std::size_t>(sample.schedules));
      }
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
      std::size_t bytes = 0;
      for (const KeyedValue& record : run.store.progress.records) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
      }
      BOOST_TEST_MESSAGE(sample.name << ": " << most_rows << " rows, "
                                     << run.starts << " starts, "
                                     << bytes / run.starts
                                     << " bytes of progress for each");
    }
  }
}

// Progress whose number of parts shrinks, and when the holder is killed.
struct ShrinkingProgressCase {
  std::string name;
  std::uint32_t tasks;
  std::uint32_t occurrences;
  // Killed once so few tasks have not succeeded.
  std::size_t tasks_left;
};

const std::vector<ShrinkingProgressCase> kShrinkingProgressCases = {
    {"a wide step, near its end", 1400, 0, 3},
    {"a wide step, once all tasks have succeeded", 1400, 0, 0},
    {"occurrences, near the end of the last one", 600, 4, 50},
    {"occurrences, once all tasks have succeeded", 600, 4, 0},
};

// Guards against parts of earlier progress that stay in the stream when a
// later state needs fewer: the next holder runs ended tasks again (TWICE).
BOOST_AUTO_TEST_CASE(parts_of_earlier_progress_are_removed) {
  for (const ShrinkingProgressCase& sample : kShrinkingProgressCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(4);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      Emulation::Submitted what{.work = milliseconds(2500)};
      what.spec.steps = {StepSpec{
          .count = sample.tasks,
          .need = Capacity{Accelerators(0), Millicores(20), Mebibytes(16)},
          .estimate = milliseconds(2500)}};
      if (sample.occurrences > 0) {
        what.spec.occurrences = sample.occurrences;
        what.spec.first_due =
            UnixMillis(Emulation::kWallClockStartMs - 100'000);
        what.spec.interval = milliseconds(10);
      }
      const WorkflowId id = Emulation::MakeId(1);
      run.Submit(0, "bulk", id, what);
      const std::size_t all = std::size_t{sample.tasks} *
                              std::max<std::size_t>(1, sample.occurrences);
      // The end is recorded as progress first, and shown to callers after that.
      const auto reached = [&] {
        if (run.succeeded_tasks.size() + sample.tasks_left < all) {
          return false;
        }
        const Workflow* workflow =
            run.entries[static_cast<std::size_t>(run.Holder())]
                ->world.workflows.find(id);
        return sample.tasks_left > 0 ||
               (IsTerminal(workflow->state) && !workflow->dirty);
      };
      BOOST_REQUIRE(run.RunFor(seconds(60), reached));
      // Long enough for the append that is in flight.
      run.RunFor(milliseconds(sample.tasks_left > 0 ? 200 : 6));
      run.KillEntry(run.Holder());
      BOOST_TEST(
          run.RunFor(seconds(60), [&] { return run.AllWorkflowsEnded(); }));
      BOOST_TEST(run.starts == all);
      BOOST_TEST((run.FindTerminalState(id) == WorkflowState::kSucceeded));
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
      run.RunFor(seconds(5));
      BOOST_TEST(run.store.progress.newest.size() == 1U);
    }
  }
}

// Tasks that all end while their worker is cut off.
struct ManyEndsCase {
  std::string name;
  std::uint32_t tasks;
  bool kill_holder;
};

const std::vector<ManyEndsCase> kManyEndsCases = {
    {"as many ends as one report holds", 500, false},
    {"more ends", 620, false},
    {"many times as many", 1400, false},
    {"more ends, read first by the next holder", 620, true},
};

// Pattern: hundreds of small tasks end at once. Guards against a run that is
// taken for one that never began, as its end is not in the first part of the
// worker's list (review/6).
BOOST_AUTO_TEST_CASE(ends_that_exceed_one_report_are_all_read) {
  for (const ManyEndsCase& sample : kManyEndsCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(1);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      Emulation::Submitted what{.work = milliseconds(6000)};
      what.spec.steps = {StepSpec{
          .count = sample.tasks,
          .need = Capacity{Accelerators(0), Millicores(20), Mebibytes(16)},
          .estimate = milliseconds(6000)}};
      run.Submit(0, "bulk", Emulation::MakeId(1), what);
      BOOST_REQUIRE(
          run.RunFor(seconds(6), [&] { return run.starts == sample.tasks; }));
      const WorkerId worker = run.workers.front().listing.id;
      BOOST_REQUIRE(run.RunFor(
          seconds(6), [&] { return run.RunningTasks() < sample.tasks; }));
      for (const auto& entry : run.entries) {
        entry->cut_workers.insert(worker);
      }
      if (sample.kill_holder) {
        run.KillEntry(run.Holder());
      }
      run.RunFor(milliseconds(2000));
      for (const auto& entry : run.entries) {
        entry->cut_workers.clear();
      }
      BOOST_TEST(
          run.RunFor(seconds(40), [&] { return run.AllWorkflowsEnded(); }));
      BOOST_TEST(run.starts == sample.tasks);
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
    }
  }
}

// When the holder of a large workflow is killed.
struct LargeWorkflowCase {
  std::string name;
  bool kill_holder;
};

const std::vector<LargeWorkflowCase> kLargeWorkflowCases = {
    {"nothing fails", false},
    {"the holder is killed while all tasks run", true},
};

BOOST_AUTO_TEST_CASE(large_workflows_do_not_stop_others) {
  for (const LargeWorkflowCase& sample : kLargeWorkflowCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      // The emulation's ids are shorter than the platform's, and its tasks have
      // no checkpoints, so the limit is lowered in proportion.
      run.store.progress.max_record = 60'000;
      run.AddWorkers(16);
      run.AddEntries(2);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      Emulation::Submitted large{.work = milliseconds(6000)};
      for (int step = 0; step < 5; ++step) {
        large.spec.steps.push_back(MakeStep(1024, 0));
        large.spec.steps.back().need =
            Capacity{Accelerators(0), Millicores(20), Mebibytes(16)};
      }
      run.Submit(0, "normal", Emulation::MakeId(1), large);
      run.RunFor(seconds(4));
      BOOST_TEST(run.RunningTasks() == 5120U);
      if (sample.kill_holder) {
        run.KillEntry(run.Holder());
      }
      Emulation::Submitted small{.work = milliseconds(500)};
      small.spec.steps = {MakeStep(4, 1)};
      run.Submit(run.entries[0]->up ? 0 : 1, "urgent", Emulation::MakeId(2),
                 small);
      BOOST_TEST(
          run.RunFor(seconds(30), [&] { return run.AllWorkflowsEnded(); }));
      for (const std::string& violation : run.violations) {
        BOOST_ERROR(violation);
      }
      // The progress of ended workflows is removed with all its parts.
      run.RunFor(seconds(5));
      BOOST_TEST(run.store.progress.newest.size() == 1U);
    }
  }
}

// The size of a submission, and whether it is accepted.
struct SizeCase {
  std::string name;
  std::uint32_t steps;
  std::uint32_t tasks;
  std::uint32_t dependencies;
  CallResult result;
};

const std::vector<SizeCase> kSizeCases = {
    {"the widest gang", 1, 1024, 0, CallResult::kOk},
    {"as many tasks as one append can record", 10, 1000, 0, CallResult::kOk},
    {"one task more", 1, 10'001, 0, CallResult::kMalformed},
    {"many steps", 1000, 1, 0, CallResult::kOk},
    {"more steps than a record holds", 2000, 1, 0, CallResult::kMalformed},
    {"more dependencies than a record holds", 400, 1, 399,
     CallResult::kMalformed},
};

// What cannot be recorded is rejected at once. An append that the store never
// takes would also hold up those of other callers.
BOOST_AUTO_TEST_CASE(workflows_that_cannot_be_recorded_are_rejected) {
  for (const SizeCase& sample : kSizeCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(1);
      run.AddEntries(1);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      Emulation::Submitted what;
      for (std::uint32_t step = 0; step < sample.steps; ++step) {
        what.spec.steps.push_back(MakeStep(sample.tasks, 8));
        for (std::uint32_t i = 0; i < sample.dependencies; ++i) {
          what.spec.steps.back().depends_on.emplace_back(i);
        }
      }
      const ExchangeId exchange =
          run.Submit(0, "bulk", Emulation::MakeId(1), what);
      BOOST_REQUIRE(run.RunFor(
          seconds(1), [&] { return run.AnswerTo(exchange).has_value(); }));
      BOOST_TEST(EnumName(run.AnswerTo(exchange)->result) ==
                 EnumName(sample.result));
    }
  }
}

}  // namespace
}  // namespace chicorystep
