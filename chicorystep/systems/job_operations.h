#ifndef CHICORYSTEP_SYSTEMS_JOB_OPERATIONS_H_
#define CHICORYSTEP_SYSTEMS_JOB_OPERATIONS_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Carries out what callers and peers ask about jobs, or passes it on to the
// holder of the cell.
void HandleJobOperations(World& world,
                         const Inbox& inbox,
                         TimePoint now,
                         Outbox& outbox);

// The id of a job: the same for every repeat of one submission.
[[nodiscard]] JobId MakeJobId(const CellName& cell,
                              const Workspace& workspace,
                              const RequestId& request_id);

// The cell that `id` belongs to.
[[nodiscard]] CellName CellNameOf(const JobId& id);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_JOB_OPERATIONS_H_
