#define BOOST_TEST_MODULE task_evacuation
#include "chicorystep/systems/workflows/evacuation/task_evacuation.h"

#include <boost/test/unit_test.hpp>

#include "chicorystep/systems/workflows/task_orders.h"
#include "chicorystep/systems/workflows/task_placement.h"
#include "chicorystep/systems/workflows/task_status.h"
#include "chicorystep/systems/workflows/workflow_streams.h"
#include "chicorystep/systems/workflows/workflow_tables.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

const Zone kEast("east");
const Zone kWest("west");
constexpr WorkflowTime kNow{.now = TimePoint(seconds(1000)),
                            .wall = UnixMillis(5'000'000)};
constexpr std::size_t kWorkersPerZone = 8;

// A run of 3 entries and 8 workers in each of two zones.
struct ZonedRun : Emulation {
  ZonedRun() {
    this->store.configs.push_back(Emulation::MakeConfig(1));
    this->AddWorkers(2 * kWorkersPerZone);
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
      this->workers[i].listing.zone = i < kWorkersPerZone ? kEast : kWest;
      List(this->store, this->workers[i].listing);
    }
    this->AddEntries(3);
    BOOST_REQUIRE(
        this->RunFor(seconds(5), [&] { return this->Holder() >= 0; }));
    this->RunFor(seconds(1));
  }

  Entry& HolderEntry() {
    return *this->entries[static_cast<std::size_t>(this->Holder())];
  }

  // Starts that the workers of the zone have carried out in (from, to].
  [[nodiscard]] std::size_t CountStarts(const Zone& zone,
                                        TimePoint from,
                                        TimePoint to) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->start_times.size(); ++i) {
      count +=
          this->start_times[i] > from && this->start_times[i] <= to &&
                  this->FindWorker(this->start_workers[i])->listing.zone == zone
              ? 1
              : 0;
    }
    return count;
  }
};

void SubmitLoad(ZonedRun& run, int number) {
  for (std::size_t i = 0; i < run.entries.size(); ++i) {
    const std::size_t entry =
        (static_cast<std::size_t>(number) + i) % run.entries.size();
    if (!run.entries[entry]->up) {
      continue;
    }
    // Every fifth is a gang that is wider than the room in one zone.
    Emulation::Submitted what{.work = milliseconds(400 + number % 5 * 200)};
    what.spec.steps = {number % 5 == 0 ? MakeStep(6, 4, true)
                                       : MakeStep(10, 1)};
    run.Submit(static_cast<int>(entry), number % 3 == 0 ? "urgent" : "bulk",
               Emulation::MakeId(number), what);
    return;
  }
}

// A fault around the evacuation of a zone, and how long after the operator's
// record starts may still be carried out there.
struct EvacuationCase {
  std::string name;
  Duration bound;
  std::vector<Zone> zones = {kWest};
  // Applied some time after the record is written; negative for before it.
  Duration inject_after{};
  std::function<void(ZonedRun&)> inject = [](ZonedRun&) {};
  Duration clear_after = seconds(5);
  std::function<void(ZonedRun&)> clear = [](ZonedRun&) {};
  // How long after the record of the removal the zone is used again.
  Duration refill = seconds(1);
};

void StartKilled(ZonedRun& run) {
  for (int i = 0; i < static_cast<int>(run.entries.size()); ++i) {
    if (!run.entries[static_cast<std::size_t>(i)]->up) {
      run.StartEntry(i);
    }
  }
}
void KillHolder(ZonedRun& run) {
  if (run.Holder() >= 0) {
    run.KillEntry(run.Holder());
  }
}

// The zone is taken back 8 s after it was evacuated.
constexpr Duration kEvacuated = seconds(8);

