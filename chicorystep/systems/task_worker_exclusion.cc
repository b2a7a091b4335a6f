#include "chicorystep/systems/task_worker_exclusion.h"

#include <algorithm>
#include <cstddef>

#include "chicorystep/core/logging.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// Nothing is placed on a worker for this long after it has rejected a start,
// doubled with each further failure.
constexpr Duration kFirstExclusion = milliseconds(500);
constexpr Duration kLongestExclusion = milliseconds(8000);
// The first exclusion after a failed run is twice this: faulty workers were
// seen to stay so for some seconds, and a second failure may be the last that
// a workflow is allowed.
constexpr Duration kFailureExclusion = milliseconds(1500);
// At most one worker in this many is left out for going slowly.
constexpr std::size_t kMostExcludedShare = 3;

}  // namespace

void ExcludeWorker(TaskWorker& worker, std::string_view why, TimePoint now) {
  worker.exclusion =
      std::clamp(worker.exclusion * 2, kFirstExclusion, kLongestExclusion);
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

bool MayExcludeMore(const WorkflowWorld& world, TimePoint now) {
  const auto& rows = world.scheduling.workers.rows;
  const auto excluded = std::count_if(
      rows.begin(), rows.end(),
      [&](const TaskWorker& worker) { return worker.excluded_until > now; });
  return static_cast<std::size_t>(excluded) * kMostExcludedShare < rows.size();
}

}  // namespace chicorystep
