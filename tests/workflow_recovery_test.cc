#define BOOST_TEST_MODULE workflow_recovery
#include <boost/test/unit_test.hpp>

#include "chicorystep/systems/workflow_holder.h"
#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

void ExpectNoViolation(const Emulation& run) {
  for (const std::string& violation : run.violations) {
    BOOST_ERROR(violation);
  }
}

// A fault at a set time of a run in which jobs come steadily, and the longest
// pause between two starts that it may cause.
struct FaultCase {
  std::string name;
  std::function<void(Emulation&)> strike;
  // What is done some time after the strike, and when.
  Duration heal_after{};
  std::function<void(Emulation&)> heal;
};

int Other(const Emulation& run) {
  return run.Holder() == 0 ? 1 : 0;
}

Emulation::Entry& HolderEntry(Emulation& run) {
  return *run.entries[static_cast<std::size_t>(run.Holder())];
}

void Fail(Emulation& run, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    run.workers[i].up = false;
  }
}

// Starts workers anew under their ids; the platform's list lags by a heartbeat.
void RestartAndListLater(Emulation& run, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    Restart(run.workers[i], run.now);
  }
  run.At(milliseconds(1500), [&run, count] {
    for (std::size_t i = 0; i < count; ++i) {
      List(run.store, run.workers[i].listing);
    }
  });
}

const std::vector<FaultCase> kFaultCases = {
    {"nothing", [](Emulation&) {}, {}, {}},
    {"the holder is killed",
     [](Emulation& run) { run.KillEntry(run.Holder()); }, seconds(3),
     [](Emulation& run) {
       for (int i = 0; i < static_cast<int>(run.entries.size()); ++i) {
         if (!run.entries[static_cast<std::size_t>(i)]->up) {
           run.StartEntry(i);
         }
       }
     }},
    {"every entry is killed",
     [](Emulation& run) {
       for (int i = 0; i < static_cast<int>(run.entries.size()); ++i) {
         run.KillEntry(i);
       }
     },
     seconds(1),
     [](Emulation& run) {
       for (int i = 0; i < static_cast<int>(run.entries.size()); ++i) {
         run.StartEntry(i);
       }
     }},
    {"the holder freezes and wakes",
     [](Emulation& run) {
       HolderEntry(run).frozen_until = run.now + seconds(5);
     },
     {},
     {}},
    {"the holder is cut from the store",
     [](Emulation& run) { HolderEntry(run).store_reachable = false; },
     seconds(6),
     [](Emulation& run) {
       for (const auto& entry : run.entries) {
         entry->store_reachable = true;
       }
     }},
    {"the store is down", [](Emulation& run) { run.store_up = false; },
     seconds(5), [](Emulation& run) { run.store_up = true; }},
    {"the stream of progress is down",
     [](Emulation& run) { run.progress_up = false; }, seconds(7),
     [](Emulation& run) { run.progress_up = true; }},
    {"the holder is killed while the stream of progress is down",
     [](Emulation& run) {
       run.progress_up = false;
       run.KillEntry(run.Holder());
     },
     seconds(7), [](Emulation& run) { run.progress_up = true; }},
    {"another entry is killed",
     [](Emulation& run) { run.KillEntry(Other(run)); },
     {},
     {}},
    {"a quarter of the workers crashes",
     [](Emulation& run) {
       for (int i = 0; i < 4; ++i) {
         run.workers[static_cast<std::size_t>(i)].up = false;
       }
     },
     seconds(4),
     [](Emulation& run) {
       for (int i = 0; i < 4; ++i) {
         Restart(run.workers[static_cast<std::size_t>(i)], run.now);
         List(run.store, run.workers[static_cast<std::size_t>(i)].listing);
       }
     }},
    {"a quarter of the workers starts anew while starts are repeated",
     [](Emulation& run) { Fail(run, 4); }, milliseconds(900),
     [](Emulation& run) { RestartAndListLater(run, 4); }},
    {"all workers start anew while starts are repeated",
     [](Emulation& run) { Fail(run, 16); }, milliseconds(900),
     [](Emulation& run) { RestartAndListLater(run, 16); }},
    {"a quarter of the workers starts anew while the holder is killed",
     [](Emulation& run) {
       Fail(run, 4);
       run.KillEntry(run.Holder());
     },
     milliseconds(900), [](Emulation& run) { RestartAndListLater(run, 4); }},
    {"a quarter of the workers leaves for good",
     [](Emulation& run) {
       for (int i = 0; i < 4; ++i) {
         run.workers[static_cast<std::size_t>(i)].up = false;
         Unlist(run.store, run.workers[static_cast<std::size_t>(i)].listing.id);
       }
     },
     {},
     {}},
    {"the holder is cut from some workers, which run on",
     [](Emulation& run) {
       for (int i = 0; i < 4; ++i) {
         HolderEntry(run).cut_workers.insert(
             run.workers[static_cast<std::size_t>(i)].listing.id);
       }
     },
     seconds(8),
     [](Emulation& run) {
       for (const auto& entry : run.entries) {
         entry->cut_workers.clear();
       }
     }},
    {"the holder is killed while some workers are cut off",
     [](Emulation& run) {
       for (const auto& entry : run.entries) {
         for (int i = 0; i < 4; ++i) {
           entry->cut_workers.insert(
               run.workers[static_cast<std::size_t>(i)].listing.id);
         }
       }
       run.KillEntry(run.Holder());
     },
     seconds(8),
     [](Emulation& run) {
       for (const auto& entry : run.entries) {
         entry->cut_workers.clear();
       }
     }},
    {"the holder is killed while some workers are not listed, but run on",
     [](Emulation& run) {
       for (int i = 0; i < 4; ++i) {
         Unlist(run.store, run.workers[static_cast<std::size_t>(i)].listing.id);
       }
       run.KillEntry(run.Holder());
     },
     seconds(3),
     [](Emulation& run) {
       for (int i = 0; i < 4; ++i) {
         List(run.store, run.workers[static_cast<std::size_t>(i)].listing);
       }
     }},
    {"answers of the store are lost",
     [](Emulation& run) { run.rates.lost_appends = 300; }, seconds(5),
     [](Emulation& run) { run.rates.lost_appends = 0; }},
    {"orders are carried out late",
     [](Emulation& run) { run.rates.late_orders = 200; }, seconds(5),
     [](Emulation& run) { run.rates.late_orders = 0; }},
    {"orders are carried out, but their answers are lost",
     [](Emulation& run) { run.rates.lost_orders = 300; }, seconds(5),
     [](Emulation& run) { run.rates.lost_orders = 0; }},
    {"the journal forgets all but the newest records",
     [](Emulation& run) { Compact(run.store); },
     {},
     {}},
};

