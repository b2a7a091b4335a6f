#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_WRITES_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_WRITES_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The holder writes to the journal at least this often, so that the other
// entries detect its failure.
inline constexpr Duration kHeartbeat = std::chrono::milliseconds(250);

// Makes `records` the append in flight of a holder's lane, which must be idle.
void BeginAppend(const Holding& holding,
                 HolderLane& lane,
                 std::vector<JournalRecord> records,
                 TimePoint now);

// Returns the sequence number that this process begins a claim with. No other
// process that claims the same epoch begins with it.
[[nodiscard]] std::uint64_t FirstSequence(const WorkflowSelf& self);

// Applies the outcomes of the holder's appends. Placements, ends of runs and
// workflow states take effect only once they are written.
void EndHolderAppends(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time);

// Writes claims, states and heartbeats to the journal and progress to its own
// stream, with at most one append in flight for each.
void WriteHolderRecords(WorkflowWorld& world,
                        const WorkflowTime& time,
                        WorkflowOutbox& outbox);

[[nodiscard]] TimePoint NextWriteDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_WRITES_H_
