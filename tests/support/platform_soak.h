#ifndef TESTS_SUPPORT_PLATFORM_SOAK_H_
#define TESTS_SUPPORT_PLATFORM_SOAK_H_

#include <fmt/format.h>
#include <signal.h>

#include <asio/io_context.hpp>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/http_client.h"
#include "tests/support/cluster.h"
#include "tests/support/platform_standin.h"
#include "tests/support/process.h"
#include "tests/support/relay.h"

namespace chicorystep::testing {

struct SoakOptions {
  unsigned seed = 1;
  int entries = 5;
  int workers = 16;
  // How long callers come and faults strike.
  Duration length = seconds(12);
  // Where the logs of the entries are kept.
  std::string folder;
  // What each entry runs.
  std::string program = Program("chicorystep-edge");
};

// The bounds of the deployment that the entries are told.
inline constexpr Duration kGrace = seconds(5);
inline constexpr Duration kRevokeBound = seconds(5);
inline constexpr Duration kVisibleBound = seconds(3);
// After the last fault: a lease, the wait for what a silent predecessor may
// still order, and the longest work, with as much again for a loaded machine.
inline constexpr Duration kDrainBound = seconds(50);

// One entry process and its link to the store.
struct SoakEntry {
  std::string name;
  std::string settings;
  std::string log;
  Address callers;
  std::unique_ptr<Relay> store;
  std::optional<ChildProcess> process;
  bool frozen = false;
  // When a stopped process must have ended; kNever when it need not.
  TimePoint end_by = kNever;
  int lives = 0;
};

// One workflow as its caller sees it.
struct SoakJob {
  WorkflowId id;
  std::string route;
  std::string key;
  std::string body;
  // No try has been answered with anything but a refusal.
  bool surely_refused = true;
  bool given_up = false;
  TimePoint accepted = kNever;
  bool cancel_wanted = false;
  bool cancel_accepted = false;
  std::string state;
  int tries = 0;
};

// Real entry processes against the stand-in of the platform, under faults drawn
// from a seed. What callers and workers see is judged while it runs.
class Soak {
 public:
  explicit Soak(SoakOptions soak_options)
      : options(std::move(soak_options)),
        random(this->options.seed),
        load_random(this->options.seed),
        platform(this->context, this->options.seed) {
    this->platform.field.AddWorkers(this->options.workers);
    for (int half = 0; half < 2; ++half) {
      this->worker_links.push_back(std::make_unique<Relay>(
          this->context, this->platform.ServeWorkers()));
    }
    for (std::size_t i = 0; i < this->platform.field.workers.size(); ++i) {
      EmulatedWorker& worker = this->platform.field.workers[i];
      worker.started = BootTimeNow();
      worker.listing.address = this->worker_links[i % 2]->Listening();
      this->platform.List(worker);
    }
    this->Configure();
    for (int i = 0; i < this->options.entries; ++i) {
      this->AddEntry(i);
    }
  }

  // Plays the seed to its end; what went against the promises.
  std::vector<std::string> Run() {
    this->began = BootTimeNow();
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->Start(i);
    }
    this->StepOn();
    this->platform.After(seconds(1), [this] {
      this->SubmitOn();
      this->FaultOn();
    });
    const TimePoint last_fault =
        this->began + seconds(1) + this->options.length;
    this->RunUntil(last_fault, [] { return false; });
    this->faults_over = true;
    this->HealAll();
    if (!this->RunUntil(BootTimeNow() + kDrainBound,
                        [this] { return this->AllOver(); })) {
      this->ReportUnended();
    }
    this->JudgeRefused();
    for (const std::string& violation : this->platform.field.violations) {
      this->violations.push_back(violation);
    }
    return this->violations;
  }

  [[nodiscard]] const std::vector<std::string>& Struck() const noexcept {
    return this->struck;
  }
  [[nodiscard]] std::uint64_t Starts() const {
    return this->platform.field.starts;
  }
  [[nodiscard]] std::size_t Accepted() const {
    return static_cast<std::size_t>(
        std::count_if(this->jobs.begin(), this->jobs.end(),
                      [](const auto& job) { return job->accepted != kNever; }));
  }

  // For the table of faults.

  std::size_t AnyEntry() { return this->random() % this->entries.size(); }
  Duration AnyTime(milliseconds least, milliseconds most) {
    return least + milliseconds(this->random() %
                                static_cast<unsigned>((most - least).count()));
  }

  void Kill(std::size_t number) {
    SoakEntry& entry = this->entries[number];
    if (entry.process) {
      entry.process->Signal(SIGKILL);
      (void)entry.process->Wait();
      entry.process.reset();
      entry.frozen = false;
      entry.end_by = kNever;
    }
  }