// Jobs of several shapes, one each 300 ms, handed to the entries in turn.
void SubmitSteadily(Emulation& run, int number) {
  for (std::size_t i = 0; i < run.entries.size(); ++i) {
    const auto entry =
        (static_cast<std::size_t>(number) + i) % run.entries.size();
    if (!run.entries[entry]->up) {
      continue;
    }
    // Some outlast the time after which a silent worker draws attention.
    Emulation::Submitted what{
        .work = number % 4 == 1 ? milliseconds(6000)
                                : milliseconds(400 + number % 7 * 200)};
    what.spec.payload = "p";
    const bool gang = number % 2 == 0;
    what.spec.steps = {MakeStep(2U + static_cast<std::uint32_t>(number % 4),
                                gang ? 4 : 1, gang)};
    if (number % 3 == 0) {
      StepSpec second = MakeStep(2, 1);
      second.depends_on = {StepIndex(0)};
      what.spec.steps.push_back(second);
    }
    run.Submit(static_cast<int>(entry), number % 5 == 0 ? "urgent" : "bulk",
               Emulation::MakeId(number), what);
    return;
  }
}

BOOST_AUTO_TEST_CASE(accepted_jobs_end_once_through_each_fault) {
  for (const FaultCase& sample : kFaultCases) {
    for (const unsigned seed : {1U, 2U, 3U}) {
      BOOST_TEST_CONTEXT(sample.name << ", seed " << seed) {
        Emulation run;
        run.random.seed(seed);
        run.store.configs.push_back(Emulation::MakeConfig(1));
        run.AddWorkers(16);
        run.AddEntries(3);
        BOOST_REQUIRE(
            run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
        std::map<int, ExchangeId> handed;
        for (int number = 1; number <= 40; ++number) {
          if (number == 12) {
            sample.strike(run);
            if (sample.heal) {
              run.At(sample.heal_after, [&] { sample.heal(run); });
            }
          }
          SubmitSteadily(run, number);
          handed[number] = ExchangeId(run.last_exchange);
          run.RunFor(milliseconds(300));
        }
        // What was refused never runs; what got no answer may.
        std::set<WorkflowId> refused;
        for (const auto& [number, exchange] : handed) {
          const WorkflowId id = Emulation::MakeId(number);
          const auto answer = run.AnswerTo(exchange);
          if (answer && answer->result == CallResult::kRefused) {
            refused.insert(id);
          }
          if (!answer || answer->result != CallResult::kOk) {
            run.owed.erase(id);
          }
        }
        const bool over =
            run.RunFor(seconds(40), [&] { return run.AllOver(); });
        BOOST_TEST(over);
        for (const WorkflowId& id : run.owed) {
          const auto shown = run.Shown(id);
          BOOST_TEST((shown == WorkflowState::kSucceeded), id.value);
        }
        for (const WorkflowId& id : refused) {
          BOOST_TEST(!run.started.contains(id), id.value);
        }
        ExpectNoViolation(run);
      }
    }
  }
}

// Workers that were out of reach, and when they can be reached again.
struct ReturnCase {
  std::string name;
  Duration cut;
};

// Before and after the leases there have lapsed.
const std::vector<ReturnCase> kReturnCases = {
    {"a short cut", seconds(3)},
    {"a cut longer than the leases", seconds(15)},
};

BOOST_AUTO_TEST_CASE(workers_are_used_again_after_a_cut) {
  for (const ReturnCase& sample : kReturnCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(16);
      run.AddEntries(2);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      // Some task runs on each worker as the cut begins.
      Emulation::Submitted first{.work = milliseconds(2000)};
      first.spec.steps = {MakeStep(16, 8)};
      run.Submit(0, "normal", Emulation::MakeId(1), first);
      run.RunFor(seconds(1));
      for (const auto& entry : run.entries) {
        for (const EmulatedWorker& worker : run.workers) {
          entry->cut_workers.insert(worker.listing.id);
        }
      }
      run.RunFor(sample.cut);
      for (const auto& entry : run.entries) {
        entry->cut_workers.clear();
      }
      // Needs every worker whole.
      Emulation::Submitted wide{.work = milliseconds(1000)};
      wide.spec.steps = {MakeStep(16, 8, true)};
      run.Submit(0, "normal", Emulation::MakeId(2), wide);
      BOOST_TEST(run.RunFor(seconds(12), [&] { return run.AllOver(); }));
      ExpectNoViolation(run);
    }
  }
}

