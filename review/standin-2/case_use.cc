// A job whose task uses a quarter of the processors that it requests is stopped
// and started again without end.

#include "scene.h"

namespace review {
namespace {

constexpr std::int64_t kWorkMs = 10'000;
constexpr std::int64_t kFinishMs = 14'000;
constexpr std::int64_t kWatchMs = 60'000;
constexpr std::int64_t kStandstillMs = 3000;

bool Play(Scene& scene) {
  scene.Configure({{.name = "r-review", .prefix = "/review/", .priority = 0}});
  const Need room{.cpu = 32'000, .mem_mb = 131'072, .gpu = 8};
  const Need need{.cpu = 4000, .mem_mb = 15'000, .gpu = 1};
  const bool trouble = HasTrouble();
  const auto plan = [need, trouble](const std::string&) {
    return TaskPlan{.need = need,
                    .work_ms = kWorkMs,
                    .cpu_in_use = trouble ? need.cpu / 4 : need.cpu};
  };
  scene.AddWorker("i-00000001", "b", room, plan);
  for (int i = 2; i <= 6; ++i) {
    scene.AddWorker("i-0000000" + std::to_string(i), "a", room, plan);
  }
  scene.Start(2);
  const std::string path = "/review/" + JobId(1);
  scene.Submit(path, Json{{"Spec", "drawing 4"},
                          {"Steps",
                           {{{"Count", 1},
                             {"Cpu", need.cpu},
                             {"MemMb", need.mem_mb},
                             {"Gpu", need.gpu},
                             {"EstimateMs", kWorkMs},
                             {"Requires", "b"}}}}});
  const std::int64_t traffic_end = NowMs();
  std::string state;
  while (NowMs() < traffic_end + kWatchMs &&
         (state = scene.State(0, path)) != "succeeded") {
    SleepMs(1000);
  }
  // The job is alone, so there is capacity for it many times over.
  int broken = 0;
  std::int64_t idle_since = traffic_end;
  const auto check = [&](std::int64_t until) {
    const std::int64_t from = std::max(idle_since, traffic_end + kFinishMs);
    if (until - from >= kStandstillMs) {
      ++broken;
      Note("LOST: the job has nothing running from " + std::to_string(from) +
           " to " + std::to_string(until) + " ms");
    }
  };
  for (const Seen& row : TheSightings().All()) {
    if (row.kind == Seen::Kind::kStart) {
      check(row.at);
    } else if (row.kind == Seen::Kind::kEnd) {
      idle_since = row.at;
    }
  }
  if (state != "succeeded") {
    Note("the job is still shown as " + state + " after " +
         std::to_string(NowMs() - traffic_end) + " ms");
  }
  return broken == 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
