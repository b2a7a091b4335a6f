// Urgent jobs of one tenant fill all executors beyond its guarantee. A job
// within the guarantee of another tenant does not begin.

#include <string>

#include "review/standin/scene.h"

namespace review {
namespace {

// The bound of the site file.
constexpr int kReclaimMs = 3400;
constexpr int kExecutors = 12;

int Play(Scene& scene) {
  for (int i = 0; i < kExecutors; ++i) {
    scene.AddExecutor("a");
  }
  scene.Configure();
  if (!scene.StartEdges(3)) {
    return scene.NotRun("the edges did not get ready");
  }
  // The first tenant, with 16 guaranteed of 96, hands in jobs of one task that
  // lasts and takes 8: at first two, then as many as fit.
  std::size_t next = 0;
  const auto submit_lasting = [&] {
    Job& job = scene.AddJob({Step{.count = 1,
                                  .cpu = 8000,
                                  .mem = 8000,
                                  .gpu = 8,
                                  .work_ms = 60'000,
                                  .lasts = true}});
    scene.Submit(job, "crew-dispatch", next++, 4);
  };
  submit_lasting();
  submit_lasting();
  scene.RunFor(milliseconds(5000));
  if (scene.starts != 2) {
    return scene.NotRun("the first jobs did not begin");
  }
  if (scene.trouble) {
    scene.Write("many users of the first tenant come at once");
    // Ten jobs in 4 s: 2.5 a second, where 2.09 are usual and 2.6 times as many
    // are the largest burst.
    for (int i = 2; i < kExecutors; ++i) {
      submit_lasting();
      scene.RunFor(milliseconds(400));
    }
  }
  scene.RunFor(milliseconds(10'000));
  if (scene.trouble && scene.starts != kExecutors) {
    return scene.NotRun("the burst did not fill the executors");
  }
  // The second tenant, with 32 guaranteed and nothing running, hands in one job
  // of two tasks that take 8 each.
  Job& guaranteed = scene.AddJob(
      {Step{.count = 2, .cpu = 8000, .mem = 8000, .gpu = 8, .work_ms = 2000}});
  guaranteed.key = kSecondKey;
  int begun = 0;
  std::int64_t whole_ms = -1;
  scene.on_start = [&](const Executor&, const std::string& task, int) {
    if (task.starts_with(guaranteed.id) && ++begun == 2) {
      whole_ms = scene.Now();
    }
  };
  scene.Submit(guaranteed, "crew-dispatch", next++, 4);
  scene.RunFor(milliseconds(30'000));
  if (guaranteed.accepted_ms < 0) {
    return scene.NotRun("the job was not accepted");
  }
  if (whole_ms < 0 || whole_ms - guaranteed.accepted_ms > kReclaimMs) {
    scene.Break(fmt::format(
        "RECLAIM: job {}, accepted at {} ms, {}", guaranteed.id,
        guaranteed.accepted_ms,
        whole_ms < 0 ? "has not begun 30 s later"
                     : fmt::format("began whole at {} ms", whole_ms)));
  }
  return scene.Finish();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunScript(argc, argv, review::Play);
}