// A run whose only workflow keeps eight workers busy with a task each, for as
// long as `work`.
struct BusyRun {
  Emulation run;

  BusyRun(int workers, int entries, Duration work) {
    this->run.store.configs.push_back(Emulation::MakeConfig(1));
    this->run.AddWorkers(workers);
    this->run.AddEntries(entries);
    BOOST_REQUIRE(
        this->run.RunFor(seconds(5), [&] { return this->run.Holder() >= 0; }));
    Emulation::Submitted what{.work = work};
    what.spec.steps = {MakeStep(8, 8)};
    this->run.Submit(0, "normal", Emulation::MakeId(1), what);
    this->run.RunFor(seconds(3));
    BOOST_REQUIRE_EQUAL(this->BusyWorkers().size(), 8U);
  }

  [[nodiscard]] std::set<WorkerId> BusyWorkers() const {
    std::set<WorkerId> busy;
    for (const EmulatedWorker& worker : this->run.workers) {
      if (!worker.running.empty()) {
        busy.insert(worker.listing.id);
      }
    }
    return busy;
  }

  // Cuts every entry off from these workers and from no others.
  void CutOff(const std::set<WorkerId>& workers) {
    for (const auto& entry : this->run.entries) {
      entry->cut_workers = workers;
    }
  }
};

// How a holder gives way to a successor that loses some workers right after it
// has reached them: what runs there goes on for as long as the predecessor
// allowed.
struct SuccessionCase {
  std::string name;
  std::function<void(Emulation&)> end;
};

