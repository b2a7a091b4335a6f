#define BOOST_TEST_MODULE workflow_calls
#include <boost/test/unit_test.hpp>

#include "chicorystep/systems/workflows/workflow_calls.h"
#include "chicorystep/systems/workflows/workflow_holder.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

constexpr WorkflowTime kNow{.now = TimePoint(seconds(1000)),
                            .wall = UnixMillis(5'000'000)};

WorkflowWorld MakeWorld() {
  WorkflowWorld world;
  world.config = Emulation::MakeConfig(3);
  for (const FollowedStream stream :
       {FollowedStream::kConfig, FollowedStream::kJournal}) {
    world.streams[stream].next = Offset(1);
    world.streams[stream].fresh_as_of = kNow.now;
    world.streams[stream].last_success = kNow.now;
  }
  return world;
}

const WorkflowId kKnown("00000000000000aa");
const WorkflowId kOther("00000000000000bb");

WorkflowCall MakeCall(CallKind kind, const std::string& path) {
  WorkflowCall call{.exchange = ExchangeId(1),
                    .kind = kind,
                    .host = "host",
                    .path = path,
                    .key = ApiKey("key")};
  if (kind == CallKind::kSubmit) {
    call.spec = WorkflowSpec{.steps = {MakeStep(1, 1)}};
  }
  return call;
}

// A call that is answered at once, a change to the world or the call, and the
// expected result.
struct AnswerCase {
  std::string name;
  WorkflowCall call;
  std::function<void(WorkflowWorld&, WorkflowCall&)> change;
  CallResult result;
};

const std::vector<AnswerCase> kAnswerCases = {
    {"without a configuration",
     MakeCall(CallKind::kSubmit, "/bulk/" + kOther.value),
     [](WorkflowWorld& world, WorkflowCall&) { world.config.reset(); },
     CallResult::kUnknown},
    {"a query without a configuration",
     MakeCall(CallKind::kGet, "/bulk/" + kOther.value),
     [](WorkflowWorld& world, WorkflowCall&) { world.config.reset(); },
     CallResult::kRefused},
    {"a host without routes",
     MakeCall(CallKind::kSubmit, "/bulk/" + kOther.value),
     [](WorkflowWorld&, WorkflowCall& call) { call.host = "elsewhere"; },
     CallResult::kNoRoute},
    {"a path without a route",
     MakeCall(CallKind::kGet, "/none/" + kKnown.value),
     {},
     CallResult::kNoRoute},
    {"a path without a route by a configuration that is too old",
     MakeCall(CallKind::kSubmit, "/none/" + kOther.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.streams[FollowedStream::kConfig].fresh_as_of =
           kNow.now - milliseconds(4900);
     },
     CallResult::kUnknown},
    {"an unknown key", MakeCall(CallKind::kGet, "/bulk/" + kKnown.value),
     [](WorkflowWorld&, WorkflowCall& call) { call.key = ApiKey("old"); },
     CallResult::kUnauthorised},
    {"no key on an open route",
     MakeCall(CallKind::kGet, "/bulk/" + kKnown.value),
     [](WorkflowWorld& world, WorkflowCall& call) {
       call.key = ApiKey();
       world.config->routes[2].open = true;
     },
     CallResult::kOk},
    {"a configuration that is too old",
     MakeCall(CallKind::kGet, "/bulk/" + kKnown.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.streams[FollowedStream::kConfig].fresh_as_of =
           kNow.now - milliseconds(4900);
     },
     CallResult::kRefused},
    {"a submission by a configuration that is too old",
     MakeCall(CallKind::kSubmit, "/bulk/" + kOther.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.streams[FollowedStream::kConfig].fresh_as_of =
           kNow.now - milliseconds(4900);
     },
     CallResult::kUnknown},
    {"a repeat of an accepted submission by a configuration that is too old",
     MakeCall(CallKind::kSubmit, "/bulk/" + kKnown.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.streams[FollowedStream::kConfig].fresh_as_of =
           kNow.now - milliseconds(4900);
     },
     CallResult::kUnknown},
    {"a cancel by a configuration that is too old",
     MakeCall(CallKind::kCancel, "/bulk/" + kKnown.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.streams[FollowedStream::kConfig].fresh_as_of =
           kNow.now - milliseconds(4900);
     },
     CallResult::kUnknown},
    {"a configuration that is recent enough",
     MakeCall(CallKind::kGet, "/bulk/" + kKnown.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.streams[FollowedStream::kConfig].fresh_as_of =
           kNow.now - milliseconds(4000);
     },
     CallResult::kOk},
    {"a body that holds no workflow",
     MakeCall(CallKind::kSubmit, "/bulk/" + kOther.value),
     [](WorkflowWorld&, WorkflowCall& call) { call.spec.reset(); },
     CallResult::kMalformed},
    {"an invalid id",
     MakeCall(CallKind::kSubmit, "/bulk/xyz"),
     {},
     CallResult::kMalformed},
    {"a workflow that has been accepted before",
     MakeCall(CallKind::kSubmit, "/bulk/" + kKnown.value),
     {},
     CallResult::kOk},
    {"the state of a known workflow",
     MakeCall(CallKind::kGet, "/bulk/" + kKnown.value),
     {},
     CallResult::kOk},
    {"the count of a queue",
     MakeCall(CallKind::kCount, "/bulk/"),
     {},
     CallResult::kOk},
    {"a cancel by another workspace",
     MakeCall(CallKind::kCancel, "/bulk/" + kKnown.value),
     [](WorkflowWorld& world, WorkflowCall& call) {
       world.workflows.find(kKnown)->terms.workspace = Workspace("team");
       world.config->keys[ApiKey("other")] = Workspace("other");
       call.key = ApiKey("other");
     },
     CallResult::kNoWorkflow},
    {"while the store does not answer",
     MakeCall(CallKind::kSubmit, "/bulk/" + kOther.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.callers.unanswered_since = kNow.now + milliseconds(1);
     },
     CallResult::kUnknown},
    {"a cancel while the store does not answer",
     MakeCall(CallKind::kCancel, "/bulk/" + kKnown.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.callers.unanswered_since = kNow.now + milliseconds(1);
     },
     CallResult::kUnknown},
    {"while too many callers wait",
     MakeCall(CallKind::kSubmit, "/bulk/" + kOther.value),
     [](WorkflowWorld& world, WorkflowCall&) {
       world.callers.queued.resize(500);
     },
     CallResult::kUnknown},
};

