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
  for (EmulatedWorker& worker : soak.platform.fleet.workers) {
    if (std::exchange(worker.listing.draining, false) &&
        !soak.IsDisplaced(worker)) {
      Restart(worker, BootTimeNow());
      soak.platform.List(worker);
    }
  }
}

// How long a restarted worker takes to be listed again.
inline constexpr Duration kListLag = milliseconds(500);

// Crashes the workers behind one link, which come back under their ids soon
// after. They are listed late, and then cut off for some time.
inline void RestartAndCutOff(Soak& soak, std::size_t link) {
  constexpr Duration kDown = milliseconds(600);
  const auto for_each = [link](Soak& s, const auto& action) {
    auto& workers = s.platform.fleet.workers;
    for (std::size_t i = link; i < workers.size(); i += 2) {
      if (!s.IsDisplaced(workers[i])) {
        action(workers[i]);
      }
    }
  };
  const auto later = [&soak](Duration delay, auto action) {
    soak.platform.After(delay, [&soak, action] {
      if (!soak.FaultsEnded()) {
        action(soak);
      }
    });
  };
  for_each(soak, [](EmulatedWorker& worker) { worker.up = false; });
  later(kDown, [for_each](Soak& s) {
    for_each(s, [](EmulatedWorker& worker) {
      if (!worker.up) {
        Restart(worker, BootTimeNow());
      }
    });
  });
  later(kDown + kListLag, [for_each](Soak& s) {
    for_each(s, [&s](EmulatedWorker& worker) { s.platform.List(worker); });
  });
  const Duration cut = kDown + seconds(2);
  later(cut,
        [link](Soak& s) { s.worker_links[link]->faults.cut_to_server = true; });
  later(
      cut + soak.DrawDuration(milliseconds(3000), milliseconds(9000)),
      [link](Soak& s) { s.worker_links[link]->faults.cut_to_server = false; });
}

inline const std::vector<SoakFault>& SoakFaults() {
  static const std::vector<SoakFault> faults = {
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
         soak.worker_links[half]->faults.cut_to_server = true;
         return [half](Soak& s) {
           s.worker_links[half]->faults.cut_to_server = false;
         };
       }},
      {"connections to workers are silenced",
       [](Soak& soak) {
         soak.worker_links[soak.random() % 2]->Silence();
         return [](Soak&) {};
       }},
      {"workers crash and restart",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.fleet.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           workers[i].up = false;
         }
         return [first](Soak& s) {
           auto& all_workers = s.platform.fleet.workers;
           for (std::size_t i = first; i < all_workers.size(); i += 4) {
             if (!all_workers[i].up && !s.IsDisplaced(all_workers[i])) {
               Restart(all_workers[i], BootTimeNow());
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
  for (EmulatedWorker& worker : this->platform.fleet.workers) {
    worker.fails_runs = false;
    if (this->IsDisplaced(worker)) {
      continue;
    }
    if (!worker.up) {
      Restart(worker, BootTimeNow());
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
