#define BOOST_TEST_MODULE workflow_refusals
#include <boost/test/unit_test.hpp>

#include "tests/support/emulation.h"
#include "tests/support/submission_attempts.h"

namespace chicorystep {
namespace {

using testing::FindBrokenRefusal;
using testing::SubmissionAttempt;

const WorkflowId kId = Emulation::MakeId(1);
constexpr int kFirstEntry = 0;

int StatusOf(const std::optional<CallAnswer>& answer) {
  if (!answer) {
    return 0;
  }
  switch (answer->result) {
    case CallResult::kOk:
      return 200;
    case CallResult::kRefused:
      return 503;
    default:
      return 504;
  }
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
      for (const int entry : sample.repeats) {
        attempts.push_back(Attempt(run, entry));
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

}  // namespace
}  // namespace chicorystep
