// Jobs whose start is rejected are shown as running and not counted as pending,
// though no task of theirs has begun.

#include "scene.h"

namespace review {
namespace {

constexpr int kJobs = 8;
// One of seven executors is unhealthy for this long; the site's limit is 6.5 s.
constexpr std::int64_t kUnhealthyMs = 6200;
constexpr std::int64_t kVisibleMs = 3000;
// How long clients ask for the count after the last submission.
constexpr std::int64_t kWatchMs = 20'000;

struct Job {
  std::string id;
  std::int64_t accepted = 0;
};

// Whether a task of the job had started by then.
bool HasBegun(const std::vector<Seen>& rows,
              const std::string& id,
              std::int64_t by) {
  for (const Seen& row : rows) {
    if (row.kind == Seen::Kind::kStart && row.at <= by &&
        row.task.rfind(id + ".", 0) == 0) {
      return true;
    }
  }
  return false;
}

bool Play(Scene& scene) {
  scene.Configure({{.name = "r-notice", .prefix = "/notice/"}});
  const Need room{.cpu = 32'000, .mem_mb = 131'072, .gpu = 8};
  const Need need{.cpu = 3700, .mem_mb = 15'000, .gpu = 1};
  const auto plan = [need](const std::string&) {
    return TaskPlan{.need = need, .work_ms = 2000, .cpu_in_use = need.cpu};
  };
  Worker& only = scene.AddWorker("i-00000001", "b", room, plan);
  for (int i = 2; i <= 7; ++i) {
    scene.AddWorker("i-0000000" + std::to_string(i), "a", room, plan);
  }
  scene.Start(2);
  if (HasTrouble()) {
    Note("the executor is unhealthy");
    only.unhealthy = true;
    std::thread([&only] {
      SleepMs(kUnhealthyMs);
      only.unhealthy = false;
      Note("the executor is healthy again");
    }).detach();
  }
  const std::int64_t begin = NowMs();
  std::vector<Job> jobs;
  for (int i = 0; i < kJobs; ++i) {
    Job job{.id = JobId(static_cast<unsigned>(i))};
    scene.Submit("/notice/" + job.id, Json{{"Spec", "notice"},
                                           {"Steps",
                                            {{{"Count", 1},
                                              {"Cpu", need.cpu},
                                              {"MemMb", need.mem_mb},
                                              {"Gpu", need.gpu},
                                              {"EstimateMs", 2000},
                                              {"Requires", "b"}}}}});
    job.accepted = NowMs();
    jobs.push_back(job);
  }
  int broken = 0;
  while (NowMs() < begin + kWatchMs) {
    for (std::size_t edge = 0; edge < scene.edges.size(); ++edge) {
      const std::int64_t asked = NowMs();
      const Reply reply = scene.Ask(edge, "GET", "/notice/");
      const std::int64_t answered = NowMs();
      const Json json = Json::parse(reply.body, nullptr, false);
      if (reply.status != 200 || !json.is_object()) {
        continue;
      }
      const auto pending = json.value("Pending", std::int64_t{0});
      std::int64_t not_begun = 0;
      const auto rows = TheSightings().All();
      for (const Job& job : jobs) {
        if (job.accepted + kVisibleMs + 2000 < asked &&
            !HasBegun(rows, job.id, answered)) {
          ++not_begun;
        }
      }
      if (2 * pending < not_begun) {
        ++broken;
        Note("MIXED: entry " + std::to_string(edge + 1) + " gives " +
             std::to_string(pending) + " as Pending, and " +
             std::to_string(not_begun) +
             " jobs that were accepted over 5 s before have not begun");
      }
    }
    SleepMs(250);
  }
  for (const Job& job : jobs) {
    (void)scene.State(0, "/notice/" + job.id);
  }
  Note(std::to_string(broken) + " answers break MIXED");
  return broken == 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
