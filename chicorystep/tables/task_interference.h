#ifndef CHICORYSTEP_TABLES_TASK_INTERFERENCE_H_
#define CHICORYSTEP_TABLES_TASK_INTERFERENCE_H_

#include <string>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"

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

// What is known of the tasks of one kind.
struct KindRow {
  // At most one row for each worker, oldest first.
  std::vector<KindUse> uses;
};

// What the holder has learned of how tasks behave beside each other. It is kept
// in memory only, so a new holder starts without it.
struct Interference {
  Table<TaskKind, KindRow> kinds;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_TASK_INTERFERENCE_H_