  void Stop(std::size_t number) {
    SoakEntry& entry = this->entries[number];
    if (entry.process && !entry.frozen && entry.end_by == kNever) {
      entry.process->Signal(SIGTERM);
      entry.end_by = BootTimeNow() + kGrace;
    }
  }

  void Start(std::size_t number) {
    SoakEntry& entry = this->entries[number];
    if (!entry.process) {
      entry.process.emplace(
          std::vector<std::string>{this->options.program, "--settings",
                                   entry.settings},
          fmt::format("{}.{}", entry.log, ++entry.lives));
    }
  }

  void Freeze(std::size_t number) {
    SoakEntry& entry = this->entries[number];
    if (entry.process && entry.end_by == kNever) {
      entry.process->Signal(SIGSTOP);
      entry.frozen = true;
    }
  }
  void Wake(std::size_t number) {
    SoakEntry& entry = this->entries[number];
    if (entry.process && std::exchange(entry.frozen, false)) {
      entry.process->Signal(SIGCONT);
    }
  }

  // Writes the settings anew and tells the process.
  void Reload(std::size_t number) {
    this->WriteSettings(this->entries[number]);
    if (this->entries[number].process) {
      this->entries[number].process->Signal(SIGHUP);
    }
  }

  void Configure() {
    nlohmann::json keys = nlohmann::json::array({"key-a"});
    if (this->revoked_at == kNever) {
      keys.push_back("key-b");
    }
    nlohmann::json routes = nlohmann::json::array();
    int priority = 0;
    for (const char* name : {"urgent", "normal", "bulk"}) {
      routes.push_back({{"Name", name},
                        {"Host", "host"},
                        {"PathPrefix", fmt::format("/{}/", name)},
                        {"Service", "service"},
                        {"Priority", priority++},
                        {"MaxAttempts", 3},
                        {"Stretch", 2},
                        {"TargetDurationMs", 1000}});
    }
    const nlohmann::json config = {
        {"Version", ++this->config_version},
        {"Routes", std::move(routes)},
        {"Services", {{{"Name", "service"}, {"EnforcesCapacity", true}}}},
        {"Tenants",
         {{{"Name", "team"},
           {"ApiKeys", std::move(keys)},
           {"Guaranteed", {{"Gpu", 16}}}}}}};
    this->platform.Put("keyed.op", "config", config.dump());
  }
  void RevokeKey() {
    if (this->revoked_at == kNever) {
      this->revoked_at = BootTimeNow();
      this->Configure();
      this->TryRevokedKey();
    }
  }

  asio::io_context context;
  SoakOptions options;
  // What strikes and when, and what callers do, drawn apart: the faults of a
  // seed do not depend on how fast calls are answered.
  std::minstd_rand random;
  std::minstd_rand load_random;
  PlatformStandin platform;
  std::deque<SoakEntry> entries;
  std::vector<std::unique_ptr<Relay>> worker_links;

 private:
  void AddEntry(int number) {
    SoakEntry& entry = this->entries.emplace_back();
    entry.name = fmt::format("entry-{}", number);
    entry.store = std::make_unique<Relay>(
        this->context,
        this->platform.ServeStore(static_cast<std::size_t>(number)));
    entry.settings =
        fmt::format("{}/{}.toml", this->options.folder, entry.name);
    entry.log = fmt::format("{}/{}.log", this->options.folder, entry.name);
    entry.callers = this->platform.addresses.Next();
    this->WriteSettings(entry);
  }

  void WriteSettings(const SoakEntry& entry) {
    const std::string ready = this->platform.addresses.Next().value;
    std::ofstream(entry.settings) << fmt::format(
        "Node = \"{}\"\nZone = \"z\"\n[Listen]\nFront = \"{}\"\nReady = "
        "\"{}\"\n[platform]\nAddress = \"{}\"\n[Bounds]\nMaxHoldMs = "
        "6000\nStopGraceMs = 300\nRevokeMs = {}\nGraceS = {}\nvisible_ms = "
        "{}\nstatus_s = 120\n",
        entry.name, entry.callers.value, ready, entry.store->Listening().value,
        WholeMillis(kRevokeBound), WholeMillis(kGrace) / 1000,
        WholeMillis(kVisibleBound));
  }

  bool RunUntil(TimePoint end, const std::function<bool()>& done) {
    while (BootTimeNow() < end) {
      if (done()) {
        return true;
      }
      this->context.run_for(milliseconds(20));
    }
    return done();
  }

  // What goes on all the time: tasks, and a look at the processes.
  void StepOn() {
    this->platform.Step();
    for (SoakEntry& entry : this->entries) {
      this->Watch(entry);
    }
    this->platform.After(milliseconds(10), [this] { this->StepOn(); });
  }

