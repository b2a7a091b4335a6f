#define BOOST_TEST_MODULE workflow_streams
#include <boost/test/unit_test.hpp>

#include "chicorystep/systems/workflows/task_workers.h"
#include "chicorystep/systems/workflows/workflow_holder.h"
#include "chicorystep/systems/workflows/workflow_streams.h"
#include "chicorystep/systems/workflows/workflow_writes.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

constexpr WorkflowTime kStart{.now = TimePoint(seconds(100)),
                              .wall = UnixMillis(1'000'000)};

const WorkflowId kId("00000000000000aa");

AcceptedRecord Accepted(const std::string& payload) {
  AcceptedRecord record{.id = kId};
  record.spec.payload = payload;
  record.terms.workspace = Workspace("team");
  record.spec.steps = {MakeStep(2, 1)};
  return record;
}

StreamRead JournalRead(std::vector<JournalRecord> records) {
  StreamRead read{
      .stream = FollowedStream::kJournal, .ok = true, .began = kStart.now};
  std::uint64_t offset = 0;
  for (JournalRecord& record : records) {
    read.journal.emplace_back(Offset(offset++), std::move(record));
  }
  read.next = Offset(offset);
  return read;
}

// Records in the order of the journal, and a condition on the tables after they
// are applied.
struct FoldCase {
  std::string name;
  std::vector<JournalRecord> records;
  std::function<bool(const WorkflowWorld&)> expected;
};

const std::vector<FoldCase> kFoldCases = {
    {"the first acceptance of an id wins",
     {Accepted("first"), Accepted("second")},
     [](const WorkflowWorld& world) {
       return world.workflows.find(kId)->spec.payload == "first";
     }},
    {"a repeated acceptance does not change the state",
     {Accepted("p"), StateRecord{.id = kId, .state = WorkflowState::kSucceeded},
      Accepted("p")},
     [](const WorkflowWorld& world) {
       return world.workflows.find(kId)->shown == WorkflowState::kSucceeded;
     }},
    {"a cancel is kept with the workflow",
     {Accepted("p"), CancelRecord{.id = kId}},
     [](const WorkflowWorld& world) {
       return world.workflows.find(kId)->cancel_requested;
     }},
    {"a cancel before the acceptance is kept for it",
     {CancelRecord{.id = kId}, Accepted("p")},
     [](const WorkflowWorld& world) {
       return world.workflows.find(kId)->cancel_requested &&
              world.early_cancels.empty();
     }},
    {"a cancel by another workspace does not apply to a later acceptance",
     {CancelRecord{.id = kId, .workspace = Workspace("other")}, Accepted("p")},
     [](const WorkflowWorld& world) {
       return !world.workflows.find(kId)->cancel_requested;
     }},
    {"a cancel by another workspace does not apply",
     {Accepted("p"), CancelRecord{.id = kId, .workspace = Workspace("other")}},
     [](const WorkflowWorld& world) {
       return !world.workflows.find(kId)->cancel_requested;
     }},
    {"a cancel by the same workspace applies",
     {Accepted("p"), CancelRecord{.id = kId, .workspace = Workspace("team")}},
     [](const WorkflowWorld& world) {
       return world.workflows.find(kId)->cancel_requested;
     }},
    {"a removed cancel does not apply to a later acceptance",
     {CancelRecord{.id = kId}, CancelRemovalRecord{.id = kId}, Accepted("p")},
     [](const WorkflowWorld& world) {
       return !world.workflows.find(kId)->cancel_requested;
     }},
    {"the removal of a cancel leaves an accepted workflow in the table",
     {Accepted("p"), CancelRecord{.id = kId}, CancelRemovalRecord{.id = kId}},
     [](const WorkflowWorld& world) {
       return world.workflows.find(kId)->cancel_requested;
     }},
    {"the highest claim names the holder",
     {HolderRecord{.epoch = Epoch(2), .holder = EntryId("b")},
      HolderRecord{.epoch = Epoch(1), .holder = EntryId("a")}},
     [](const WorkflowWorld& world) {
       return world.holding.holder == EntryId("b");
     }},
    {"of two claims with one epoch the first counts",
     {HolderRecord{.epoch = Epoch(1),
                   .holder = EntryId("a"),
                   .incarnation = Incarnation(1)},
      HolderRecord{.epoch = Epoch(1),
                   .holder = EntryId("b"),
                   .incarnation = Incarnation(2)}},
     [](const WorkflowWorld& world) {
       return world.holding.holder == EntryId("a");
     }},
    {"an evicted workflow is removed",
     {Accepted("p"), EvictionRecord{.id = kId}},
     [](const WorkflowWorld& world) {
       return world.workflows.find(kId) == nullptr;
     }},
};

