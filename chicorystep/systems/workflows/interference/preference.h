#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_PREFERENCE_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_PREFERENCE_H_

#include <vector>

#include "chicorystep/tables/task_interference.h"

namespace chicorystep {

// Whether any judged pair includes the kind.
[[nodiscard]] bool IsInJudgedPair(const Interference& interference,
                                  KindNumber kind);

// How much a task of the kind and the tasks of `others` slow each other down on
// one worker: the sum over the judged pairs, in percent of the speed of one
// task.
[[nodiscard]] int Disturbance(const Interference& interference,
                              KindNumber kind,
                              const std::vector<KindNumber>& others);

// The speed that judged pairs let expect of a task of the kind beside tasks of
// `others`, relative to a task without them; 1 if no pair applies.
[[nodiscard]] double ExpectedSpeed(const Interference& interference,
                                   KindNumber kind,
                                   const std::vector<KindNumber>& others);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_PREFERENCE_H_