  void Watch(SoakEntry& entry) {
    if (!entry.process) {
      return;
    }
    const bool stopping = entry.end_by != kNever;
    if (entry.process->HasEnded()) {
      const int code = entry.process->Wait();
      if (!stopping || code != 0) {
        this->violations.push_back(
            fmt::format("{} ended by itself with {}", entry.name, code));
      }
      entry.process.reset();
      entry.end_by = kNever;
    } else if (stopping && BootTimeNow() > entry.end_by) {
      this->violations.push_back(entry.name +
                                 " did not end within its time to stop");
      entry.process->Signal(SIGKILL);
      (void)entry.process->Wait();
      entry.process.reset();
      entry.end_by = kNever;
    }
  }

  void SubmitOn() {
    if (this->faults_over) {
      return;
    }
    this->SubmitNew();
    this->platform.After(milliseconds(60 + this->load_random() % 180),
                         [this] { this->SubmitOn(); });
  }

  void SubmitNew() {
    auto job = std::make_shared<SoakJob>();
    const auto number = static_cast<int>(this->jobs.size()) + 1;
    job->id = WorkflowId(fmt::format("{:016x}", number));
    job->route =
        std::array{"urgent", "normal", "bulk"}[this->load_random() % 3];
    job->key = this->load_random() % 5 == 0 ? "key-b" : "key-a";
    job->cancel_wanted = this->load_random() % 10 == 0;
    WorkerField::Submitted what{
        .work = milliseconds(200 + this->load_random() % 1500),
        .uneven = milliseconds(this->load_random() % 60)};
    what.spec.payload = fmt::format("payload of {}", number);
    const bool gang = this->load_random() % 3 == 0;
    const unsigned width = 1 + this->load_random() % 12;
    what.spec.steps = {MakeStep(width, 1 + this->load_random() % 4, gang)};
    if (this->load_random() % 3 == 0) {
      StepSpec second = MakeStep(2, 1);
      second.depends_on = {StepIndex(0)};
      what.spec.steps.push_back(second);
    }
    nlohmann::json body = {{"Spec", what.spec.payload},
                           {"Steps", nlohmann::json::array()}};
    for (const StepSpec& step : what.spec.steps) {
      nlohmann::json row = {{"Count", step.count},
                            {"Cpu", step.need.processors.value},
                            {"MemMb", step.need.memory.value},
                            {"Gpu", step.need.accelerators.value},
                            {"EstimateMs", WholeMillis(step.estimate)}};
      if (step.gang) {
        row["Gang"] = true;
      }
      for (const StepIndex needed : step.depends_on) {
        row["DependsOn"].push_back(needed.value);
      }
      body["Steps"].push_back(std::move(row));
    }
    job->body = body.dump();
    this->platform.field.submitted[job->id] = std::move(what);
    this->jobs.push_back(job);
    this->Submit(job);
  }

  platform::HttpRequest RequestOf(const SoakJob& job, std::string method) {
    return platform::HttpRequest{
        .address =
            this->entries[this->load_random() % this->entries.size()].callers,
        .method = std::move(method),
        .target = fmt::format("/{}/{}", job.route, job.id.value),
        .headers = {{"Authorization", "Token " + job.key},
                    {"X-Deadline-Ms", "3000"}},
        .timeout = seconds(4)};
  }

  // Asks every entry with the revoked key until the faults are over.
  void TryRevokedKey() {
    if (this->faults_over) {
      return;
    }
    for (const SoakEntry& entry : this->entries) {
      this->Call(
          platform::HttpRequest{.address = entry.callers,
                                .target = "/urgent/",
                                .headers = {{"Authorization", "Token key-b"}}},
          "key-b", [](const platform::HttpReply&) {});
    }
    this->platform.After(milliseconds(250), [this] { this->TryRevokedKey(); });
  }

  // Sends a call and judges what holds for all calls.
  void Call(platform::HttpRequest request,
            const std::string& key,
            std::function<void(const platform::HttpReply&)> done) {
    // The client puts the address into `Host`; routes are found by it.
    request.headers.emplace_back("Host", "host");
    const TimePoint sent = BootTimeNow();
    this->client.Send(
        std::move(request), [this, sent, key, done = std::move(done)](
                                const platform::HttpReply& reply) {
          const bool revoked = key == "key-b" && this->revoked_at != kNever;
          if (revoked && reply.status == 200 &&
              sent - this->revoked_at > kRevokeBound) {
            this->violations.push_back(fmt::format(
                "a revoked key is honoured {} ms after it was taken away",
                WholeMillis(sent - this->revoked_at)));
          }
          if (!revoked && (reply.status == 401 || reply.status == 404)) {
            this->violations.push_back(
                fmt::format("a call with a good key and route is answered {}",
                            reply.status));
          }
          done(reply);
        });
  }

