#ifndef REVIEW_STANDIN_SCENE_H_
#define REVIEW_STANDIN_SCENE_H_

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chicorystep/core/logging.h"
#include "platform/http_client.h"
#include "platform/http_server.h"
#include "tests/support/process.h"

// Stand-ins of the platform's store, of executors and of clients, written from
// the users' pages, and the start of real edge processes. Everything but the
// edge processes runs on one thread.
namespace review {

using Json = nlohmann::json;
using chicorystep::Address;
using chicorystep::platform::HttpReply;
using chicorystep::platform::Respond;
using chicorystep::platform::ServedRequest;
using chicorystep::platform::ServedResponse;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Bounds that the pages set for the small deployment `atlas-dechets`.
inline constexpr std::int64_t kMaxHoldMs = 10'000;
inline constexpr std::int64_t kStopGraceMs = 900;
inline constexpr std::int64_t kHeartbeatMs = 1500;
inline constexpr int kCheckpointIntervalS = 2;
inline constexpr std::int64_t kGangTimeoutMs = 3000;
inline constexpr int kAppendMs = 4;
inline constexpr std::size_t kRecordBytes = 262'144;
inline constexpr int kDeadlineMs = 3000;
inline constexpr std::size_t kMaxFinished = 500;

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The keys of the two tenants.
inline constexpr const char* kFirstKey = "d4a3hwrr6x73d3zji9n7";
inline constexpr const char* kSecondKey = "3hh2b9wu3fexd9dnn2ct";

// What a step's tasks need and how long they work.
struct Step {
  int count = 1;
  std::int64_t cpu = 0;
  std::int64_t mem = 0;
  std::int64_t gpu = 0;
  std::int64_t work_ms = 0;
  std::string label;
  bool lasts = false;
  bool saves = false;
  bool gang = false;
};

struct Job {
  std::string id;
  std::string spec;
  std::vector<Step> steps;
  // The tenant's key.
  std::string key = kFirstKey;
  // Statuses of all attempts to hand the job in; 0 for no answer.
  std::vector<int> answers;
  bool decided = false;
  // Time of the first 2xx answer, in milliseconds of the scene; -1 before.
  std::int64_t accepted_ms = -1;
};

// One run of a task on an executor.
struct Run {
  int run = 0;
  Step need;
  Clock::time_point present{};
  Clock::time_point ends = Clock::time_point::max();
  Clock::time_point stops = Clock::time_point::max();
};

struct Finished {
  std::int64_t number = 0;
  std::string task;
  int run = 0;
  std::string how;
};

// A run that ended as done. The end counts once a cursor has reached it, unless
// the executor's lease lapsed or its process ended before.
struct DoneEnd {
  std::string executor;
  std::int64_t number = 0;
  int run = 0;
  bool noted = false;
  // The task was started again after this end.
  bool restarted = false;
};

class Scene;

// The platform's store: keyed topics with one partition each.
class Store {
 public:
  explicit Store(Scene& owner) : scene(owner) {}

  // Called for each append of a client's record, after it was carried out.
  // Returns whether its answer is lost: the connection ends without one.
  std::function<bool(const std::vector<std::string>& keys)> loses_answer;
  // All calls are answered with 503, and nothing is done.
  bool down = false;

  void Serve(const ServedRequest& request, Respond respond);
  void Put(const std::string& topic,
           const std::string& key,
           const std::optional<std::string>& value) {
    this->Append(this->topics[topic], Encode(key, value));
  }

  // Records that are longer than the platform allows.
  int too_long = 0;

 private:
  struct Topic {
    std::vector<std::string> records;
    // The offset and the value of the newest record of each key.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    // The offsets of the last appends of the producer, by sequence number.
    std::map<std::uint64_t, std::uint64_t> repeats;
    // When the partition has carried out all appends received so far.
    Clock::time_point busy_until{};
  };

  static std::string Encode(const std::string& key,
                            const std::optional<std::string>& value) {
    std::string record(1, static_cast<char>(key.size()));
    return record + key + value.value_or("");
  }
  static std::string GetField(std::string_view query, std::string_view name) {
    while (!query.empty()) {
      const std::string_view field = query.substr(0, query.find('&'));
      query.remove_prefix(std::min(query.size(), field.size() + 1));
      if (field.size() > name.size() && field.starts_with(name) &&
          field[name.size()] == '=') {
        return std::string(field.substr(name.size() + 1));
      }
    }
    return "";
  }
  static std::uint64_t GetNumber(std::string_view query,
                                 std::string_view name,
                                 std::uint64_t fallback = 0) {
    const std::string text = GetField(query, name);
    return text.empty() ? fallback : std::stoull(text);
  }
  static void AddNumber(std::string& out, std::uint64_t value, int bytes) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
      out.push_back(static_cast<char>((value >> shift) & 0xff));
    }
  }
  static std::string ToBase64(std::string_view bytes) {
    constexpr std::string_view kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = (group << 8) |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text +=
            i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
      }
    }
    return text;
  }

  std::uint64_t Append(Topic& topic, const std::string& record) {
    const std::uint64_t offset = topic.records.size();
    const auto length = static_cast<unsigned char>(record.at(0));
    const std::string key = record.substr(1, length);
    if (record.size() > 1U + length) {
      topic.newest[key] = {offset, record.substr(1U + length)};
    } else {
      topic.newest.erase(key);
    }
    topic.records.push_back(record);
    return offset;
  }

  void ServeAppend(const ServedRequest& request, const Respond& respond);
  void ServeRead(const ServedRequest& request,
                 const Respond& respond,
                 Clock::time_point until);
  void ServeNewest(const ServedRequest& request, const Respond& respond);

  Scene& scene;
  std::map<std::string, Topic> topics;
};