const std::vector<EvacuationCase> kEvacuationCases = {
    {.name = "nothing else", .bound = milliseconds(100)},
    {.name = "two zones at once",
     .bound = milliseconds(100),
     .zones = {kEast, kWest}},
    {.name = "the holder is killed at the record",
     .bound = milliseconds(100),
     .inject = KillHolder,
     .clear = StartKilled},
    {.name = "the holder is killed a little later",
     .bound = milliseconds(100),
     .inject_after = milliseconds(15),
     .inject = KillHolder,
     .clear = StartKilled},
    {.name = "the holder was killed before",
     .bound = milliseconds(100),
     .inject_after = -milliseconds(500),
     .inject = KillHolder,
     .clear = StartKilled},
    {.name = "every entry restarts in between",
     .bound = milliseconds(100),
     .inject_after = seconds(3),
     .inject =
         [](ZonedRun& run) {
           for (int i = 0; i < static_cast<int>(run.entries.size()); ++i) {
             run.KillEntry(i);
             run.StartEntry(i);
           }
         }},
    {.name = "the holder freezes and resumes",
     .bound = milliseconds(100),
     .inject =
         [](ZonedRun& run) {
           run.HolderEntry().frozen_until = run.now + seconds(4);
         }},
    {.name = "the holder cannot reach the store",
     .bound = seconds(5),
     .inject_after = -milliseconds(200),
     .inject = [](ZonedRun& run) { run.HolderEntry().store_reachable = false; },
     .clear =
         [](ZonedRun& run) {
           for (const auto& entry : run.entries) {
             entry->store_reachable = true;
           }
         }},
    {.name = "the store is out while the zone is taken back",
     .bound = milliseconds(100),
     .inject_after = seconds(7),
     .inject = [](ZonedRun& run) { run.store_up = false; },
     .clear_after = seconds(3),
     .clear = [](ZonedRun& run) { run.store_up = true; },
     .refill = seconds(5)},
    {.name = "the record of the removal is compacted unread",
     .bound = milliseconds(100),
     .inject_after = seconds(7),
     .inject = [](ZonedRun& run) { run.store_up = false; },
     .clear_after = seconds(3),
     .clear =
         [](ZonedRun& run) {
           Compact(run.store);
           run.store_up = true;
         },
     .refill = seconds(5)},
    {.name = "answers to orders are lost",
     .bound = milliseconds(100),
     .inject_after = -seconds(1),
     .inject = [](ZonedRun& run) { run.rates.lost_orders = 200; },
     .clear_after = seconds(3),
     .clear = [](ZonedRun& run) { run.rates.lost_orders = 0; }},
    {.name = "answers to appends are lost",
     .bound = milliseconds(100),
     .inject_after = -seconds(1),
     .inject = [](ZonedRun& run) { run.rates.lost_appends = 300; },
     .clear_after = seconds(3),
     .clear = [](ZonedRun& run) { run.rates.lost_appends = 0; },
     .refill = seconds(2)},
    // A start that arrives late is rejected once its lease of 5 s is over.
    {.name = "orders are carried out late",
     .bound = milliseconds(5200),
     .inject_after = -seconds(1),
     .inject = [](ZonedRun& run) { run.rates.late_orders = 200; },
     .clear_after = seconds(3),
     .clear = [](ZonedRun& run) { run.rates.late_orders = 0; }},
};

