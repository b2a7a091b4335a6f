#ifndef CHICORYSTEP_SYSTEMS_WORKFLOW_STREAMS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOW_STREAMS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Folds what reads of the log brought: the configuration never goes back, the
// first acceptance of a workflow wins, the highest claim names the holder.
void ApplyStreamReads(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      const WorkflowTime& time);

// Folds one record of the journal; also used for what this process has just
// written itself.
void ApplyJournalRecord(WorkflowWorld& world,
                        const JournalRecord& record,
                        const WorkflowTime& time);

// Asks for the next reads that are due.
void FollowStreams(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox);

// Lets the stream be loaded from the newest records on, and drops what a read
// under way brings.
void LoadAnew(WorkflowWorld& world, FollowedStream stream, TimePoint now);

// When the next read is due.
[[nodiscard]] TimePoint NextReadDue(const WorkflowWorld& world);

// Whether the tables may be answered from: a read that began within `bound`
// has confirmed the stream.
[[nodiscard]] bool IsFresh(const WorkflowWorld& world,
                           FollowedStream stream,
                           Duration bound,
                           TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOW_STREAMS_H_
