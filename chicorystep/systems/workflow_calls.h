#ifndef CHICORYSTEP_SYSTEMS_WORKFLOW_CALLS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOW_CALLS_H_

#include <string_view>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The route whose host matches and whose prefix is the longest that `path`
// begins with; null when there is none.
[[nodiscard]] const WorkflowRoute* MatchRoute(const WorkflowConfig& config,
                                              std::string_view host,
                                              std::string_view path);

// Answers what can be answered from the tables, and queues the others for an
// append or a read.
void HandleCalls(WorkflowWorld& world,
                 const WorkflowInbox& inbox,
                 const WorkflowTime& time,
                 WorkflowOutbox& outbox);

// Ends the calls whose append has ended, and those whose time is over. A call
// whose append got no answer is never refused: it is repeated or ends unknown.
void EndCalls(WorkflowWorld& world,
              const WorkflowInbox& inbox,
              const WorkflowTime& time,
              WorkflowOutbox& outbox);

// Sends queued acceptances and cancels as one append, again when its answer
// seems lost.
void AppendCalls(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox);

// When the answer to the callers' append under way may count as lost.
[[nodiscard]] TimePoint NextCallAppendDue(const WorkflowWorld& world);

// Whether the balancer may send callers here.
[[nodiscard]] bool IsReady(const WorkflowWorld& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOW_CALLS_H_