BOOST_AUTO_TEST_CASE(nothing_starts_in_an_evacuated_zone) {
  for (const EvacuationCase& sample : kEvacuationCases) {
    for (const unsigned seed : {1U, 2U}) {
      BOOST_TEST_CONTEXT(sample.name << ", seed " << seed) {
        ZonedRun run;
        run.random.seed(seed);
        const TimePoint evacuated = run.now + seconds(4);
        const TimePoint taken_back = evacuated + kEvacuated;
        const TimePoint injected = evacuated + sample.inject_after;
        run.events.emplace(injected, [&] { sample.inject(run); });
        run.events.emplace(injected + sample.clear_after,
                           [&] { sample.clear(run); });
        for (const Zone& zone : sample.zones) {
          run.events.emplace(evacuated,
                             [&] { SetEvacuated(run.store, zone, true); });
          run.events.emplace(taken_back,
                             [&] { SetEvacuated(run.store, zone, false); });
        }
        const TimePoint end = taken_back + seconds(6);
        for (int number = 1; run.now < end; ++number) {
          SubmitLoad(run, number);
          run.RunFor(milliseconds(100));
        }
        for (const Zone& zone : sample.zones) {
          BOOST_TEST(run.CountStarts(zone, evacuated - seconds(2), evacuated) >
                     0U);
          BOOST_TEST(run.CountStarts(zone, evacuated + sample.bound,
                                     taken_back) == 0U);
          BOOST_TEST(run.CountStarts(zone, taken_back,
                                     taken_back + sample.refill) > 0U);
        }
        for (const auto& [id, what] : run.submitted) {
          const Workflow* known = run.HolderEntry().world.workflows.find(id);
          if (known == nullptr) {
            // Its submission failed with the entry.
            run.expected_to_end.erase(id);
          }
        }
        BOOST_TEST(
            run.RunFor(seconds(120), [&] { return run.AllWorkflowsEnded(); }));
        for (const std::string& violation : run.violations) {
          BOOST_ERROR(violation);
        }
      }
    }
  }
}

// Work that is running when its zone is evacuated.
struct RunningCase {
  std::string name;
  StepSpec step;
  bool takeover;
};

const std::vector<RunningCase> kRunningCases = {
    {"single tasks", MakeStep(32, 4), false},
    {"a gang that spans both zones", MakeStep(16, 8, true), false},
    {"single tasks, with a takeover", MakeStep(32, 4), true},
    {"a gang that spans both zones, with a takeover", MakeStep(16, 8, true),
     true},
};

BOOST_AUTO_TEST_CASE(running_work_goes_on) {
  for (const RunningCase& sample : kRunningCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      ZonedRun run;
      run.Submit(0, "bulk", Emulation::MakeId(1),
                 {.spec = {.steps = {sample.step}}, .work = seconds(10)});
      run.RunFor(seconds(2));
      BOOST_REQUIRE_EQUAL(run.RunningTasks(), sample.step.count);
      SetEvacuated(run.store, kWest, true);
      run.RunFor(milliseconds(500));
      if (sample.takeover) {
        run.KillEntry(run.Holder());
      }
      BOOST_TEST(
          run.RunFor(seconds(12), [&] { return run.AllWorkflowsEnded(); }));
      BOOST_TEST(run.starts == sample.step.count);
      BOOST_TEST(run.violations.empty());
    }
  }
}

// A holder's world with one worker of 8 accelerators in each zone.
WorkflowWorld MakeWorld() {
  WorkflowWorld world;
  world.config = Emulation::MakeConfig(1);
  world.holding.state = HoldingState::kHolding;
  world.holding.own_epoch = Epoch(1);
  world.holding.may_order = true;
  for (const Zone& zone : {kEast, kWest}) {
    const WorkerListing listing{
        .id = WorkerId(zone.value),
        .service = Service("service"),
        .address = Address("10.0.0.1:80"),
        .zone = zone,
        .capacity =
            Capacity{Accelerators(8), Millicores(32'000), Mebibytes(131'072)}};
    world.scheduling.workers.insert(listing.id,
                                    TaskWorker{.listing = listing,
                                               .rack = Rack(zone.value),
                                               .free = listing.capacity,
                                               .fenced = true,
                                               .hold_in_flight = true});
  }
  return world;
}

