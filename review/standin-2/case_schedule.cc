// A scheduled job with many occurrences keeps the entries from answering, and
// every other job from going on.

#include <set>

#include "scene.h"

namespace review {
namespace {

// An occurrence a second for five and a half hours.
constexpr int kTimes = 20'000;
constexpr std::int64_t kIntervalMs = 1000;
constexpr std::int64_t kFinishMs = 14'000;
constexpr std::int64_t kStandstillMs = 3000;
constexpr std::size_t kWorkers = 4;
constexpr unsigned kOtherJobs = 10;

std::size_t CountRunning(Scene& scene) {
  std::size_t running = 0;
  for (const auto& worker : scene.workers) {
    running += worker->RunningCount();
  }
  return running;
}

bool Play(Scene& scene) {
  scene.Configure({{.name = "r-notice", .prefix = "/notice/", .priority = 0},
                   {.name = "r-timed", .prefix = "/timed/", .priority = 2}});
  const Need room{.cpu = 32'000, .mem_mb = 131'072, .gpu = 8};
  const Need need{.cpu = 500, .mem_mb = 256};
  const auto plan = [need](const std::string&) {
    return TaskPlan{.need = need, .work_ms = 2000, .cpu_in_use = need.cpu};
  };
  for (std::size_t i = 1; i <= kWorkers; ++i) {
    scene.AddWorker("i-0000000" + std::to_string(i), "a", room, plan);
  }
  scene.Start(2);
  const Json step = {{"Count", 1},
                     {"Cpu", need.cpu},
                     {"MemMb", need.mem_mb},
                     {"EstimateMs", 2000}};
  Json second = step;
  second["DependsOn"] = {0};
  // Each of the other jobs has ten steps, one after the other.
  Json steps = {step};
  for (int i = 0; i < 9; ++i) {
    steps.push_back(step);
    steps.back()["DependsOn"] = {i};
  }
  std::set<std::string> others;
  for (unsigned i = 100; i < 100 + kOtherJobs; ++i) {
    scene.Submit("/notice/" + JobId(i),
                 Json{{"Spec", "notice"}, {"Steps", steps}});
    others.insert(JobId(i));
  }
  SleepMs(3000);
  const int times = HasTrouble() ? kTimes : 40;
  // The entry that serves it may stop answering before it has answered this.
  const bool accepted =
      scene.TrySubmit("/timed/" + JobId(1),
                      Json{{"Spec", "timed"},
                           {"Steps", {step, second}},
                           {"Times", times},
                           {"StartTimeMs", UnixMs() - kIntervalMs * times},
                           {"IntervalMs", kIntervalMs}});
  Note(accepted ? "the scheduled job was accepted"
                : "the submission of the scheduled job got no answer");
  const std::int64_t traffic_end = NowMs();
  SleepMs(kFinishMs);
  // Jobs that nobody answers for within the clients' 3 s, at either entry.
  int broken = 0;
  std::set<std::string> ended;
  for (const std::string& id : others) {
    bool answered = false;
    for (std::size_t edge = 0; edge < 2 && !answered; ++edge) {
      const Reply reply = scene.Ask(edge, "GET", "/notice/" + id);
      answered = reply.status == 200;
      if (reply.body.find("succeeded") != std::string::npos) {
        ended.insert(id);
      }
    }
    if (!answered) {
      ++broken;
      Note("LOST: job " + id + " gets no answer " +
           std::to_string(NowMs() - traffic_end) +
           " ms after the end of the traffic");
    }
    if (NowMs() > traffic_end + 60'000) {
      break;
    }
  }
  // Jobs that have not ended and have nothing running for 3 s, while less than
  // half of the capacity is in use.
  const std::int64_t from = NowMs();
  const std::size_t half = kWorkers * 64 / 2;
  bool has_room = true;
  while (NowMs() < from + kStandstillMs) {
    has_room = has_room && CountRunning(scene) < half;
    SleepMs(10);
  }
  std::set<std::string> active;
  std::map<std::string, std::string> running;
  for (const Seen& row : TheSightings().All()) {
    const std::string id = row.task.substr(0, 16);
    if (row.kind == Seen::Kind::kStart) {
      running[row.task] = id;
      if (row.at >= from) {
        active.insert(id);
      }
    } else if (row.kind == Seen::Kind::kEnd) {
      running.erase(row.task);
      if (row.at >= from) {
        active.insert(id);
      }
    }
  }
  for (const auto& [task, id] : running) {
    active.insert(id);
  }
  for (const std::string& id : others) {
    if (has_room && !ended.contains(id) && !active.contains(id)) {
      ++broken;
      Note("LOST: job " + id + " has nothing running for 3 s");
    }
  }
  Note(std::to_string(broken) + " times LOST is broken");
  return broken == 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
