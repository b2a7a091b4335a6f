// An executor starts again under its id with another kind. Tasks that require
// the kind of its previous life are started on it.

#include <string>

#include "review/standin/scene.h"

namespace review {
namespace {

// How long the executors are down; 4.5 s is the longest in the site file.
constexpr milliseconds kDownTime(1100);

int Play(Scene& scene) {
  // 2 of 15 crash, within the largest share of the site file, 0.14.
  for (int i = 0; i < 15; ++i) {
    scene.AddExecutor(i < 3 ? "a" : "b");
  }
  scene.Configure();
  scene.on_start = [&](const Executor& executor, const std::string& task,
                       int run) {
    const Step& step =
        scene.job_by_id.at(task.substr(0, task.find('.')))->steps.front();
    if (!step.label.empty() && step.label != executor.kind) {
      scene.Break(fmt::format(
          "ROUTE: {}, of kind {}, begins task {} run {}, which requires {}",
          executor.id, executor.kind, task, run, step.label));
    }
  };
  if (!scene.StartEdges(3)) {
    return scene.NotRun("the edges did not get ready");
  }
  // One job that fills the three executors of kind "a", and short jobs for the
  // others.
  Job& labelled = scene.AddJob({Step{.count = 3,
                                     .cpu = 8000,
                                     .mem = 8000,
                                     .gpu = 8,
                                     .work_ms = 20'000,
                                     .label = "a"}});
  scene.Submit(labelled, "photo-verify", 0, 4);
  const std::int64_t traffic_begins = scene.Now();
  std::size_t next = 0;
  std::function<void()> submit = [&] {
    if (scene.Now() - traffic_begins > 15'000) {
      return;
    }
    Job& job = scene.AddJob({Step{.count = 2,
                                  .cpu = 1000,
                                  .mem = 1000,
                                  .gpu = 1,
                                  .work_ms = 1000,
                                  .label = "b"}});
    scene.Submit(job, "photo-verify", next++, 4);
    scene.After(milliseconds(250), submit);
  };
  submit();
  scene.RunFor(milliseconds(5000));
  if (scene.starts < 20 || !scene.started_jobs.contains(labelled.id)) {
    return scene.NotRun("too few tasks started");
  }
  if (scene.trouble) {
    for (int i = 0; i < 2; ++i) {
      Executor& executor = scene.executors[i];
      executor.Crash();
      scene.Write(executor.id + " crashes");
      scene.After(kDownTime, [&scene, &executor] {
        executor.kind = "b";
        executor.Begin();
        executor.Register();
        scene.Write(executor.id + " starts again, of kind b");
      });
    }
  }
  scene.RunFor(milliseconds(20'000));
  return scene.Finish();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunScript(argc, argv, review::Play);
}
