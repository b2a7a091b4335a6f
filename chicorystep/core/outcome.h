#ifndef CHICORYSTEP_CORE_OUTCOME_H_
#define CHICORYSTEP_CORE_OUTCOME_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// Whether the caller's work is guaranteed not to have run, has run, or may have
// run.
enum class Execution : std::uint8_t { kNotRun, kRan, kUnknown };
template <>
inline constexpr std::array kEnumNames<Execution> = {
    std::string_view("not_run"),
    std::string_view("ran"),
    std::string_view("unknown"),
};

// Why work was refused or ended without an answer.
enum class Reason : std::uint8_t {
  kBadRequest,
  kTooLarge,
  kUnknownKind,
  kUnknownWorkspace,
  kDuplicateId,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kOverloaded,
  kNoExecutor,
  kExecutorFailed,
  kAnswerCutShort,
  kAnswerMismatched,
  kLogUnavailable,
  kNotReady,
  kStopping,
  kNeverRunnable,
  kCancelled,
  kUnknownJob,
  kHolderUnreachable,
  kAlreadyClaimed,
};
template <>
inline constexpr std::array kEnumNames<Reason> = {
    std::string_view("bad_request"),
    std::string_view("too_large"),
    std::string_view("unknown_kind"),
    std::string_view("unknown_workspace"),
    std::string_view("duplicate_id"),
    std::string_view("deadline_unreachable"),
    std::string_view("deadline_passed"),
    std::string_view("overloaded"),
    std::string_view("no_executor"),
    std::string_view("executor_failed"),
    std::string_view("answer_cut_short"),
    std::string_view("answer_mismatched"),
    std::string_view("log_unavailable"),
    std::string_view("not_ready"),
    std::string_view("stopping"),
    std::string_view("never_runnable"),
    std::string_view("cancelled"),
    std::string_view("unknown_job"),
    std::string_view("holder_unreachable"),
    std::string_view("already_claimed"),
};

// A refusal, independent of the protocol in which a caller receives it.
struct Refusal {
  Execution execution = Execution::kNotRun;
  Reason reason = Reason::kBadRequest;
  std::string detail;
  // How long to wait before a retry may succeed; zero when a retry would not
  // help.
  Duration retry_after{};
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_OUTCOME_H_
