#ifndef PROOF_HISTORY_H_
#define PROOF_HISTORY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"

// The history of one concurrent run: the events that callers, operators,
// targets and pollers observed, with one vector for each kind of event. All
// times come from one monotonic clock.
namespace chicorystep::proof {

// One exchange of a caller. Several calls may carry the same request id.
using CallId = Id<struct CallIdTag, std::uint64_t>;
// A hash of a body or of the contents of the routes and pools tables.
using Digest = Id<struct DigestTag, std::uint64_t>;
// The id of an executor or a worker.
using TargetId = Id<struct TargetIdTag, std::string>;
// The number of an attempt to start a gang, as the lease ids carry it.
using AttemptNumber = Id<struct AttemptNumberTag, std::uint32_t>;

// How a call ended, as its caller saw it.
enum class CallOutcome : std::uint8_t {
  // A complete answer arrived. Whether it belongs to the request and has the
  // right bytes is checked from the history.
  kAnswered,
  // The entry refused the request and stated that it did not run.
  kNotRun,
  // The entry refused the request and stated that it may have run.
  kUnknown,
  // The connection broke or was refused, so no answer arrived.
  kNoAnswer,
};

}  // namespace chicorystep::proof

namespace chicorystep {
template <>
inline constexpr std::array kEnumNames<proof::CallOutcome> = {
    std::string_view("answered"),
    std::string_view("not_run"),
    std::string_view("unknown"),
    std::string_view("no_answer"),
};
}  // namespace chicorystep

namespace chicorystep::proof {

struct CallBegun {
  TimePoint at;
  CallId call;
  RequestId request;
  EntryId entry;
  bool idempotent = false;
  // The digest of the correct answer body.
  Digest expected;
};

struct CallEnded {
  TimePoint at;
  CallId call;
  CallOutcome outcome = CallOutcome::kNoAnswer;
  // The request id and the body digest of the answer; set only if one arrived.
  RequestId answered;
  Digest answer;
};

// New work reached a target: a request at an executor or a started piece at a
// worker.
struct WorkReceived {
  TimePoint at;
  TargetId target;
};

// A request took effect at an executor.
struct RequestExecuted {
  TimePoint at;
  TargetId target;
  RequestId request;
};

// From this time on the platform lists the target as leaving.
struct TargetLeaving {
  TimePoint at;
  TargetId target;
};

// A gang was submitted and accepted.
struct JobAccepted {
  TimePoint at;
  JobId job;
  std::int64_t pieces = 0;
  // Whether an unused guarantee of its workspace covers the shape.
  bool guaranteed = false;
};

struct PieceStarted {
  TimePoint at;
  TargetId worker;
  JobId job;
  AttemptNumber attempt;
  PieceIndex piece;
};

struct PieceStopped {
  TimePoint at;
  TargetId worker;
  JobId job;
  AttemptNumber attempt;
  PieceIndex piece;
  // Whether the task completed by itself.
  bool done = false;
};

// An entry received the signal to stop.
struct EntryStopping {
  TimePoint at;
  EntryId entry;
};

// An entry process ended after a planned stop. `clean` means that it exited
// with status 0 and was not killed.
struct EntryEnded {
  TimePoint at;
  EntryId entry;
  bool clean = false;
};

// A period in which an entry was dead, paused or starting, or could not reach
// the log. An empty `entry` means all entries. Promises with a time bound do
// not apply to the entry before `until`.
struct Disturbance {
  TimePoint at;
  TimePoint until;
  EntryId entry;
};

// An operator was notified that an edit was accepted.
struct EditAccepted {
  TimePoint at;
  Revision revision;
};

// The revision that a ready entry reported as in force. `at` is the time at
// which the request for it was sent.
struct RevisionSeen {
  TimePoint at;
  EntryId entry;
  Revision revision;
  Digest tables;
  // The incarnation of the entry process; each restart begins a new one.
  Incarnation incarnation;
};

struct History {
  std::vector<CallBegun> calls_begun;
  std::vector<CallEnded> calls_ended;
  std::vector<WorkReceived> work_received;
  std::vector<RequestExecuted> executed;
  std::vector<TargetLeaving> leaving;
  std::vector<JobAccepted> jobs;
  std::vector<PieceStarted> pieces_started;
  std::vector<PieceStopped> pieces_stopped;
  std::vector<EntryStopping> stopping;
  std::vector<EntryEnded> ended;
  std::vector<Disturbance> disturbances;
  std::vector<EditAccepted> edits;
  std::vector<RevisionSeen> revisions;
};

// Whether a disturbance of `entry` overlaps [`from`, `to`].
[[nodiscard]] bool IsDisturbed(const History& history,
                               const EntryId& entry,
                               TimePoint from,
                               TimePoint to);

// Follows disturbances of `entry` from `from` on, each of which begins at most
// `bound` after the end of the one before it, and returns the end of the last.
// Returns `from` if there is none.
[[nodiscard]] TimePoint FindDisturbanceEnd(const History& history,
                                           const EntryId& entry,
                                           TimePoint from,
                                           Duration bound);

// Returns the time of the last event that is not a disturbance, or
// TimePoint::min() if there is none.
[[nodiscard]] TimePoint LastEventTime(const History& history);

// Returns whole milliseconds, for messages.
[[nodiscard]] constexpr std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace chicorystep::proof

#endif  // PROOF_HISTORY_H_
