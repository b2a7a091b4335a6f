#ifndef CHICORYSTEP_TABLES_TASK_INTERFERENCE_H_
#define CHICORYSTEP_TABLES_TASK_INTERFERENCE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/workflows.h"

namespace chicorystep {

// Names tasks that are expected to behave alike: those of one program, or those
// of one step of a route that request the same capacity.
using TaskKind = Id<struct TaskKindTag, std::string>;

// The share of the requested processors that tasks of a kind used on a worker
// at the time of the newest report.
struct KindUse {
  WorkerId worker;
  double use = 0;
  TimePoint at{};
};

// Reports with a measured use of processors: their number, and the sum of the
// shares of the request that were used.
struct MeasuredUse {
  std::uint32_t reports = 0;
  double sum = 0;
};

// A kind that was beside a run: whether the first report of the run shows it
// there, and the run's use in all reports that do.
struct Neighbour {
  KindNumber kind;
  bool from_begin = false;
  MeasuredUse use;
};

// How a run of a task went, and what ran beside it on its worker.
struct RunSample {
  WorkerId worker;
  WorkflowId workflow;
  std::vector<Neighbour> beside;
  MeasuredUse use;
  // The estimated run time, divided by the actual one.
  std::optional<double> pace;
  TimePoint at{};
};

// What is known of the tasks of one kind.
struct KindRow {
  TaskKind name;
  // At most one row for each worker, oldest first.
  std::vector<KindUse> uses;
  // Runs that have ended, oldest first.
  std::deque<RunSample> samples;
  TimePoint newest{};
  // A sample was added since the kind was last judged.
  bool changed = false;
};

// What the reports have shown of a run that has not ended.
struct ObservedRun {
  RunNumber run;
  std::uint32_t reports = 0;
  MeasuredUse use;
  std::vector<Neighbour> beside;
  TimePoint newest{};
};

// Tasks of one kind that run slower beside tasks of another, or of the same.
struct KindPair {
  KindNumber slowed;
  KindNumber by;

  friend auto operator<=>(const KindPair&, const KindPair&) = default;
};
struct JudgedPair {
  TaskKind slowed;
  TaskKind by;
  // Speed beside the other kind, relative to runs without it.
  double speed = 1.0;
  // Runs beside the other kind, each weighted by its age.
  double evidence = 0;
  // When the pair was judged, and when its runs last showed it.
  TimePoint since{};
  TimePoint confirmed{};
};

// What the holder has learned of how tasks behave beside each other. It is kept
// in memory only, so a new holder starts without it.
struct Interference {
  std::unordered_map<TaskKind, KindNumber> numbers;
  KindNumber last_number;
  Table<KindNumber, KindRow> kinds;
  std::map<TaskKey, ObservedRun> observed;
  std::map<KindPair, JudgedPair> judged;
  TimePoint next_judgement{};
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_TASK_INTERFERENCE_H_