  void Submit(const std::shared_ptr<SoakJob>& job) {
    ++job->tries;
    platform::HttpRequest request = this->RequestOf(*job, "POST");
    request.body = job->body;
    this->Call(std::move(request), job->key,
               [this, job](const platform::HttpReply& reply) {
                 this->EndSubmit(job, reply);
               });
  }

  void EndSubmit(const std::shared_ptr<SoakJob>& job,
                 const platform::HttpReply& reply) {
    constexpr int kMostTries = 6;
    if (reply.status == 200) {
      job->accepted = BootTimeNow();
      job->surely_refused = false;
      this->platform.After(milliseconds(300), [this, job] { this->Ask(job); });
      return;
    }
    const bool refused = reply.status == 503 || reply.status == 429 ||
                         reply.status == 401 ||
                         reply.outcome == platform::HttpOutcome::kNotSent;
    job->surely_refused = job->surely_refused && refused;
    if (reply.status == 400) {
      this->violations.push_back(job->id.value + " is called malformed");
    }
    if (reply.status == 401 || job->tries >= kMostTries) {
      job->given_up = true;
      return;
    }
    this->platform.After(milliseconds(refused ? 1000 : 100),
                         [this, job] { this->Submit(job); });
  }

  void Ask(const std::shared_ptr<SoakJob>& job) {
    const bool cancels = job->cancel_wanted && !job->cancel_accepted;
    const TimePoint sent = BootTimeNow();
    this->Call(
        this->RequestOf(*job, cancels ? "DELETE" : "GET"), job->key,
        [this, job, cancels, sent](const platform::HttpReply& reply) {
          if (cancels) {
            job->cancel_accepted = reply.status == 200;
          } else if (reply.status == 200) {
            this->Judge(*job, reply.body);
          }
          if (reply.status == 410 && sent - job->accepted > kVisibleBound) {
            this->violations.push_back(job->id.value +
                                       " was accepted and is unknown");
          }
          if (!IsOver(*job) && reply.status != 401) {
            this->platform.After(milliseconds(400),
                                 [this, job] { this->Ask(job); });
          }
        });
  }

  void Judge(SoakJob& job, const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    job.state = json.is_object() ? json.value("State", "") : "";
    if (job.state == "succeeded" && !this->AllEndedWell(job)) {
      this->violations.push_back(job.id.value +
                                 " is shown as done before its tasks are");
    }
    if (job.state == "failed" ||
        (job.state == "cancelled" && !job.cancel_wanted)) {
      this->violations.push_back(job.id.value + " is shown as " + job.state);
    }
  }

  static bool IsOver(const SoakJob& job) {
    return job.state == "succeeded" || job.state == "failed" ||
           job.state == "cancelled";
  }

  bool AllEndedWell(const SoakJob& job) {
    const auto& steps = this->platform.field.submitted.at(job.id).spec.steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      for (std::uint32_t task = 0; task < steps[step].count; ++task) {
        const TaskKey key{.workflow = job.id,
                          .step = StepIndex(step),
                          .task = TaskIndex(task)};
        if (!this->platform.field.ended_well.contains(key)) {
          return false;
        }
      }
    }
    return true;
  }

  // Callers with a revoked key cannot ask any more.
  [[nodiscard]] bool IsSettled(const SoakJob& job) const {
    if (job.accepted == kNever) {
      return job.given_up;
    }
    return IsOver(job) || (job.key == "key-b" && this->revoked_at != kNever);
  }
  bool AllOver() {
    return std::all_of(
        this->jobs.begin(), this->jobs.end(),
        [this](const auto& job) { return this->IsSettled(*job); });
  }

  void ReportUnended() {
    for (const auto& job : this->jobs) {
      if (!this->IsSettled(*job)) {
        this->violations.push_back(fmt::format(
            "{} ({} tries, {}) has not ended {} s after the last fault",
            job->id.value, job->tries,
            job->accepted == kNever ? "not accepted" : job->state,
            WholeMillis(kDrainBound) / 1000));
      }
    }
  }

  void JudgeRefused() {
    for (const auto& job : this->jobs) {
      if (job->given_up && job->surely_refused &&
          this->platform.field.started.contains(job->id)) {
        this->violations.push_back(job->id.value +
                                   " was refused and runs all the same");
      }
    }
  }

  void FaultOn();
  void HealAll();

  platform::HttpClient client{this->context};
  std::vector<std::shared_ptr<SoakJob>> jobs;
  std::vector<std::string> violations;
  std::vector<std::string> struck;
  TimePoint began{};
  TimePoint revoked_at = kNever;
  std::uint64_t config_version = 0;
  bool faults_over = false;
};

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_PLATFORM_SOAK_H_
