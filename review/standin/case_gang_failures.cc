// One failed run of a gang is counted once for each member that reports it as
// failed, so that the job is shown as failed before its attempts are used up.

#include <set>
#include <string>

#include "review/standin/scene.h"

namespace review {
namespace {

// The queue's MaxAttempts.
constexpr std::size_t kMaxAttempts = 4;
// The longest time for which executors fail tasks in the site file.
constexpr milliseconds kGreyTime(6500);

int Play(Scene& scene) {
  constexpr int kExecutors = 48;
  // 4 of 48 is within the largest share of the site file, 0.085.
  constexpr int kFaulty = 4;
  for (int i = 0; i < kExecutors; ++i) {
    scene.AddExecutor("a");
  }
  scene.Configure();
  if (!scene.StartEdges(3)) {
    return scene.NotRun("the edges did not get ready");
  }
  // A job that keeps all executors but four busy.
  Job& busy = scene.AddJob({Step{.count = kExecutors - kFaulty,
                                 .cpu = 8000,
                                 .mem = 8000,
                                 .gpu = 8,
                                 .work_ms = 9000}});
  scene.Submit(busy, "photo-verify", 0, 4);
  scene.RunFor(milliseconds(2000));
  if (scene.starts != kExecutors - kFaulty) {
    return scene.NotRun("the first job did not begin");
  }
  if (scene.trouble) {
    for (Executor& executor : scene.executors) {
      if (executor.running.empty()) {
        executor.faulty = true;
        scene.Write(executor.id + " fails all that it starts from now on");
      }
    }
    scene.After(kGreyTime, [&scene] {
      for (Executor& executor : scene.executors) {
        executor.faulty = false;
      }
      scene.Write("all executors are sound again");
    });
  }
  std::set<int> runs;
  Job& gang = scene.AddJob({Step{.count = kFaulty,
                                 .cpu = 8000,
                                 .mem = 8000,
                                 .gpu = 8,
                                 .work_ms = 3000,
                                 .gang = true}});
  scene.on_start = [&](const Executor&, const std::string& task, int run) {
    if (task.starts_with(gang.id)) {
      runs.insert(run);
    }
  };
  scene.Submit(gang, "photo-verify", 1, 4);
  const auto state = std::make_shared<std::string>();
  for (int i = 0; i < 20 && *state != "succeeded" && *state != "failed"; ++i) {
    scene.RunFor(milliseconds(1500));
    scene.GetState(gang, "photo-verify", 2, [state](int, std::string seen) {
      *state = std::move(seen);
    });
  }
  scene.Write(fmt::format("job {} is {} after {} runs of its gang", gang.id,
                          *state, runs.size()));
  if (runs.empty()) {
    return scene.NotRun("the gang did not begin");
  }
  if (*state == "failed" && runs.size() < kMaxAttempts) {
    scene.Break(fmt::format(
        "LOST: job {} is shown as failed after {} of {} runs of its gang",
        gang.id, runs.size(), kMaxAttempts));
  } else if (*state != "succeeded") {
    return scene.NotRun("the gang did not end");
  }
  return scene.Finish();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunScript(argc, argv, review::Play);
}
