#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_CALLS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_CALLS_H_

#include <optional>
#include <string_view>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Returns the route for `host` with the longest prefix of `path`, or null when
// no route matches.
[[nodiscard]] const WorkflowRoute* MatchRoute(const WorkflowConfig& config,
                                              std::string_view host,
                                              std::string_view path);

// The route of a call, or the answer to a call without one.
struct RoutedCall {
  const WorkflowRoute* route = nullptr;
  CallAnswer refusal;
};
// Finds the route of a call, whatever its key.
[[nodiscard]] RoutedCall RouteCall(const WorkflowWorld& world,
                                   const WorkflowCall& call,
                                   TimePoint now);

// The record that accepts a submission once it is appended, or else the answer.
struct SubmissionCheck {
  std::optional<AcceptedRecord> acceptance;
  CallAnswer answer;
};
// Checks a submission on `route` on behalf of `workspace`.
[[nodiscard]] SubmissionCheck CheckSubmission(const WorkflowWorld& world,
                                              const WorkflowCall& call,
                                              const WorkflowRoute& route,
                                              const Workspace& workspace,
                                              const WorkflowTime& time);

// Answers the calls that the tables suffice for, and queues the others until an
// append or a read ends.
void HandleCalls(WorkflowWorld& world,
                 const WorkflowInbox& inbox,
                 const WorkflowTime& time,
                 WorkflowOutbox& outbox);

// Answers the calls whose append or read has ended and those whose deadline has
// passed. A call whose append got no answer is never refused: its append is
// retried or the call ends with kUnknown.
void EndCalls(WorkflowWorld& world,
              const WorkflowInbox& inbox,
              const WorkflowTime& time,
              WorkflowOutbox& outbox);

// Sends queued acceptances and cancels as one append, and resends it when its
// answer is probably lost.
void AppendCalls(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox);

// Returns when the callers' append in flight may have to be resent.
[[nodiscard]] TimePoint NextCallAppendDue(const WorkflowWorld& world);

// Whether the load balancer may send callers to this entry.
[[nodiscard]] bool IsReady(const WorkflowWorld& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_CALLS_H_
