#ifndef TESTS_SUPPORT_SUBMISSION_ATTEMPTS_H_
#define TESTS_SUPPORT_SUBMISSION_ATTEMPTS_H_

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"

namespace chicorystep::testing {

// One attempt of a caller to submit a workflow.
struct SubmissionAttempt {
  EntryId entry;
  TimePoint sent{};
  TimePoint ended{};
  // Status of the answer; 0 without one.
  int status = 0;
  // Whether the request may have reached the entry.
  bool delivered = true;
};

enum class AttemptEffect : std::uint8_t {
  // The workflow may run because of this attempt.
  kPossible,
  // The attempt cannot make the workflow run.
  kNone,
  // As `kNone`; besides, the answer promises that the workflow was not accepted
  // and never runs, whatever earlier attempts met.
  kPromised,
};

inline AttemptEffect EffectOf(const SubmissionAttempt& attempt) {
  if (!attempt.delivered || attempt.status == 400 || attempt.status == 401 ||
      attempt.status == 404) {
    return AttemptEffect::kNone;
  }
  return attempt.status == 429 || attempt.status == 503
             ? AttemptEffect::kPromised
             : AttemptEffect::kPossible;
}

// Describes the attempts of a workflow whose first task started at
// `first_start` although its caller was told that it never would; nothing if no
// answer was broken. The workflow must not have run before the first attempt
// after a refusal that may have an effect.
inline std::optional<std::string> FindBrokenRefusal(
    const std::vector<SubmissionAttempt>& attempts,
    std::optional<TimePoint> first_start) {
  if (!first_start) {
    return std::nullopt;
  }
  bool broken = std::none_of(
      attempts.begin(), attempts.end(), [](const SubmissionAttempt& attempt) {
        return EffectOf(attempt) == AttemptEffect::kPossible;
      });
  for (auto refusal = attempts.begin(); refusal != attempts.end(); ++refusal) {
    if (EffectOf(*refusal) != AttemptEffect::kPromised) {
      continue;
    }
    const auto next = std::find_if(
        refusal, attempts.end(), [](const SubmissionAttempt& attempt) {
          return EffectOf(attempt) == AttemptEffect::kPossible;
        });
    broken = broken || next == attempts.end() || *first_start < next->sent;
  }
  if (!broken) {
    return std::nullopt;
  }
  const TimePoint begin = attempts.empty() ? *first_start : attempts[0].sent;
  std::string text;
  for (const SubmissionAttempt& attempt : attempts) {
    text +=
        fmt::format("; {} at {} ms: {} after {} ms", attempt.entry.value,
                    WholeMillis(attempt.sent - begin),
                    attempt.delivered ? fmt::format("status {}", attempt.status)
                                      : std::string("not delivered"),
                    WholeMillis(attempt.ended - attempt.sent));
  }
  return fmt::format("was refused but started at {} ms{}",
                     WholeMillis(*first_start - begin), text);
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_SUBMISSION_ATTEMPTS_H_
