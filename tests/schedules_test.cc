// Property tests that run the real control code of several processes over
// fakes. Generated schedules deliver, lose, duplicate or delay messages and
// restart processes. A failing schedule is shrunk. RC_PARAMS overrides the seed
// and the number of schedules.

#define BOOST_TEST_MODULE schedules
#include <stdlib.h>

#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "chicorystep/core/logging.h"
#include "tests/support/cluster.h"
#include "tests/support/fakes.h"
// RapidCheck's header needs Boost.Test's before it.
#include <rapidcheck/boost_test.h>

namespace chicorystep::testing {

enum class Action : std::uint8_t {
  kTick,
  kAdvanceTime,
  kRunWithoutFaults,
  kRead,
  kAppend,
  kAppendAnswerLost,
  kAppendLost,
  kHeartbeat,
  kForward,
  kFetch,
  kFetchLost,
  kExecute,
  kExecuteAnswerLost,
  kExecuteMismatched,
  kRefuse,
  kNotSent,
  kWorkerObeys,
  kWorkerAnswerLost,
  kWorkerUnreached,
  kWorkerLate,
  kLateCommandArrives,
  kRestart,
  kRequest,
  kDispatch,
  kSubmit,
  kEdit,
  kStaleEdit,
};

}  // namespace chicorystep::testing

namespace chicorystep {
template <>
inline constexpr std::array kEnumNames<testing::Action> = {
    std::string_view("tick"),
    std::string_view("advance_time"),
    std::string_view("run_without_faults"),
    std::string_view("read"),
    std::string_view("append"),
    std::string_view("append_answer_lost"),
    std::string_view("append_lost"),
    std::string_view("heartbeat"),
    std::string_view("forward"),
    std::string_view("fetch"),
    std::string_view("fetch_lost"),
    std::string_view("execute"),
    std::string_view("execute_answer_lost"),
    std::string_view("execute_mismatched"),
    std::string_view("refuse"),
    std::string_view("not_sent"),
    std::string_view("worker_obeys"),
    std::string_view("worker_answer_lost"),
    std::string_view("worker_unreached"),
    std::string_view("worker_late"),
    std::string_view("late_command_arrives"),
    std::string_view("restart"),
    std::string_view("request"),
    std::string_view("dispatch"),
    std::string_view("submit"),
    std::string_view("edit"),
    std::string_view("stale_edit"),
};
}  // namespace chicorystep

