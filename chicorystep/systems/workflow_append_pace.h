#ifndef CHICORYSTEP_SYSTEMS_WORKFLOW_APPEND_PACE_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOW_APPEND_PACE_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The longest that an append is waited for: the store queues appends for up to
// two seconds before it rejects them, and a caller waits three at most.
inline constexpr Duration kLongestAppend = std::chrono::milliseconds(1300);

// How long to wait for the answer to the lane's next append. A lost answer is
// noticed after some times what appends usually take; further ones in a row
// double that, so that a slow store is not asked ever more.
[[nodiscard]] Duration PatienceOf(const AppendPace& pace);

// Learns from how an append of the lane ended at `now`.
void NoteAppendEnded(AppendPace& pace,
                     const JournalAppended& ended,
                     TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOW_APPEND_PACE_H_