WorkflowId AddWorkflow(WorkflowWorld& world,
                       int number,
                       std::uint32_t priority,
                       const StepSpec& step) {
  WorkflowId id = Emulation::MakeId(number);
  Workflow workflow;
  workflow.spec.steps = {step};
  workflow.terms =
      WorkflowTerms{.workspace = Workspace(priority == 0 ? "team" : "others"),
                    .service = Service("service"),
                    .priority = priority,
                    .max_attempts = 3,
                    .target = seconds(1)};
  workflow.accepted = kNow.wall;
  workflow.runs = {StepRun{.tasks = std::vector<Task>(step.count)}};
  workflow.occurrences_begun = 1;
  world.workflows.insert(id, workflow);
  world.scheduling.open.insert(id);
  return id;
}

// Puts a task on the worker of a zone, in the given state, and returns it.
Task& PutTask(WorkflowWorld& world,
              const TaskKey& key,
              const Zone& zone,
              TaskState state) {
  const TaskRef ref = FindTask(world, key);
  ref.task->state = state;
  ref.task->run = RunNumber(1);
  ref.task->worker = WorkerId(zone.value);
  TaskWorker& worker = *world.scheduling.workers.find(ref.task->worker);
  worker.tasks[key] = RunNumber(1);
  worker.free = worker.free - ref.spec->need;
  return *ref.task;
}

void Evacuate(WorkflowWorld& world, const Zone& zone) {
  ApplyEvacuations(world, {.ok = true, .evacuations = {{zone, true}}},
                   kNow.now);
}

// How far the start of a task in an evacuated zone has come.
enum class StartProgress : std::uint8_t {
  kQueued,
  kInFlight,
  // It got no answer, and its repeat is queued.
  kUnanswered,
  // It could not be sent, and its repeat is queued.
  kNotSent,
};

struct WithdrawalCase {
  std::string name;
  TaskState state;
  StartProgress progress;
  TaskState after;
  // The other task of the step, which runs in the other zone, when the step is
  // a gang.
  TaskState gang_member_after;
};

const std::vector<WithdrawalCase> kWithdrawalCases = {
    {"placed", TaskState::kPlaced, StartProgress::kQueued, TaskState::kWaiting,
     TaskState::kStopping},
    {"its start is queued", TaskState::kStarting, StartProgress::kQueued,
     TaskState::kWaiting, TaskState::kStopping},
    {"its start is in flight", TaskState::kStarting, StartProgress::kInFlight,
     TaskState::kStarting, TaskState::kRunning},
    {"its start got no answer", TaskState::kStarting,
     StartProgress::kUnanswered, TaskState::kStopping, TaskState::kStopping},
    {"its start could not be sent", TaskState::kStarting,
     StartProgress::kNotSent, TaskState::kWaiting, TaskState::kStopping},
    {"running", TaskState::kRunning, StartProgress::kQueued,
     TaskState::kRunning, TaskState::kRunning},
    {"stopping", TaskState::kStopping, StartProgress::kQueued,
     TaskState::kStopping, TaskState::kRunning},
};

