#define BOOST_TEST_MODULE placement_explanation
#include "chicorystep/systems/workflows/explain/placement_explanation.h"

#include <boost/test/unit_test.hpp>

#include "chicorystep/encoding/json.h"
#include "chicorystep/encoding/workflow_dump.h"
#include "chicorystep/encoding/workflow_explanation.h"
#include "chicorystep/systems/workflows/task_status.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

constexpr int kWorkers = 16;
constexpr std::uint32_t kAccelerators = 8 * kWorkers;
const WorkflowId kAsked = Emulation::MakeId(900);

// A world, a workflow that is asked about and then submitted, and the
// explanation.
struct ExplanationCase {
  std::string name;
  std::optional<StepSpec> step;
  CallResult result = CallResult::kOk;
  std::size_t placed = 0;
  WaitReason waits_for = WaitReason::kNothing;
  std::function<void(Emulation&)> prepare = [](Emulation&) {};
  // The count of workers that the case is about; all are candidates if unset.
  std::function<std::size_t(const WorkerCounts&)> count =
      [](const WorkerCounts& workers) { return workers.candidates; };
  std::size_t workers = kWorkers;
  std::size_t units_before = 0;
  std::string path = "/bulk/" + kAsked.value;
  // Whether the entry that is asked is the holder, and has followed the store.
  bool asks_holder = true;
  bool started = true;
  // A preemption changes the world soon after the submission.
  bool may_preempt = false;
  bool accepted = true;
  // Until the first of two occurrences; zero for no schedule.
  Duration due_in{};
};

WorkflowWorld& WorldOf(Emulation& run, int entry) {
  return run.entries[static_cast<std::size_t>(entry)]->world;
}

void Occupy(Emulation& run, int number, const StepSpec& step) {
  Emulation::Submitted what{.work = seconds(60)};
  what.spec.steps = {step};
  run.Submit(run.Holder(), "normal", Emulation::MakeId(number), what);
  run.RunFor(seconds(1));
}

std::function<void(Emulation&)> OccupyAccelerators(std::uint32_t count) {
  return [count](Emulation& run) { Occupy(run, 1, MakeStep(count, 1)); };
}

StepSpec WithLabel(StepSpec step, const std::string& label) {
  step.required_label = label;
  return step;
}

StepSpec InOneRack(StepSpec step) {
  step.same_rack = true;
  return step;
}

StepSpec Spread(StepSpec step) {
  step.max_per_worker = 1;
  return step;
}

void ChangeListings(Emulation& run,
                    const std::function<void(WorkerListing&)>& change) {
  for (EmulatedWorker& worker : run.workers) {
    change(worker.listing);
    List(run.store, worker.listing);
  }
  run.RunFor(seconds(1));
}

auto Rejected(WorkerRejection reason) {
  return [reason](const WorkerCounts& workers) {
    return workers.rejected[static_cast<std::size_t>(reason)];
  };
}

std::size_t CountWithoutRoom(const WorkerCounts& workers) {
  return workers.without_room;
}

