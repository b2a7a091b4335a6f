#define BOOST_TEST_MODULE platform_metrics
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "platform/inspection.h"

namespace chicorystep::platform {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(100)};

// Whether the metrics contain the line.
bool HasLine(const Metrics& metrics, const std::string& line) {
  return ("\n" + RenderMetrics(metrics)).find("\n" + line + "\n") !=
         std::string::npos;
}

// Answers to calls, and the lines that count them.
struct CallsCase {
  std::string name;
  struct Answer {
    CallKind kind;
    CallResult result;
  };
  std::vector<Answer> answers;
  std::vector<std::string> lines;
};

const std::vector<CallsCase> kCallsCases = {
    {"unknown outcomes of two kinds of call",
     {{CallKind::kSubmit, CallResult::kUnknown},
      {CallKind::kCancel, CallResult::kUnknown},
      {CallKind::kSubmit, CallResult::kUnknown}},
     {R"(chicorystep_calls_total{call="submit",result="unknown"} 2)",
      R"(chicorystep_calls_total{call="cancel",result="unknown"} 1)"}},
    {"refusals of two kinds of query",
     {{CallKind::kGet, CallResult::kRefused},
      {CallKind::kCount, CallResult::kRefused}},
     {R"(chicorystep_calls_total{call="get",result="refused"} 1)",
      R"(chicorystep_calls_total{call="count",result="refused"} 1)"}},
    {"two results of one kind of call",
     {{CallKind::kSubmit, CallResult::kOk},
      {CallKind::kSubmit, CallResult::kUnauthorised}},
     {R"(chicorystep_calls_total{call="submit",result="ok"} 1)",
      R"(chicorystep_calls_total{call="submit",result="unauthorised"} 1)"}},
};

BOOST_AUTO_TEST_CASE(answers_are_counted_by_call_and_result) {
  for (const CallsCase& sample : kCallsCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Metrics metrics;
      RegisterMetrics(metrics);
      for (const CallsCase::Answer& answer : sample.answers) {
        CountCall(metrics, answer.kind, answer.result);
      }
      for (const std::string& line : sample.lines) {
        BOOST_TEST(HasLine(metrics, line), line);
      }
    }
  }
}

// The streams that have been read, and the gauges of their ages.
struct AgeCase {
  std::string name;
  std::map<FollowedStream, StreamPosition> streams;
  std::vector<std::string> lines;
};

const std::vector<AgeCase> kAgeCases = {
    {"no stream has been read",
     {},
     {"chicorystep_config_age_seconds +Inf",
      "chicorystep_journal_age_seconds +Inf"}},
    {"a read has succeeded, but not reached the end",
     {{FollowedStream::kConfig, {.last_success = kNow}},
      {FollowedStream::kJournal, {.last_success = kNow}}},
     {"chicorystep_config_age_seconds +Inf",
      "chicorystep_journal_age_seconds +Inf"}},
    {"the journal is older than the configuration",
     {{FollowedStream::kConfig, {.fresh_as_of = kNow - milliseconds(250)}},
      {FollowedStream::kJournal, {.fresh_as_of = kNow - milliseconds(7500)}}},
     {"chicorystep_config_age_seconds 0.25",
      "chicorystep_journal_age_seconds 7.5"}},
    {"a read that succeeded later has not reached the end",
     {{FollowedStream::kConfig,
       {.fresh_as_of = kNow - milliseconds(4000), .last_success = kNow}},
      {FollowedStream::kJournal, {.fresh_as_of = kNow}}},
     {"chicorystep_config_age_seconds 4", "chicorystep_journal_age_seconds 0"}},
};

BOOST_AUTO_TEST_CASE(gauges_show_the_age_of_complete_reads) {
  for (const AgeCase& sample : kAgeCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Metrics metrics;
      RegisterMetrics(metrics);
      WorkflowWorld world;
      world.streams = sample.streams;
      SetGauges(metrics, world, true, kNow);
      for (const std::string& line : sample.lines) {
        BOOST_TEST(HasLine(metrics, line), line);
      }
    }
  }
}

// What the holder has observed, and the lines that show it.
struct WaitsCase {
  std::string name;
  std::map<WaitReason, Duration> oldest;
  std::vector<std::string> lines;
};

const std::vector<WaitsCase> kWaitsCases = {
    {"no ready task without a run",
     {},
     {R"(chicorystep_oldest_ready_seconds{waits_for="room"} 0)"}},
    {"tasks that wait for different things",
     {{WaitReason::kUsableWorker, milliseconds(2500)},
      {WaitReason::kStopConfirmed, milliseconds(500)}},
     {R"(chicorystep_oldest_ready_seconds{waits_for="usable_worker"} 2.5)",
      R"(chicorystep_oldest_ready_seconds{waits_for="stop_confirmed"} 0.5)",
      R"(chicorystep_oldest_ready_seconds{waits_for="room"} 0)"}},
};

BOOST_AUTO_TEST_CASE(the_oldest_ready_task_is_shown_by_what_it_waits_for) {
  for (const WaitsCase& sample : kWaitsCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Metrics metrics;
      RegisterMetrics(metrics);
      WorkflowWorld world;
      world.scheduling.oldest_waits = sample.oldest;
      SetGauges(metrics, world, true, kNow);
      for (const std::string& line : sample.lines) {
        BOOST_TEST(HasLine(metrics, line), line);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(preemption_is_counted_over_several_updates) {
  Metrics metrics;
  RegisterMetrics(metrics);
  WorkflowWorld world;
  for (const std::int64_t loss : {1500, 2500}) {
    world.preempted = {
        .tasks_stopped = 3, .tasks_wanted = 2, .loss = CoreMillis(loss)};
    SetGauges(metrics, world, true, kNow);
  }
  for (const char* line :
       {R"(chicorystep_preempted_tasks_total{tasks="stopped"} 3)",
        R"(chicorystep_preempted_tasks_total{tasks="wanted"} 2)",
        "chicorystep_preempted_core_seconds_total 2.5"}) {
    BOOST_TEST(HasLine(metrics, line), line);
  }
}

}  // namespace
}  // namespace chicorystep::platform
