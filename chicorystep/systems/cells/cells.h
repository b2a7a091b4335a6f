#ifndef CHICORYSTEP_SYSTEMS_CELLS_CELLS_H_
#define CHICORYSTEP_SYSTEMS_CELLS_CELLS_H_

#include <optional>

#include "chicorystep/systems/cells/job_records.h"
#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// Returns the log stream of the cell `name`.
[[nodiscard]] Stream CellStream(const CellName& name);

// The entry process that rendezvous hashing selects for the cell `name` among
// the live ones. All processes with the same view of the members select the
// same one.
[[nodiscard]] EntryId PreferredHolder(const World& world,
                                      const CellName& name,
                                      TimePoint now);

// Claims the cells of which this process is the preferred holder, and drops the
// others.
void AssignCells(World& world,
                 const Inbox& inbox,
                 TimePoint now,
                 Outbox& outbox);

// Applies the records read from the cells' streams.
void ApplyCellBatches(World& world,
                      const Inbox& inbox,
                      TimePoint now,
                      Outbox& outbox);

// Handles appends that were not acknowledged: schedules another append of the
// records that must be written, and answers waiting callers that the outcome is
// unknown.
void ApplyAppendsEnded(World& world,
                       const Inbox& inbox,
                       TimePoint now,
                       Outbox& outbox);

// Appends `record` to the stream of `cell` and returns its record id.
RecordId AppendCellRecord(World& world,
                          const Cell& cell,
                          const CellRecord& record,
                          Outbox& outbox);

// Appends `record` to the stream of `cell`, and again after each append that is
// not acknowledged, until it is read back.
void AppendUntilReadBack(World& world,
                         Cell& cell,
                         const CellRecord& record,
                         Outbox& outbox);

// Gives up a cell that another process has claimed. This process may claim it
// again from `claim_due` on.
void LoseCell(Cell& cell, TimePoint claim_due, TimePoint now);

// Whether this process is the holder of `cell`.
[[nodiscard]] bool IsHeld(const Cell& cell) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_CELLS_H_
