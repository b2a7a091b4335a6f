#ifndef TESTS_SUPPORT_PLATFORM_SOAK_FAULTS_H_
#define TESTS_SUPPORT_PLATFORM_SOAK_FAULTS_H_

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "tests/support/platform_soak.h"

namespace chicorystep::testing {

// A fault. `inject` applies it and returns the function that heals it; random
// choices follow from the run's seed.
struct SoakFault {
  std::string name;
  std::function<std::function<void(Soak&)>(Soak&)> inject;
};

inline void RestartDrainingWorkers(Soak& soak) {
  auto& workers = soak.platform.fleet.workers;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    EmulatedWorker& worker = workers[i];
    if (std::exchange(worker.listing.draining, false) &&
        !soak.IsDisplaced(worker)) {
      soak.RestartWorker(i);
      soak.platform.List(worker);
    }
  }
}

// Does something later, unless the faults have ended by then.
inline void Later(Soak& soak,
                  Duration delay,
                  std::function<void(Soak&)> action) {
  soak.platform.After(delay, [&soak, action = std::move(action)] {
    if (!soak.FaultsEnded()) {
      action(soak);
    }
  });
}

// Does something with every `step`th worker from `first` on.
inline void ForWorkers(Soak& soak,
                       std::size_t first,
                       std::size_t step,
                       const std::function<void(std::size_t)>& action) {
  auto& workers = soak.platform.fleet.workers;
  for (std::size_t i = first; i < workers.size(); i += step) {
    if (!soak.IsDisplaced(workers[i])) {
      action(i);
    }
  }
}

// How long a restarted worker takes to be listed again.
inline constexpr Duration kListLag = milliseconds(500);

// Crashes the workers behind one link, which come back under their ids soon
// after. They are listed late, and then cut off for some time.
inline void RestartAndCutOff(Soak& soak, std::size_t link) {
  constexpr Duration kDown = milliseconds(600);
  ForWorkers(soak, link, 2, [&soak](std::size_t i) { soak.Crash(i); });
  Later(soak, kDown, [link](Soak& s) {
    ForWorkers(s, link, 2, [&s](std::size_t i) {
      if (!s.platform.fleet.workers[i].up) {
        s.RestartWorker(i);
      }
    });
  });
  Later(soak, kDown + kListLag, [link](Soak& s) {
    ForWorkers(s, link, 2, [&s](std::size_t i) {
      s.platform.List(s.platform.fleet.workers[i]);
    });
  });
  const Duration cut = kDown + seconds(2);
  Later(soak, cut, [link](Soak& s) { s.CutOffHalf(link, true); });
  Later(soak, cut + soak.DrawDuration(milliseconds(3000), milliseconds(9000)),
        [link](Soak& s) { s.CutOffHalf(link, false); });
}

// How workers restart under their ids before they are cut off.
struct WorkerRestart {
  std::string name;
  ConnectionsEnd connections = ConnectionsEnd::kReset;
  // How orders to the new process end until it is cut off.
  std::vector<AnswerEnd> ends;
  // How long the new process takes to be listed.
  Duration list_lag = kListLag;
  // How long the last answers of the old process take.
  Duration answer_delay{};
  // How much later than the others every second entry reads the list.
  Duration entry_list_lag{};
  // Entries that are paused around the restart.
  std::size_t paused_entries = 0;
  // Whether the clock of the new process is near the one before, or ahead.
  bool near_clock = false;
  // Whether the new process restarts, too, before it is listed.
  bool twice = false;
  // Groups of workers, each a quarter of all.
  std::size_t groups = 1;
};

