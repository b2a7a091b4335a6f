#ifndef PROOF_CHECK_H_
#define PROOF_CHECK_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "proof/history.h"

namespace chicorystep::proof {

// Time limits that the checkers allow for each promise.
struct Bounds {
  // From the acceptance of a guaranteed gang until all its pieces run. Covers
  // the grace period of the preempted jobs and the time to start the gang.
  Duration reclaim = std::chrono::seconds(8);
  // How long only some pieces of a gang may run.
  Duration partial_gang = std::chrono::seconds(6);
  // From the time an executor or a worker is listed as leaving until the last
  // new work that it may receive.
  Duration leaving = std::chrono::seconds(5);
  // From the acceptance of an edit until it is in force at every entry.
  Duration in_force = std::chrono::seconds(4);
};

// A property that every history must satisfy.
enum class Promise : std::uint8_t {
  // A guaranteed gang starts within the bound.
  kGuaranteeReclaimed,
  // No gang runs partially for longer than the bound.
  kGangWhole,
  // Every call ends, and each answer is complete and belongs to its request.
  kAnswerWhole,
  // A call that is refused as not run caused no execution.
  kNotRunTrue,
  // A non-idempotent request runs at most once.
  kAtMostOnce,
  // A target listed as leaving receives no new work after the bound.
  kLeavingSpared,
  // A planned stop ends the process cleanly and cuts off no call.
  kStopGraceful,
  // An accepted edit comes into force at every entry and stays in force.
  kEditInForce,
};

}  // namespace chicorystep::proof

namespace chicorystep {
template <>
inline constexpr std::array kEnumNames<proof::Promise> = {
    std::string_view("guarantee_reclaimed"), std::string_view("gang_whole"),
    std::string_view("answer_whole"),        std::string_view("not_run_true"),
    std::string_view("at_most_once"),        std::string_view("leaving_spared"),
    std::string_view("stop_graceful"),       std::string_view("edit_in_force"),
};
}  // namespace chicorystep

namespace chicorystep::proof {

struct Verdict {
  // The number of cases in the history that the promise applies to. A history
  // with none shows nothing about the promise.
  std::size_t examined = 0;
  std::vector<std::string> violations;
};

// One checker for each promise. Checkers are pure functions of the history.
[[nodiscard]] Verdict CheckGuaranteeReclaimed(const History& history,
                                              const Bounds& bounds);
[[nodiscard]] Verdict CheckGangWhole(const History& history,
                                     const Bounds& bounds);
[[nodiscard]] Verdict CheckAnswerWhole(const History& history,
                                       const Bounds& bounds);
[[nodiscard]] Verdict CheckNotRunTrue(const History& history,
                                      const Bounds& bounds);
[[nodiscard]] Verdict CheckAtMostOnce(const History& history,
                                      const Bounds& bounds);
[[nodiscard]] Verdict CheckLeavingSpared(const History& history,
                                         const Bounds& bounds);
[[nodiscard]] Verdict CheckStopGraceful(const History& history,
                                        const Bounds& bounds);
[[nodiscard]] Verdict CheckEditInForce(const History& history,
                                       const Bounds& bounds);

struct Checker {
  Promise promise;
  Verdict (*check)(const History&, const Bounds&);
};

inline constexpr std::array kCheckers = {
    Checker{Promise::kGuaranteeReclaimed, &CheckGuaranteeReclaimed},
    Checker{Promise::kGangWhole, &CheckGangWhole},
    Checker{Promise::kAnswerWhole, &CheckAnswerWhole},
    Checker{Promise::kNotRunTrue, &CheckNotRunTrue},
    Checker{Promise::kAtMostOnce, &CheckAtMostOnce},
    Checker{Promise::kLeavingSpared, &CheckLeavingSpared},
    Checker{Promise::kStopGraceful, &CheckStopGraceful},
    Checker{Promise::kEditInForce, &CheckEditInForce},
};

}  // namespace chicorystep::proof

#endif  // PROOF_CHECK_H_
