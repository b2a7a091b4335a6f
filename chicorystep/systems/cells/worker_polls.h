#ifndef CHICORYSTEP_SYSTEMS_CELLS_WORKER_POLLS_H_
#define CHICORYSTEP_SYSTEMS_CELLS_WORKER_POLLS_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Applies the workers' reports to the pieces placed on them. Only the answer to
// the newest message of a worker is used.
void ApplyWorkerAnswers(World& world, const Inbox& inbox, TimePoint now);

// Sends each worker a message when commands or a renewal are due. The commands
// are the difference between the desired state and the worker's last report, so
// the next message makes up for a lost one.
void PollWorkers(World& world, TimePoint now, Outbox& outbox);

// When the next poll, claim, placement pass or scan of a cell is due.
[[nodiscard]] TimePoint NextCellDue(const World& world);

// Whether the worker has answered recently enough to be sent renewals and work.
[[nodiscard]] bool IsResponsive(const Worker& worker,
                                const Self& self,
                                TimePoint now) noexcept;

// Whether every lease on the worker has expired by the worker's own clock: no
// message that may have renewed them was sent for the lease time plus one poll
// interval, which allows for the delay of a message.
[[nodiscard]] bool HaveLeasesExpired(const Worker& worker,
                                     const Self& self,
                                     TimePoint now) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_WORKER_POLLS_H_