const std::vector<ExplanationCase> kCases = {
    {.name = "free room", .step = MakeStep(4, 1), .placed = 4},
    {.name = "a gang", .step = MakeStep(6, 4, true), .placed = 6},
    {.name = "a gang in one rack",
     .step = InOneRack(MakeStep(8, 8, true)),
     .placed = 8},
    {.name = "one task on each worker",
     .step = Spread(MakeStep(kWorkers + 2, 1)),
     .placed = kWorkers,
     .waits_for = WaitReason::kSpread},
    {.name = "full",
     .step = MakeStep(4, 1),
     .waits_for = WaitReason::kFreeCapacity,
     .prepare = OccupyAccelerators(kAccelerators),
     .count = CountWithoutRoom},
    {.name = "room for some of the tasks",
     .step = MakeStep(20, 1),
     .placed = 8,
     .waits_for = WaitReason::kFreeCapacity,
     .prepare = OccupyAccelerators(kAccelerators - 8),
     .count = CountWithoutRoom,
     .workers = kWorkers - 1},
    {.name = "behind other work",
     .step = MakeStep(1, 8),
     .waits_for = WaitReason::kFreeCapacity,
     .prepare =
         [](Emulation& run) {
           Occupy(run, 1, MakeStep(kAccelerators, 1));
           Occupy(run, 2, MakeStep(3, 8));
           Occupy(run, 3, MakeStep(2, 8, true));
         },
     .count = CountWithoutRoom,
     .units_before = 2},
    {.name = "room that other work takes before it",
     .step = MakeStep(4, 1),
     .placed = 2,
     .waits_for = WaitReason::kFreeCapacity,
     .prepare =
         [](Emulation& run) {
           Emulation::Submitted what{.work = seconds(60)};
           what.spec.steps = {MakeStep(kAccelerators - 2, 1)};
           run.Submit(run.Holder(), "normal", Emulation::MakeId(1), what);
           // The pass that takes both comes after the submission.
           WorldOf(run, run.Holder()).scheduling.next_placement =
               run.now + milliseconds(60);
           run.RunFor(milliseconds(30));
         },
     .workers = 1,
     .units_before = 1},
    {.name = "urgent tasks within the guarantee and beyond it",
     .step = MakeStep(20, 1),
     .placed = 20,
     .path = "/urgent/" + kAsked.value},
    {.name = "not due",
     .step = MakeStep(1, 1),
     .waits_for = WaitReason::kDueTime,
     .due_in = seconds(30)},
    {.name = "urgent work that may preempt",
     .step = MakeStep(1, 8),
     .waits_for = WaitReason::kFreeCapacity,
     .prepare = OccupyAccelerators(kAccelerators),
     .count = CountWithoutRoom,
     .path = "/urgent/" + kAsked.value,
     .may_preempt = true},
    {.name = "free room, but in no single rack",
     .step = InOneRack(MakeStep(8, 8, true)),
     .waits_for = WaitReason::kOneRack,
     .prepare =
         [](Emulation& run) {
           Occupy(run, 1, WithLabel(MakeStep(1, 8), "r0"));
           Occupy(run, 2, WithLabel(MakeStep(1, 8), "r1"));
         },
     .workers = kWorkers - 2},
    {.name = "a label that nobody has",
     .step = WithLabel(MakeStep(1, 1), "z"),
     .waits_for = WaitReason::kSuitableWorker,
     .count = [](const WorkerCounts& all) { return all.without_label; }},
    {.name = "larger than any worker",
     .step = MakeStep(1, 9),
     .waits_for = WaitReason::kLargerWorker,
     .count = [](const WorkerCounts& all) { return all.too_small; }},
    {.name = "draining",
     .step = MakeStep(1, 1),
     .waits_for = WaitReason::kSuitableWorker,
     .prepare =
         [](Emulation& run) {
           ChangeListings(run, [](WorkerListing& row) { row.draining = true; });
         },
     .count = Rejected(WorkerRejection::kDraining)},
    {.name = "another service",
     .step = MakeStep(1, 1),
     .waits_for = WaitReason::kSuitableWorker,
     .count = [](const WorkerCounts& all) { return all.other_service; },
     .path = "/open/" + kAsked.value},
    {.name = "excluded",
     .step = MakeStep(1, 1),
     .waits_for = WaitReason::kUsableWorker,
     .prepare =
         [](Emulation& run) {
           for (TaskWorker& row :
                WorldOf(run, run.Holder()).scheduling.workers.rows) {
             row.excluded_until = run.now + seconds(10);
           }
         },
     .count = Rejected(WorkerRejection::kExcluded)},
    {.name = "an evacuated zone",
     .step = MakeStep(1, 1),
     .waits_for = WaitReason::kUsableWorker,
     .prepare =
         [](Emulation& run) {
           ChangeListings(run,
                          [](WorkerListing& row) { row.zone = Zone("west"); });
           SetEvacuated(run.store, Zone("west"), true);
           run.RunFor(seconds(1));
         },
     .count = Rejected(WorkerRejection::kEvacuated)},
    {.name = "not the holder",
     .step = MakeStep(1, 1),
     .waits_for = WaitReason::kHolder,
     .asks_holder = false},
    {.name = "before the configuration is read",
     .step = MakeStep(1, 1),
     .result = CallResult::kUnknown,
     .started = false,
     .accepted = false},
    {.name = "before the holder is known",
     .step = MakeStep(1, 1),
     .waits_for = WaitReason::kHolder,
     .prepare =
         [](Emulation& run) {
           BOOST_REQUIRE(run.RunFor(seconds(5), [&] {
             return run.entries[0]->world.config.has_value();
           }));
         },
     .started = false},
    {.name = "the store does not answer",
     .step = MakeStep(1, 1),
     .result = CallResult::kUnknown,
     .prepare =
         [](Emulation& run) {
           WorldOf(run, run.Holder()).callers.unanswered_since = run.now;
         },
     .accepted = false},
    {.name = "known already",
     .step = MakeStep(1, 1),
     .prepare = [](Emulation& run) { Occupy(run, 900, MakeStep(1, 1)); },
     .accepted = false},
    {.name = "malformed", .result = CallResult::kMalformed, .accepted = false},
    {.name = "too many tasks",
     .step = MakeStep(10'001, 1),
     .result = CallResult::kMalformed,
     .accepted = false},
    {.name = "an id that is none",
     .step = MakeStep(1, 1),
     .result = CallResult::kMalformed,
     .path = "/bulk/x",
     .accepted = false},
    {.name = "an unknown route",
     .step = MakeStep(1, 1),
     .result = CallResult::kNoRoute,
     .path = "/nowhere/" + kAsked.value,
     .accepted = false},
};

WorkflowCall MakeCall(const ExplanationCase& sample, const WorkflowTime& time) {
  WorkflowCall call{.kind = CallKind::kSubmit,
                    .host = "host",
                    .path = sample.path,
                    .key = ApiKey("key")};
  if (sample.step) {
    call.spec = WorkflowSpec{.steps = {*sample.step}};
    if (sample.due_in > Duration()) {
      call.spec->occurrences = 2;
      call.spec->first_due = time.wall + UnixMillis(WholeMillis(sample.due_in));
      call.spec->interval = seconds(1);
    }
  } else {
    call.malformed = "not a workflow";
  }
  return call;
}

// Compares the explanation with what became of the workflow.
void CheckOutcome(const WorkflowWorld& world,
                  const PlacementExplanation& explanation,
                  TimePoint now) {
  const Workflow* workflow = world.workflows.find(kAsked);
  BOOST_REQUIRE(workflow != nullptr);
  BOOST_REQUIRE(!workflow->runs.empty());
  const std::vector<Task>& tasks = workflow->runs.front().tasks;
  std::vector<std::string> expected(tasks.size());
  for (const ExplainedTask& task : explanation.step->placed) {
    expected[task.task.value] = task.worker.value;
  }
  std::vector<std::string> placed;
  for (const Task& task : tasks) {
    placed.push_back(task.worker.value);
  }
  BOOST_TEST(placed == expected, boost::test_tools::per_element());
  if (explanation.waits_for != WaitReason::kNothing) {
    BOOST_TEST(EnumName(FindWaitReason(world, kAsked, *workflow, now)) ==
               EnumName(explanation.waits_for));
  }
}

BOOST_AUTO_TEST_CASE(explanations_agree_with_what_then_happens) {
  for (const ExplanationCase& sample : kCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(kWorkers);
      run.AddEntries(3);
      if (sample.started) {
        BOOST_REQUIRE(
            run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
        run.RunFor(seconds(1));
      }
      sample.prepare(run);
      const int holder = run.Holder();
      const int entry =
          sample.started ? (sample.asks_holder ? holder : (holder + 1) % 3) : 0;
      const WorkflowWorld& world = WorldOf(run, entry);

      const std::string before = DumpWorkflowWorld(world, run.now);
      const WorkflowCall call = MakeCall(sample, run.Time());
      const PlacementExplanation explanation = ExplainPlacement(
          world,
          PlacementQuestion{.call = call, .workspace = Workspace("team")},
          run.Time());
      BOOST_TEST(DumpWorkflowWorld(world, run.now) == before);
      BOOST_TEST(world.callers.queued.empty());

      BOOST_TEST(EnumName(explanation.answer.result) ==
                 EnumName(sample.result));
      BOOST_TEST(explanation.accepted == sample.accepted);
      BOOST_TEST(EnumName(explanation.waits_for) == EnumName(sample.waits_for));
      BOOST_TEST(explanation.may_preempt == sample.may_preempt);
      BOOST_TEST((explanation.holder.value.empty() != sample.started));
      const bool decided = sample.accepted && sample.started &&
                           sample.asks_holder && sample.due_in == Duration();
      BOOST_REQUIRE(explanation.step.has_value() == decided);
      if (decided) {
        BOOST_TEST(explanation.step->placed.size() == sample.placed);
        BOOST_TEST(explanation.step->units_before == sample.units_before);
        BOOST_TEST(sample.count(explanation.step->workers) == sample.workers);
      }
      BOOST_TEST(
          Json::parse(EncodePlacementExplanation(explanation)).at("accepted") ==
          sample.accepted);

      const ExchangeId exchange = run.Call(entry, call);
      run.submitted[kAsked] = Emulation::Submitted{
          .spec = call.spec.value_or(WorkflowSpec()), .work = seconds(60)};
      BOOST_REQUIRE(run.RunFor(
          seconds(1), [&] { return run.AnswerTo(exchange).has_value(); }));
      const CallAnswer answer = *run.AnswerTo(exchange);
      BOOST_TEST(EnumName(answer.result) ==
                 EnumName(explanation.answer.result));
      BOOST_TEST(answer.detail == explanation.answer.detail);
      BOOST_TEST(WholeMillis(answer.retry_after) ==
                 WholeMillis(explanation.answer.retry_after));
      if (decided && !sample.may_preempt) {
        run.RunFor(milliseconds(100));
        CheckOutcome(world, explanation, run.now);
      }
    }
  }
}

// Questions whose answers do not depend on the workers.
BOOST_AUTO_TEST_CASE(questions_need_no_id_and_bodies_are_bounded) {
  struct Question {
    std::string name;
    std::string path;
    Bytes body;
    bool accepted;
  };
  const Bytes limit = CallLimits().max_body;
  for (const Question& sample : {
           Question{"a prefix", "/bulk/", Bytes(100), true},
           Question{"an id", "/bulk/" + kAsked.value, limit, true},
           Question{"too large", "/bulk/", limit + Bytes(1), false},
       }) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddEntries(1);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      PlacementQuestion question{
          .call = MakeCall(ExplanationCase{.step = MakeStep(1, 1)}, run.Time()),
          .body = sample.body};
      question.call.path = sample.path;
      BOOST_TEST(
          ExplainPlacement(WorldOf(run, 0), question, run.Time()).accepted ==
          sample.accepted);
    }
  }
}

}  // namespace
}  // namespace chicorystep
