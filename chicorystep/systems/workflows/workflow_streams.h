#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_STREAMS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_STREAMS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The longest time that a read waits for a record. A stream without news is
// confirmed only this long after the read began.
inline constexpr Duration kLongestReadWait = std::chrono::milliseconds(1500);

// Applies the results of reads to the tables. The configuration version never
// decreases, the first acceptance of a workflow wins, and the claim with the
// highest epoch determines the holder.
void ApplyStreamReads(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time);

// Applies one record of the journal; also used for records that this process
// has just written.
void ApplyJournalRecord(WorkflowWorld& world,
                        const JournalRecord& record,
                        const WorkflowTime& time);

// Requests the reads that are due.
void FollowStreams(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox);

// Makes the next read load the newest record of each key, and discards the
// result of a read in flight.
void ReloadStream(WorkflowWorld& world, FollowedStream stream, TimePoint now);

// Returns when the next read is due.
[[nodiscard]] TimePoint NextReadDue(const WorkflowWorld& world);

// Whether the tables are recent enough to answer from: a read that began at
// most `bound` ago reached the end of the stream.
[[nodiscard]] bool IsFresh(const WorkflowWorld& world,
                           FollowedStream stream,
                           Duration bound,
                           TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_STREAMS_H_
