// Tests the check of refusals that the soak and the emulation share.

#define BOOST_TEST_MODULE submission_attempts
#include <boost/test/unit_test.hpp>

#include "tests/support/submission_attempts.h"

namespace chicorystep::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kNotDelivered = -1;

// Attempt number `number`, which is sent at `number` seconds and answered 100
// ms later.
SubmissionAttempt MakeAttempt(int number, int status) {
  const TimePoint sent{std::chrono::seconds(number)};
  return SubmissionAttempt{.entry = EntryId("entry"),
                           .sent = sent,
                           .ended = sent + milliseconds(100),
                           .status = std::max(status, 0),
                           .delivered = status != kNotDelivered};
}

// The statuses of the attempts, when the first task started, and whether an
// answer was broken.
struct AttemptsCase {
  std::string name;
  std::vector<int> statuses;
  std::optional<Duration> first_start;
  bool broken;
};

const std::vector<AttemptsCase> kAttemptsCases = {
    {"refused and not run", {503, 503}, std::nullopt, false},
    {"refused once and run", {503}, milliseconds(9000), true},
    {"too many requests and run", {429}, milliseconds(9000), true},
    {"refused everywhere and run", {503, 503, 429}, milliseconds(9000), true},
    {"unknown, then refused, and run", {504, 503}, milliseconds(9000), true},
    {"no answer, then refused, and run", {0, 503}, milliseconds(9000), true},
    {"refused after it had started", {504, 503}, milliseconds(500), true},
    {"accepted, then refused", {200, 503}, milliseconds(150), true},
    {"refused, then unknown, and run", {503, 504}, milliseconds(9000), false},
    {"refused, then accepted, and run", {503, 200}, milliseconds(9000), false},
    {"run between a refusal and the next attempt",
     {504, 503, 200},
     milliseconds(1500),
     true},
    {"refused, then not delivered, and run",
     {504, 503, kNotDelivered},
     milliseconds(9000),
     true},
    {"never delivered and run",
     {kNotDelivered, kNotDelivered},
     milliseconds(9000),
     true},
    {"unauthorised and run", {401}, milliseconds(9000), true},
    {"unknown, then unauthorised, and run",
     {504, 401},
     milliseconds(9000),
     false},
    {"unknown and run", {504, 504}, milliseconds(9000), false},
};

BOOST_AUTO_TEST_CASE(refused_workflows_must_not_run_until_accepted_later) {
  for (const AttemptsCase& sample : kAttemptsCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      std::vector<SubmissionAttempt> attempts;
      for (std::size_t i = 0; i < sample.statuses.size(); ++i) {
        attempts.push_back(
            MakeAttempt(static_cast<int>(i), sample.statuses[i]));
      }
      std::optional<TimePoint> first_start;
      if (sample.first_start) {
        first_start = TimePoint(*sample.first_start);
      }
      BOOST_TEST(FindBrokenRefusal(attempts, first_start).has_value() ==
                 sample.broken);
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
