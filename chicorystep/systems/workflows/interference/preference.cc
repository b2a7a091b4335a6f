#include "chicorystep/systems/workflows/interference/preference.h"

#include <algorithm>
#include <cmath>

namespace chicorystep {
namespace {

double SpeedBeside(const Interference& interference,
                   KindNumber slowed,
                   KindNumber by) {
  const auto found =
      interference.judged.find(KindPair{.slowed = slowed, .by = by});
  return found == interference.judged.end() ? 1.0 : found->second.speed;
}

}  // namespace

bool IsInJudgedPair(const Interference& interference, KindNumber kind) {
  return std::any_of(interference.judged.begin(), interference.judged.end(),
                     [&](const auto& row) {
                       return row.first.slowed == kind || row.first.by == kind;
                     });
}

int Disturbance(const Interference& interference,
                KindNumber kind,
                const std::vector<KindNumber>& others) {
  double lost = 0;
  for (const KindNumber other : others) {
    lost += 1.0 - SpeedBeside(interference, kind, other);
    lost += 1.0 - SpeedBeside(interference, other, kind);
  }
  return static_cast<int>(std::lround(lost * 100));
}

double ExpectedSpeed(const Interference& interference,
                     KindNumber kind,
                     const std::vector<KindNumber>& others) {
  double speed = 1.0;
  for (const KindNumber other : others) {
    speed = std::min(speed, SpeedBeside(interference, kind, other));
  }
  return speed;
}

}  // namespace chicorystep
