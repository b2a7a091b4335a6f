#ifndef CHICORYSTEP_SYSTEMS_WORKFLOW_APPEND_PACE_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOW_APPEND_PACE_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// How long the answer to an append is waited for: the store queues appends for
// up to two seconds before it rejects them, and a caller waits three at most.
inline constexpr Duration kLongestAppend = std::chrono::milliseconds(1300);

// Notes what the store has answered since the last tick.
void NoteStoreAnswers(WorkflowWorld& world,
                      const WorkflowInbox& inbox,
                      TimePoint now);

// Notes that the lane's append has been sent, or sent again.
void NoteSent(AppendPace& pace, TimePoint now);

// Notes how a sending of the lane's append ended. False when it got no answer
// but another sending may yet get one.
[[nodiscard]] bool NoteSendingEnded(AppendPace& pace,
                                    const JournalAppended& ended,
                                    TimePoint now);

// Whether the answer to the lane's append is rather lost than late: the store
// has answered what was sent after it, and has had some times what it takes for
// an answer. A store that is slow for all is not asked again, as it serves
// appends one after the other.
[[nodiscard]] bool IsProbablyLost(const AppendPace& pace,
                                  const StoreAnswer& newest,
                                  TimePoint now);

// When `IsProbablyLost` may hold by time alone.
[[nodiscard]] TimePoint DoubtDue(const AppendPace& pace,
                                 const StoreAnswer& newest);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOW_APPEND_PACE_H_
