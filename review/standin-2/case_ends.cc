// More than 500 ends on one executor: it lists 500 at a time, and the runs of
// the others are in neither list.

#include "checks.h"
#include "scene.h"

namespace review {
namespace {

constexpr int kTasks = 620;
constexpr std::int64_t kWorkMs = 6000;
// The executor is cut off from all machines before its first task ends.
constexpr std::int64_t kCutAfterMs = 5200;
constexpr std::int64_t kCutMs = 3500;

bool Play(Scene& scene) {
  scene.Configure({{.name = "r-small", .prefix = "/small/"}});
  const Need room{.cpu = 32'000, .mem_mb = 131'072, .gpu = 8};
  const Need need{.cpu = 50, .mem_mb = 64};
  const auto plan = [need](const std::string&) {
    return TaskPlan{.need = need, .work_ms = kWorkMs, .cpu_in_use = need.cpu};
  };
  Worker& busy = scene.AddWorker("i-00000001", "b", room, plan);
  for (int i = 2; i <= 6; ++i) {
    scene.AddWorker("i-0000000" + std::to_string(i), "a", room, plan);
  }
  scene.Start(2);
  const std::string path = "/small/" + JobId(1);
  scene.Submit(path, Json{{"Spec", "case 17"},
                          {"Steps",
                           {{{"Count", kTasks},
                             {"Cpu", need.cpu},
                             {"MemMb", need.mem_mb},
                             {"EstimateMs", kWorkMs},
                             {"Requires", "b"}}}}});
  const std::int64_t begin = NowMs();
  while (busy.RunningCount() == 0 && NowMs() < begin + 10'000) {
    SleepMs(2);
  }
  SleepMs(kCutAfterMs);
  Note(std::to_string(busy.RunningCount()) + " tasks run");
  if (busy.RunningCount() != kTasks) {
    throw std::runtime_error("not all tasks have begun");
  }
  if (HasTrouble()) {
    Note("the executor is cut off");
    busy.server.cut = true;
    SleepMs(kCutMs);
    busy.server.cut = false;
    Note("the executor is reached again");
  }
  const std::int64_t until = NowMs() + 40'000;
  while (scene.State(0, path) != "succeeded") {
    if (NowMs() > until) {
      throw std::runtime_error("the job does not end");
    }
    SleepMs(1000);
  }
  SleepMs(2000);
  const int broken = CountTwice(TheSightings().All());
  Note(std::to_string(broken) + " starts break TWICE");
  return broken == 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