// One executor. It enforces its capacity.
class Executor {
 public:
  Executor(Scene& owner, std::string executor_id)
      : id(std::move(executor_id)), scene(owner) {}

  std::string id;
  Address address;
  std::string service = "signal-dechets";
  std::string kind = "a";
  std::string rack = "r0";
  Step capacity{.cpu = 32'000, .mem = 131'072, .gpu = 8};
  std::int64_t max_hold_ms = kMaxHoldMs;

  bool up = false;
  std::map<std::string, Run> running;

  // Called for each start order before it is carried out. An executor that
  // fails part of its requests carries out the first and loses its answer, and
  // rejects the second as unhealthy.
  enum class Health { kGood, kLosesAnswer, kRejects };
  std::function<Health(const std::string& task, int run)> health;
  // Called for each hold; a hold for which it returns a time gets no answer and
  // is carried out that much later.
  std::function<milliseconds()> delays_hold;
  // One way, to the edges.
  milliseconds latency{};
  // All tasks that work here fail, a second after their start at the latest.
  bool faulty = false;

  // Begins a life of the executor, under the same id.
  void Begin();
  // The process ends: all that runs is lost, and connections break.
  void Crash();
  void Register();
  void Serve(const ServedRequest& request, Respond respond);
  // Carries a hold out and returns how long its answer waits for an end.
  std::int64_t Hold(const Json& order);
  // Ends runs whose work is done, that were stopped or whose lease is over.
  void Advance();

  [[nodiscard]] Step Used() const {
    Step used;
    for (const auto& [task, run] : this->running) {
      used.cpu += run.need.cpu;
      used.mem += run.need.mem;
      used.gpu += run.need.gpu;
    }
    return used;
  }

 private:
  // A hold that waits for an end.
  struct Waiting {
    Clock::time_point until;
    Respond respond;
  };

  [[nodiscard]] std::int64_t ReadClock() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->began)
        .count();
  }
  [[nodiscard]] Json Answer() const {
    return Json{{"ClockMs", this->ReadClock()}, {"born", this->born}};
  }
  void ServeNow(const ServedRequest& request, Respond respond);
  void Extend(const Json& order);
  ServedResponse Start(const Json& order);
  ServedResponse Stop(const Json& order);
  [[nodiscard]] ServedResponse Lists() const;
  void End(const std::string& task, const std::string& how);
  [[nodiscard]] std::string HowEnded(const std::string& task,
                                     const Run& run,
                                     Clock::time_point now);

  Scene& scene;
  std::int64_t born = 0;
  std::int64_t beats = 0;
  Clock::time_point began{};
  std::uint64_t fence = 0;
  std::int64_t leased_until = 0;
  std::map<std::string, int> barred;
  std::vector<Finished> finished;
  std::int64_t last_number = 0;
  std::vector<Waiting> waiting;
  // Calls that get no answer; their connections break when the process ends.
  std::vector<Respond> held;
};

// An edge process and its addresses.
struct Edge {
  std::string name;
  std::string front;
  std::string ready;
  std::string settings;
  std::optional<chicorystep::testing::ChildProcess> process;
};

// One run of a script.
class Scene {
 public:
  Scene(const char* program_path, const char* record_path)
      : program(program_path), record(record_path), store(*this) {
    const char* trouble_text = std::getenv("TROUBLE");
    this->trouble =
        trouble_text == nullptr || std::string_view(trouble_text) != "0";
    std::string pattern =
        (std::filesystem::temp_directory_path() / "chicorystep-review-XXXXXX")
            .string();
    if (::mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    const int process = ::getpid();
    this->ip =
        fmt::format("127.{}.{}.1", 1 + process / 250 % 250, 1 + process % 250);
    this->store_address =
        this->Listen([this](const ServedRequest& request, Respond respond) {
          this->store.Serve(request, std::move(respond));
        });
    this->Write(fmt::format("disruption: {}", this->trouble ? "yes" : "no"));
    // A script that is stopped ends its processes, too.
    this->signals.async_wait([](const std::error_code& error, int) {
      if (!error) {
        throw std::runtime_error("stopped by a signal");
      }
    });
  }
  Scene(const Scene&) = delete;
  Scene& operator=(const Scene&) = delete;
  ~Scene() {
    this->edges.clear();
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(this->folder, ignored);
    } else {
      fmt::print("logs: {}\n", this->folder);
    }
  }

