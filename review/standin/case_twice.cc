// A start whose answer was lost is taken for rejected: the executor has carried
// it out, and answers the repeat with 503.

#include <map>
#include <string>
#include <utility>

#include "review/standin/scene.h"

namespace review {
namespace {

// The longest time for which executors fail requests in the site file.
constexpr milliseconds kGreyTime(6500);

int Play(Scene& scene) {
  // One of 12 is the largest share of the site file, 0.085.
  for (int i = 0; i < 12; ++i) {
    scene.AddExecutor("a");
  }
  scene.Configure();
  if (!scene.StartEdges(3)) {
    return scene.NotRun("the edges did not get ready");
  }
  // Four jobs a second, at the edges by turns.
  const std::int64_t traffic_begins = scene.Now();
  std::size_t next = 0;
  std::function<void()> submit = [&] {
    if (scene.Now() - traffic_begins > 15'000) {
      return;
    }
    Job& job = scene.AddJob({Step{
        .count = 4, .cpu = 3700, .mem = 9800, .gpu = 1, .work_ms = 2100}});
    scene.Submit(job, "crew-dispatch", next++, 4);
    scene.After(milliseconds(250), submit);
  };
  submit();
  scene.RunFor(milliseconds(5000));

  std::map<std::pair<std::string, int>, int> copies;
  int repeats = 0;
  if (scene.trouble) {
    // The executor that works most, as the fullest one gets the next tasks.
    Executor* grey = &scene.executors.front();
    for (Executor& executor : scene.executors) {
      if (executor.running.size() > grey->running.size()) {
        grey = &executor;
      }
    }
    scene.Write(grey->id + " fails part of its requests from now on");
    grey->health = [&](const std::string& task, int run) {
      const int copy = ++copies[{task, run}];
      repeats += copy == 2 ? 1 : 0;
      return copy == 1 ? Executor::Health::kLosesAnswer
                       : Executor::Health::kRejects;
    };
    scene.After(kGreyTime, [&scene, grey] {
      grey->health = nullptr;
      scene.Write(grey->id + " is sound again");
    });
  }
  scene.RunFor(milliseconds(30'000));
  if (scene.trouble && repeats == 0) {
    return scene.NotRun("the failing executor got no repeated start");
  }
  if (scene.starts < 100) {
    return scene.NotRun("too few tasks started");
  }
  return scene.Finish();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunScript(argc, argv, review::Play);
}
