#ifndef TESTS_SUPPORT_PLATFORM_SOAK_FAULTS_H_
#define TESTS_SUPPORT_PLATFORM_SOAK_FAULTS_H_

#include <functional>
#include <string>
#include <vector>

#include "tests/support/platform_soak.h"

namespace chicorystep::testing {

// A fault and how it is healed; what it draws comes from the run's seed.
struct SoakFault {
  std::string name;
  std::function<std::function<void(Soak&)>(Soak&)> strike;
};

inline const std::vector<SoakFault>& SoakFaults() {
  static const std::vector<SoakFault> faults = {
      {"an entry is killed and started again",
       [](Soak& soak) {
         const std::size_t number = soak.AnyEntry();
         soak.Kill(number);
         return [number](Soak& s) { s.Start(number); };
       }},
      {"all entries are killed and started again",
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
      {"an entry is stopped and started again",
       [](Soak& soak) {
         const std::size_t number = soak.AnyEntry();
         soak.Stop(number);
         return [](Soak&) {};
       }},
      {"an entry is paused",
       [](Soak& soak) {
         const std::size_t number = soak.AnyEntry();
         soak.Freeze(number);
         return [number](Soak& s) { s.Wake(number); };
       }},
      {"settings are written anew",
       [](Soak& soak) {
         soak.Reload(soak.AnyEntry());
         return [](Soak&) {};
       }},
      {"the store refuses everything",
       [](Soak& soak) {
         soak.platform.all_store_faults.refuses = true;
         return [](Soak& s) { s.platform.all_store_faults.refuses = false; };
       }},
      {"the store refuses one entry",
       [](Soak& soak) {
         const std::size_t number = soak.AnyEntry();
         soak.platform.store_faults[number].refuses = true;
         return [number](Soak& s) {
           s.platform.store_faults[number].refuses = false;
         };
       }},
      {"the store is slow",
       [](Soak& soak) {
         soak.platform.all_store_faults.slow = milliseconds(200);
         return [](Soak& s) { s.platform.all_store_faults.slow = {}; };
       }},
      {"answers of the store are lost",
       [](Soak& soak) {
         soak.platform.all_store_faults.lost_of_thousand = 300;
         return
             [](Soak& s) { s.platform.all_store_faults.lost_of_thousand = 0; };
       }},
      {"the store forgets its history",
       [](Soak& soak) {
         soak.platform.Compact();
         return [](Soak&) {};
       }},
      {"connections to the store are reset",
       [](Soak& soak) {
         soak.entries[soak.AnyEntry()].store->Reset();
         return [](Soak&) {};
       }},
      {"connections to the store go silent",
       [](Soak& soak) {
         soak.entries[soak.AnyEntry()].store->Silence();
         return [](Soak&) {};
       }},
      {"the way to the store is cut",
       [](Soak& soak) {
         const std::size_t number = soak.AnyEntry();
         soak.entries[number].store->faults.cut_there = true;
         return [number](Soak& s) {
           s.entries[number].store->faults.cut_there = false;
         };
       }},
      {"the way back from the store is cut",
       [](Soak& soak) {
         const std::size_t number = soak.AnyEntry();
         soak.entries[number].store->faults.cut_back = true;
         return [number](Soak& s) {
           s.entries[number].store->faults.cut_back = false;
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
         soak.worker_links[half]->faults.cut_there = true;
         return [half](Soak& s) {
           s.worker_links[half]->faults.cut_there = false;
         };
       }},
      {"connections to workers go silent",
       [](Soak& soak) {
         soak.worker_links[soak.random() % 2]->Silence();
         return [](Soak&) {};
       }},
      {"workers crash and start again",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.field.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           workers[i].up = false;
         }
         return [first](Soak& s) {
           auto& field = s.platform.field.workers;
           for (std::size_t i = first; i < field.size(); i += 4) {
             if (!field[i].up) {
               Restart(field[i], BootTimeNow());
               s.platform.List(field[i]);
             }
           }
         };
       }},
      {"workers are not listed for a time",
       [](Soak& soak) {
         const std::size_t first = soak.random() % 4;
         auto& workers = soak.platform.field.workers;
         for (std::size_t i = first; i < workers.size(); i += 4) {
           soak.platform.Unlist(workers[i]);
         }
         return [first](Soak& s) {
           auto& field = s.platform.field.workers;
           for (std::size_t i = first; i < field.size(); i += 4) {
             s.platform.List(field[i]);
           }
         };
       }},
      {"orders are carried out late",
       [](Soak& soak) {
         soak.platform.order_faults.late_of_thousand = 200;
         return [](Soak& s) { s.platform.order_faults.late_of_thousand = 0; };
       }},
      {"the configuration changes",
       [](Soak& soak) {
         soak.Configure();
         return [](Soak&) {};
       }},
      {"a key is taken away",
       [](Soak& soak) {
         soak.RevokeKey();
         return [](Soak&) {};
       }},
  };
  return faults;
}

inline void Soak::FaultOn() {
  if (this->faults_over) {
    return;
  }
  const auto& faults = SoakFaults();
  const SoakFault& fault = faults[this->random() % faults.size()];
  this->struck.push_back(fmt::format(
      "{} ms: {}", WholeMillis(BootTimeNow() - this->began), fault.name));
  const auto heal = fault.strike(*this);
  // Some last longer than leases and the bound for revoked keys.
  const bool lasting = this->random() % 5 == 0;
  this->platform.After(
      lasting ? this->AnyTime(milliseconds(5000), milliseconds(9000))
              : this->AnyTime(milliseconds(300), milliseconds(4000)),
      [this, heal] {
        if (!this->faults_over) {
          heal(*this);
        }
      });
  // A process that was stopped is started again when it has ended.
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    if (this->random() % 2 == 0) {
      this->Start(i);
    }
  }
  this->platform.After(this->AnyTime(milliseconds(200), milliseconds(1200)),
                       [this] { this->FaultOn(); });
}

// Ends every fault, whichever strikes may have overlapped.
inline void Soak::HealAll() {
  this->platform.all_store_faults = {};
  this->platform.order_faults = {};
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    this->platform.store_faults[i] = {};
    this->entries[i].store->faults = {};
    this->Wake(i);
    this->Start(i);
  }
  for (const auto& link : this->worker_links) {
    link->faults = {};
  }
  for (EmulatedWorker& worker : this->platform.field.workers) {
    if (!worker.up) {
      Restart(worker, BootTimeNow());
    }
    this->platform.List(worker);
  }
  // What is still stopping is started once it has ended.
  this->platform.After(kGrace + seconds(1), [this] {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->Start(i);
    }
  });
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_PLATFORM_SOAK_FAULTS_H_
