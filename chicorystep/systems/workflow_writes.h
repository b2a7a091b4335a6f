#ifndef CHICORYSTEP_SYSTEMS_WORKFLOW_WRITES_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOW_WRITES_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The holder writes to the journal at least this often, so that the others
// notice its end.
inline constexpr Duration kHeartbeat = std::chrono::milliseconds(250);

// Puts `records` under way in one of the holder's lanes, which must be idle.
void BeginAppend(const Holding& holding,
                 HolderLane& lane,
                 std::vector<JournalRecord> records,
                 TimePoint now);

// A sequence number that no other claimer of the same epoch begins with.
[[nodiscard]] std::uint64_t FirstSequence(const WorkflowSelf& self);

// Applies the outcomes of the holder's appends: placements and ends count as
// recorded only from here on, and callers are told of states.
void EndHolderAppends(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time);

// Writes claims, states and heartbeats to the journal and progress to its own
// stream, one append each at a time.
void WriteHolderRecords(WorkflowWorld& world,
                        const WorkflowTime& time,
                        WorkflowOutbox& outbox);

[[nodiscard]] TimePoint NextWriteDue(const WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOW_WRITES_H_
