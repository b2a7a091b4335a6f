#ifndef TESTS_SUPPORT_FAULTS_H_
#define TESTS_SUPPORT_FAULTS_H_

#include <signal.h>

#include <string>
#include <vector>

#include "tests/support/history_run.h"

namespace chicorystep::testing {

using std::chrono::milliseconds;

// A failure that a test causes during a run.
struct Fault {
  std::string name;
  // Causes the failure and, unless it is permanent, repairs it before
  // returning.
  void (*cause)(HistoryRun&, Random&);
  // Promises that the run must have cases for, in addition to those that every
  // run must have cases for.
  std::vector<proof::Promise> exercised;
  int operators = 2;
};

inline void RecordDisturbance(HistoryRun& run,
                              const EntryId& entry,
                              TimePoint from) {
  proof::Record(run.recorder, [&](proof::History& history) {
    history.disturbances.push_back({from, proof::TimeNow(), entry});
  });
}

inline void SetExecutorFaults(HistoryRun& run, const ExecutorFaults& faults) {
  for (auto& executor : run.cluster.executors) {
    const std::scoped_lock lock(executor.standin.mutex);
    executor.standin.faults = faults;
  }
}

inline void SetLogFaults(HistoryRun& run, const LogFaults& faults) {
  const std::scoped_lock lock(run.cluster.log.standin.mutex);
  run.cluster.log.standin.faults = faults;
}

inline void CauseNothing(HistoryRun& /*run*/, Random& /*random*/) {
  Pause(milliseconds(2000));
}

inline void KillAndRestart(HistoryRun& run, std::size_t entry, Random& random) {
  const TimePoint from = proof::TimeNow();
  run.cluster.entries[entry].reset();
  Pause(milliseconds(200 + random() % 1500));
  run.cluster.StartEntry(entry);
  (void)Eventually([&] { return run.cluster.IsReady(entry); });
  RecordDisturbance(run, EntryName(entry), from);
}

inline void KillEntry(HistoryRun& run, Random& random) {
  Pause(milliseconds(random() % 500));
  KillAndRestart(run, random() % kRunEntries, random);
}

inline void ReplaceAll(HistoryRun& run, Random& random) {
  for (std::size_t entry = 0; entry < kRunEntries; ++entry) {
    KillAndRestart(run, entry, random);
  }
}

inline void KillAllButOne(HistoryRun& run, Random& random) {
  const std::size_t left = random() % kRunEntries;
  const TimePoint from = proof::TimeNow();
  for (std::size_t entry = 0; entry < kRunEntries; ++entry) {
    if (entry != left) {
      run.cluster.entries[entry].reset();
    }
  }
  Pause(milliseconds(500));
  for (std::size_t entry = 0; entry < kRunEntries; ++entry) {
    if (entry != left) {
      run.cluster.StartEntry(entry);
    }
  }
  (void)Eventually([&] { return run.cluster.AllReady(); });
  for (std::size_t entry = 0; entry < kRunEntries; ++entry) {
    if (entry != left) {
      RecordDisturbance(run, EntryName(entry), from);
    }
  }
}

// Pauses an entry for longer than the lease time (2 s) and the member time-out
// (1 s) of the runs.
inline void FreezeEntry(HistoryRun& run, Random& random) {
  const std::size_t entry = random() % kRunEntries;
  const TimePoint from = proof::TimeNow();
  run.cluster.entries[entry]->Signal(SIGSTOP);
  Pause(milliseconds(3000));
  run.cluster.entries[entry]->Signal(SIGCONT);
  RecordDisturbance(run, EntryName(entry), from);
}

inline void StopInTurn(HistoryRun& run, Random& /*random*/) {
  for (std::size_t entry = 0; entry < kRunEntries; ++entry) {
    proof::Record(run.recorder, [&](proof::History& history) {
      history.stopping.push_back({proof::TimeNow(), EntryName(entry)});
    });
    run.cluster.entries[entry]->Signal(SIGTERM);
    const bool clean = run.cluster.entries[entry]->Wait() == 0;
    proof::Record(run.recorder, [&](proof::History& history) {
      history.ended.push_back({proof::TimeNow(), EntryName(entry), clean});
    });
    run.cluster.StartEntry(entry);
    (void)Eventually([&] { return run.cluster.IsReady(entry); });
  }
}

inline void TakeLogDown(HistoryRun& run, Random& random) {
  const TimePoint from = proof::TimeNow();
  SetLogFaults(run, {.down = true});
  Pause(milliseconds(3000 + random() % 1000));
  SetLogFaults(run, {});
  RecordDisturbance(run, EntryId{}, from);
}

inline void FlapLog(HistoryRun& run, Random& random) {
  const TimePoint from = proof::TimeNow();
  for (int i = 0; i < 6; ++i) {
    SetLogFaults(run, {.down = i % 2 == 0});
    Pause(milliseconds(200 + random() % 400));
  }
  SetLogFaults(run, {});
  RecordDisturbance(run, EntryId{}, from);
}

inline void SlowLog(HistoryRun& run, Random& random) {
  SetLogFaults(run, {.delay = milliseconds(200 + random() % 200)});
  Pause(milliseconds(3000));
  SetLogFaults(run, {});
}

inline void LoseLogAnswers(HistoryRun& run, Random& /*random*/) {
  SetLogFaults(run, {.lose_append_answers = 30});
  Pause(milliseconds(3000));
  SetLogFaults(run, {});
}

// Sets `faults` on all executors three times, 700 ms apart, and then clears
// them.
inline void InjectExecutorFaults(HistoryRun& run,
                                 const ExecutorFaults& faults) {
  for (int i = 0; i < 3; ++i) {
    SetExecutorFaults(run, faults);
    Pause(milliseconds(700));
  }
  SetExecutorFaults(run, {});
}

inline void RefuseRequests(HistoryRun& run, Random& /*random*/) {
  InjectExecutorFaults(run, {.refuse = 40});
}
inline void LoseAnswers(HistoryRun& run, Random& /*random*/) {
  InjectExecutorFaults(run, {.lose_answers = 8});
}
inline void CrossAnswers(HistoryRun& run, Random& /*random*/) {
  InjectExecutorFaults(run, {.cross_answers = 8});
}
inline void CutAnswers(HistoryRun& run, Random& /*random*/) {
  InjectExecutorFaults(run, {.cut_answers = 8});
}

// Delays answers beyond the callers' deadline of 3 s.
inline void DelayAnswers(HistoryRun& run, Random& /*random*/) {
  InjectExecutorFaults(run, {.delay = milliseconds(3300)});
  Pause(milliseconds(2000));
}

inline void FailStarts(HistoryRun& run, Random& random) {
  WorkerStandin& worker = run.cluster.workers[random() % kRunWorkers].standin;
  const auto set = [&](bool fails) {
    const std::scoped_lock lock(worker.mutex);
    worker.faults.fail_starts = fails;
  };
  set(true);
  Pause(milliseconds(3000));
  set(false);
}

inline void LoseWorkerAnswers(HistoryRun& run, Random& random) {
  for (int i = 0; i < 4; ++i) {
    for (auto& worker : run.cluster.workers) {
      const std::scoped_lock lock(worker.standin.mutex);
      worker.standin.faults.lose_answers =
          static_cast<std::int64_t>(random() % 4);
    }
    Pause(milliseconds(700));
  }
}

// The server of the target stops permanently, but the instance list still
// contains the target.
inline void LoseExecutor(HistoryRun& run, Random& random) {
  run.cluster.executors[random() % kRunExecutors].server.Stop();
  Pause(milliseconds(3000));
}
inline void LoseWorker(HistoryRun& run, Random& random) {
  run.cluster.workers[random() % kRunWorkers].server.Stop();
  Pause(milliseconds(3000));
}

// Appends records that no reader can decode to every stream.
inline void WriteForeignRecords(HistoryRun& run, Random& random) {
  LogStandin& log = run.cluster.log.standin;
  for (int i = 0; i < 20; ++i) {
    {
      const std::scoped_lock lock(log.mutex);
      for (auto& [name, stream] : log.streams) {
        stream.records.push_back(
            LogRecord{Offset(stream.first.value + stream.records.size()),
                      RecordId(fmt::format("foreign-{}", i)),
                      std::string(random() % 100, '{')});
      }
      log.appended.notify_all();
    }
    Pause(milliseconds(100));
  }
}

// Marks a target of each type as leaving. The instance list shows this with a
// lag of 500 ms.
inline void ListAsLeaving(HistoryRun& run, Random& random) {
  const std::size_t executor = random() % kRunExecutors;
  const std::size_t worker = random() % kRunWorkers;
  run.cluster.list.executors[executor].state = InstanceState::kLeaving;
  run.cluster.list.workers[worker].state = InstanceState::kLeaving;
  run.cluster.instances.standin.lag = milliseconds(500);
  proof::Record(run.recorder, [&](proof::History& history) {
    for (const auto& name : {fmt::format("executor-{}", executor),
                             fmt::format("worker-{}", worker)}) {
      history.leaving.push_back({proof::TimeNow(), proof::TargetId(name)});
    }
  });
  SetInstances(run.cluster.instances.standin, run.cluster.list);
  Pause(proof::Bounds{}.leaving + milliseconds(1500));
}

inline const std::vector<Fault>& Faults() {
  using proof::Promise;
  static const std::vector<Fault> faults = {
      {"none", CauseNothing, {}},
      {"kill_entry", KillEntry, {}},
      {"kill_all_but_one", KillAllButOne, {}},
      {"replace_all", ReplaceAll, {}},
      {"freeze_entry", FreezeEntry, {}},
      {"stop_in_turn", StopInTurn, {Promise::kStopGraceful}},
      {"log_down", TakeLogDown, {}},
      {"log_flapping", FlapLog, {}},
      {"log_slow", SlowLog, {}},
      {"log_answers_lost", LoseLogAnswers, {}},
      {"executors_refuse", RefuseRequests, {Promise::kNotRunTrue}},
      {"answers_lost", LoseAnswers, {}},
      {"answers_crossed", CrossAnswers, {}},
      {"answers_cut", CutAnswers, {}},
      {"answers_late", DelayAnswers, {}},
      {"starts_fail", FailStarts, {}},
      {"worker_answers_lost", LoseWorkerAnswers, {}},
      {"executor_lost", LoseExecutor, {}},
      {"worker_lost", LoseWorker, {}},
      {"foreign_records", WriteForeignRecords, {}},
      {"targets_leave", ListAsLeaving, {Promise::kLeavingSpared}},
      {"operators_race", CauseNothing, {}, 6},
  };
  return faults;
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_FAULTS_H_