const std::vector<SuccessionCase> kSuccessionCases = {
    {"it is stopped",
     [](Emulation& run) { HolderEntry(run).inbox.stop = true; }},
    {"it is killed", [](Emulation& run) { run.KillEntry(run.Holder()); }},
};

bool HasReached(const Emulation& run, const std::set<WorkerId>& workers) {
  if (run.Holder() < 0) {
    return false;
  }
  const auto& table =
      run.entries[static_cast<std::size_t>(run.Holder())]->world.scheduling;
  return std::all_of(workers.begin(), workers.end(), [&](const WorkerId& id) {
    const TaskWorker* worker = table.workers.find(id);
    return worker != nullptr && worker->fenced;
  });
}

BOOST_AUTO_TEST_CASE(successors_wait_for_all_that_was_leased_before) {
  for (const SuccessionCase& sample : kSuccessionCases) {
    for (int offset = 0; offset < 1000; offset += 100) {
      BOOST_TEST_CONTEXT(sample.name << ", offset " << offset) {
        // So many workers that the predecessor's holds wait for long: its
        // readings of the workers' clocks are then as old.
        BusyRun busy(104, 2, seconds(30));
        Emulation& run = busy.run;
        const int first = run.Holder();
        const std::set<WorkerId> workers = busy.BusyWorkers();
        run.RunFor(milliseconds(offset));
        sample.end(run);
        BOOST_TEST(run.RunFor(seconds(5), [&] {
          return run.Holder() != first && HasReached(run, workers);
        }));
        busy.CutOff(workers);
        // They run on until their leases lapse, and only then elsewhere.
        run.RunFor(seconds(25));
        BOOST_TEST(run.RunningTasks() == 8U);
        ExpectNoViolation(run);
      }
    }
  }
}

// Workers that leave for good while tasks run there, when after it the holder
// is killed, and how long after it at most all tasks run again: a lease and two
// seconds under the holder that gave it. A takeover may take two seconds, and
// only the first adds what the predecessor may have ordered since.
struct LossCase {
  std::string name;
  bool unlisted = false;
  std::vector<Duration> kills;
  // How long a killed entry takes to be up again.
  Duration restart = seconds(2);
  Duration longest;
};

constexpr Duration kLeaseAndNotice = seconds(7);
constexpr Duration kFirstTakeover = seconds(2) + kConfirmationBound;

const std::vector<LossCase> kLossCases = {
    {"the holder stays", false, {}, seconds(2), kLeaseAndNotice},
    {"the holder is killed later",
     false,
     {milliseconds(4500)},
     seconds(2),
     kLeaseAndNotice + seconds(2)},
    {"the holder is killed at once",
     false,
     {Duration()},
     seconds(2),
     kLeaseAndNotice + kFirstTakeover},
    {"three holders are killed in turn",
     false,
     {Duration(), seconds(6), seconds(12)},
     seconds(2),
     kLeaseAndNotice + kFirstTakeover},
    {"one holder is killed three times and is soon up again",
     false,
     {Duration(), seconds(6), seconds(12)},
     milliseconds(200),
     kLeaseAndNotice + kFirstTakeover},
    {"three holders are killed in turn, and the workers are not listed",
     true,
     {Duration(), seconds(6), seconds(12)},
     seconds(2),
     kLeaseAndNotice + kFirstTakeover},
};

BOOST_AUTO_TEST_CASE(tasks_of_lost_workers_run_elsewhere_in_time) {
  for (const LossCase& sample : kLossCases) {
    for (int offset = 0; offset < 1000; offset += 200) {
      BOOST_TEST_CONTEXT(sample.name << ", offset " << offset) {
        BusyRun busy(16, 4, seconds(120));
        Emulation& run = busy.run;
        run.RunFor(milliseconds(offset));
        std::size_t lost = 0;
        for (EmulatedWorker& worker : run.workers) {
          if (!worker.running.empty() && lost < 4) {
            ++lost;
            worker.up = false;
            if (sample.unlisted) {
              Unlist(run.store, worker.listing.id);
            }
          }
        }
        BOOST_TEST(run.RunningTasks() == 4U);
        const TimePoint struck = run.now;
        for (const Duration kill : sample.kills) {
          run.RunFor(struck + kill - run.now);
          const int killed = run.Holder();
          BOOST_REQUIRE(killed >= 0);
          run.KillEntry(killed);
          run.At(sample.restart, [&run, killed] { run.StartEntry(killed); });
        }
        BOOST_TEST(
            run.RunFor(seconds(60), [&] { return run.RunningTasks() == 8U; }));
        BOOST_TEST((run.now - struck).count() <= sample.longest.count());
        ExpectNoViolation(run);
      }
    }
  }
}

