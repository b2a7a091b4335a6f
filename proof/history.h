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

// The history of one concurrent run: what callers, operators, targets and
// samplers observed, one vector for each kind of event. All times come from one
// monotonic clock.
namespace chicorystep::proof {

// One exchange of a caller; several may carry the same request id.
using CallId = Id<struct CallIdTag, std::uint64_t>;
// A hash that stands for a body or for the content of both tables.
using Digest = Id<struct DigestTag, std::uint64_t>;
// An executor or a worker.
using TargetId = Id<struct TargetIdTag, std::string>;
// The number of tries of a job, as its lease ids carry it.
using Try = Id<struct TryTag, std::uint32_t>;

// How a call ended for its caller.
enum class CallOutcome : std::uint8_t {
  // The whole answer, said to be that of the request.
  kAnswered,
  kNotRun,
  // A refusal that says the request may have run.
  kUnknown,
  // The connection broke or was refused.
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
  // What a right answer holds.
  Digest expected;
};

struct CallEnded {
  TimePoint at;
  CallId call;
  CallOutcome outcome = CallOutcome::kNoAnswer;
  // Only of an answer.
  RequestId answered;
  Digest answer;
};

// New work reached a target: a request at an executor, a lease at a worker.
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

// The platform lists a target as leaving from now on.
struct TargetLeaving {
  TimePoint at;
  TargetId target;
};

// A gang was submitted and accepted.
struct JobAccepted {
  TimePoint at;
  JobId job;
  std::int64_t pieces = 0;
  // Whether its shape is part of what its workspace is guaranteed and unused.
  bool guaranteed = false;
};

struct PieceStarted {
  TimePoint at;
  TargetId worker;
  JobId job;
  Try tries;
  PieceIndex piece;
};

struct PieceStopped {
  TimePoint at;
  TargetId worker;
  JobId job;
  Try tries;
  PieceIndex piece;
  // Whether the task ran to its own end.
  bool done = false;
};

// An entry was told to stop.
struct EntryStopping {
  TimePoint at;
  EntryId entry;
};

// A planned stop has ended; `clean` when the process ended by itself with
// success.
struct EntryEnded {
  TimePoint at;
  EntryId entry;
  bool clean = false;
};

// A time in which an entry was dead, paused or starting, or could not reach
// the log; an empty `entry` means all. Nothing with a time bound is asked of
// it before `until`.
struct Disturbance {
  TimePoint at;
  TimePoint until;
  EntryId entry;
};

// An operator was told that an edit is accepted.
struct EditAccepted {
  TimePoint at;
  Revision revision;
};

// What a ready entry said is in force; `at` is when it was asked.
struct RevisionSeen {
  TimePoint at;
  EntryId entry;
  Revision revision;
  Digest tables;
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

// Whether an entry was disturbed at any time of [`from`, `to`].
[[nodiscard]] bool IsDisturbed(const History& history,
                               const EntryId& entry,
                               TimePoint from,
                               TimePoint to);

// When the last disturbance that overlaps [`from`, `to`], extended by each one
// found, ends for `entry`; `from` when there is none.
[[nodiscard]] TimePoint DisturbedUntil(const History& history,
                                       const EntryId& entry,
                                       TimePoint from,
                                       Duration bound);

// The time of the last event; TimePoint::min() when there is none.
[[nodiscard]] TimePoint EndOf(const History& history);

// Whole milliseconds, for messages.
[[nodiscard]] constexpr std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace chicorystep::proof

#endif  // PROOF_HISTORY_H_