BOOST_AUTO_TEST_CASE(calls_are_answered_from_the_tables) {
  for (const AnswerCase& sample : kAnswerCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      world.workflows.insert(kKnown,
                             Workflow{.terms = {.route = RouteName("bulk")}});
      WorkflowCall call = sample.call;
      if (sample.change) {
        sample.change(world, call);
      }
      WorkflowOutbox outbox;
      HandleCalls(world, {.calls = {call}}, kNow, outbox);
      BOOST_REQUIRE(outbox.answers.size() == 1U);
      BOOST_TEST((outbox.answers[0].result == sample.result));
      const bool has_retry_after =
          outbox.answers[0].retry_after > Duration::zero();
      const bool declined = sample.result == CallResult::kRefused ||
                            sample.result == CallResult::kUnknown;
      BOOST_TEST(has_retry_after == declined);
    }
  }
}

// The outcomes of the appends of one submission, in order, and the result of
// the submission.
struct AppendCase {
  std::string name;
  std::vector<AppendOutcome> outcomes;
  CallResult result;
};

const std::vector<AppendCase> kAppendCases = {
    {"written", {AppendOutcome::kWritten}, CallResult::kOk},
    {"rejected: never refused, since another entry may have appended it",
     {AppendOutcome::kRejected, AppendOutcome::kRejected,
      AppendOutcome::kRejected},
     CallResult::kUnknown},
    {"rejected, then written within a second",
     {AppendOutcome::kRejected, AppendOutcome::kWritten},
     CallResult::kOk},
    {"no answer, then written",
     {AppendOutcome::kUnknown, AppendOutcome::kWritten},
     CallResult::kOk},
    {"no answer, then rejected: never refused, since it may still be written",
     {AppendOutcome::kUnknown, AppendOutcome::kRejected,
      AppendOutcome::kRejected},
     CallResult::kUnknown},
    {"no answer to any append",
     {AppendOutcome::kUnknown, AppendOutcome::kUnknown},
     CallResult::kUnknown},
};

