// A large job is accepted whose record of progress is longer than the store
// takes. From then on no job of any client begins.

#include <string>

#include "review/standin/scene.h"

namespace review {
namespace {

// Part of the wait for jobs that have not begun, after the end of the traffic.
constexpr milliseconds kFinish(14'000);
constexpr int kStalledMs = 3000;

int Play(Scene& scene) {
  for (int i = 0; i < 12; ++i) {
    scene.AddExecutor("a");
  }
  scene.Configure();
  if (!scene.StartEdges(3)) {
    return scene.NotRun("the edges did not get ready");
  }
  // Four small jobs a second, at the edges by turns.
  const std::int64_t traffic_begins = scene.Now();
  std::size_t next = 0;
  std::function<void()> submit = [&] {
    if (scene.Now() - traffic_begins > 20'000) {
      return;
    }
    Job& job = scene.AddJob({Step{
        .count = 2, .cpu = 1000, .mem = 1000, .gpu = 1, .work_ms = 1000}});
    scene.Submit(job, "crew-dispatch", next++, 4);
    scene.After(milliseconds(250), submit);
  };
  submit();
  scene.RunFor(milliseconds(5000));
  Job* large = nullptr;
  if (scene.trouble) {
    // 5 steps of 1,024 tasks, each with 0.02 cores and 16 MB: 102 of 384 cores.
    large = &scene.AddJob(std::vector<Step>(5, Step{.count = 1024,
                                                    .cpu = 20,
                                                    .mem = 16,
                                                    .work_ms = 45'000,
                                                    .saves = true}));
    // And a step of 8 short tasks.
    large->steps.push_back(
        Step{.count = 8, .cpu = 20, .mem = 16, .work_ms = 4000});
    scene.Submit(*large, "offender-match", next++, 4);
  }
  scene.RunFor(milliseconds(15'500));
  scene.RunFor(kFinish);
  if (large != nullptr && large->accepted_ms < 0) {
    return scene.NotRun("the large job was not accepted");
  }
  // For 3 s, jobs have nothing running while there is room for them.
  std::map<const Job*, std::int64_t> stalled_since;
  scene.RunUntil(milliseconds(5000), [&] {
    std::int64_t used = 0;
    std::int64_t room = 0;
    std::set<std::string> working;
    for (const Executor& executor : scene.executors) {
      used += executor.Used().cpu;
      room += executor.capacity.cpu;
      for (const auto& [task, run] : executor.running) {
        working.insert(task.substr(0, task.find('.')));
      }
    }
    for (const Job& job : scene.jobs) {
      if (job.accepted_ms >= 0 && !scene.started_jobs.contains(job.id) &&
          2 * used < room) {
        stalled_since.try_emplace(&job, scene.Now());
      } else {
        stalled_since.erase(&job);
      }
    }
    return false;
  });
  for (const auto& [job, since] : stalled_since) {
    if (scene.Now() - since >= kStalledMs) {
      scene.Break(fmt::format(
          "LOST: job {}, accepted at {} ms, has not begun, and there is room",
          job->id, job->accepted_ms));
    }
  }
  scene.Write(fmt::format("appends with a record that is too long: {}",
                          scene.store.too_long));
  return scene.Finish();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunScript(argc, argv, review::Play);
}
