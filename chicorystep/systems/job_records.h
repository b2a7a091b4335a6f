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
};
template <>
inline constexpr std::array kEnumNames<CellRecordKind> = {
    std::string_view("claim"),
    std::string_view("job_accepted"),
    std::string_view("job_cancelled"),
    std::string_view("job_ended"),
};

// A record of a cell's stream. Which members count depends on `kind`.
struct CellRecord {
  CellRecordKind kind = CellRecordKind::kClaim;
  EntryId holder;
  // kJobAccepted: the whole description; else only its id counts.
  JobSpec job;
  // kJobEnded only.
  JobState end_state = JobState::kDone;
  std::string detail;
};

// Whether a job in `state` has ended for good.
[[nodiscard]] constexpr bool HasEnded(JobState state) noexcept {
  return state == JobState::kDone || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_JOB_RECORDS_H_
