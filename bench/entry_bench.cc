// Measures one real chicorystep-entry on loopback with an executor stand-in,
// against calling the stand-in directly. Starts the programs beside it.

#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/support/goals.h"
#include "chicorystep/encoding/instance_list.h"
#include "chicorystep/standin/executor_standin.h"
#include "chicorystep/standin/instances_standin.h"
#include "chicorystep/standin/log_standin.h"
#include "chicorystep/traffic/headers.h"
#include "chicorystep/traffic/http_client.h"

extern char** environ;

namespace chicorystep {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kThreads = 64;
constexpr std::size_t kBodySize = 8 << 10;
constexpr int kExecutors = 4;
constexpr int kConnectedCallers = 2000;
// For the short form.
constexpr int kQuickCallers = 100;
constexpr Duration kQuickTime = milliseconds(500);

// A program that is killed at the end of its scope.
struct Child {
  pid_t pid = -1;

  explicit Child(std::vector<std::string> words) {
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn(&this->pid, arguments[0], nullptr, nullptr, arguments.data(),
                environ);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
  }
};

// User and system time of a process so far, in seconds.
double ProcessorSeconds(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string word;
  double ticks = 0;
  for (int i = 1; i <= 15 && file >> word; ++i) {
    ticks += i >= 14 ? std::stod(word) : 0;
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double ProcessorSeconds(const std::vector<std::unique_ptr<Child>>& children) {
  double sum = 0;
  for (const auto& child : children) {
    sum += ProcessorSeconds(child->pid);
  }
  return sum;
}

// Resident memory of a process, in MiB.
double ResidentMib(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/statm", pid));
  double pages = 0;
  file >> pages >> pages;
  return pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

struct Load {
  std::string path;
  std::vector<Address> targets;
  int callers = 16;
  // Pause of each caller between two requests; zero for none.
  Duration pause{};
  Duration time = seconds(4);
};

struct LoadResult {
  double per_second = 0;
  Duration p50{};
  Duration p99{};
  std::uint64_t failed = 0;
};

LoadResult RunLoad(const Load& load) {
  std::vector<std::vector<Duration>> latencies(
      static_cast<std::size_t>(load.callers));
  std::atomic<std::uint64_t> failed = 0;
  const std::string body(kBodySize, 'x');
  const auto end = Clock::now() + load.time;
  {
    std::vector<std::jthread> threads;
    for (int c = 0; c < load.callers; ++c) {
      threads.emplace_back([&, c] {
        const auto caller = static_cast<std::size_t>(c);
        auto client = MakeHttpClient(load.targets[caller % load.targets.size()],
                                     seconds(5));
        SetExchangeTimeout(*client, seconds(10));
        for (std::uint64_t n = 0; Clock::now() < end; ++n) {
          const auto start = Clock::now();
          const auto answer =
              client->Post(load.path,
                           {{kRequestIdHeader, fmt::format("{}-{}", c, n)},
                            {kWorkspaceHeader, "w1"}},
                           body, "application/octet-stream");
          if (!answer || answer->status != 200 || answer->body != body) {
            ++failed;
          } else {
            latencies[caller].push_back(
                std::chrono::duration_cast<Duration>(Clock::now() - start));
          }
          if (load.pause > Duration{}) {
            std::this_thread::sleep_for(load.pause);
          }
        }
      });
    }
  }
  std::vector<Duration> all;
  for (const auto& part : latencies) {
    all.insert(all.end(), part.begin(), part.end());
  }
  std::sort(all.begin(), all.end());
  LoadResult result{.failed = failed};
  if (!all.empty()) {
    result.per_second = static_cast<double>(all.size()) /
                        std::chrono::duration<double>(load.time).count();
    result.p50 = all[all.size() / 2];
    result.p99 = all[all.size() * 99 / 100];
  }
  return result;
}

// The stand-ins of the platform in this process.
struct Platform {
  LogStandin log;
  InstancesStandin instances;
  HttpServer log_server{HttpServerOptions{.threads = 16}};
  HttpServer instances_server{HttpServerOptions{.threads = 8}};

  ~Platform() {
    const std::scoped_lock lock(this->log.mutex);
    this->log.stopping = true;
    this->log.appended.notify_all();
  }
};

std::uint16_t FreePort() {
  HttpServer probe{HttpServerOptions{.threads = 1}};
  return probe.Start("127.0.0.1", 0) ? probe.Port() : 0;
}

Address LocalAddress(std::uint16_t port) {
  return Address(fmt::format("127.0.0.1:{}", port));
}

bool Publish(const std::string& bin,
             const std::filesystem::path& folder,
             const Address& log) {
  const auto file = folder / "tables.ini";
  std::ofstream(file)
      << "[route echo]\nservice = echo\npool = main\ndeadline = 10s\n"
         "idempotent = yes\nmax_request = 1MiB\nmax_answer = 1MiB\n"
         "max_attempts = 3\n[pool main w1]\nweight = 1\nborrows = yes\n";
  const Child publish(
      {bin + "/chicorystepctl", "--log", log.value, "publish", file.string()});
  int status = 0;
  ::waitpid(publish.pid, &status, 0);
  return status == 0;
}

double Served(const Load& load, const LoadResult& result) {
  return std::chrono::duration<double>(load.time).count() * result.per_second;
}

void PrintLoad(const std::string& name, const LoadResult& result) {
  fmt::print("{:<34} {:>9.0f}/s  p50 {:>7} us  p99 {:>7} us  failed {}\n", name,
             result.per_second, result.p50.count(), result.p99.count(),
             result.failed);
}

// Processor time and memory with many callers that only hold connections.
// The stated goal (issue 6) for a process with 2,000 connected callers.
constexpr double kMostMemoryMib = 256;

void MeasureConnected(const Address& entry,
                      pid_t pid,
                      int callers,
                      Goals& goals) {
  std::vector<std::unique_ptr<httplib::Client>> idle;
  for (int i = 0; i < callers; ++i) {
    idle.push_back(MakeHttpClient(entry, seconds(5)));
    (void)idle.back()->Get("/v1/jobs/none", {{kWorkspaceHeader, "w1"}});
  }
  const double before = ProcessorSeconds(pid);
  std::this_thread::sleep_for(seconds(4));
  fmt::print("{} callers connected and idle: {:.3f} cores, {:.0f} MiB\n",
             idle.size(), (ProcessorSeconds(pid) - before) / 4,
             ResidentMib(pid));
  Expect(goals, "memory_with_connected_callers",
         ResidentMib(pid) < kMostMemoryMib,
         fmt::format("{:.0f} MiB", ResidentMib(pid)));
  const LoadResult result = RunLoad({.path = "/v1/requests/echo",
                                     .targets = {entry},
                                     .callers = 1,
                                     .time = seconds(2)});
  PrintLoad("with them, 1 caller", result);
  Expect(goals, "serves_beside_connected_callers",
         result.per_second > 0 && result.failed == 0,
         fmt::format("{} failed", result.failed));
}

int Main(const std::string& bin, const BenchArguments& arguments) {
  Goals goals;
  const int connected = arguments.quick ? kQuickCallers : kConnectedCallers;
  const auto folder = std::filesystem::temp_directory_path() /
                      fmt::format("chicorystep-bench-{}", ::getpid());
  std::filesystem::create_directories(folder);
  Platform platform;
  AddLogRoutes(platform.log_server.Routes(), platform.log);
  AddInstancesRoutes(platform.instances_server.Routes(), platform.instances);
  (void)platform.log_server.Start("127.0.0.1", 0);
  (void)platform.instances_server.Start("127.0.0.1", 0);
  const Address log = LocalAddress(platform.log_server.Port());

  std::vector<std::unique_ptr<Child>> executors;
  const Address callers = LocalAddress(FreePort());
  const Address admin = LocalAddress(FreePort());
  InstanceList list;
  std::vector<Address> targets;
  for (int i = 0; i < kExecutors; ++i) {
    const std::uint16_t port = FreePort();
    executors.push_back(std::make_unique<Child>(std::vector<std::string>{
        bin + "/chicorystep-standin", "executor", "--port",
        std::to_string(port), "--slots", "64", "--connections", "128"}));
    targets.push_back(LocalAddress(port));
    list.executors.push_back(
        ListedExecutor{.id = ExecutorId(fmt::format("x{}", i)),
                       .address = targets.back(),
                       .zone = Zone("z1"),
                       .region = Region("r1"),
                       .service = Service("echo"),
                       .slots = Slots(64),
                       .connections = Connections(128)});
  }
  SetInstances(platform.instances, list);
  const auto settings = folder / "entry.ini";
  std::ofstream(settings) << fmt::format(
      "[instance]\nid = e1\nzone = z1\nregion = r1\nlog_level = error\n"
      "[listen]\ncallers = {}\npeers = {}\nadmin = {}\n"
      "[platform]\nlog = {}\ninstances = {}\n"
      "[callers]\nthreads = {}\n",
      callers.value, LocalAddress(FreePort()).value, admin.value, log.value,
      LocalAddress(platform.instances_server.Port()).value, connected + 100);
  const Child entry(
      {bin + "/chicorystep-entry", "--settings", settings.string()});
  if (!Publish(bin, folder, log)) {
    fmt::print(stderr, "entry_bench: the tables were not accepted\n");
    return 1;
  }
  for (int i = 0; i < 100; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    if (RunLoad({.path = "/v1/requests/echo",
                 .targets = {callers},
                 .callers = 1,
                 .time = milliseconds(20)})
            .failed == 0) {
      break;
    }
  }

  const Load direct{.path = "/v1/run/echo", .targets = targets};
  const Load through{.path = "/v1/requests/echo", .targets = {callers}};
  for (const int count : {1, 16, kThreads}) {
    Load load = direct;
    load.callers = count;
    load.time = arguments.quick ? kQuickTime : load.time;
    const double direct_before = ProcessorSeconds(executors);
    const LoadResult bare = RunLoad(load);
    const double direct_cpu = ProcessorSeconds(executors) - direct_before;
    PrintLoad(fmt::format("direct, {} callers", count), bare);
    load = through;
    load.callers = count;
    load.time = arguments.quick ? kQuickTime : load.time;
    const double before = ProcessorSeconds(entry.pid);
    const LoadResult result = RunLoad(load);
    const double used = ProcessorSeconds(entry.pid) - before;
    PrintLoad(fmt::format("through the entry, {} callers", count), result);
    Expect(goals, "entry_serves", result.per_second > 0 && result.failed == 0,
           fmt::format("{} callers, {} failed", count, result.failed));
    fmt::print(
        "  entry: {:.1f} us of processor a request; stand-in, direct: "
        "{:.1f} us\n",
        1e6 * used / std::max(1.0, Served(load, result)),
        1e6 * direct_cpu / std::max(1.0, Served(load, bare)));
  }
  MeasureConnected(callers, entry.pid, connected, goals);
  std::filesystem::remove_all(folder);
  return Finish(goals, arguments);
}

}  // namespace
}  // namespace chicorystep

int main(int argc, char** argv) {
  return chicorystep::Main(
      std::filesystem::absolute(argv[0]).parent_path().string(),
      chicorystep::ReadBenchArguments(argc, argv));
}