BOOST_AUTO_TEST_CASE(starts_that_may_not_be_carried_out_are_withdrawn) {
  for (const WithdrawalCase& sample : kWithdrawalCases) {
    for (const bool gang : {false, true}) {
      BOOST_TEST_CONTEXT(sample.name << (gang ? ", gang" : "")) {
        WorkflowWorld world = MakeWorld();
        const WorkflowId id = AddWorkflow(world, 1, 1, MakeStep(2, 4, gang));
        const TaskKey key{.workflow = id};
        Task& task = PutTask(world, key, kWest, sample.state);
        const Task& other =
            PutTask(world, {.workflow = id, .task = TaskIndex(1)}, kEast,
                    TaskState::kRunning);
        TaskWorker& worker =
            *world.scheduling.workers.find(WorkerId(kWest.value));
        if (sample.state == TaskState::kStarting) {
          if (sample.progress == StartProgress::kInFlight) {
            worker.orders_in_flight[key] = OrderKind::kStart;
          } else {
            worker.orders.push_back({.kind = OrderKind::kStart,
                                     .worker = worker.listing.id,
                                     .task = key,
                                     .run = RunNumber(1)});
          }
          task.start_unconfirmed =
              sample.progress == StartProgress::kUnanswered;
        }
        Evacuate(world, kWest);
        WithdrawEvacuatedStarts(world, kNow.now);
        BOOST_TEST(EnumName(task.state) == EnumName(sample.after));
        BOOST_TEST(
            EnumName(other.state) ==
            EnumName(gang ? sample.gang_member_after : TaskState::kRunning));
        WorkflowOutbox outbox;
        SendOrders(world, kNow.now, outbox);
        const bool stops = sample.progress == StartProgress::kUnanswered;
        BOOST_TEST(std::count_if(outbox.orders.begin(), outbox.orders.end(),
                                 [&](const WorkerOrder& order) {
                                   return order.worker == worker.listing.id &&
                                          order.kind == OrderKind::kStop;
                                 }) == (stops ? 1 : 0));
        BOOST_TEST(std::none_of(outbox.orders.begin(), outbox.orders.end(),
                                [](const WorkerOrder& order) {
                                  return order.kind == OrderKind::kStart;
                                }));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_queued_start_is_not_sent_into_an_evacuated_zone) {
  for (const bool evacuated : {false, true}) {
    WorkflowWorld world = MakeWorld();
    const WorkflowId id = AddWorkflow(world, 1, 1, MakeStep(1, 4));
    PutTask(world, {.workflow = id}, kWest, TaskState::kStarting);
    TaskWorker& worker = *world.scheduling.workers.find(WorkerId(kWest.value));
    worker.orders.push_back({.kind = OrderKind::kStart,
                             .worker = worker.listing.id,
                             .task = {.workflow = id},
                             .run = RunNumber(1)});
    Evacuate(world, evacuated ? kWest : kEast);
    WorkflowOutbox outbox;
    SendOrders(world, kNow.now, outbox);
    BOOST_TEST(outbox.orders.size() == (evacuated ? 0U : 1U));
  }
}

// Urgent work that waits for room while its only room is in an evacuated zone.
struct UrgentCase {
  std::string name;
  StepSpec step;
  // Accelerators that less urgent work has taken in each zone.
  std::int64_t taken_east;
  std::int64_t taken_west;
  // Tasks that are placed, all in the other zone, and tasks that are stopped.
  std::size_t placed;
  std::size_t stopped_east;
  std::size_t stopped_west;
  WaitReason waits_for;
};

const std::vector<UrgentCase> kUrgentCases = {
    {"room in both zones", MakeStep(1, 8), 0, 0, 1, 0, 0, WaitReason::kRecord},
    {"room only in the evacuated zone", MakeStep(1, 8), 8, 0, 0, 1, 0,
     WaitReason::kUsableWorker},
    {"less urgent work in both zones", MakeStep(1, 8), 8, 8, 0, 1, 0,
     WaitReason::kFreeCapacity},
    {"a gang that needs both zones", MakeStep(2, 8, true), 8, 8, 0, 0, 0,
     WaitReason::kFreeCapacity},
    {"a gang that needs the room of the evacuated zone", MakeStep(2, 8, true),
     0, 0, 0, 0, 0, WaitReason::kUsableWorker},
};

BOOST_AUTO_TEST_CASE(nothing_is_stopped_or_kept_free_in_an_evacuated_zone) {
  for (const UrgentCase& sample : kUrgentCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world = MakeWorld();
      Evacuate(world, kWest);
      const auto take = [&](int number, const Zone& zone, std::int64_t amount) {
        if (amount > 0) {
          const WorkflowId id =
              AddWorkflow(world, number, 2, MakeStep(1, amount));
          PutTask(world, {.workflow = id}, zone, TaskState::kRunning);
        }
        return Emulation::MakeId(number);
      };
      const WorkflowId east = take(2, kEast, sample.taken_east);
      const WorkflowId west = take(3, kWest, sample.taken_west);
      // Within the guarantee of its workspace.
      const WorkflowId urgent = AddWorkflow(world, 1, 0, sample.step);
      PlaceTasks(world, kNow);
      const auto count = [&](const WorkflowId& id, TaskState state) {
        const Workflow* workflow = world.workflows.find(id);
        return workflow == nullptr
                   ? 0
                   : std::count_if(
                         workflow->runs[0].tasks.begin(),
                         workflow->runs[0].tasks.end(),
                         [&](const Task& t) { return t.state == state; });
      };
      BOOST_TEST(count(urgent, TaskState::kPlaced) ==
                 static_cast<std::ptrdiff_t>(sample.placed));
      BOOST_TEST(count(east, TaskState::kStopping) ==
                 static_cast<std::ptrdiff_t>(sample.stopped_east));
      BOOST_TEST(count(west, TaskState::kStopping) ==
                 static_cast<std::ptrdiff_t>(sample.stopped_west));
      for (const Task& task : world.workflows.find(urgent)->runs[0].tasks) {
        BOOST_TEST((task.worker != WorkerId(kWest.value)));
      }
      BOOST_TEST(EnumName(FindWaitReason(
                     world, urgent, *world.workflows.find(urgent), kNow.now)) ==
                 EnumName(sample.waits_for));
    }
  }
}

// Reads of the operator's stream, and the zones that are evacuated after them.
struct ReadCase {
  std::string name;
  std::vector<StreamRead> reads;
  std::set<Zone> evacuated;
  // Whether a zone was taken back, so that tasks may be placed at once.
  bool placement_due;
};

StreamRead Changes(std::vector<EvacuationChange> changes,
                   bool complete = false) {
  return {.ok = true,
          .evacuations = std::move(changes),
          .evacuations_complete = complete};
}

const std::vector<ReadCase> kReadCases = {
    {"nothing", {Changes({})}, {}, false},
    {"one zone", {Changes({{kEast, true}})}, {kEast}, false},
    {"two zones",
     {Changes({{kEast, true}, {kWest, true}})},
     {kEast, kWest},
     false},
    {"taken back",
     {Changes({{kEast, true}}), Changes({{kEast, false}})},
     {},
     true},
    {"evacuated again in one read",
     {Changes({{kEast, true}, {kEast, false}, {kEast, true}})},
     {kEast},
     true},
    {"one of two taken back",
     {Changes({{kEast, true}, {kWest, true}}), Changes({{kEast, false}})},
     {kWest},
     true},
    {"a zone that is not evacuated is taken back",
     {Changes({{kEast, false}})},
     {},
     false},
    {"the newest records omit it",
     {Changes({{kEast, true}, {kWest, true}}), Changes({{kWest, true}}, true)},
     {kWest},
     true},
    {"the newest records have it still",
     {Changes({{kEast, true}}), Changes({{kEast, true}}, true)},
     {kEast},
     false},
    {"the newest records are of another stream",
     {Changes({{kEast, true}}), StreamRead{.stream = FollowedStream::kJournal,
                                           .ok = true,
                                           .evacuations_complete = true}},
     {kEast},
     false},
    {"a failed read",
     {Changes({{kEast, true}}), StreamRead{.evacuations_complete = true}},
     {kEast},
     false},
};

BOOST_AUTO_TEST_CASE(reads_of_the_operator_decide_which_zones_are_evacuated) {
  for (const ReadCase& sample : kReadCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      for (const StreamRead& read : sample.reads) {
        ApplyStreamReads(world, {.reads = {read}}, kNow);
      }
      std::set<Zone> evacuated;
      for (const auto& [zone, since] : world.evacuations.zones) {
        evacuated.insert(zone);
      }
      BOOST_TEST((evacuated == sample.evacuated));
      BOOST_TEST(world.scheduling.placement_due == sample.placement_due);
    }
  }
}

}  // namespace
}  // namespace chicorystep
