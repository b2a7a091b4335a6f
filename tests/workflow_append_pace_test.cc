#define BOOST_TEST_MODULE workflow_append_pace
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/systems/workflows/workflow_append_latency.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kSent(milliseconds(10'000));

// An append that was last sent at `kSent` and has no answer, the newest
// answered request to the store with its begin and duration, and when the
// append is resent; empty if never. Times are relative to `kSent`.
struct ResendCase {
  std::string name;
  Duration average;
  std::uint32_t unanswered_sends;
  Duration answer_began;
  Duration answer_took;
  std::optional<Duration> resend_after;
};

const std::vector<ResendCase> kResendCases = {
    {"no request sent since has been answered", milliseconds(10), 1,
     milliseconds(-1), milliseconds(5), std::nullopt},
    {"the store answers other requests as fast as usual", milliseconds(10), 1,
     milliseconds(1), milliseconds(5), milliseconds(100)},
    {"a store in another region", milliseconds(70), 1, milliseconds(1),
     milliseconds(65), milliseconds(280)},
    {"a store that is slow for all requests", milliseconds(10), 1,
     milliseconds(1), milliseconds(244), milliseconds(976)},
    {"appends are slow, reads are fast", milliseconds(300), 1, milliseconds(1),
     milliseconds(5), milliseconds(1200)},
    {"the maximum number of sends is unanswered", milliseconds(10), 3,
     milliseconds(1), milliseconds(5), std::nullopt},
    {"no append is in flight", milliseconds(10), 0, milliseconds(1),
     milliseconds(5), std::nullopt},
};

// Guards against two faults: waiting for the whole time-out after each lost
// answer, and overloading a slow store with resends (bssp-sched, trouble-2).
BOOST_AUTO_TEST_CASE(
    appends_are_resent_only_to_a_store_that_answers_other_requests) {
  for (const ResendCase& sample : kResendCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const AppendLatency latency{.average = sample.average,
                                  .unanswered_sends = sample.unanswered_sends,
                                  .last_sent = kSent};
      const StoreAnswer newest{.began = kSent + sample.answer_began,
                               .took = sample.answer_took};
      if (!sample.resend_after) {
        BOOST_TEST(
            !IsProbablyLost(latency, newest, kSent + milliseconds(5000)));
        continue;
      }
      const TimePoint resend_at = kSent + *sample.resend_after;
      BOOST_TEST(!IsProbablyLost(latency, newest, resend_at - milliseconds(1)));
      BOOST_TEST(IsProbablyLost(latency, newest, resend_at));
    }
  }
}

}  // namespace
}  // namespace chicorystep
