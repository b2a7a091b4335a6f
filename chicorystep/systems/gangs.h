#ifndef CHICORYSTEP_SYSTEMS_GANGS_H_
#define CHICORYSTEP_SYSTEMS_GANGS_H_

#include <string>

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// After a takeover: adopts gangs that are whole and stops those that are not,
// once every worker was heard or its leases have lapsed.
void RecoverGangs(World& world, TimePoint now, Outbox& outbox);

// Moves each gang on: takes its leases, starts it once all are held, stops all
// of it when one piece fails or its worker is lost, and ends it when all are
// done.
void AdvanceGangs(World& world, TimePoint now, Outbox& outbox);

// Writes the end of a job that has no pieces any more; it ends when the record
// is read back.
void WriteEnd(World& world,
              Cell& cell,
              Job& job,
              JobState end_state,
              std::string detail,
              TimePoint now,
              Outbox& outbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_GANGS_H_
