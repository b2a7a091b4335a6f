#ifndef CHICORYSTEP_SYSTEMS_CELLS_H_
#define CHICORYSTEP_SYSTEMS_CELLS_H_

#include <optional>

#include "chicorystep/systems/job_records.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// The stream of the cell `name`.
[[nodiscard]] Stream CellStream(const CellName& name);

// The entry process that rendezvous hashing names for the cell `name` among
// those alive; every process with the same view names the same one.
[[nodiscard]] EntryId PreferredHolder(const World& world,
                                      const CellName& name,
                                      TimePoint now);

// Claims the cells that this process should hold and drops the others.
void AssignCells(World& world,
                 const Inbox& inbox,
                 TimePoint now,
                 Outbox& outbox);

// Applies the records of the cells' streams: claims, acceptances, ends.
void ApplyCellBatches(World& world,
                      const Inbox& inbox,
                      TimePoint now,
                      Outbox& outbox);

// Handles appends that were not acknowledged: what must be written is due
// again, and callers whose work may not have been accepted are told so.
void ApplyAppendsEnded(World& world,
                       const Inbox& inbox,
                       TimePoint now,
                       Outbox& outbox);

// Appends `record` to the stream of `cell`; returns the id it was given.
RecordId AppendCellRecord(World& world,
                          const Cell& cell,
                          const CellRecord& record,
                          Outbox& outbox);

// The same, and appends it again until it is read back.
void AppendUntilRead(World& world,
                     Cell& cell,
                     const CellRecord& record,
                     Outbox& outbox);

// Gives up a cell that another process holds; this process may claim it again
// from `claim_due` on.
void LoseCell(Cell& cell, TimePoint claim_due, TimePoint now);

// Whether this process may act for `cell`.
[[nodiscard]] bool IsHeld(const Cell& cell) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_H_