namespace chicorystep::testing {

// One step of a schedule. The meaning of `pick` depends on the action: it
// selects a message, a name or a duration.
struct Step {
  Action action = Action::kTick;
  std::size_t node = 0;
  std::size_t pick = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step) {
  return stream << EnumName(step.action) << "(" << step.node << "," << step.pick
                << ")";
}

namespace {

// Number of ids among which a schedule chooses for each kind of request and
// job.
constexpr std::size_t kWorkNames = 4;

// Takes one message in flight from the step's node, if there is one, and calls
// `end` with it.
template <typename Message, typename End>
void HandleInFlightMessage(std::vector<InFlightMessage<Message>>& flights,
                           const Step& step,
                           End end) {
  if (InFlightMessage<Message> flight;
      TakeInFlightMessage(flights, step.node, step.pick, flight)) {
    end(flight);
  }
}

void RunAppendStep(Fakes& fakes, const Step& step) {
  HandleInFlightMessage(fakes.appends, step, [&](const auto& flight) {
    EndAppend(fakes, flight, step.action != Action::kAppendLost,
              step.action == Action::kAppend);
  });
}

void RunAttemptStep(Fakes& fakes, const Step& step) {
  HandleInFlightMessage(fakes.attempts, step, [&](const auto& flight) {
    switch (step.action) {
      case Action::kExecute:
        EndAttempt(fakes, flight, true, AttemptResult::kAnswered);
        break;
      case Action::kExecuteAnswerLost:
        EndAttempt(fakes, flight, true, AttemptResult::kLost);
        break;
      case Action::kExecuteMismatched:
        EndAttempt(fakes, flight, true, AttemptResult::kMismatched);
        break;
      case Action::kRefuse:
        EndAttempt(fakes, flight, false, AttemptResult::kRefused);
        break;
      default:
        EndAttempt(fakes, flight, false, AttemptResult::kNotSent);
        break;
    }
  });
}

void RunWorkerStep(Fakes& fakes, const Step& step) {
  HandleInFlightMessage(fakes.commands, step, [&](const auto& flight) {
    const bool late = step.action == Action::kWorkerLate;
    if (late) {
      fakes.late_commands.push_back(flight);
    }
    EndCommands(fakes, flight, !late && step.action != Action::kWorkerUnreached,
                step.action == Action::kWorkerObeys);
  });
}

void RunPeerStep(Fakes& fakes, const Step& step) {
  HandleInFlightMessage(fakes.heartbeats, step, [&](const auto& flight) {
    fakes.nodes[NodeAt(flight.message.address)].inbox.heartbeats.push_back(
        flight.message.heartbeat);
  });
  HandleInFlightMessage(fakes.forwards, step, [&](auto& flight) {
    flight.message.operation.forwarded = true;
    fakes.nodes[NodeAt(flight.message.address)].inbox.job_operations.push_back(
        flight.message.operation);
  });
}

void RunStep(Fakes& fakes, const Step& step) {
  switch (step.action) {
    case Action::kTick:
      break;
    case Action::kAdvanceTime:
      fakes.now += std::chrono::milliseconds(100 * (1 + step.pick));
      break;
    case Action::kRunWithoutFaults:
      RunWithoutFaults(fakes, std::chrono::milliseconds(200 * (1 + step.pick)));
      break;
    case Action::kRead:
      ReadLog(fakes, step.node);
      break;
    case Action::kAppend:
    case Action::kAppendAnswerLost:
    case Action::kAppendLost:
      RunAppendStep(fakes, step);
      break;
    case Action::kHeartbeat:
    case Action::kForward:
      RunPeerStep(fakes, step);
      break;
    case Action::kFetch:
    case Action::kFetchLost:
      HandleInFlightMessage(fakes.fetches, step, [&](const auto& flight) {
        EndFetch(fakes, flight, step.action == Action::kFetch);
      });
      break;
    case Action::kExecute:
    case Action::kExecuteAnswerLost:
    case Action::kExecuteMismatched:
    case Action::kRefuse:
    case Action::kNotSent:
      RunAttemptStep(fakes, step);
      break;
    case Action::kWorkerObeys:
    case Action::kWorkerAnswerLost:
    case Action::kWorkerUnreached:
    case Action::kWorkerLate:
      RunWorkerStep(fakes, step);
      break;
    case Action::kLateCommandArrives:
      HandleInFlightMessage(fakes.late_commands, step, [&](const auto& flight) {
        (void)ApplyCommands(fakes, flight.message);
      });
      break;
    case Action::kRestart:
      StartNode(fakes, step.node);
      break;
    case Action::kRequest:
      SendFakeRequest(fakes, step.node, true, step.pick % kWorkNames);
      break;
    case Action::kDispatch:
      SendFakeRequest(fakes, step.node, false, step.pick % kWorkNames);
      break;
    case Action::kSubmit:
      SubmitFakeJob(fakes, step.node, step.pick % kWorkNames);
      break;
    case Action::kEdit:
    case Action::kStaleEdit:
      PublishFakeEdit(fakes, ++fakes.ids, step.action == Action::kStaleEdit);
      break;
  }
  fakes.now += std::chrono::milliseconds(10);
  TickNode(fakes, step.node);
}

// Runs a schedule, then a quiet period without faults, and returns the history.
proof::History RunSchedule(const std::vector<Step>& steps) {
  Fakes fakes = MakeFakes(kTables);
  const TimePoint begin = fakes.now;
  for (const Step& step : steps) {
    RunStep(fakes, step);
  }
  // Marks the whole schedule as a disturbance: while messages are withheld, no
  // deadline has to be met.
  fakes.history.disturbances.push_back({begin, fakes.now, EntryId{}});
  RunWithoutFaults(fakes, std::chrono::seconds(10));
  for (std::size_t i = 0; i < kFakeWorkers; ++i) {
    AdvanceWorkerTime(fakes, WorkerId("worker-" + std::to_string(i)));
  }
  return fakes.history;
}

rc::Gen<std::vector<Step>> AnySchedule() {
  constexpr int kActions = static_cast<int>(Action::kStaleEdit) + 1;
  constexpr std::size_t kPicks = 8;
  return rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
      rc::gen::map(rc::gen::inRange(0, kActions),
                   [](int value) { return static_cast<Action>(value); }),
      rc::gen::inRange<std::size_t>(0, kNodes),
      rc::gen::inRange<std::size_t>(0, kPicks)));
}

constexpr std::array kPromises = {
    proof::Promise::kGangWhole, proof::Promise::kNotRunTrue,
    proof::Promise::kAtMostOnce, proof::Promise::kEditInForce};

void CheckSchedules(const proof::Checker& checker) {
  rc::detail::checkBoostTest([&checker] {
    const proof::Verdict verdict =
        checker.check(RunSchedule(*AnySchedule()), proof::Bounds{});
    if (!verdict.violations.empty()) {
      RC_FAIL(verdict.violations.front());
    }
  });
}

// Checks that work succeeds in the fakes without faults, so that the properties
// do not hold merely because everything is refused.
BOOST_AUTO_TEST_CASE(quiet_schedule_serves_everything) {
  const proof::History history = RunSchedule({{Action::kRequest, 0, 0},
                                              {Action::kDispatch, 1, 0},
                                              {Action::kSubmit, 2, 0},
                                              {Action::kEdit, 0, 0}});
  BOOST_TEST(history.executed.size() == 2U);
  BOOST_TEST(history.pieces_started.size() == 2U);
  BOOST_TEST(history.edits.size() == 1U);
  BOOST_TEST(history.calls_ended.size() == 2U);
  for (const proof::CallEnded& ended : history.calls_ended) {
    BOOST_TEST((ended.outcome == proof::CallOutcome::kAnswered));
  }
}

const bool kRegistered = [] {
  ::setenv("RC_PARAMS", "seed=1 max_success=200 max_size=150", 0);
  ConfigureLogging(LogLevel::kError, "schedules");
  for (const proof::Checker& checker : proof::kCheckers) {
    if (std::find(kPromises.begin(), kPromises.end(), checker.promise) !=
        kPromises.end()) {
      boost::unit_test::framework::current_auto_test_suite().add(
          boost::unit_test::make_test_case(
              [&checker] { CheckSchedules(checker); },
              std::string(EnumName(checker.promise)), __FILE__, __LINE__));
    }
  }
  return true;
}();

}  // namespace
}  // namespace chicorystep::testing
