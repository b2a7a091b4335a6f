#ifndef CHICORYSTEP_SYSTEMS_CELLS_GANGS_H_
#define CHICORYSTEP_SYSTEMS_CELLS_GANGS_H_

#include <string>

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// After a takeover of a cell: adopts complete gangs and stops the others, once
// every worker has answered or its leases have expired.
void RecoverGangs(World& world, TimePoint now, Outbox& outbox);

// Advances each gang: takes its leases, starts it once all are held, stops all
// pieces when one fails or its worker is lost, and ends the job when all pieces
// are done.
void AdvanceGangs(World& world, TimePoint now, Outbox& outbox);

// Removes the pieces of a job and appends its end to the cell's stream. The job
// ends when the record is read back.
void AppendJobEnd(World& world,
                  Cell& cell,
                  Job& job,
                  JobState end_state,
                  std::string detail,
                  TimePoint now,
                  Outbox& outbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_GANGS_H_
