#include "chicorystep/systems/workflows/interference/judgement.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "chicorystep/core/logging.h"

namespace chicorystep {
namespace {

using std::chrono::seconds;

// One kind is judged each time, so that no tick takes long.
constexpr Duration kJudgementPeriod = std::chrono::milliseconds(100);
// A run weighs half after this time, and is dropped after four times as long.
constexpr Duration kHalfLife = seconds(60);
constexpr Duration kMaxSampleAge = 4 * kHalfLife;
// A pair of which no run has shown anything for this long is dropped.
constexpr Duration kMaxUnconfirmed = seconds(120);
// A run that has not been reported for this long is not observed any more.
constexpr Duration kMaxReportGap = seconds(10);
// The newest runs of one worker that count on each side, so that one slow
// worker, where every kind is slow, cannot decide.
constexpr std::size_t kMaxRunsOfWorker = 3;
// Values of a side are taken to spread at least this much, as logarithms: the
// reports are rough, and tasks of one kind on sound workers show use between
// 0.65 and 1 of the most.
constexpr double kMinSpread = 0.15;
// The ratio of the standard deviation to the median deviation, and that of the
// standard error of the median to that of the mean, of evenly spread values.
constexpr double kDeviationToSpread = 1.15;
constexpr double kMedianError = 1.75;
// Pairs whose mean beside the other kind is above this, as a logarithm relative
// to that without it, are not examined further.
constexpr double kMaxMeanGain = -0.08;
// A lower share of the requested processors counts as this.
constexpr double kMinUse = 0.01;

// What it takes to judge a pair by one measure, and to keep it judged.
struct Bounds {
  // Runs on each side, weighted by age, and the workers that they must come
  // from.
  double min_runs;
  std::size_t min_workers;
  // The newest runs of one workflow that count on each side.
  std::size_t max_runs_of_workflow;
  // The highest speed beside the other kind, relative to the runs without it,
  // and the lowest difference in standard errors.
  double max_speed;
  double min_errors;
};
// A load has hundreds of pairs, and each is judged again and again, so a pair
// is judged only on a difference that chance hardly ever makes.
constexpr Bounds kJudgeByUse = {8, 4, 128, 0.85, 5};
constexpr Bounds kKeepByUse = {3, 2, 128, 0.92, 2.5};
// Run times are compared with rough estimates, which all tasks of a workflow
// share.
constexpr Bounds kJudgeByPace = {12, 4, 2, 0.75, 5};
constexpr Bounds kKeepByPace = {6, 3, 2, 0.85, 2.5};

struct WeightedValue {
  double value;
  double weight;
};

// The runs of one side, either beside the other kind or without it.
struct Side {
  std::vector<WeightedValue> values;
  double weight = 0;
  std::map<WorkerId, std::size_t> workers;
  std::map<WorkflowId, std::size_t> workflows;
};

// What one run shows of itself beside another kind and without it, as
// logarithms.
struct Contrast {
  std::optional<double> beside;
  std::optional<double> without;
};
using Measure = Contrast (*)(const RunSample& sample, KindNumber by);

Neighbour FindNeighbour(const RunSample& sample, KindNumber kind) {
  const auto found =
      std::find_if(sample.beside.begin(), sample.beside.end(),
                   [&](const Neighbour& row) { return row.kind == kind; });
  return found == sample.beside.end() ? Neighbour{} : *found;
}

// Neighbours come and go during a run, so it may count on both sides.
Contrast MeasureUse(const RunSample& sample, KindNumber by) {
  const MeasuredUse beside = FindNeighbour(sample, by).use;
  const std::uint32_t rest = sample.use.reports - beside.reports;
  Contrast contrast;
  if (beside.reports > 0) {
    contrast.beside = std::log(std::max(kMinUse, beside.sum / beside.reports));
  }
  if (rest > 0) {
    contrast.without =
        std::log(std::max(kMinUse, (sample.use.sum - beside.sum) / rest));
  }
  return contrast;
}

// A run counts as beside a kind if it began there. Longer runs meet more
// neighbours later on, whether these slow them down or not.
Contrast MeasurePace(const RunSample& sample, KindNumber by) {
  Contrast contrast;
  if (sample.pace && *sample.pace > 0) {
    (FindNeighbour(sample, by).from_begin ? contrast.beside
                                          : contrast.without) =
        std::log(*sample.pace);
  }
  return contrast;
}

double AgedWeight(const RunSample& sample, TimePoint now) {
  return std::exp2(-static_cast<double>((now - sample.at).count()) /
                   static_cast<double>(kHalfLife.count()));
}

void AddRun(Side& side,
            const RunSample& sample,
            double value,
            const Bounds& bounds,
            TimePoint now) {
  std::size_t& of_worker = side.workers[sample.worker];
  std::size_t& of_workflow = side.workflows[sample.workflow];
  if (of_worker >= kMaxRunsOfWorker ||
      of_workflow >= bounds.max_runs_of_workflow) {
    return;
  }
  ++of_worker;
  ++of_workflow;
  const double weight = AgedWeight(sample, now);
  side.values.push_back({value, weight});
  side.weight += weight;
}

// Returns the value below which `part` of the weight lies.
double Quantile(Side& side, double part) {
  std::sort(side.values.begin(), side.values.end(),
            [](const WeightedValue& a, const WeightedValue& b) {
              return a.value < b.value;
            });
  double below = 0;
  for (const WeightedValue& row : side.values) {
    below += row.weight;
    if (below >= part * side.weight) {
      return row.value;
    }
  }
  return side.values.back().value;
}

// The square of the standard error of a side's median, from the median
// deviation, which single slow workers do not change.
double ErrorSquared(const Side& side, double median) {
  Side deviations{.weight = side.weight};
  for (const WeightedValue& row : side.values) {
    deviations.values.push_back({std::abs(row.value - median), row.weight});
  }
  const double spread =
      std::max(kMinSpread, kDeviationToSpread * Quantile(deviations, 0.5));
  return kMedianError * kMedianError * spread * spread / side.weight;
}

bool HasEnough(const Side& side, const Bounds& bounds) {
  return side.weight >= bounds.min_runs &&
         side.workers.size() >= bounds.min_workers;
}

// How fast tasks of a kind are beside another relative to those without it.
struct Comparison {
  // There are enough runs on both sides to tell.
  bool tells = false;
  // They are clearly slower there on most workers.
  bool slower = false;
  double speed = 1.0;
  double evidence = 0;
};

Comparison Compare(const KindRow& row,
                   KindNumber by,
                   Measure measure,
                   const Bounds& bounds,
                   TimePoint now) {
  Side beside;
  Side without;
  for (auto sample = row.samples.rbegin(); sample != row.samples.rend();
       ++sample) {
    const Contrast contrast = measure(*sample, by);
    if (contrast.beside) {
      AddRun(beside, *sample, *contrast.beside, bounds, now);
    }
    if (contrast.without) {
      AddRun(without, *sample, *contrast.without, bounds, now);
    }
  }
  if (!HasEnough(beside, bounds) || !HasEnough(without, bounds)) {
    return {};
  }
  const double slowed = Quantile(beside, 0.5);
  const double usual = Quantile(without, 0.5);
  const double errors =
      (usual - slowed) /
      std::sqrt(ErrorSquared(beside, slowed) + ErrorSquared(without, usual));
  const double speed = std::exp(slowed - usual);
  return Comparison{.tells = true,
                    .slower = speed <= bounds.max_speed &&
                              errors >= bounds.min_errors &&
                              Quantile(beside, 0.75) < usual,
                    .speed = speed,
                    .evidence = beside.weight};
}

// Whether the plain means of the runs leave it open that the pair may be
// judged. Rules out most pairs at little cost.
bool MayBeSlower(const KindRow& row, KindNumber by, Measure measure) {
  double beside = 0;
  double without = 0;
  int beside_runs = 0;
  int without_runs = 0;
  for (const RunSample& sample : row.samples) {
    const Contrast contrast = measure(sample, by);
    beside += contrast.beside.value_or(0);
    beside_runs += contrast.beside ? 1 : 0;
    without += contrast.without.value_or(0);
    without_runs += contrast.without ? 1 : 0;
  }
  return beside_runs > 0 && without_runs > 0 &&
         beside / beside_runs < without / without_runs + kMaxMeanGain;
}

Comparison Judge(const KindRow& row,
                 KindNumber by,
                 bool judged,
                 TimePoint now) {
  const Comparison by_use =
      Compare(row, by, MeasureUse, judged ? kKeepByUse : kJudgeByUse, now);
  if (by_use.slower) {
    return by_use;
  }
  const Comparison by_pace =
      Compare(row, by, MeasurePace, judged ? kKeepByPace : kJudgeByPace, now);
  return by_pace.slower ? by_pace : by_use;
}

// The kinds that have been beside enough runs to be judged.
std::vector<KindNumber> ListNeighbours(const KindRow& row) {
  std::map<KindNumber, std::uint32_t> runs;
  for (const RunSample& sample : row.samples) {
    for (const Neighbour& neighbour : sample.beside) {
      ++runs[neighbour.kind];
    }
  }
  std::vector<KindNumber> neighbours;
  for (const auto& [kind, count] : runs) {
    if (count >= kJudgeByUse.min_runs) {
      neighbours.push_back(kind);
    }
  }
  return neighbours;
}

void JudgeKind(Interference& interference,
               KindNumber number,
               KindRow& row,
               TimePoint now) {
  for (const KindNumber by : ListNeighbours(row)) {
    const KindRow* other = interference.kinds.find(by);
    const KindPair pair{.slowed = number, .by = by};
    if (other == nullptr || interference.judged.contains(pair)) {
      continue;
    }
    if (!MayBeSlower(row, by, MeasureUse) &&
        !MayBeSlower(row, by, MeasurePace)) {
      continue;
    }
    if (const Comparison found = Judge(row, by, false, now); found.slower) {
      interference.judged[pair] = JudgedPair{.slowed = row.name,
                                             .by = other->name,
                                             .speed = found.speed,
                                             .evidence = found.evidence,
                                             .since = now,
                                             .confirmed = now};
      Log(LogLevel::kInfo, "interference_judged",
          {{"slowed", row.name.value},
           {"by", other->name.value},
           {"speed", found.speed},
           {"evidence_runs", found.evidence}});
    }
  }
}

// Updates the judged pairs, and drops those that the evidence no longer shows.
void ReviewJudged(Interference& interference, TimePoint now) {
  for (auto judged = interference.judged.begin();
       judged != interference.judged.end();) {
    auto& [pair, row] = *judged;
    const KindRow* slowed = interference.kinds.find(pair.slowed);
    const Comparison found =
        slowed == nullptr ? Comparison{} : Judge(*slowed, pair.by, true, now);
    if (found.slower) {
      row.speed = found.speed;
      row.evidence = found.evidence;
      row.confirmed = now;
    }
    // Tasks that are kept apart show nothing new of each other.
    if (found.slower ||
        (!found.tells && now - row.confirmed <= kMaxUnconfirmed)) {
      ++judged;
      continue;
    }
    Log(LogLevel::kInfo, "interference_aged_out",
        {{"slowed", row.slowed.value},
         {"by", row.by.value},
         {"judged_ms", WholeMillis(now - row.since)}});
    judged = interference.judged.erase(judged);
  }
}

}  // namespace

void JudgePairs(Interference& interference, TimePoint now) {
  if (now < interference.next_judgement) {
    return;
  }
  interference.next_judgement = now + kJudgementPeriod;
  std::erase_if(interference.observed, [&](const auto& row) {
    return now - row.second.newest > kMaxReportGap;
  });
  for (KindRow& row : interference.kinds.rows) {
    while (!row.samples.empty() &&
           now - row.samples.front().at > kMaxSampleAge) {
      row.samples.pop_front();
    }
  }
  ReviewJudged(interference, now);
  // Begins with another kind each time, so that each gets its turn.
  const std::size_t kinds = interference.kinds.size();
  const auto turn =
      static_cast<std::size_t>(now.time_since_epoch() / kJudgementPeriod);
  for (std::size_t i = 0; i < kinds; ++i) {
    const std::size_t position = (turn + i) % kinds;
    KindRow& row = interference.kinds.rows[position];
    if (row.changed) {
      row.changed = false;
      JudgeKind(interference, interference.kinds.keys[position], row, now);
      break;
    }
  }
}

}  // namespace chicorystep
