// A hold that is carried out late reaches the executor's next life. Its cursor,
// which counts ends of the previous life, removes ends that the holder has not
// seen, and their tasks are started again.

#include <string>

#include "review/standin/scene.h"

namespace review {
namespace {

constexpr int kExecutors = 48;
// 6 of 48 crash, within the largest share of the site file, 0.14.
constexpr int kCrashing = 6;
constexpr int kTasks = 240;
constexpr milliseconds kDownTime(300);
// Orders are carried out 2 to 12 s late.
constexpr milliseconds kLate(3500);
// The largest share of orders in the site file that are carried out late, and
// for how long.
constexpr double kLateShare = 0.055;
constexpr milliseconds kLateTime(5500);

// Six executors leave a hold unanswered and crash. The hold is carried out
// later by whatever life of the executor is there then.
void CrashBusiest(Scene& scene) {
  std::vector<Executor*> busiest;
  for (Executor& executor : scene.executors) {
    if (executor.latency > milliseconds(0)) {
      busiest.push_back(&executor);
    }
  }
  std::stable_sort(busiest.begin(), busiest.end(),
                   [](const Executor* a, const Executor* b) {
                     return a->running.size() > b->running.size();
                   });
  busiest.resize(kCrashing);
  for (Executor* executor : busiest) {
    // The next hold of each is carried out late; the process ends after it.
    auto left = std::make_shared<int>(1);
    executor->delays_hold = [&scene, executor, left] {
      if ((*left)-- <= 0) {
        return milliseconds(0);
      }
      scene.After(milliseconds(50), [&scene, executor] {
        scene.Write(executor->id + " crashes");
        executor->Crash();
      });
      scene.After(milliseconds(50) + kDownTime, [&scene, executor] {
        executor->Begin();
        executor->Register();
        scene.Write(executor->id + " starts again");
      });
      return kLate;
    };
  }
}

int Play(Scene& scene) {
  for (int i = 0; i < kExecutors; ++i) {
    Executor& executor = scene.AddExecutor("a");
    // Half of them are in the other region.
    executor.latency = milliseconds(i % 2 == 0 ? 30 : 0);
  }
  scene.Configure();
  if (!scene.StartEdges(3)) {
    return scene.NotRun("the edges did not get ready");
  }
  // A job of 240 short tasks each 0.6 s.
  const std::int64_t traffic_begins = scene.Now();
  std::size_t next = 0;
  std::function<void()> submit = [&] {
    if (scene.Now() - traffic_begins > 36'000) {
      return;
    }
    // Of sixty durations, so that ends come one by one.
    std::vector<Step> steps;
    for (int i = 0; i < kTasks; ++i) {
      steps.push_back(Step{.count = 1,
                           .cpu = 3900,
                           .mem = 1000,
                           .gpu = 1,
                           .work_ms = 250 + 13 * (i % 60)});
    }
    Job& job = scene.AddJob(std::move(steps));
    scene.Submit(job, "offender-match", next++, 4);
    scene.After(milliseconds(600), submit);
  };
  submit();
  scene.RunFor(milliseconds(8000));
  if (scene.starts < 500) {
    return scene.NotRun("too few tasks started");
  }
  // Executors of the other region crash in four waves, those that work most.
  for (int wave = 0; wave < 4; ++wave) {
    const std::uint64_t before = scene.orders;
    if (scene.trouble) {
      CrashBusiest(scene);
    }
    scene.RunFor(kLateTime);
    const auto orders = static_cast<double>(scene.orders - before);
    scene.Write(fmt::format("{} orders in 5.5 s, {} of them late", orders,
                            scene.trouble ? kCrashing : 0));
    if (scene.trouble && kCrashing > kLateShare * orders) {
      return scene.NotRun("too many of the orders were late");
    }
    scene.RunFor(milliseconds(1500));
  }
  scene.RunFor(milliseconds(18'000));
  return scene.Finish();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunScript(argc, argv, review::Play);
}
