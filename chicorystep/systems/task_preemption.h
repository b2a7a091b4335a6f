#ifndef CHICORYSTEP_SYSTEMS_TASK_PREEMPTION_H_
#define CHICORYSTEP_SYSTEMS_TASK_PREEMPTION_H_

#include "chicorystep/systems/task_rooms.h"

namespace chicorystep {

// Stops the less urgent work whose loss is least, and reserves its room for
// the unit; does nothing when even all of it would not make room.
void Preempt(Pass& pass, const Unit& unit);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_PREEMPTION_H_
