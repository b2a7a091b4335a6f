// The members of a gang on a distant executor are started eight at a time, so
// that a wide gang is never complete in time.

#include "scene.h"

namespace review {
namespace {

constexpr std::size_t kMembers = 480;
constexpr std::int64_t kWorkMs = 2000;
// One way between two regions.
constexpr int kOneWayMs = 30;
constexpr std::int64_t kWatchMs = 40'000;

bool Play(Scene& scene) {
  scene.Configure({{.name = "r-review", .prefix = "/review/"}});
  const Need room{.cpu = 32'000, .mem_mb = 131'072, .gpu = 8};
  const Need need{.cpu = 50, .mem_mb = 64};
  const auto plan = [need](const std::string&) {
    return TaskPlan{.need = need,
                    .work_ms = kWorkMs,
                    .cpu_in_use = need.cpu,
                    .gang_size = kMembers};
  };
  Worker& distant = scene.AddWorker("i-00000001", "b", room, plan);
  if (HasTrouble()) {
    distant.server.one_way_ms = kOneWayMs;
  }
  scene.Start(2);
  const std::string path = "/review/" + JobId(1);
  scene.Submit(path, Json{{"Spec", "drawing 4"},
                          {"Steps",
                           {{{"Count", kMembers},
                             {"Cpu", need.cpu},
                             {"MemMb", need.mem_mb},
                             {"EstimateMs", kWorkMs},
                             {"Gang", true}}}}});
  const std::int64_t begin = NowMs();
  std::string state;
  while (NowMs() < begin + kWatchMs &&
         (state = scene.State(0, path)) != "succeeded") {
    SleepMs(500);
  }
  int alone = 0;
  for (const Seen& row : TheSightings().All()) {
    alone += row.how == "alone" && row.kind == Seen::Kind::kEnd ? 1 : 0;
  }
  Note("GANG: " + std::to_string(alone) + " runs ended alone; the job is " +
       state);
  return alone == 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
