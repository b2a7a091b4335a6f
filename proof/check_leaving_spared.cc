// Checks that a target receives no new work once it has been listed as leaving
// for longer than the bound.

#include <fmt/format.h>

#include "proof/check.h"

namespace chicorystep::proof {

Verdict CheckLeavingSpared(const History& history, const Bounds& bounds) {
  Verdict verdict;
  const TimePoint end = LastEventTime(history);
  for (const TargetLeaving& leaving : history.leaving) {
    const TimePoint due = leaving.at + bounds.leaving;
    if (end < due) {
      continue;
    }
    ++verdict.examined;
    for (const WorkReceived& event : history.work_received) {
      if (event.target == leaving.target && event.at > due) {
        verdict.violations.push_back(fmt::format(
            "{} received new work {} ms after it was listed as leaving",
            leaving.target.value, Milliseconds(event.at - leaving.at)));
      }
    }
  }
  return verdict;
}

}  // namespace chicorystep::proof
