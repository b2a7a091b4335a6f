#ifndef CHICORYSTEP_SYSTEMS_JOB_RECORDS_H_
#define CHICORYSTEP_SYSTEMS_JOB_RECORDS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/tables/jobs.h"

namespace chicorystep {

enum class CellRecordKind : std::uint8_t {
  // A process takes the cell; the record's offset plus 1 is its epoch.
  kClaim,
  kJobAccepted,
  kJobCancelled,
  kJobEnded,
  // The pieces of a job that is not idempotent are about to be started.
  kJobStarting,
  // Repeats a job that has not ended, before its records are no longer kept.
  kJobKept,
};
template <>
inline constexpr std::array kEnumNames<CellRecordKind> = {
    std::string_view("claim"),         std::string_view("job_accepted"),
    std::string_view("job_cancelled"), std::string_view("job_ended"),
    std::string_view("job_starting"),  std::string_view("job_kept"),
};

// A record of a cell's stream. Which members count depends on `kind`.
struct CellRecord {
  CellRecordKind kind = CellRecordKind::kClaim;
  EntryId holder;
  // The epoch of the writer, but for kClaim, kJobAccepted and kJobCancelled,
  // which count whoever wrote them.
  Epoch epoch;
  // kJobAccepted and kJobKept: the whole description; else only its id counts.
  JobSpec job;
  // kJobStarting and kJobKept: the newest try that was recorded.
  GangTry recorded_try;
  // kJobKept only.
  Offset accepted;
  bool cancel_requested = false;
  // kJobEnded only.
  JobState end_state = JobState::kDone;
  std::string detail;
};

// Whether a job in `state` has ended for good.
[[nodiscard]] constexpr bool HasEnded(JobState state) noexcept {
  return state == JobState::kDone || state == JobState::kFailed ||
         state == JobState::kCancelled || state == JobState::kUnknown;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_JOB_RECORDS_H_