// Workers that were silent for a time and answered again run on for as long as
// their newest lease; a successor that never reaches them must not go by what
// was noted before.
BOOST_AUTO_TEST_CASE(workers_that_answered_again_are_waited_for_in_full) {
  for (int offset = 0; offset < 2000; offset += 100) {
    BOOST_TEST_CONTEXT("offset " << offset) {
      BusyRun busy(16, 2, seconds(120));
      Emulation& run = busy.run;
      const std::set<WorkerId> workers = busy.BusyWorkers();
      busy.CutOff(workers);
      run.RunFor(seconds(3));
      busy.CutOff({});
      run.RunFor(milliseconds(offset));
      busy.CutOff(workers);
      run.KillEntry(run.Holder());
      run.RunFor(seconds(30));
      BOOST_TEST(run.RunningTasks() == 8U);
      ExpectNoViolation(run);
    }
  }
}

// How a holder ends, and how long after it at most the next start may come:
// the aims are one second after a planned stop, two after a kill, and the
// lease and a second after a freeze or a cut.
struct TakeoverCase {
  std::string name;
  std::function<void(Emulation&)> strike;
  Duration longest;
};

const std::vector<TakeoverCase> kTakeoverCases = {
    {"it is stopped",
     [](Emulation& run) {
       Emulation::Entry& entry = HolderEntry(run);
       entry.inbox.stop = true;
       entry.due = run.now;
     },
     seconds(1)},
    {"it is killed", [](Emulation& run) { run.KillEntry(run.Holder()); },
     seconds(2)},
    {"it freezes",
     [](Emulation& run) {
       HolderEntry(run).frozen_until = run.now + seconds(6);
     },
     seconds(4)},
    {"it is cut from the store",
     [](Emulation& run) { HolderEntry(run).store_reachable = false; },
     seconds(4)},
};

// Short urgent jobs come every 50 ms, so that a gap between starts shows.
void SubmitShort(Emulation& run, int number) {
  Emulation::Submitted what{.work = milliseconds(200)};
  what.spec.steps = {MakeStep(1, 1)};
  for (std::size_t i = 0; i < run.entries.size(); ++i) {
    const auto entry =
        (static_cast<std::size_t>(number) + i) % run.entries.size();
    if (run.entries[entry]->up && run.entries[entry]->store_reachable &&
        run.entries[entry]->frozen_until <= run.now) {
      run.Submit(static_cast<int>(entry), "urgent", Emulation::MakeId(number),
                 what);
      return;
    }
  }
}

// The longest gap between two starts around a strike at the holder, while short
// jobs come all the time.
Duration GapAround(const std::function<void(Emulation&)>& strike,
                   int lost_appends,
                   int offset) {
  Emulation run;
  run.random.seed(static_cast<unsigned>(offset + 1));
  run.store.configs.push_back(Emulation::MakeConfig(1));
  run.AddWorkers(8);
  run.AddEntries(4);
  BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
  int number = 0;
  for (; number < 40; ++number) {
    SubmitShort(run, number);
    run.RunFor(milliseconds(50));
  }
  run.RunFor(milliseconds(17 * offset));
  const TimePoint struck = run.now;
  const int before = run.Holder();
  run.rates.lost_appends = lost_appends;
  strike(run);
  for (; number < 160; ++number) {
    SubmitShort(run, number);
    run.RunFor(milliseconds(50));
  }
  if (lost_appends == 0) {
    BOOST_TEST(run.Holder() != before);
  }
  TimePoint last = struck;
  Duration gap{};
  for (const TimePoint start : run.start_times) {
    if (start > struck) {
      gap = std::max(gap, start - last);
      last = start;
    }
  }
  ExpectNoViolation(run);
  return std::max(gap, run.now - last);
}