inline const std::vector<WorkerRestart>& WorkerRestarts() {
  static const std::vector<AnswerEnd> lost = {AnswerEnd::kDoneSilent,
                                              AnswerEnd::kDoneClosed};
  static const std::vector<AnswerEnd> late = {AnswerEnd::kLateSilent};
  static const std::vector<WorkerRestart> restarts = {
      {.name = "the next incarnation's answers are lost, then it is cut off",
       .ends = lost},
      {.name = "the next incarnation's answers are lost, it is not listed",
       .ends = lost,
       .list_lag = seconds(4)},
      {.name = "the next incarnation carries out orders late, then is cut off",
       .ends = late},
      {.name = "the next incarnation carries out orders late, is not listed",
       .ends = late,
       .list_lag = seconds(4)},
      {.name = "connections to the earlier incarnation stay open and silent",
       .connections = ConnectionsEnd::kSilent,
       .ends = lost},
      {.name = "the earlier incarnation's answers come after the next one's",
       .connections = ConnectionsEnd::kDeaf,
       .list_lag = seconds(2),
       .answer_delay = milliseconds(1200)},
      {.name = "entries are paused around the next incarnation's start",
       .connections = ConnectionsEnd::kSilent,
       .ends = lost,
       .paused_entries = 2},
      {.name = "half of the entries see the next incarnation late",
       .list_lag = milliseconds(100),
       .entry_list_lag = seconds(4)},
      {.name = "the next incarnation's clock is near the earlier one's",
       .connections = ConnectionsEnd::kSilent,
       .ends = lost,
       .list_lag = seconds(2),
       .near_clock = true},
      {.name = "two incarnations end between two lists",
       .ends = lost,
       .list_lag = seconds(2),
       .twice = true},
      {.name = "the next incarnations of two groups start at once",
       .connections = ConnectionsEnd::kSilent,
       .ends = lost,
       .groups = 2},
  };
  return restarts;
}

