#ifndef CHICORYSTEP_SYSTEMS_WORKER_POLLS_H_
#define CHICORYSTEP_SYSTEMS_WORKER_POLLS_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Takes the workers' reports into the pieces placed on them. Only the answer
// to the newest message counts.
void ApplyWorkerAnswers(World& world, const Inbox& inbox, TimePoint now);

// Sends each worker its one message when commands for it or a renewal are due.
// Commands follow from the difference between what is wanted and what the
// worker last reported, so a lost message is made good by the next.
void PollWorkers(World& world, TimePoint now, Outbox& outbox);

// When the first worker's message is due.
[[nodiscard]] TimePoint NextPollDue(const World& world);

// Whether the worker answered lately enough to be sent renewals and work.
[[nodiscard]] bool IsResponsive(const Worker& worker,
                                const Self& self,
                                TimePoint now) noexcept;

// Whether every lease on the worker has lapsed by its own clock: nothing that
// may have renewed them was sent for a lease time and a message's delay.
[[nodiscard]] bool HasLapsed(const Worker& worker,
                             const Self& self,
                             TimePoint now) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKER_POLLS_H_