// How long ago the configuration was confirmed.
const std::vector<Duration> kConfigAges = {Duration(), milliseconds(250),
                                           seconds(3)};

BOOST_AUTO_TEST_CASE(a_call_carries_the_configuration_it_was_checked_against) {
  for (const Duration age : kConfigAges) {
    BOOST_TEST_CONTEXT(age.count()) {
      WorkflowWorld world = MakeWorld();
      world.streams[FollowedStream::kConfig].fresh_as_of = kNow.now - age;
      WorkflowInbox inbox;
      inbox.calls = {MakeCall(CallKind::kSubmit, "/bulk/" + kOther.value)};
      WorkflowOutbox outbox;
      HandleCalls(world, inbox, kNow, outbox);
      BOOST_TEST_REQUIRE(world.callers.queued.size() == 1U);
      BOOST_TEST(world.callers.queued[0].config_version.value == 3U);
      BOOST_TEST(world.callers.queued[0].config_age.count() == age.count());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_submission_ends_according_to_its_appends) {
  for (const AppendCase& sample : kAppendCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      WorkflowOutbox outbox;
      HandleCalls(
          world,
          {.calls = {MakeCall(CallKind::kSubmit, "/bulk/" + kOther.value)}},
          kNow, outbox);
      WorkflowTime time = kNow;
      for (const AppendOutcome outcome : sample.outcomes) {
        BOOST_TEST(outbox.answers.empty());
        time.now += milliseconds(200);
        const std::size_t before = outbox.appends.size();
        AppendCalls(world, time.now, outbox);
        BOOST_REQUIRE(outbox.appends.size() == before + 1);
        time.now += milliseconds(200);
        EndCalls(world,
                 {.appended = {{.lane = AppendLane::kCallers,
                                .batch = outbox.appends.back().batch,
                                .outcome = outcome}}},
                 time, outbox);
      }
      time.now = kNow.now + seconds(3);
      EndCalls(world, {}, time, outbox);
      BOOST_REQUIRE(outbox.answers.size() == 1U);
      BOOST_TEST((outbox.answers[0].result == sample.result));
      const bool accepted = world.workflows.find(kOther) != nullptr;
      BOOST_TEST(accepted == (sample.result == CallResult::kOk));
    }
  }
}

// A burst of submissions, as after an outage of the store.
struct BurstCase {
  std::string name;
  int calls;
  std::size_t payload;
  std::size_t steps;
};

const std::vector<BurstCase> kBurstCases = {
    {"few and small", 5, 100, 1},
    {"many and small", 400, 100, 1},
    {"many with the largest payload", 400, 4000, 1},
    {"many with many steps", 400, 100, 30},
};

// Guards against appends that are too large for a link between regions to carry
// within their time-out, and that are therefore retried for ever
// (bssp-sched-grown, SHORT).
BOOST_AUTO_TEST_CASE(bursts_are_appended_in_batches_that_a_slow_link_carries) {
  // What 0.45 MB/s carries in half of the time-out of an append, 1.3 s.
  constexpr std::size_t kMaxAppendBytes = 290'000;
  for (const BurstCase& sample : kBurstCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      WorkflowInbox inbox;
      for (int i = 0; i < sample.calls; ++i) {
        WorkflowCall call = MakeCall(CallKind::kSubmit,
                                     "/bulk/" + Emulation::MakeId(i + 1).value);
        call.spec->payload = std::string(sample.payload, 'p');
        call.spec->steps.assign(sample.steps, MakeStep(100, 1, true));
        inbox.calls.push_back(std::move(call));
      }
      WorkflowOutbox outbox;
      HandleCalls(world, inbox, kNow, outbox);
      std::size_t records = 0;
      while (!world.callers.queued.empty()) {
        outbox.appends.clear();
        AppendCalls(world, kNow.now, outbox);
        BOOST_REQUIRE(outbox.appends.size() == 1U);
        std::size_t bytes = 0;
        for (const JournalRecord& record : outbox.appends[0].records) {
          bytes += EncodeJournalRecord(record)[0].value->size();
        }
        BOOST_TEST(bytes <= kMaxAppendBytes);
        records += outbox.appends[0].records.size();
        EndCalls(world,
                 {.appended = {{.lane = AppendLane::kCallers,
                                .batch = outbox.appends[0].batch,
                                .outcome = AppendOutcome::kWritten}}},
                 kNow, outbox);
      }
      BOOST_TEST(records == static_cast<std::size_t>(sample.calls));
    }
  }
}