  [[nodiscard]] std::int64_t Now() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->began)
        .count();
  }
  void Write(const std::string& line) {
    this->record << fmt::format("{:>7} ", this->Now()) << line << '\n';
  }

  void After(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const std::error_code& error) {
          if (!error) {
            action();
          }
        });
  }
  bool RunUntil(milliseconds limit, const std::function<bool()>& done) {
    const Clock::time_point end = Clock::now() + limit;
    while (!done()) {
      if (Clock::now() >= end) {
        return false;
      }
      this->context.run_for(milliseconds(5));
    }
    return true;
  }
  void RunFor(milliseconds time) {
    this->RunUntil(time, [] { return false; });
  }

  Executor& AddExecutor(const std::string& kind) {
    const std::size_t number = this->executors.size();
    Executor& executor = this->executors.emplace_back(
        *this, fmt::format("i-{:08x}", 0x7f3a91c2U + number * 4099));
    executor.kind = kind;
    executor.rack = fmt::format("r{}", number / 8);
    executor.address = this->Listen(
        [&executor](const ServedRequest& request, Respond respond) {
          executor.Serve(request, std::move(respond));
        });
    executor.Begin();
    executor.Register();
    return executor;
  }

  // Publishes the configuration: one queue for each priority.
  void Configure() {
    Json routes = Json::array();
    for (const auto& [name, priority, attempts] :
         {std::tuple("crew-dispatch", 0, 4), std::tuple("photo-verify", 1, 4),
          std::tuple("offender-match", 2, 4)}) {
      routes.push_back({{"Name", name},
                        {"Host", "nony24.example"},
                        {"PathPrefix", fmt::format("/{}/", name)},
                        {"Kind", "non_idempotent"},
                        {"TimeoutMs", 3000},
                        {"TargetDurationMs", 3000},
                        {"Priority", priority},
                        {"Service", "signal-dechets"},
                        {"MaxAttempts", attempts},
                        {"Stretch", 3.0},
                        {"Public", false}});
    }
    const Json config = {{"Version", 7},
                         {"Routes", std::move(routes)},
                         {"Services",
                          {{{"Name", "signal-dechets"},
                            {"HealthPath", "/healthz"},
                            {"MaxConns", 64},
                            {"Protocol", "h1"},
                            {"Tls", false},
                            {"EnforcesCapacity", true},
                            {"Standby", false}}}},
                         {"Limits",
                          {{"MaxHeaderBytes", 16'384},
                           {"MaxBodyBytes", 262'144},
                           {"HeaderTimeoutMs", 3000},
                           {"IdleTimeoutMs", 15'000}}},
                         {"Tenants",
                          {{{"Name", "kaje80"},
                            {"ApiKeys", {kFirstKey}},
                            {"Priority", 1},
                            {"Guaranteed", {{"Gpu", 16}}}},
                           {{"Name", "bolu41"},
                            {"ApiKeys", {kSecondKey}},
                            {"Priority", 1},
                            {"Guaranteed", {{"Gpu", 32}}}}}}};
    this->store.Put("keyed.op", "config", config.dump());
  }

  // Starts the edge processes; returns whether all are ready and jobs are
  // served within 20 seconds.
  bool StartEdges(int count) {
    for (int i = 0; i < count; ++i) {
      Edge& edge = this->edges.emplace_back();
      edge.name = fmt::format("edge-{}", i + 1);
      edge.front = this->FreeAddress();
      edge.ready = this->FreeAddress();
      edge.settings = fmt::format("{}/{}.toml", this->folder, edge.name);
      std::ofstream(edge.settings) << this->Settings(edge);
    }
    for (Edge& edge : this->edges) {
      ::setenv("CHICORYSTEP_NODE_FILE", edge.settings.c_str(), 1);
      edge.process.emplace(std::vector<std::string>{this->program},
                           fmt::format("{}/{}.log", this->folder, edge.name));
    }
    this->Tick();
    const auto ready = std::make_shared<std::set<std::string>>();
    const Clock::time_point end = Clock::now() + std::chrono::seconds(20);
    while (ready->size() < this->edges.size() && Clock::now() < end) {
      for (const Edge& edge : this->edges) {
        this->Send(edge.ready, "GET", "/chicorystep/readyz", kFirstKey, "",
                   [ready, name = edge.name](const HttpReply& reply) {
                     if (reply.status == 200) {
                       ready->insert(name);
                     }
                   });
      }
      this->RunFor(milliseconds(300));
    }
    // One of them becomes the holder in this time.
    this->RunFor(milliseconds(2000));
    return ready->size() == this->edges.size();
  }

  // Hands the job in at an edge; a client repeats a call that was not accepted
  // `retries` times, at other edges, after the time that it is told.
  void Submit(Job& job,
              const std::string& queue,
              std::size_t edge,
              int retries) {
    Json steps = Json::array();
    for (const Step& step : job.steps) {
      Json row = {{"Count", step.count},
                  {"Cpu", step.cpu},
                  {"MemMb", step.mem},
                  {"EstimateMs", step.work_ms}};
      if (step.gpu > 0) {
        row["Gpu"] = step.gpu;
      }
      if (!step.label.empty()) {
        row["Requires"] = step.label;
      }
      for (const auto& [name, set] : {std::pair("LongRunning", step.lasts),
                                      std::pair("SavesProgress", step.saves),
                                      std::pair("Gang", step.gang)}) {
        if (set) {
          row[name] = true;
        }
      }
      steps.push_back(std::move(row));
    }
    const Json body = {{"Spec", job.spec}, {"Steps", std::move(steps)}};
    const Edge& to = this->edges[edge % this->edges.size()];
    this->Write(fmt::format("client sends job {} to {}", job.id, to.name));
    this->Send(
        to.front, "POST", fmt::format("/{}/{}", queue, job.id), job.key,
        body.dump(),
        [this, &job, queue, edge, retries,
         name = to.name](const HttpReply& reply) {
          job.answers.push_back(reply.status);
          this->Write(fmt::format("client gets {} for job {} from {} {}",
                                  reply.status, job.id, name,
                                  reply.status == 200 ? "" : reply.body));
          if (reply.status == 200 && job.accepted_ms < 0) {
            job.accepted_ms = this->Now();
          }
          if (reply.status == 200 || retries == 0) {
            job.decided = true;
            return;
          }
          this->After(milliseconds(1000), [this, &job, queue, edge, retries] {
            this->Submit(job, queue, edge + 1, retries - 1);
          });
        });
  }

  Job& AddJob(std::vector<Step> steps) {
    Job& job = this->jobs.emplace_back();
    job.id = fmt::format("{:016x}", 0x5c0e7a21d94b3600ULL + this->jobs.size());
    job.spec = fmt::format("work of {}", job.id);
    job.steps = std::move(steps);
    this->job_by_id[job.id] = &job;
    return job;
  }

  // Asks an edge for the state of a job.
  void GetState(const Job& job,
                const std::string& queue,
                std::size_t edge,
                std::function<void(int, std::string)> done) {
    const Edge& to = this->edges[edge % this->edges.size()];
    this->Send(to.front, "GET", fmt::format("/{}/{}", queue, job.id), job.key,
               "", [done = std::move(done)](const HttpReply& reply) {
                 const Json json = Json::parse(reply.body, nullptr, false);
                 done(reply.status, json.is_object()
                                        ? json.value("State", std::string())
                                        : std::string());
               });
  }

  // Called by an executor for each task that it begins on an order.
  void OnStart(const Executor& executor, const std::string& task, int run) {
    this->Write(
        fmt::format("{} begins task {} run {}", executor.id, task, run));
    ++this->starts;
    this->started_jobs.insert(task.substr(0, task.find('.')));
    for (const Executor& other : this->executors) {
      if (&other != &executor && other.up && other.running.contains(task)) {
        this->Break(fmt::format(
            "TWICE: task {} runs on {} (run {}) and on {} (run {}) at once",
            task, other.id, other.running.at(task).run, executor.id, run));
      }
    }
    const auto [from, to] = this->done_ends.equal_range(task);
    for (auto row = from; row != to; ++row) {
      row->second.restarted = true;
      if (row->second.noted) {
        this->BreakTwice(task, row->second);
      }
    }
    if (this->on_start) {
      this->on_start(executor, task, run);
    }
  }
  // A cursor has reached the ends of the executor up to `seen`.
  void NoteEnds(const std::string& executor, std::int64_t seen) {
    for (auto& [task, end] : this->done_ends) {
      if (end.executor == executor && end.number <= seen && !end.noted) {
        end.noted = true;
        if (end.restarted) {
          this->BreakTwice(task, end);
        }
      }
    }
  }
  // Ends that no cursor has reached count no more.
  void DropEnds(const std::string& executor) {
    std::erase_if(this->done_ends, [&](const auto& row) {
      return row.second.executor == executor && !row.second.noted;
    });
  }
  // The members of a gang's run that are present on executors that are up.
  std::vector<Run*> FindMembers(const std::string& task, int run) {
    const std::string step = task.substr(0, task.rfind('.') + 1);
    std::vector<Run*> members;
    for (Executor& executor : this->executors) {
      for (auto& [other, present] : executor.running) {
        if (executor.up && present.run == run && other.starts_with(step)) {
          members.push_back(&present);
        }
      }
    }
    return members;
  }
  void BreakTwice(const std::string& task, const DoneEnd& end) {
    this->Break(fmt::format(
        "TWICE: task {} was started again after its run {} ended done on {}, "
        "an end that was taken note of",
        task, end.run, end.executor));
  }
  void Break(const std::string& what) {
    this->Write("BROKEN " + what);
    this->broken.push_back(what);
  }

  // Writes the result and returns the exit code.
  int Finish() {
    for (const Edge& edge : this->edges) {
      if (edge.process->HasEnded()) {
        this->Write(edge.name + " ended by itself");
      }
    }
    this->Write(this->broken.empty() ? "result: held"
                                     : fmt::format("result: broken {} times",
                                                   this->broken.size()));
    fmt::print("{}\n", this->broken.empty() ? "held" : this->broken.front());
    return this->broken.empty() ? kHeld : kBroken;
  }
  int NotRun(const std::string& why) {
    this->Write("result: not run, " + why);
    fmt::print("not run: {}\n", why);
    return kNotRun;
  }

  asio::io_context context;
  std::string program;
  std::ofstream record;
  std::string folder;
  std::string ip;
  Clock::time_point began = Clock::now();
  bool trouble = true;
  Store store;
  Address store_address;
  std::deque<Executor> executors;
  std::deque<Edge> edges;
  std::deque<Job> jobs;
  std::map<std::string, Job*> job_by_id;
  std::set<std::string> started_jobs;
  std::uint64_t starts = 0;
  std::uint64_t orders = 0;
  std::multimap<std::string, DoneEnd> done_ends;
  std::vector<std::string> broken;
  std::function<void(const Executor&, const std::string&, int)> on_start;

 private:
  // Starts a listener on a free port.
  Address Listen(const chicorystep::platform::HttpServer::Handler& handler) {
    for (int tries = 0; tries < 100; ++tries) {
      auto& server = this->servers.emplace_back(this->context, handler);
      server.SetLimits(
          chicorystep::CallLimits{.max_body = chicorystep::Bytes(8 << 20),
                                  .head_timeout = std::chrono::seconds(60),
                                  .idle_timeout = std::chrono::seconds(60)});
      const Address address(this->FreeAddress());
      if (server.Listen(address)) {
        return address;
      }
    }
    throw std::runtime_error("no free port");
  }
  std::string FreeAddress() {
    asio::ip::tcp::acceptor probe(
        this->context,
        asio::ip::tcp::endpoint(asio::ip::make_address(this->ip), 0));
    return fmt::format("{}:{}", this->ip, probe.local_endpoint().port());
  }

  void Tick() {
    for (Executor& executor : this->executors) {
      executor.Advance();
    }
    this->After(milliseconds(10), [this] { this->Tick(); });
  }

  // Sends a client's call on a connection of its own.
  void Send(const std::string& to,
            const std::string& method,
            const std::string& path,
            const std::string& key,
            std::string body,
            std::function<void(const HttpReply&)> done) {
    auto& client = this->clients.emplace_back(this->context);
    client.Send(
        {.address = Address(to),
         .method = method,
         .target = path,
         .headers = {{"Host", "nony24.example"},
                     {"Authorization", "Token " + key},
                     {"X-Deadline-Ms", std::to_string(kDeadlineMs)},
                     {"Content-Type", "application/json"},
                     {"Connection", "close"}},
         .body = std::move(body),
         .timeout = milliseconds(kDeadlineMs + 500)},
        [done = std::move(done)](const HttpReply& reply) { done(reply); });
  }

  [[nodiscard]] std::string Settings(const Edge& edge) const {
    return fmt::format(
        "Node = \"{}\"\nRole = \"entry\"\nMachineClass = \"edge\"\n"
        "Serves = [\"edge\",\"control_plane\"]\nIp = \"{}\"\n"
        "Zone = \"tanger\"\nRegion = \"nord\"\n"
        "InternalPortRange = [{},{}]\nBootstrap = true\n"
        "CountsAsLoss = false\nDiscovery = \"platform\"\nEntry = \"vip\"\n"
        "HeartbeatMs = {}\nOrders = \"dispatch\"\n"
        "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
        "\"sched\",\"tenants\",\"platform\"]\n"
        "[Zones]\ntanger = \"nord\"\n"
        "[Listen]\nFront = \"{}\"\nReady = \"{}\"\n"
        "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\n"
        "MaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n"
        "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 4000\n"
        "AckMs = 5000\nCatchUpS = 4\nDrainMs = 3000\nGraceS = 6\n"
        "LossSlackMs = 200\nConfigApplyMs = 3000\nRollbackSlackMs = 250\n"
        "MaxSkewMs = 6000\nStrictRevoke = true\nRevokeMs = 5000\n"
        "RecoveryS = 12\nMaxHoldMs = {}\nStopGraceMs = {}\n"
        "GangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
        "early_ms = 250\nfinish_s = 14\nstatus_s = 120\nRemoteFactor = 3\n"
        "CheckpointIntervalS = 2\nRestoreMs = 100\nRequireFence = true\n"
        "LeaseMs = 3000\n"
        "[platform]\nAddress = \"{}\"\nform = \"log\"\nWritesPerS = 800\n"
        "ReadsPerS = 2000\nparts = 8\nAppendMs = {}.0\nPartMbS = 20.0\n"
        "ReadMbS = 80.0\nRecordBytes = {}\nCallBytes = 2097152\n"
        "keep_s = 300\nPartMb = 200\nTtlMinMs = 1000\n",
        edge.name, this->ip, 7000 + 16 * (&edge - &this->edges.front()),
        7015 + 16 * (&edge - &this->edges.front()), kHeartbeatMs, edge.front,
        edge.ready, kMaxHoldMs, kStopGraceMs, this->store_address.value,
        kAppendMs, kRecordBytes);
  }

  asio::signal_set signals{context, SIGTERM, SIGINT};
  std::deque<chicorystep::platform::HttpServer> servers;
  std::deque<chicorystep::platform::HttpClient> clients;
};

inline void Store::Serve(const ServedRequest& request, Respond respond) {
  if (this->down) {
    respond(ServedResponse{.status = 503, .body = "{}"});
    return;
  }
  if (request.path.ends_with("log-append")) {
    // A partition carries out its appends one after the other.
    Topic& topic = this->topics[GetField(request.query, "Topic")];
    topic.busy_until =
        std::max(topic.busy_until, Clock::now()) + milliseconds(kAppendMs);
    this->scene.After(std::chrono::duration_cast<milliseconds>(
                          topic.busy_until - Clock::now()),
                      [this, request, respond = std::move(respond)] {
                        if (this->down) {
                          respond(ServedResponse{.status = 503, .body = "{}"});
                        } else {
                          this->ServeAppend(request, respond);
                        }
                      });
  } else if (request.path.ends_with("log-read")) {
    this->ServeRead(
        request, respond,
        Clock::now() + milliseconds(GetNumber(request.query, "WaitMs")));
  } else if (request.path.ends_with("log-newest")) {
    this->ServeNewest(request, respond);
  } else {
    respond(ServedResponse{.status = 404, .body = "{}"});
  }
}

inline void Store::ServeAppend(const ServedRequest& request,
                               const Respond& respond) {
  const std::string name = GetField(request.query, "Topic");
  if (name == "keyed.op" || name == "keyed.servers") {
    respond(ServedResponse{.status = 403, .body = "{}"});
    return;
  }
  std::vector<std::string> records;
  std::vector<std::string> keys;
  std::string_view body = request.body;
  while (body.size() >= 4) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length = (length << 8) | static_cast<unsigned char>(body[i]);
    }
    body.remove_prefix(4);
    if (length > kRecordBytes || length > body.size() || length == 0) {
      ++this->too_long;
      this->scene.Write(fmt::format(
          "store rejects an append to {}: a record of {} bytes", name, length));
      respond(ServedResponse{.status = 400, .body = "{}"});
      return;
    }
    records.emplace_back(body.substr(0, length));
    keys.push_back(records.back().substr(
        1, static_cast<unsigned char>(records.back()[0])));
    body.remove_prefix(length);
  }
  Topic& topic = this->topics[name];
  const bool has_producer = !GetField(request.query, "Producer").empty();
  const std::uint64_t epoch = GetNumber(request.query, "epoch");
  const std::uint64_t sequence = GetNumber(request.query, "Seq");
  if (has_producer) {
    if (epoch < topic.epoch) {
      respond(ServedResponse{.status = 409, .body = R"({"Reason":"fenced"})"});
      return;
    }
    if (epoch > topic.epoch) {
      topic.repeats.clear();
    } else if (const auto repeat = topic.repeats.find(sequence);
               repeat != topic.repeats.end()) {
      respond(ServedResponse{.body = Json{{"Offset", repeat->second},
                                          {"End", topic.records.size()}}
                                         .dump()});
      return;
    } else if (sequence != topic.sequence + 1) {
      respond(ServedResponse{
          .status = 409,
          .body = Json{{"Reason", "seq"}, {"Seq", topic.sequence + 1}}.dump()});
      return;
    }
    topic.epoch = epoch;
    topic.sequence = sequence;
    topic.repeats[sequence] = topic.records.size();
    while (topic.repeats.size() > 5) {
      topic.repeats.erase(topic.repeats.begin());
    }
  }
  const std::uint64_t first = topic.records.size();
  for (const std::string& record : records) {
    this->Append(topic, record);
  }
  if (!has_producer && this->loses_answer && this->loses_answer(keys)) {
    // The response is dropped, which closes the connection.
    return;
  }
  respond(ServedResponse{
      .body = Json{{"Offset", first}, {"End", topic.records.size()}}.dump()});
}

inline void Store::ServeRead(const ServedRequest& request,
                             const Respond& respond,
                             Clock::time_point until) {
  if (this->down) {
    respond(ServedResponse{.status = 503, .body = "{}"});
    return;
  }
  const Topic& topic = this->topics[GetField(request.query, "Topic")];
  const std::uint64_t from = GetNumber(request.query, "From");
  if (from >= topic.records.size() && Clock::now() < until) {
    this->scene.After(milliseconds(5), [this, request, respond, until] {
      this->ServeRead(request, respond, until);
    });
    return;
  }
  const std::uint64_t most = 1024 * GetNumber(request.query, "MaxKb", 1024);
  std::string body;
  AddNumber(body, topic.records.size(), 8);
  AddNumber(body, 0, 8);
  for (std::uint64_t at = from; at < topic.records.size(); ++at) {
    const std::string& record = topic.records[at];
    if (at > from && body.size() + 4 + record.size() > most) {
      break;
    }
    AddNumber(body, record.size(), 4);
    body += record;
  }
  respond(ServedResponse{.content_type = "application/octet-stream",
                         .body = std::move(body)});
}

inline void Store::ServeNewest(const ServedRequest& request,
                               const Respond& respond) {
  constexpr std::size_t kMaxItems = 500;
  constexpr std::size_t kMaxPageBytes = 1 << 20;
  const Topic& topic = this->topics[GetField(request.query, "Topic")];
  Json items = Json::array();
  std::size_t bytes = 0;
  auto at = topic.newest.upper_bound(GetField(request.query, "DependsOn"));
  for (; at != topic.newest.end() && items.size() < kMaxItems &&
         bytes < kMaxPageBytes;
       ++at) {
    items.push_back({{"Key", at->first},
                     {"Value", ToBase64(at->second.second)},
                     {"Offset", at->second.first}});
    bytes += at->second.second.size();
  }
  respond(ServedResponse{.body = Json{{"items", std::move(items)},
                                      {"HasMore", at != topic.newest.end()},
                                      {"End", topic.records.size()}}
                                     .dump()});
}

inline void Executor::Begin() {
  this->up = true;
  this->born = UnixMs();
  this->began = Clock::now();
  this->fence = 0;
  this->leased_until = 0;
  this->running.clear();
  this->barred.clear();
  this->finished.clear();
  this->last_number = 0;
  this->beats = 0;
}

inline void Executor::Crash() {
  this->up = false;
  this->running.clear();
  // Drops the responses, which closes their connections.
  this->waiting.clear();
  this->held.clear();
  this->scene.DropEnds(this->id);
}

inline void Executor::Register() {
  this->scene.store.Put("keyed.servers", this->id,
                        Json{{"Service", this->service},
                             {"Address", this->address.value},
                             {"Zone", "tanger"},
                             {"Version", "v1"},
                             {"Slots", 8},
                             {"State", "ready"},
                             {"ColdLeftMs", 0},
                             {"Capacity",
                              {{"Cpu", this->capacity.cpu},
                               {"MemMb", this->capacity.mem},
                               {"Gpu", this->capacity.gpu}}},
                             {"Labels", {this->kind, this->rack}},
                             {"ClockMs", this->ReadClock()},
                             {"Seq", ++this->beats},
                             {"born", this->born}}
                            .dump());
}

inline void Executor::Extend(const Json& order) {
  if (const auto until = order.find("UntilMs"); until != order.end()) {
    this->leased_until = std::max(
        this->leased_until, std::min(until->get<std::int64_t>(),
                                     this->ReadClock() + this->max_hold_ms));
  }
}

inline ServedResponse Executor::Start(const Json& order) {
  const std::string task = order.at("Task").get<std::string>();
  const int run = order.at("Run").get<int>();
  Json answer = this->Answer();
  const auto reject = [&](const char* reason) {
    answer["Reason"] = reason;
    return ServedResponse{.status = 409, .body = answer.dump()};
  };
  if (order.at("UntilMs").get<std::int64_t>() <= this->ReadClock()) {
    return reject("late");
  }
  this->Extend(order);
  if (const auto present = this->running.find(task);
      present != this->running.end() && present->second.run == run) {
    return ServedResponse{.body = answer.dump()};
  }
  if (const auto bar = this->barred.find(task);
      this->running.contains(task) ||
      (bar != this->barred.end() && run <= bar->second)) {
    return reject("old");
  }
  const auto job = this->scene.job_by_id.find(task.substr(0, task.find('.')));
  if (job == this->scene.job_by_id.end()) {
    this->scene.Break("UNASKED: no client sent task " + task);
    return ServedResponse{.status = 400, .body = answer.dump()};
  }
  const std::size_t step_begin = task.find('.', task.find('.') + 1) + 1;
  const Step& need = job->second->steps.at(
      std::stoul(task.substr(step_begin, task.find('.', step_begin))));
  const Step used = this->Used();
  if (used.cpu + need.cpu > this->capacity.cpu ||
      used.mem + need.mem > this->capacity.mem ||
      used.gpu + need.gpu > this->capacity.gpu) {
    return reject("room");
  }
  if (order.at("Spec").get<std::string>() != job->second->spec) {
    this->scene.Break("UNASKED: another Spec for task " + task);
  }
  this->scene.OnStart(*this, task, run);
  this->running[task] = Run{.run = run, .need = need, .present = Clock::now()};
  return ServedResponse{.body = answer.dump()};
}

inline ServedResponse Executor::Stop(const Json& order) {
  const std::string task = order.at("Task").get<std::string>();
  const int run = order.at("Run").get<int>();
  int& bar = this->barred[task];
  bar = std::max(bar, run);
  if (const auto present = this->running.find(task);
      present != this->running.end() && present->second.run <= run) {
    present->second.stops =
        std::min(present->second.stops, Clock::now() + milliseconds(100));
  }
  return ServedResponse{.body = this->Answer().dump()};
}

inline ServedResponse Executor::Lists() const {
  Json answer = this->Answer();
  answer["Running"] = Json::array();
  for (const auto& [task, run] : this->running) {
    const auto age = std::chrono::duration_cast<std::chrono::seconds>(
                         Clock::now() - run.present)
                         .count();
    answer["Running"].push_back(
        {task, run.run,
         run.need.saves && age >= kCheckpointIntervalS
             ? fmt::format("{:08x}7a21d94b", age / kCheckpointIntervalS)
             : std::string(),
         50, run.need.cpu});
  }
  answer["Finished"] = Json::array();
  for (const Finished& end : this->finished) {
    if (answer["Finished"].size() == kMaxFinished) {
      break;
    }
    answer["Finished"].push_back({end.number, end.task, end.run, end.how, ""});
  }
  return ServedResponse{.body = answer.dump()};
}

inline void Executor::Serve(const ServedRequest& request, Respond respond) {
  if (this->latency == milliseconds(0)) {
    this->ServeNow(request, std::move(respond));
    return;
  }
  Respond later =
      [this, respond = std::move(respond)](const ServedResponse& response) {
        this->scene.After(this->latency,
                          [respond, response] { respond(response); });
      };
  this->scene.After(this->latency, [this, request, later = std::move(later)] {
    this->ServeNow(request, later);
  });
}

inline std::int64_t Executor::Hold(const Json& order) {
  this->fence = order.value("Fence", std::uint64_t{0});
  this->Extend(order);
  const auto seen = order.value("AckCursor", std::int64_t{0});
  this->scene.NoteEnds(this->id, seen);
  std::erase_if(this->finished,
                [&](const Finished& end) { return end.number <= seen; });
  return order.value("WaitMs", std::int64_t{0});
}

inline void Executor::ServeNow(const ServedRequest& request, Respond respond) {
  if (!this->up) {
    // The response is dropped, which closes the connection.
    return;
  }
  if (request.path == "/healthz") {
    respond(ServedResponse{});
    return;
  }
  if (const auto expected = request.headers.find("x-expect-instance");
      expected != request.headers.end() && expected->second != this->id) {
    respond(ServedResponse{.status = 421, .body = this->Answer().dump()});
    return;
  }
  ++this->scene.orders;
  const Json order = Json::parse(request.body);
  const std::uint64_t given = order.value("Fence", std::uint64_t{0});
  if (given < this->fence) {
    Json answer = this->Answer();
    answer["Reason"] = "fence";
    respond(ServedResponse{.status = 409, .body = answer.dump()});
    return;
  }
  if (request.path.ends_with("run-start")) {
    const std::string task = order.at("Task").get<std::string>();
    const int run = order.at("Run").get<int>();
    const Health now = this->health ? this->health(task, run) : Health::kGood;
    if (now == Health::kRejects) {
      this->scene.Write(fmt::format("{} answers 503 to start {} run {}",
                                    this->id, task, run));
      respond(ServedResponse{.status = 503, .body = this->Answer().dump()});
      return;
    }
    this->fence = given;
    const ServedResponse answer = this->Start(order);
    if (now == Health::kLosesAnswer) {
      this->scene.Write(fmt::format(
          "{} breaks the connection of start {} run {}, status would be {}",
          this->id, task, run, answer.status));
      return;
    }
    respond(answer);
  } else if (request.path.ends_with("run-stop")) {
    this->fence = given;
    respond(this->Stop(order));
  } else if (request.path.ends_with("hold")) {
    if (const milliseconds delay =
            this->delays_hold ? this->delays_hold() : milliseconds(0);
        delay > milliseconds(0)) {
      this->held.push_back(std::move(respond));
      this->scene.Write(
          fmt::format("{} leaves a hold with cursor {} "
                      "unanswered",
                      this->id, order.value("AckCursor", std::int64_t{0})));
      this->scene.After(delay, [this, order, given] {
        if (this->up && given >= this->fence) {
          this->scene.Write(fmt::format(
              "{} carries a late hold out, cursor {}, {} ends listed", this->id,
              order.value("AckCursor", std::int64_t{0}),
              this->finished.size()));
          (void)this->Hold(order);
        }
      });
      return;
    }
    const std::int64_t wait = this->Hold(order);
    if (wait > 0 && this->finished.empty()) {
      this->waiting.push_back(
          Waiting{.until = Clock::now() + milliseconds(wait),
                  .respond = std::move(respond)});
    } else {
      respond(this->Lists());
    }
  } else {
    respond(ServedResponse{.status = 404, .body = "{}"});
  }
}

inline void Executor::End(const std::string& task, const std::string& how) {
  const auto present = this->running.find(task);
  const int run = present->second.run;
  this->running.erase(present);
  int& bar = this->barred[task];
  bar = std::max(bar, run);
  this->finished.push_back(Finished{
      .number = ++this->last_number, .task = task, .run = run, .how = how});
  this->scene.Write(
      fmt::format("{} ends task {} run {}: {}", this->id, task, run, how));
  if (how == "done") {
    this->scene.done_ends.emplace(
        task,
        DoneEnd{.executor = this->id, .number = this->last_number, .run = run});
  }
}

// Returns how the run ends now, or nothing. A task begins to work at its start,
// those of a gang when all are present.
inline std::string Executor::HowEnded(const std::string& task,
                                      const Run& run,
                                      Clock::time_point now) {
  if (this->ReadClock() > this->leased_until) {
    return "lapsed";
  }
  if (now >= run.stops) {
    return "stopped";
  }
  if (now >= run.ends) {
    return this->faulty ? "failed" : "done";
  }
  if (run.need.lasts) {
    return "";
  }
  const auto work =
      milliseconds(this->faulty ? std::min<std::int64_t>(run.need.work_ms, 1000)
                                : run.need.work_ms);
  if (!run.need.gang) {
    this->running.at(task).ends = run.present + work;
    return "";
  }
  const std::vector<Run*> members = this->scene.FindMembers(task, run.run);
  const bool whole = std::cmp_equal(members.size(), run.need.count);
  if (run.ends == Clock::time_point::max()) {
    if (whole) {
      for (Run* member : members) {
        member->ends = now + work;
      }
    }
    return !whole && now - run.present > milliseconds(kGangTimeoutMs) ? "alone"
                                                                      : "";
  }
  return whole ? "" : "broken";
}

inline void Executor::Advance() {
  if (!this->up) {
    return;
  }
  const Clock::time_point now = Clock::now();
  if (now - this->began > milliseconds((this->beats + 1) * kHeartbeatMs)) {
    this->beats = (now - this->began) / milliseconds(kHeartbeatMs);
  }
  if (this->ReadClock() > this->leased_until) {
    this->scene.DropEnds(this->id);
  }
  std::vector<std::string> present;
  for (const auto& [task, run] : this->running) {
    present.push_back(task);
  }
  for (const std::string& task : present) {
    const std::string how = this->HowEnded(task, this->running.at(task), now);
    if (!how.empty()) {
      this->End(task, how);
    }
  }
  const bool has_ends = !this->finished.empty();
  const auto is_due = [&](const Waiting& hold) {
    return has_ends || now >= hold.until;
  };
  for (const Waiting& hold : std::exchange(this->waiting, {})) {
    if (is_due(hold)) {
      hold.respond(this->Lists());
    } else {
      this->waiting.push_back(hold);
    }
  }
}

// Runs a script; the arguments are the edge program and the file to record to.
inline int RunScript(int argc, char** argv, int (*play)(Scene&)) {
  if (argc != 3) {
    return kNotRun;
  }
  try {
    Scene scene(argv[1], argv[2]);
    return play(scene);
  } catch (const std::exception& error) {
    fmt::print("not run: {}\n", error.what());
    return kNotRun;
  }
}

}  // namespace review

#endif  // REVIEW_STANDIN_SCENE_H_
