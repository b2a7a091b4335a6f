// A client's only call is refused, and its job runs all the same: the store has
// carried out an append whose answer was lost, and rejects the repeat.

#include <string>
#include <vector>

#include "review/standin/scene.h"

namespace review {
namespace {

// The longest outage of the store in the site file.
constexpr milliseconds kOutage(4500);

int Play(Scene& scene) {
  for (int i = 0; i < 12; ++i) {
    scene.AddExecutor("a");
  }
  scene.Configure();
  if (!scene.StartEdges(3)) {
    return scene.NotRun("the edges did not get ready");
  }
  // Ten jobs a second, at the edges by turns.
  const std::int64_t traffic_begins = scene.Now();
  std::size_t next = 0;
  std::function<void()> submit = [&] {
    if (scene.Now() - traffic_begins > 15'000) {
      return;
    }
    Job& job = scene.AddJob(
        {Step{.count = 2, .cpu = 1000, .mem = 1000, .gpu = 1, .work_ms = 300}});
    scene.Submit(job, "crew-dispatch", next++, 2);
    scene.After(milliseconds(100), submit);
  };
  submit();
  scene.RunFor(milliseconds(5000));

  bool lost = false;
  if (scene.trouble) {
    scene.store.loses_answer = [&](const std::vector<std::string>& keys) {
      if (lost || keys.empty() || !keys.front().starts_with("a-")) {
        return false;
      }
      lost = true;
      scene.store.down = true;
      scene.Write("store carries out an append of " + keys.front() +
                  " and goes down before it answers");
      scene.After(kOutage, [&scene] {
        scene.store.down = false;
        scene.Write("store is back");
      });
      return true;
    };
  }
  scene.RunFor(milliseconds(25'000));
  if (scene.trouble && !lost) {
    return scene.NotRun("the store got no append from a client");
  }
  std::size_t accepted = 0;
  for (const Job& job : scene.jobs) {
    const bool all_rejected =
        !job.answers.empty() &&
        std::all_of(job.answers.begin(), job.answers.end(),
                    [](int status) { return status == 503 || status == 429; });
    accepted += job.accepted_ms >= 0 ? 1 : 0;
    if (job.decided && all_rejected && scene.started_jobs.contains(job.id)) {
      scene.Break(fmt::format(
          "REFUSED: job {} was rejected {} times and accepted never, and its "
          "tasks started",
          job.id, job.answers.size()));
    }
  }
  if (accepted < 50) {
    return scene.NotRun("too few jobs were accepted");
  }
  return scene.Finish();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunScript(argc, argv, review::Play);
}
