#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_TASK_KINDS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_TASK_KINDS_H_

#include <optional>

#include "chicorystep/tables/task_interference.h"

namespace chicorystep {

// Returns the number of the kind that the tasks of the step run belong to, and
// adds the kind if it is new. Beyond a bound the kind that was seen least
// recently is dropped.
KindNumber ResolveKind(Interference& interference,
                       const Workflow& workflow,
                       StepRun& run,
                       TimePoint now);

// Records the share of the requested processors that a task of the kind uses on
// the worker, in place of the last one there.
void RecordUse(Interference& interference,
               KindNumber kind,
               const WorkerId& worker,
               double use,
               TimePoint now);

// The share of the requested processors that tasks of the kind use on workers
// other than `worker`: the median over those workers. Empty if none of them has
// reported one lately.
[[nodiscard]] std::optional<double> UsualUse(const Interference& interference,
                                             KindNumber kind,
                                             const WorkerId& worker,
                                             TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_TASK_KINDS_H_