BOOST_AUTO_TEST_CASE(starts_go_on_soon_after_the_holder_ends) {
  for (const TakeoverCase& sample : kTakeoverCases) {
    Duration worst{};
    for (int offset = 0; offset < 30; ++offset) {
      BOOST_TEST_CONTEXT(sample.name << ", offset " << offset) {
        const Duration gap = GapAround(sample.strike, 0, offset);
        worst = std::max(worst, gap);
        BOOST_TEST(gap.count() <= sample.longest.count());
      }
    }
    BOOST_TEST_MESSAGE(sample.name << ": longest gap " << worst.count() / 1000
                                   << " ms");
  }
}

// How many of 1000 answers of the store are lost while the holder is killed.
struct LossyCase {
  std::string name;
  int lost_appends;
};

const std::vector<LossyCase> kLossyCases = {
    {"none", 0},
    {"a tenth", 100},
    {"a third", 350},
};

// Guards against takeovers that wait out a long time-out for each answer that
// the store loses (bssp-sched-grown, mix seed 331919960286).
BOOST_AUTO_TEST_CASE(takeovers_are_soon_over_while_answers_are_lost) {
  // What a killed holder may cost.
  constexpr Duration kMedian = seconds(2);
  for (const LossyCase& sample : kLossyCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      std::vector<Duration> gaps;
      for (int offset = 0; offset < 30; ++offset) {
        gaps.push_back(
            GapAround([](Emulation& run) { run.KillEntry(run.Holder()); },
                      sample.lost_appends, offset));
      }
      std::sort(gaps.begin(), gaps.end());
      BOOST_TEST(gaps[gaps.size() / 2].count() <= kMedian.count());
      BOOST_TEST_MESSAGE(
          sample.name << ": median " << WholeMillis(gaps[gaps.size() / 2])
                      << " ms, longest " << WholeMillis(gaps.back()) << " ms");
    }
  }
}

// A worker that drains and leaves with a task that would run for longer.
struct LeavingCase {
  std::string name;
  Duration drains;
  Duration work;
  // How often the task begins.
  std::uint64_t starts;
};

const std::vector<LeavingCase> kLeavingCases = {
    {"a task that outlasts its worker", seconds(8), seconds(20), 2},
    {"the same at the shortest notice", seconds(4), seconds(20), 2},
    {"a task that ends before its worker leaves", seconds(8), seconds(6), 1},
};

// Guards against tasks that stand still for a whole lease after a worker that
// was known to leave (bssp-sched-grown, leaving-workers seed 194935581160).
BOOST_AUTO_TEST_CASE(tasks_of_leaving_workers_run_elsewhere_soon) {
  // How long a task may stand still while there is room.
  constexpr Duration kStandsStill = seconds(3);
  for (const LeavingCase& sample : kLeavingCases) {
    for (int offset = 0; offset < 20; ++offset) {
      BOOST_TEST_CONTEXT(sample.name << ", offset " << offset) {
        Emulation run;
        run.store.configs.push_back(Emulation::MakeConfig(1));
        run.AddWorkers(2);
        run.AddEntries(2);
        BOOST_REQUIRE(
            run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
        Emulation::Submitted what{.work = sample.work};
        what.spec.steps = {MakeStep(1, 1)};
        run.Submit(0, "normal", Emulation::MakeId(1), what);
        BOOST_REQUIRE(
            run.RunFor(seconds(2), [&] { return run.RunningTasks() == 1; }));
        run.RunFor(milliseconds(90 * offset));
        EmulatedWorker& leaving =
            run.workers[run.workers[0].running.empty() ? 1 : 0];
        leaving.listing.draining = true;
        List(run.store, leaving.listing);
        run.RunFor(sample.drains);
        leaving.up = false;
        Unlist(run.store, leaving.listing.id);
        if (sample.starts > 1) {
          BOOST_TEST(run.RunFor(kStandsStill,
                                [&] { return run.starts == sample.starts; }));
        }
        BOOST_TEST(run.RunFor(seconds(30), [&] { return run.AllOver(); }));
        BOOST_TEST(run.starts == sample.starts);
        ExpectNoViolation(run);
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