BOOST_AUTO_TEST_CASE(records_are_applied_in_their_order) {
  for (const FoldCase& sample : kFoldCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      ApplyStreamReads(world, {.reads = {JournalRead(sample.records)}}, kStart);
      BOOST_TEST(sample.expected(world));
    }
  }
}

// Versions in the order they are read, and the one in force afterwards.
struct VersionCase {
  std::string name;
  std::vector<std::uint64_t> versions;
  std::uint64_t in_force;
};

const std::vector<VersionCase> kVersionCases = {
    {"rising", {3, 7}, 7},
    {"an older one after a newer", {7, 3}, 7},
    {"the same version twice", {5, 5}, 5},
};

BOOST_AUTO_TEST_CASE(the_configuration_never_goes_back) {
  for (const VersionCase& sample : kVersionCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      for (const std::uint64_t version : sample.versions) {
        ApplyStreamReads(
            world,
            {.reads = {{.stream = FollowedStream::kConfig,
                        .ok = true,
                        .config = Emulation::MakeConfig(version)}}},
            kStart);
      }
      BOOST_TEST(world.config->version.value == sample.in_force);
    }
  }
}

// How long the store is away.
const std::vector<Duration> kOutages = {milliseconds(1000), milliseconds(3100),
                                        milliseconds(4700), milliseconds(5000),
                                        milliseconds(6300), milliseconds(9000)};

bool HasReadSince(const Emulation::Entry& entry,
                  FollowedStream stream,
                  TimePoint since) {
  return entry.world.streams.at(stream).fresh_as_of >= since;
}

// Guards against an entry that reads the journal again after an outage, but
// declines callers with keys because it reads the configuration much later
// (issue 34).
BOOST_AUTO_TEST_CASE(all_streams_are_read_soon_after_the_store_is_back) {
  // A read in flight ends by its time-out of 900 ms; the next begins one retry
  // delay of 150 ms later and takes a round trip.
  constexpr Duration kMaxGap = milliseconds(1100);
  for (const Duration outage : kOutages) {
    BOOST_TEST_CONTEXT(outage.count()) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(4);
      run.AddEntries(5);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      run.store_up = false;
      run.RunFor(outage);
      run.store_up = true;
      const TimePoint back = run.now;
      for (const auto& entry : run.entries) {
        BOOST_REQUIRE(run.RunFor(seconds(5), [&] {
          return HasReadSince(*entry, FollowedStream::kJournal, back);
        }));
      }
      (void)run.RunFor(kMaxGap, [&] {
        return std::all_of(
            run.entries.begin(), run.entries.end(), [&](const auto& entry) {
              return HasReadSince(*entry, FollowedStream::kConfig, back);
            });
      });
      for (const auto& entry : run.entries) {
        BOOST_TEST(HasReadSince(*entry, FollowedStream::kConfig, back),
                   entry->world.self.id.value);
      }
    }
  }
}

// How often reads of the configuration have failed, and what the next one does.
struct RetryCase {
  std::string name;
  int failures;
  // Whether reads of the journal had failed as well before one succeeded.
  bool journal_failed;
  bool retried_at_once;
  bool waits;
};

const std::vector<RetryCase> kRetryCases = {
    {"the journal is read again", 4, true, true, false},
    {"the journal was read all the while", 4, false, false, false},
    {"no read has failed", 0, false, true, true},
};

BOOST_AUTO_TEST_CASE(a_stream_that_recovers_brings_forward_the_others) {
  for (const RetryCase& sample : kRetryCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      const auto apply = [&](FollowedStream stream, bool ok) {
        ApplyStreamReads(world,
                         {.reads = {{.stream = stream,
                                     .ok = ok,
                                     .began = kStart.now - milliseconds(5)}}},
                         kStart);
      };
      if (sample.journal_failed) {
        apply(FollowedStream::kJournal, false);
      }
      for (int i = 0; i < sample.failures; ++i) {
        apply(FollowedStream::kConfig, false);
      }
      apply(FollowedStream::kJournal, true);
      WorkflowOutbox outbox;
      FollowStreams(world, kStart.now, outbox);
      const auto read = std::find_if(
          outbox.reads.begin(), outbox.reads.end(),
          [](auto& r) { return r.stream == FollowedStream::kConfig; });
      BOOST_TEST((read != outbox.reads.end()) == sample.retried_at_once);
      if (read != outbox.reads.end()) {
        BOOST_TEST((read->wait > Duration::zero()) == sample.waits);
      }
    }
  }
}

