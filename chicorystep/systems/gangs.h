#ifndef CHICORYSTEP_SYSTEMS_GANGS_H_
#define CHICORYSTEP_SYSTEMS_GANGS_H_

#include "chicorystep/control/world.h"

namespace chicorystep {

// Takes the workers' reports into the pieces placed on them.
void ApplyWorkerAnswers(World& world, const Inbox& inbox, TimePoint now);

// After a takeover: adopts gangs that run whole and stops those that do not,
// once every worker was heard or its leases have lapsed.
void RecoverGangs(World& world, TimePoint now);

// Moves each gang on: starts it once all its leases are held, stops all of it
// when one piece fails or its worker is lost, and ends it when all are done.
void AdvanceGangs(World& world, TimePoint now, Outbox& outbox);

// Gives waiting jobs their workers, urgent ones first.
void PlaceGangs(World& world, TimePoint now);

// Sends each worker its one message when commands for it or a renewal are due.
// Commands follow from the difference between what is wanted and what the
// worker last reported, so a lost message is made good by the next.
void PollWorkers(World& world, TimePoint now, Outbox& outbox);

// When the first worker's message is due.
[[nodiscard]] TimePoint NextPollDue(const World& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_GANGS_H_
