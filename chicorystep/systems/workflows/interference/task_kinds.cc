#include "chicorystep/systems/workflows/interference/task_kinds.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace chicorystep {
namespace {

// Shares older than this say nothing of how tasks of the kind behave now.
constexpr Duration kMaxUseAge = std::chrono::seconds(30);
// Workers for which the share of one kind is kept, and kinds that are kept.
constexpr std::size_t kMaxUses = 16;
constexpr std::size_t kMaxKinds = 256;

TaskKind NameKind(const Workflow& workflow, StepIndex step) {
  const StepSpec& spec = workflow.spec.steps[step.value];
  if (!spec.program.empty()) {
    return TaskKind("program " + spec.program);
  }
  return TaskKind(fmt::format("{} {} {}/{}/{}", workflow.terms.route.value,
                              step.value, spec.need.processors.value,
                              spec.need.memory.value,
                              spec.need.accelerators.value));
}

void DropOldestKind(Interference& interference) {
  const auto oldest = std::min_element(
      interference.kinds.rows.begin(), interference.kinds.rows.end(),
      [](const KindRow& a, const KindRow& b) { return a.newest < b.newest; });
  interference.numbers.erase(oldest->name);
  const auto position =
      static_cast<std::size_t>(oldest - interference.kinds.rows.begin());
  const KindNumber number = interference.kinds.keys[position];
  interference.kinds.erase(number);
}

}  // namespace

KindNumber ResolveKind(Interference& interference,
                       const Workflow& workflow,
                       StepRun& run,
                       TimePoint now) {
  if (KindRow* known = interference.kinds.find(run.kind)) {
    known->newest = now;
    return run.kind;
  }
  const TaskKind name = NameKind(workflow, run.step);
  if (const auto found = interference.numbers.find(name);
      found != interference.numbers.end()) {
    run.kind = found->second;
    interference.kinds.find(run.kind)->newest = now;
    return run.kind;
  }
  if (interference.kinds.size() >= kMaxKinds) {
    DropOldestKind(interference);
  }
  run.kind = KindNumber(++interference.last_number.value);
  interference.numbers.emplace(name, run.kind);
  interference.kinds.insert(run.kind, KindRow{.name = name, .newest = now});
  return run.kind;
}

void RecordUse(Interference& interference,
               KindNumber kind,
               const WorkerId& worker,
               double use,
               TimePoint now) {
  KindRow* row = interference.kinds.find(kind);
  if (row == nullptr) {
    return;
  }
  std::erase_if(row->uses,
                [&](const KindUse& known) { return known.worker == worker; });
  if (row->uses.size() >= kMaxUses) {
    row->uses.erase(row->uses.begin());
  }
  row->uses.push_back(KindUse{.worker = worker, .use = use, .at = now});
}

std::optional<double> UsualUse(const Interference& interference,
                               KindNumber kind,
                               const WorkerId& worker,
                               TimePoint now) {
  const KindRow* row = interference.kinds.find(kind);
  if (row == nullptr) {
    return std::nullopt;
  }
  std::vector<double> others;
  for (const KindUse& known : row->uses) {
    if (known.worker != worker && now - known.at <= kMaxUseAge) {
      others.push_back(known.use);
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  const auto middle =
      others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return *middle;
}

}  // namespace chicorystep
