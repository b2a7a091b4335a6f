#ifndef CHICORYSTEP_SYSTEMS_CELLS_JOB_RECORDS_H_
#define CHICORYSTEP_SYSTEMS_CELLS_JOB_RECORDS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/tables/jobs.h"

namespace chicorystep {

enum class CellRecordKind : std::uint8_t {
  // A process claims the cell; its epoch is the record's offset plus 1.
  kClaim,
  kJobAccepted,
  kJobCancelled,
  kJobEnded,
  // The pieces of a job that is not idempotent are about to be started.
  kJobStarting,
  // Repeats a job that has not ended, before the log service drops its records.
  kJobKept,
};
template <>
inline constexpr std::array kEnumNames<CellRecordKind> = {
    std::string_view("claim"),         std::string_view("job_accepted"),
    std::string_view("job_cancelled"), std::string_view("job_ended"),
    std::string_view("job_starting"),  std::string_view("job_kept"),
};

// A record of a cell's stream. `kind` determines which members are used.
struct CellRecord {
  CellRecordKind kind = CellRecordKind::kClaim;
  EntryId holder;
  // The epoch of the writer. Unused for kClaim, kJobAccepted and kJobCancelled,
  // which are valid whoever wrote them.
  Epoch epoch;
  // For kJobAccepted and kJobKept the whole description, otherwise only its id.
  JobSpec job;
  // For kJobStarting and kJobKept: the newest attempt whose start is recorded.
  GangAttempt recorded_attempt;
  // Only for kJobKept.
  Offset accepted_offset;
  bool cancel_requested = false;
  // Only for kJobEnded.
  JobState end_state = JobState::kDone;
  std::string detail;
};

// Whether `state` is terminal.
[[nodiscard]] constexpr bool HasEnded(JobState state) noexcept {
  return state == JobState::kDone || state == JobState::kFailed ||
         state == JobState::kCancelled || state == JobState::kUnknown;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_JOB_RECORDS_H_
