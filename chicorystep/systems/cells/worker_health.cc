#include "chicorystep/systems/cells/worker_health.h"

#include <algorithm>
#include <chrono>

#include "chicorystep/core/logging.h"

namespace chicorystep {
namespace impl {

// Number of different jobs that must fail before a worker is excluded.
inline constexpr std::size_t kFailuresToExclude = 3;
inline constexpr Duration kFirstExclusion = std::chrono::seconds(30);
inline constexpr Duration kLongestExclusion = std::chrono::minutes(10);
// At most one worker in this many is excluded at a time.
inline constexpr std::size_t kMinWorkersPerExclusion = 4;

void ClearFailuresOf(Cell& cell, const Job& job) {
  for (Worker& worker : cell.workers.rows) {
    worker.failed_jobs.erase(job.spec.id);
    if (worker.failed_jobs.size() < kFailuresToExclude) {
      worker.excluded_until = TimePoint::min();
    }
  }
}

bool MayExclude(const Cell& cell, TimePoint now) {
  const auto excluded = static_cast<std::size_t>(std::count_if(
      cell.workers.rows.begin(), cell.workers.rows.end(),
      [&](const Worker& worker) { return now < worker.excluded_until; }));
  return (excluded + 1) * kMinWorkersPerExclusion <= cell.workers.size();
}

}  // namespace impl

void RecordFailure(Cell& cell, Worker& worker, const Job& job, TimePoint now) {
  if (job.failed_workers.size() >= kMaxFailedWorkers) {
    impl::ClearFailuresOf(cell, job);
    return;
  }
  worker.failed_jobs.insert(job.spec.id);
  if (worker.failed_jobs.size() < impl::kFailuresToExclude ||
      now < worker.excluded_until || !impl::MayExclude(cell, now)) {
    return;
  }
  worker.exclusion = std::clamp(worker.exclusion * 2, impl::kFirstExclusion,
                                impl::kLongestExclusion);
  worker.excluded_until = now + worker.exclusion;
  Log(LogLevel::kWarn, "worker_excluded",
      {{"worker", worker.listed.id.value},
       {"failed_jobs", worker.failed_jobs.size()},
       {"seconds",
        std::chrono::duration_cast<std::chrono::seconds>(worker.exclusion)
            .count()}});
}

void RecordSuccess(Worker& worker) {
  worker.failed_jobs.clear();
  worker.exclusion = Duration{};
  worker.excluded_until = TimePoint::min();
}

bool IsUsable(const Worker& worker, TimePoint now) noexcept {
  if (worker.excluded_until == TimePoint::min()) {
    return true;
  }
  return now >= worker.excluded_until && worker.pieces.empty();
}

}  // namespace chicorystep
