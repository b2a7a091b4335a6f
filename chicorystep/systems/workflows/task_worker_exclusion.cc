#include "chicorystep/systems/workflows/task_worker_exclusion.h"

#include <algorithm>
#include <cstddef>

#include "chicorystep/core/logging.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// A worker is excluded from placement for this long after it has rejected a
// start, doubled with each further failure.
constexpr Duration kMinExclusion = milliseconds(500);
constexpr Duration kMaxExclusion = milliseconds(8000);
// The first exclusion after a failed run is twice this. Faulty workers stay
// faulty for some seconds, and a second failure may be the last that a workflow
// is allowed.
constexpr Duration kFailureExclusion = milliseconds(1500);
// No worker is excluded for running slowly once one in this many is excluded.
constexpr std::size_t kWorkersPerExclusion = 3;

}  // namespace

void ExcludeWorker(TaskWorker& worker, std::string_view why, TimePoint now) {
  worker.exclusion =
      std::clamp(worker.exclusion * 2, kMinExclusion, kMaxExclusion);
  worker.excluded_until = now + worker.exclusion;
  Log(LogLevel::kInfo, "worker_excluded",
      {{"worker", worker.listing.id.value},
       {"why", why},
       {"for_ms", WholeMillis(worker.exclusion)}});
}

void ExcludeFaultyWorker(TaskWorker& worker,
                         std::string_view why,
                         TimePoint now) {
  worker.exclusion = std::max(worker.exclusion, kFailureExclusion);
  ExcludeWorker(worker, why, now);
}

bool MayExcludeAnother(const WorkflowWorld& world, TimePoint now) {
  const auto& rows = world.scheduling.workers.rows;
  const auto excluded = std::count_if(
      rows.begin(), rows.end(),
      [&](const TaskWorker& worker) { return worker.excluded_until > now; });
  return static_cast<std::size_t>(excluded) * kWorkersPerExclusion <
         rows.size();
}

}  // namespace chicorystep
