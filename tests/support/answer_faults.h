#ifndef TESTS_SUPPORT_ANSWER_FAULTS_H_
#define TESTS_SUPPORT_ANSWER_FAULTS_H_

#include <cstdint>
#include <random>
#include <vector>

namespace chicorystep::testing {

// The ways in which a call to the store or an order to a worker may end.
enum class AnswerEnd : std::uint8_t {
  kAnswered,
  // Not carried out.
  kRejected,
  kRateLimited,
  kSilent,
  kClosed,
  // Carried out, but the connection never answers or ends.
  kDoneSilent,
  kDoneClosed,
  // The connection ends, and the call is carried out seconds later.
  kLateClosed,
  // The connection stays open, and the process that received the call carries
  // it out seconds later.
  kLateSilent,
};

inline const std::vector<AnswerEnd> kAllAnswerEnds = {
    AnswerEnd::kAnswered,   AnswerEnd::kRejected,  AnswerEnd::kRateLimited,
    AnswerEnd::kSilent,     AnswerEnd::kClosed,    AnswerEnd::kDoneSilent,
    AnswerEnd::kDoneClosed, AnswerEnd::kLateClosed};

// A peer that carries a call out, ends its connection and rejects the repeat.
inline const std::vector<AnswerEnd> kDoneThenRejected = {AnswerEnd::kDoneClosed,
                                                         AnswerEnd::kRejected};

// How many calls per 1000 end in one of `ends`.
struct AnswerFaults {
  int per_thousand = 0;
  std::vector<AnswerEnd> ends;
};

inline AnswerEnd DrawAnswerEnd(const AnswerFaults& faults,
                               std::minstd_rand& random) {
  if (faults.per_thousand == 0 ||
      static_cast<int>(random() % 1000) >= faults.per_thousand) {
    return AnswerEnd::kAnswered;
  }
  return faults.ends[random() % faults.ends.size()];
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_ANSWER_FAULTS_H_