// When the newest read of the journal began, relative to a call for an unknown
// workflow, and the result of the call; empty while it waits.
struct MissingWorkflowCase {
  std::string name;
  Duration read_after;
  std::optional<CallResult> result;
};

const std::vector<MissingWorkflowCase> kMissingWorkflowCases = {
    {"a read that began before the call proves nothing", milliseconds(-1),
     std::nullopt},
    {"a read that began after the call proves that there is none",
     milliseconds(1), CallResult::kNoWorkflow},
};

BOOST_AUTO_TEST_CASE(only_a_later_read_proves_that_there_is_no_workflow) {
  for (const MissingWorkflowCase& sample : kMissingWorkflowCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      WorkflowOutbox outbox;
      HandleCalls(
          world, {.calls = {MakeCall(CallKind::kGet, "/bulk/" + kOther.value)}},
          kNow, outbox);
      world.streams[FollowedStream::kJournal].fresh_as_of =
          kNow.now + sample.read_after;
      EndCalls(
          world, {},
          WorkflowTime{.now = kNow.now + milliseconds(5), .wall = kNow.wall},
          outbox);
      BOOST_TEST(outbox.answers.size() == (sample.result ? 1U : 0U));
      if (sample.result && !outbox.answers.empty()) {
        BOOST_TEST((outbox.answers[0].result == *sample.result));
      }
    }
  }
}

// The kinds of call that wait for a read of the journal.
const std::vector<CallKind> kWaitingKinds = {CallKind::kGet, CallKind::kCancel};

// Guards against a false answer that there is no workflow, when the entry loses
// the holder role and clears its tables in the tick that has read the journal.
BOOST_AUTO_TEST_CASE(calls_wait_for_the_journal_after_the_role_is_lost) {
  for (const CallKind kind : kWaitingKinds) {
    BOOST_TEST_CONTEXT(EnumName(kind)) {
      WorkflowWorld world = MakeWorld();
      world.holding.state = HoldingState::kHolding;
      WorkflowOutbox outbox;
      HandleCalls(world, {.calls = {MakeCall(kind, "/bulk/" + kOther.value)}},
                  kNow, outbox);
      const TimePoint later = kNow.now + milliseconds(1);
      world.streams[FollowedStream::kJournal].fresh_as_of = later;
      StopHolding(world, "fenced", later);
      EndCalls(world, {}, WorkflowTime{.now = later, .wall = kNow.wall},
               outbox);
      BOOST_TEST(outbox.answers.empty());
      BOOST_TEST(world.callers.queued.empty());
      BOOST_TEST(world.awaiting_read.size() == 1U);
    }
  }
}

// A path and the prefix of the route that it must match; empty for none.
struct RouteCase {
  std::string name;
  std::string path;
  std::string prefix;
};

const std::vector<RouteCase> kRouteCases = {
    {"the only prefix that matches", "/a/b", "/a/"},
    {"the longest of two", "/a/long/b", "/a/long/"},
    {"a part of a path segment does not match", "/ab", ""},
};

BOOST_AUTO_TEST_CASE(the_longest_prefix_chooses_the_route) {
  WorkflowConfig config;
  for (const char* prefix : {"/a/", "/a/long/"}) {
    config.routes.push_back(
        WorkflowRoute{.host = "host", .path_prefix = prefix});
  }
  for (const RouteCase& sample : kRouteCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const WorkflowRoute* route = MatchRoute(config, "host", sample.path);
      BOOST_TEST((route == nullptr ? "" : route->path_prefix) == sample.prefix);
    }
  }
}

}  // namespace
}  // namespace chicorystep