// The result of a read, and whether the journal counts as known up to the begin
// of the read.
struct FreshCase {
  std::string name;
  bool ok;
  bool at_end;
  bool fresh;
};

const std::vector<FreshCase> kFreshCases = {
    {"a read to the end", true, true, true},
    {"a page that is not the last", true, false, false},
    {"a read without an answer", false, true, false},
};

BOOST_AUTO_TEST_CASE(only_a_read_to_the_end_confirms_the_journal) {
  for (const FreshCase& sample : kFreshCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      StreamRead read = JournalRead({});
      read.ok = sample.ok;
      read.at_end = sample.at_end;
      ApplyStreamReads(world, {.reads = {read}}, kStart);
      BOOST_TEST(IsFresh(world, FollowedStream::kJournal, seconds(1),
                         kStart.now) == sample.fresh);
    }
  }
}

// Why a stream is reloaded while a read of its tail is in flight.
struct ReloadCase {
  std::string name;
  std::function<void(WorkflowWorld&)> reload;
};

const std::vector<ReloadCase> kReloadCases = {
    {"the holder role was lost",
     [](WorkflowWorld& world) {
       world.holding.state = HoldingState::kHolding;
       StopHolding(world, "test", kStart.now);
     }},
    {"a reload is requested",
     [](WorkflowWorld& world) {
       ReloadStream(world, FollowedStream::kJournal, kStart.now);
     }},
};

BOOST_AUTO_TEST_CASE(a_read_that_began_before_a_reload_is_dropped) {
  for (const ReloadCase& sample : kReloadCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      ApplyStreamReads(world, {.reads = {JournalRead({Accepted("p")})}},
                       kStart);
      WorkflowOutbox first;
      FollowStreams(world, kStart.now + seconds(1), first);
      sample.reload(world);
      ApplyStreamReads(world, {.reads = {JournalRead({})}}, kStart);
      WorkflowOutbox second;
      FollowStreams(world, kStart.now + seconds(2), second);
      const bool whole = std::any_of(
          second.reads.begin(), second.reads.end(), [](const ReadStream& read) {
            return read.stream == FollowedStream::kJournal && !read.from;
          });
      BOOST_TEST(whole);
    }
  }
}

// How long the link to the store needs for the journal if all entries load it.
struct CommonLoadCase {
  std::string name;
  Duration time;
};

const std::vector<CommonLoadCase> kCommonLoadCases = {
    {"within a time-out", milliseconds(600)},
    {"twice a time-out", 2 * kReadTimeout},
    {"over three time-outs", 3 * kReadTimeout + milliseconds(400)},
};

// Guards against entries that restart together and fill the link to the store
// for good with reads that time out and begin again (coeurs-armor-grown at 300
// machines, 60% of the entries killed: no requests served any more).
BOOST_AUTO_TEST_CASE(entries_that_restart_together_load_the_journal) {
  for (const CommonLoadCase& sample : kCommonLoadCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      constexpr int kEntries = 30;
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddEntries(kEntries);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      for (int number = 1; number <= 100; ++number) {
        Emulation::Submitted what;
        what.spec.payload = std::string(2000, 'p');
        what.spec.steps = {MakeStep(1, 1)};
        run.Submit(number % kEntries, "bulk", Emulation::MakeId(number), what);
      }
      run.RunFor(seconds(1));
      const Bytes journal =
          Read(run.store, ReadStream{.stream = FollowedStream::kJournal}, false)
              ->received;
      BOOST_REQUIRE(journal.value > 200'000);
      run.link_per_second =
          Bytes(kEntries * journal.value * 1000 / WholeMillis(sample.time));
      for (int i = 0; i < kEntries; ++i) {
        run.KillEntry(i);
        run.StartEntry(i);
      }
      BOOST_TEST(run.RunFor(seconds(10), [&] {
        return std::all_of(
            run.entries.begin(), run.entries.end(), [&](const auto& entry) {
              return IsFresh(entry->world, FollowedStream::kJournal, seconds(5),
                             run.now);
            });
      }));
    }
  }
}

// Reads of the list of workers by a new holder, whether each contains all
// workers, and how many workers the holder lists afterwards.
struct ListCase {
  std::string name;
  std::vector<bool> whole;
  std::size_t listed_workers;
};

const std::vector<ListCase> kListCases = {
    {"a change that was requested before the takeover", {false}, 0},
    {"all workers", {true}, 1},
    {"a change after all workers", {true, false}, 2},
    {"a change before all workers", {false, true}, 1},
};

