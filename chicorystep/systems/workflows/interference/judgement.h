#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_JUDGEMENT_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_JUDGEMENT_H_

#include "chicorystep/tables/task_interference.h"

namespace chicorystep {

// Judges anew, once in a while, which kinds of task run slower beside which
// others, and drops pairs whose evidence has aged.
void JudgePairs(Interference& interference, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_INTERFERENCE_JUDGEMENT_H_
