#define BOOST_TEST_MODULE workflow_append_pace
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "chicorystep/systems/workflow_append_pace.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kSent(milliseconds(10'000));

// An append that was sent at `kSent` and has no answer yet, the newest answer
// of the store by when it was asked for and how long it took, and when the
// append is sent again; none is never.
struct DoubtCase {
  std::string name;
  Duration usual;
  std::uint32_t sendings;
  Duration answer_began;
  Duration answer_took;
  std::optional<Duration> again_after;
};

const std::vector<DoubtCase> kDoubtCases = {
    {"nothing sent since has been answered", milliseconds(10), 1,
     milliseconds(-1), milliseconds(5), std::nullopt},
    {"the store answers others as soon as ever", milliseconds(10), 1,
     milliseconds(1), milliseconds(5), milliseconds(100)},
    {"a store over a link", milliseconds(70), 1, milliseconds(1),
     milliseconds(65), milliseconds(280)},
    {"a store that is slow for all", milliseconds(10), 1, milliseconds(1),
     milliseconds(244), milliseconds(976)},
    {"appends are slow, reads are not", milliseconds(300), 1, milliseconds(1),
     milliseconds(5), milliseconds(1200)},
    {"many sendings are under way", milliseconds(10), 3, milliseconds(1),
     milliseconds(5), std::nullopt},
    {"nothing is under way", milliseconds(10), 0, milliseconds(1),
     milliseconds(5), std::nullopt},
};

// Guards against both ways to fail: waiting out the longest time-out for each
// lost answer, and asking a slow store ever more (bssp-sched, trouble-2).
BOOST_AUTO_TEST_CASE(only_a_store_that_answers_others_is_asked_again) {
  for (const DoubtCase& sample : kDoubtCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const AppendPace pace{
          .usual = sample.usual, .sendings = sample.sendings, .sent = kSent};
      const StoreAnswer newest{.began = kSent + sample.answer_began,
                               .took = sample.answer_took};
      if (!sample.again_after) {
        BOOST_TEST(!IsProbablyLost(pace, newest, kSent + milliseconds(5000)));
        continue;
      }
      const TimePoint again = kSent + *sample.again_after;
      BOOST_TEST(!IsProbablyLost(pace, newest, again - milliseconds(1)));
      BOOST_TEST(IsProbablyLost(pace, newest, again));
    }
  }
}

}  // namespace
}  // namespace chicorystep
