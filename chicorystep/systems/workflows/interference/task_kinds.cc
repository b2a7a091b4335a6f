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

// Removes the kind whose newest share is the oldest.
void DropOldestKind(Interference& interference) {
  const auto oldest = std::min_element(
      interference.kinds.rows.begin(), interference.kinds.rows.end(),
      [](const KindRow& a, const KindRow& b) {
        return a.uses.back().at < b.uses.back().at;
      });
  const auto position =
      static_cast<std::size_t>(oldest - interference.kinds.rows.begin());
  const TaskKind kind = interference.kinds.keys[position];
  interference.kinds.erase(kind);
}

}  // namespace

TaskKind KindOf(const Workflow& workflow, StepIndex step) {
  const StepSpec& spec = workflow.spec.steps[step.value];
  if (!spec.program.empty()) {
    return TaskKind("program " + spec.program);
  }
  return TaskKind(fmt::format("{} {} {}/{}/{}", workflow.terms.route.value,
                              step.value, spec.need.processors.value,
                              spec.need.memory.value,
                              spec.need.accelerators.value));
}

void RecordUse(Interference& interference,
               const TaskKind& kind,
               const WorkerId& worker,
               double use,
               TimePoint now) {
  KindRow* row = interference.kinds.find(kind);
  if (row == nullptr) {
    if (interference.kinds.size() >= kMaxKinds) {
      DropOldestKind(interference);
    }
    row = &interference.kinds.insert(kind, KindRow{});
  }
  std::erase_if(row->uses,
                [&](const KindUse& known) { return known.worker == worker; });
  if (row->uses.size() >= kMaxUses) {
    row->uses.erase(row->uses.begin());
  }
  row->uses.push_back(KindUse{.worker = worker, .use = use, .at = now});
}

std::optional<double> UsualUse(const Interference& interference,
                               const TaskKind& kind,
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
