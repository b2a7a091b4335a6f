#ifndef CHICORYSTEP_SYSTEMS_CELLS_JOB_OPERATIONS_H_
#define CHICORYSTEP_SYSTEMS_CELLS_JOB_OPERATIONS_H_

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Executes the job operations of callers and peers, or forwards them to the
// holder of the cell.
void HandleJobOperations(World& world,
                         const Inbox& inbox,
                         TimePoint now,
                         Outbox& outbox);

// Derives the id of a job; repeats of a submission get the same id.
[[nodiscard]] JobId MakeJobId(const CellName& cell,
                              const Workspace& workspace,
                              const RequestId& request_id);

// The cell that `id` belongs to.
[[nodiscard]] CellName CellNameOf(const JobId& id);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_JOB_OPERATIONS_H_