// Restarts a quarter of the workers as `how` says. The workers are cut off
// within 2 s of their restart.
inline void RestartGroup(Soak& soak,
                         const WorkerRestart& how,
                         std::size_t group) {
  constexpr Duration kCrash = milliseconds(300);
  const Duration start =
      kCrash + soak.DrawDuration(milliseconds(50), milliseconds(400));
  const Duration cut =
      start + soak.DrawDuration(milliseconds(500), milliseconds(2000));
  const Duration heal =
      cut + soak.DrawDuration(milliseconds(6000), milliseconds(11'000));
  const ClockStart clock = !how.near_clock          ? ClockStart::kAnew
                           : soak.random() % 2 == 0 ? ClockStart::kNear
                                                    : ClockStart::kAhead;
  // Per 1000, or seconds.
  const int shift = clock == ClockStart::kAhead
                        ? 5 + static_cast<int>(soak.random() % 55)
                        : -10 + static_cast<int>(soak.random() % 20);
  const auto at = [&soak, group](
                      Duration when,
                      std::function<void(Soak&, std::size_t)> action) {
    Later(soak, when, [group, action = std::move(action)](Soak& s) {
      ForWorkers(s, group, 4, [&](std::size_t i) { action(s, i); });
    });
  };
  const auto id = [](Soak& s, std::size_t i) {
    return s.platform.fleet.workers[i].listing.id;
  };
  const auto restart = [&how, clock, shift](Soak& s, std::size_t i) {
    if (!s.platform.fleet.workers[i].up) {
      s.RestartWorker(i, clock, shift);
    }
  };
  const auto lose_answers = [&how, id](Soak& s, std::size_t i) {
    s.platform.order_faults.answers_of[id(s, i)] = {1000, how.ends};
  };
  if (how.answer_delay > Duration{}) {
    ForWorkers(soak, group, 4, [&](std::size_t i) {
      soak.platform.order_faults.answer_delay_of[id(soak, i)] =
          how.answer_delay;
    });
  }
  at(kCrash, [&how, id](Soak& s, std::size_t i) {
    s.platform.order_faults.answer_delay_of.erase(id(s, i));
    s.Crash(i, how.connections);
  });
  at(start, restart);
  if (how.twice) {
    at(start + (cut - start) / 3,
       [&how](Soak& s, std::size_t i) { s.Crash(i, how.connections); });
    at(start + (cut - start) / 2, restart);
  }
  if (!how.ends.empty()) {
    at(start, lose_answers);
    at(heal, [id](Soak& s, std::size_t i) {
      s.platform.order_faults.answers_of.erase(id(s, i));
    });
  }
  at(start + how.list_lag, [](Soak& s, std::size_t i) {
    s.platform.List(s.platform.fleet.workers[i]);
  });
  at(cut,
     [](Soak& s, std::size_t i) { s.LinkOf(i).faults.cut_to_server = true; });
  at(heal,
     [](Soak& s, std::size_t i) { s.LinkOf(i).faults.cut_to_server = false; });
  Later(soak, heal, [group](Soak& s) { s.restarting_groups.erase(group); });
}

inline void InjectRestart(Soak& soak, const WorkerRestart& how) {
  const std::size_t first = soak.random() % 4;
  for (std::size_t i = 0; i < how.groups; ++i) {
    // Tasks that are lost there need other workers to start on.
    if (const std::size_t group = (first + i) % 4;
        soak.restarting_groups.size() < 2 &&
        soak.restarting_groups.insert(group).second) {
      RestartGroup(soak, how, group);
    }
  }
  const std::size_t paused = soak.DrawEntry();
  const Duration pause =
      soak.DrawDuration(milliseconds(500), milliseconds(4000));
  for (std::size_t i = 0; i < how.paused_entries; ++i) {
    const std::size_t number = (paused + i) % soak.entries.size();
    soak.Pause(number);
    Later(soak, pause, [number](Soak& s) { s.Resume(number); });
  }
  if (how.entry_list_lag > Duration{}) {
    for (std::size_t i = soak.random() % 2; i < soak.entries.size(); i += 2) {
      soak.platform.store_faults[i].list_lag = how.entry_list_lag;
      Later(soak, seconds(6),
            [i](Soak& s) { s.platform.store_faults[i].list_lag = {}; });
    }
  }
}

inline std::vector<SoakFault> MakeSoakFaults() {
  std::vector<SoakFault> faults = {
      {"an entry is killed and restarted",
       [](Soak& soak) {
         const std::size_t number = soak.DrawEntry();
         soak.Kill(number);
         return [number](Soak& s) { s.Start(number); };
       }},
      {"all entries are killed and restarted",
       [](Soak& soak) {
         for (std::size_t i = 0; i < soak.entries.size(); ++i) {
           soak.Kill(i);
         }
         return [](Soak& s) {
           for (std::size_t i = 0; i < s.entries.size(); ++i) {
             s.Start(i);
           }
         };
       }},
      {"an entry is stopped and restarted",
       [](Soak& soak) {
         const std::size_t number = soak.DrawEntry();
         soak.Stop(number);
         return [](Soak&) {};
       }},
      {"an entry is paused",
       [](Soak& soak) {
         const std::size_t number = soak.DrawEntry();
         soak.Pause(number);
         return [number](Soak& s) { s.Resume(number); };
       }},
      {"an entry reloads its settings",
       [](Soak& soak) {
         soak.Reload(soak.DrawEntry());
         return [](Soak&) {};
       }},
      {"the store refuses everything",
       [](Soak& soak) {
         soak.platform.all_store_faults.refuses = true;
         return [](Soak& s) { s.platform.all_store_faults.refuses = false; };
       }},
      {"the store refuses one entry",
       [](Soak& soak) {
         const std::size_t number = soak.DrawEntry();
         soak.platform.store_faults[number].refuses = true;
         return [number](Soak& s) {
           s.platform.store_faults[number].refuses = false;
         };
       }},
      {"the store is slow",
       [](Soak& soak) {
         soak.platform.all_store_faults.delay = milliseconds(200);
         return [](Soak& s) { s.platform.all_store_faults.delay = {}; };
       }},
      {"answers to appends are lost",
       [](Soak& soak) {
         soak.platform.all_store_faults.lost_per_thousand = 300;
         return
             [](Soak& s) { s.platform.all_store_faults.lost_per_thousand = 0; };
       }},
      {"the store compacts its streams",
       [](Soak& soak) {
         soak.platform.Compact();
         return [](Soak&) {};
       }},
      {"connections to the store are reset",
       [](Soak& soak) {
         soak.entries[soak.DrawEntry()].store->Reset();
         return [](Soak&) {};
       }},
      {"connections to the store are silenced",
       [](Soak& soak) {
         soak.entries[soak.DrawEntry()].store->Silence();
         return [](Soak&) {};
       }},
      {"traffic to the store is cut",
       [](Soak& soak) {
         const std::size_t number = soak.DrawEntry();
         soak.entries[number].store->faults.cut_to_server = true;
         return [number](Soak& s) {
           s.entries[number].store->faults.cut_to_server = false;
         };
       }},
      {"traffic from the store is cut",
       [](Soak& soak) {
         const std::size_t number = soak.DrawEntry();
         soak.entries[number].store->faults.cut_from_server = true;
         return [number](Soak& s) {
           s.entries[number].store->faults.cut_from_server = false;
         };
       }},
      {"half of the entries are behind a slow link to the store",
       [](Soak& soak) {
         for (std::size_t i = 0; i < soak.entries.size(); i += 2) {
           soak.entries[i].store->faults.delay = milliseconds(30);
           soak.entries[i].store->faults.rate = Bytes(60'000);
         }
         return [](Soak& s) {
           for (SoakEntry& entry : s.entries) {
             entry.store->faults = {};
           }
         };
       }},
      {"half of the workers are cut off",
       [](Soak& soak) {
         const std::size_t half = soak.random() % 2;
         soak.CutOffHalf(half, true);
         return [half](Soak& s) { s.CutOffHalf(half, false); };
       }},
      {"connections to workers are silenced",
       [](Soak& soak) {
         const std::size_t half = soak.random() % 2;
         for (std::size_t i = half; i < soak.worker_links.size(); i += 2) {
           soak.worker_links[i]->Silence();
         }
         return [](Soak&) {};
       }},
      {"workers crash and restart",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.fleet.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           soak.Crash(i);
         }
         return [first](Soak& s) {
           auto& all_workers = s.platform.fleet.workers;
           for (std::size_t i = first; i < all_workers.size(); i += 4) {
             if (!all_workers[i].up && !s.IsDisplaced(all_workers[i])) {
               s.RestartWorker(i);
               s.platform.List(all_workers[i]);
             }
           }
         };
       }},
      {"workers are temporarily not listed",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.fleet.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           soak.platform.Unlist(workers[i]);
         }
         return [first](Soak& s) {
           auto& all_workers = s.platform.fleet.workers;
           for (std::size_t i = first; i < all_workers.size(); i += 4) {
             s.platform.List(all_workers[i]);
           }
         };
       }},
      {"orders are executed late",
       [](Soak& soak) {
         soak.platform.order_faults.late_per_thousand = 200;
         return [](Soak& s) { s.platform.order_faults.late_per_thousand = 0; };
       }},
      {"the configuration changes",
       [](Soak& soak) {
         soak.Configure();
         return [](Soak&) {};
       }},
      {"a key is revoked",
       [](Soak& soak) {
         soak.RevokeKey();
         return [](Soak&) {};
       }},
      {"the store ends calls in every way",
       [](Soak& soak) {
         soak.platform.all_store_faults.answers = {400, kAllAnswerEnds};
         return [](Soak& s) { s.platform.all_store_faults.answers = {}; };
       }},
      {"the store carries out calls of one entry and rejects their repeats",
       [](Soak& soak) {
         const std::size_t number = soak.DrawEntry();
         soak.platform.store_faults[number].answers = {800, kDoneThenRejected};
         return [number](Soak& s) {
           s.platform.store_faults[number].answers = {};
         };
       }},
      {"workers end orders in every way",
       [](Soak& soak) {
         soak.platform.order_faults.answers = {250, kAllAnswerEnds};
         return [](Soak& s) { s.platform.order_faults.answers = {}; };
       }},
      {"some workers carry out orders and reject their repeats",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.fleet.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           soak.platform.order_faults.answers_of[workers[i].listing.id] = {
               600, kDoneThenRejected};
         }
         return [](Soak& s) { s.platform.order_faults.answers_of.clear(); };
       }},
      {"some workers fail what they run",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.fleet.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           workers[i].fails_runs = true;
         }
         return [first](Soak& s) {
           auto& all_workers = s.platform.fleet.workers;
           for (std::size_t i = first; i < all_workers.size(); i += 4) {
             all_workers[i].fails_runs = false;
           }
         };
       }},
      {"some workers reject holds",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.fleet.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           soak.platform.order_faults.rejects_holds.insert(
               workers[i].listing.id);
         }
         return [](Soak& s) { s.platform.order_faults.rejects_holds.clear(); };
       }},
      // They stay listed until the end of the run.
      {"another process takes the addresses of two workers",
       [](Soak& soak) {
         auto& workers = soak.platform.fleet.workers;
         const std::size_t first = soak.random() % (workers.size() / 2);
         if (soak.platform.displaced_workers.empty()) {
           for (const std::size_t i : {first, first + workers.size() / 2}) {
             workers[i].up = false;
             soak.platform.displaced_workers.insert(workers[i].listing.id);
           }
         }
         return [](Soak&) {};
       }},
      {"the workers of the open service have runs that no table knows",
       [](Soak& soak) {
         const WorkflowId orphan("ffffffffffffffff");
         StepSpec step = MakeStep(1, 0);
         soak.platform.fleet.submitted[orphan] = {
             .spec = {.steps = {step}},
             .work = soak.DrawDuration(milliseconds(1000), milliseconds(9000))};
         for (EmulatedWorker& worker : soak.platform.fleet.workers) {
           if (worker.listing.service == Service("open") && worker.up) {
             worker.running[TaskKey{.workflow = orphan}] = EmulatedRun{
                 .run = RunNumber(1),
                 .need = step.need,
                 .present_since = soak.platform.fleet.now,
                 .work = soak.platform.fleet.submitted[orphan].work};
           }
         }
         return [](Soak&) {};
       }},
      {"workers drain, end and restart",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.fleet.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           workers[i].listing.draining = true;
           soak.platform.List(workers[i]);
         }
         return RestartDrainingWorkers;
       }},
      {"workers come back under their ids, are listed late and then cut off",
       [](Soak& soak) {
         RestartAndCutOff(soak, soak.random() % 2);
         return [](Soak&) {};
       }},
  };
  for (const WorkerRestart& restart : WorkerRestarts()) {
    faults.push_back({restart.name, [&restart](Soak& soak) {
                        InjectRestart(soak, restart);
                        return [](Soak&) {};
                      }});
  }
  return faults;
}

