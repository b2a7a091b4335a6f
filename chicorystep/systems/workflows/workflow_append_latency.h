#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_APPEND_LATENCY_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_APPEND_LATENCY_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Time-out for the answer to an append. The store queues appends for up to 2 s
// before it rejects them, and a caller waits 3 s at most.
inline constexpr Duration kAppendTimeout = std::chrono::milliseconds(1300);

// Updates the newest answer of the store from the inbox.
void RecordStoreAnswers(WorkflowWorld& world,
                        const WorkflowInbox& inbox,
                        TimePoint now);

// Records that the lane's append has been sent or resent.
void RecordSend(AppendLatency& latency, TimePoint now);

// Records the outcome of one send of the lane's append. Returns false when this
// send got no answer but another may still be answered.
[[nodiscard]] bool RecordSendOutcome(AppendLatency& latency,
                                     const JournalAppended& ended,
                                     TimePoint now);

// Whether the answer to the lane's append is probably lost and not merely late:
// the store has answered a request that was sent later, and several times the
// usual latency has passed. An append is not resent to a store that is slow for
// all requests, because the store serves appends one after the other.
[[nodiscard]] bool IsProbablyLost(const AppendLatency& latency,
                                  const StoreAnswer& newest,
                                  TimePoint now);

// When `IsProbablyLost` becomes true without further answers; kNever if it
// cannot.
[[nodiscard]] TimePoint ResendDue(const AppendLatency& latency,
                                  const StoreAnswer& newest);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_APPEND_LATENCY_H_