// Guards against a new holder that places work according to a page of the list
// requested before its takeover, on workers that have been draining for long
// (atlas-dechets-grown, DRAIN).
BOOST_AUTO_TEST_CASE(a_holder_knows_no_worker_before_it_has_read_them_all) {
  for (const ListCase& sample : kListCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      world.holding.state = HoldingState::kHolding;
      int number = 0;
      for (const bool whole : sample.whole) {
        const WorkerId id(fmt::format("w{}", number++));
        StreamRead read{.stream = FollowedStream::kWorkers, .ok = true};
        read.workers.emplace_back(
            id, WorkerListing{.id = id, .address = Address("10.0.0.1:80")});
        read.workers_complete = whole;
        ApplyWorkerListings(world, {.reads = {read}}, kStart);
      }
      const auto& rows = world.scheduling.workers.rows;
      BOOST_TEST(static_cast<std::size_t>(std::count_if(
                     rows.begin(), rows.end(), [](const TaskWorker& worker) {
                       return worker.listed;
                     })) == sample.listed_workers);
    }
  }
}

// How the store answers successive sends of a claim, and whether the claim
// stands afterwards.
struct ClaimCase {
  std::string name;
  std::vector<AppendOutcome> outcomes;
  HoldingState state;
};

const std::vector<ClaimCase> kClaimCases = {
    {"written", {AppendOutcome::kWritten}, HoldingState::kClaiming},
    {"no answer", {AppendOutcome::kUnknown}, HoldingState::kClaiming},
    {"rejected", {AppendOutcome::kRejected}, HoldingState::kFollowing},
    {"fenced", {AppendOutcome::kFenced}, HoldingState::kFollowing},
    {"another entry's claim is first",
     {AppendOutcome::kOutOfSequence},
     HoldingState::kFollowing},
    // The first send may have been written, or may be written later. The other
    // entries would then wait for the heartbeats of this one.
    {"no answer, then rejected",
     {AppendOutcome::kUnknown, AppendOutcome::kRejected},
     HoldingState::kClaiming},
    {"no answer, then another entry's claim is first",
     {AppendOutcome::kUnknown, AppendOutcome::kOutOfSequence},
     HoldingState::kFollowing},
};

// Pattern: the store turns some entries away while it serves others. A claim
// that is repeated until the store accepts it ends a sound holder, and nobody
// places work until it times out (atlas-dechets-large, inc-269c).
BOOST_AUTO_TEST_CASE(a_claim_that_the_store_rejects_is_given_up) {
  for (const ClaimCase& sample : kClaimCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      Holding& holding = world.holding;
      holding.state = HoldingState::kClaiming;
      holding.own_epoch = Epoch(2);
      holding.journal.sequence = FirstSequence(world.self);
      BeginAppend(holding, holding.journal, {HolderRecord{.epoch = Epoch(2)}},
                  kStart.now);
      WorkflowTime time = kStart;
      for (const AppendOutcome outcome : sample.outcomes) {
        time.now += milliseconds(300);
        WorkflowOutbox outbox;
        WriteHolderRecords(world, time, outbox);
        BOOST_REQUIRE(outbox.appends.size() == 1U);
        EndHolderAppends(world,
                         {.appended = {{.lane = AppendLane::kHolder,
                                        .epoch = Epoch(2),
                                        .batch = outbox.appends[0].batch,
                                        .outcome = outcome}}},
                         time);
      }
      BOOST_TEST((holding.state == sample.state));
    }
  }
}

// Whether the result of a stream's read was part of the failed tick, and
// whether a result that arrives afterwards is dropped.
struct FailedTickCase {
  std::string name;
  bool read_in_inbox;
  bool drops_next_result;
};

const std::vector<FailedTickCase> kFailedTickCases = {
    {"its read had ended", true, false},
    {"its read is still in flight", false, true},
};

// A read that was requested before the failed tick continues from an offset, so
// it must not count as the load of the whole stream.
BOOST_AUTO_TEST_CASE(streams_are_read_again_after_a_failed_tick) {
  for (const FailedTickCase& sample : kFailedTickCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      world.holding.state = HoldingState::kHolding;
      StreamPosition& position = world.streams[FollowedStream::kJournal];
      position.next = Offset(7);
      position.read_in_flight = true;
      WorkflowInbox inbox;
      if (sample.read_in_inbox) {
        inbox.reads.push_back({.stream = FollowedStream::kJournal});
      }
      RecoverFromFailedTick(world, inbox, kStart.now);
      BOOST_TEST((world.holding.state == HoldingState::kFollowing));
      BOOST_TEST(!position.next.has_value());
      BOOST_TEST(position.discard_read == sample.drops_next_result);
      BOOST_TEST(position.read_in_flight == sample.drops_next_result);
    }
  }
}

}  // namespace
}  // namespace chicorystep
