#define BOOST_TEST_MODULE workflow_refusals
#include <boost/test/unit_test.hpp>

#include "chicorystep/encoding/workflow_record.h"
#include "tests/support/emulation.h"
#include "tests/support/submission_attempts.h"

namespace chicorystep {
namespace {

using testing::FindBrokenRefusal;
using testing::SubmissionAttempt;

const WorkflowId kId = Emulation::MakeId(1);
constexpr int kFirstEntry = 0;

// The HTTP status of the answers that a submission may get; 0 for no answer.
int StatusOf(const std::optional<CallAnswer>& answer) {
  static const std::map<CallResult, int> statuses = {
      {CallResult::kOk, 200},
      {CallResult::kRefused, 503},
      {CallResult::kUnknown, 504}};
  BOOST_REQUIRE((!answer || statuses.contains(answer->result)));
  return answer ? statuses.at(answer->result) : 0;
}

// Submits the workflow to an entry and waits for the answer.
SubmissionAttempt Attempt(Emulation& run, int entry) {
  Emulation::Submitted what{.work = milliseconds(300)};
  what.spec.steps = {MakeStep(2, 1)};
  SubmissionAttempt attempt{.entry = EntryId(fmt::format("entry-{}", entry)),
                            .sent = run.now};
  const ExchangeId exchange = run.Submit(entry, "normal", kId, what);
  (void)run.RunFor(seconds(4),
                   [&] { return run.AnswerTo(exchange).has_value(); });
  attempt.ended = run.now;
  attempt.status = StatusOf(run.AnswerTo(exchange));
  return attempt;
}

void TakeStoreDown(Emulation& run) {
  run.store_up = false;
}

void RestartOtherEntries(Emulation& run) {
  for (int entry = kFirstEntry + 1; entry < std::ssize(run.entries); ++entry) {
    run.KillEntry(entry);
    run.StartEntry(entry);
  }
}

// Queues as many submissions as an entry takes, without giving it time to
// append them.
void FillQueues(Emulation& run) {
  for (int entry = kFirstEntry + 1; entry < std::ssize(run.entries); ++entry) {
    for (int i = 0; i < 500; ++i) {
      run.Submit(entry, "bulk", Emulation::MakeId(1000 * entry + i),
                 Emulation::Submitted{.spec = {.steps = {MakeStep(1, 1)}}});
    }
  }
}

// What happens between the first attempt of a workflow, whose acceptance is
// written, and its repeats at other entries.
struct RepeatCase {
  std::string name;
  // Whether the first attempt gets the answer to its append.
  bool first_answered;
  // How long after its sending the append is executed.
  Duration carried_out_after;
  std::function<void(Emulation&)> inject;
  // From the fault to the first repeat.
  Duration repeated_after;
  // The entries of the repeats.
  std::vector<int> repeats;
};

const std::vector<RepeatCase> kRepeatCases = {
    {"the store does not answer",
     false,
     {},
     TakeStoreDown,
     milliseconds(0),
     {1, 1, 2, 2}},
    {"the configuration is too old",
     false,
     {},
     TakeStoreDown,
     seconds(6),
     {1, 2}},
    {"the configuration is too old for an accepted workflow",
     true,
     {},
     TakeStoreDown,
     seconds(6),
     {1, 2, 0}},
    {"the entries have restarted without the store",
     false,
     {},
     [](Emulation& run) {
       TakeStoreDown(run);
       RestartOtherEntries(run);
     },
     seconds(1),
     {1, 2}},
    {"the store rejects appends, and the first is executed late",
     false,
     seconds(5),
     [](Emulation& run) { run.rejects_appends = true; },
     milliseconds(100),
     {1, 2}},
    {"too many callers wait, and the first append is executed late",
     false,
     seconds(4),
     FillQueues,
     {},
     {1}},
};

// Guards against refusals by entries that do not know that another entry has
// appended the acceptance (REFUSED of issue 34).
BOOST_AUTO_TEST_CASE(a_refused_workflow_never_runs_whatever_other_entries_did) {
  for (const RepeatCase& sample : kRepeatCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(8);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      std::vector<SubmissionAttempt> attempts;
      if (sample.first_answered) {
        attempts.push_back(Attempt(run, kFirstEntry));
        sample.inject(run);
      } else {
        run.rates = {.lost_appends = 1000,
                     .lost_append_delay = sample.carried_out_after};
        run.ScheduleAfter(milliseconds(3), [&] { run.rates.lost_appends = 0; });
        run.ScheduleAfter(milliseconds(10), [&] { TakeStoreDown(run); });
        attempts.push_back(Attempt(run, kFirstEntry));
        run.store_up = true;
        sample.inject(run);
      }
      run.RunFor(sample.repeated_after);
      BOOST_TEST(attempts[0].status == (sample.first_answered ? 200 : 504));
      for (const int entry : sample.repeats) {
        attempts.push_back(Attempt(run, entry));
        BOOST_TEST(attempts.back().status != 0);
      }
      run.store_up = true;
      run.rejects_appends = false;
      run.RunFor(seconds(30));
      BOOST_REQUIRE(run.started.contains(kId));
      const auto broken = FindBrokenRefusal(attempts, run.started.at(kId));
      BOOST_TEST(!broken, broken.value_or(""));
    }
  }
}

// What happens between the cancel of a workflow that no entry knows and the
// late execution of the append of its acceptance.
struct EarlyCancelCase {
  std::string name;
  std::function<void(Emulation&)> inject;
  // From the cancel; the acceptance is executed 5 s after its sending.
  Duration injected_after;
};

void CompactAndRestart(Emulation& run) {
  Compact(run.store);
  RestartOtherEntries(run);
}

const std::vector<EarlyCancelCase> kEarlyCancelCases = {
    {"nothing", {}, {}},
    {"the holder changes", [](Emulation& run) { run.KillEntry(run.Holder()); },
     seconds(2)},
    {"the journal is compacted and all entries restart", CompactAndRestart,
     seconds(2)},
    {"the cancel and the acceptance are loaded from the compacted journal",
     [](Emulation& run) {
       TakeStoreDown(run);
       run.ScheduleAfter(seconds(6), [&run] {
         CompactAndRestart(run);
         run.store_up = true;
       });
     },
     seconds(2)},
};

// Guards against work that starts after its cancel was acknowledged, because
// the acceptance was appended late (same cause as REFUSED of issue 34).
BOOST_AUTO_TEST_CASE(a_workflow_cancelled_before_its_acceptance_never_runs) {
  for (const EarlyCancelCase& sample : kEarlyCancelCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(8);
      run.AddEntries(4);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      run.rates = {.lost_appends = 1000, .lost_append_delay = seconds(5)};
      Emulation::Submitted what{.work = milliseconds(300)};
      what.spec.steps = {MakeStep(2, 1)};
      run.Submit(kFirstEntry, "normal", kId, what);
      run.RunFor(milliseconds(3));
      run.rates.lost_appends = 0;
      run.KillEntry(kFirstEntry);
      run.RunFor(milliseconds(100));
      const ExchangeId cancel =
          run.CallWorkflow(1, CallKind::kCancel, "normal", kId);
      run.RunFor(std::max(sample.injected_after, Duration(seconds(1))));
      const auto answer = run.AnswerTo(cancel);
      BOOST_REQUIRE(answer);
      BOOST_TEST((answer->result == CallResult::kNoWorkflow));
      if (sample.inject) {
        sample.inject(run);
      }
      run.RunFor(seconds(30));
      // The acceptance has been written.
      BOOST_TEST(std::any_of(
          run.entries.begin(), run.entries.end(), [](const auto& entry) {
            return entry->up && entry->world.workflows.find(kId) != nullptr;
          }));
      BOOST_TEST(!run.started.contains(kId));
      BOOST_TEST((run.FindTerminalState(kId) == WorkflowState::kCancelled));
    }
  }
}

// Records of cancels that no acceptance follows must not stay in the journal.
BOOST_AUTO_TEST_CASE(early_cancels_are_removed_with_time) {
  Emulation run;
  run.store.configs.push_back(Emulation::MakeConfig(1));
  run.AddWorkers(2);
  run.AddEntries(3);
  BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
  run.CallWorkflow(1, CallKind::kCancel, "normal", kId);
  run.RunFor(seconds(2));
  const std::string key = EncodeJournalRecord(CancelRecord{.id = kId})[0].key;
  BOOST_TEST(run.store.journal.newest.contains(key));
  // A workflow's state can be queried for 120 s after its end.
  run.RunFor(seconds(120));
  BOOST_TEST(run.store.journal.newest.contains(key));
  run.RunFor(seconds(40));
  BOOST_TEST(!run.store.journal.newest.contains(key));
  for (const auto& entry : run.entries) {
    BOOST_TEST(entry->world.early_cancels.empty());
  }
}

}  // namespace
}  // namespace chicorystep