inline const std::vector<SoakFault>& SoakFaults() {
  static const std::vector<SoakFault> faults = MakeSoakFaults();
  return faults;
}

// The faults that a run draws from.
inline std::vector<SoakFault> SelectFaults(const SoakOptions& options) {
  std::vector<SoakFault> selected = SoakFaults();
  if (options.fault_kinds > 0 && options.fault_kinds < selected.size()) {
    selected.resize(options.fault_kinds);
  }
  std::erase_if(selected, [&](const SoakFault& fault) {
    return fault.name.find(options.only) == std::string::npos;
  });
  if (selected.empty()) {
    throw std::runtime_error("no fault's name contains " + options.only);
  }
  return selected;
}

inline void Soak::InjectNextFault() {
  if (this->faults_ended) {
    return;
  }
  const std::vector<SoakFault> faults = SelectFaults(this->options);
  const SoakFault& fault = faults[this->random() % faults.size()];
  this->injected_faults.push_back(fmt::format(
      "{} ms: {}", WholeMillis(BootTimeNow() - this->began), fault.name));
  const auto heal = fault.inject(*this);
  // One fault in five lasts longer than the bound for revoked keys, and up to
  // 9 s, so that leases can expire.
  const bool lasting = this->random() % 5 == 0;
  this->platform.After(
      lasting ? this->DrawDuration(milliseconds(5000), milliseconds(9000))
              : this->DrawDuration(milliseconds(300), milliseconds(4000)),
      [this, heal] {
        if (!this->faults_ended) {
          heal(*this);
        }
      });
  // Restarts about half of the processes that have ended, such as stopped ones.
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    if (this->random() % 2 == 0) {
      this->Start(i);
    }
  }
  this->platform.After(
      this->DrawDuration(milliseconds(200), milliseconds(1200)),
      [this] { this->InjectNextFault(); });
}

// Ends all faults, also those that overlap, except displaced workers.
inline void Soak::HealAll() {
  this->platform.all_store_faults = {};
  this->platform.order_faults = {};
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    this->platform.store_faults[i] = {};
    this->entries[i].store->faults = {};
    this->Resume(i);
    this->Start(i);
  }
  for (const auto& link : this->worker_links) {
    link->faults = {};
  }
  RestartDrainingWorkers(*this);
  for (std::size_t i = 0; i < this->platform.fleet.workers.size(); ++i) {
    EmulatedWorker& worker = this->platform.fleet.workers[i];
    worker.fails_runs = false;
    if (this->IsDisplaced(worker)) {
      continue;
    }
    if (!worker.up) {
      this->RestartWorker(i);
    }
    this->platform.List(worker);
  }
  // Processes that are still stopping are restarted after the shutdown bound.
  this->platform.After(kShutdownGrace + seconds(1), [this] {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->Start(i);
    }
  });
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_PLATFORM_SOAK_FAULTS_H_
