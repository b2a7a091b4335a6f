// Measures one real chicorystep-entry on loopback with executor stand-ins, and
// compares it with direct calls to the stand-ins. Starts the programs that lie
// in the same folder.

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
#include <system_error>
#include <thread>
#include <utility>
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

constexpr int kMaxCallers = 64;
constexpr std::size_t kBodySize = 8 << 10;
constexpr int kExecutors = 4;
constexpr int kConnectedCallers = 2000;
// Used with --quick.
constexpr int kQuickCallers = 100;
constexpr Duration kQuickTime = milliseconds(500);

// A child process, killed by the destructor.
struct Child {
  pid_t pid = -1;

  explicit Child(std::vector<std::string> words) {
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const int error = posix_spawn(&this->pid, arguments[0], nullptr, nullptr,
                                  arguments.data(), environ);
    if (error != 0) {
      throw std::system_error(error, std::generic_category(), words[0]);
    }
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
    }
  }

  // Waits for the end of the process and returns its status.
  int Wait() {
    int status = 0;
    ::waitpid(std::exchange(this->pid, -1), &status, 0);
    return status;
  }
};

// Returns the user and system time that a process has used, in seconds.
double ReadProcessorSeconds(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string word;
  double ticks = 0;
  for (int i = 1; i <= 15 && file >> word; ++i) {
    ticks += i >= 14 ? std::stod(word) : 0;
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double ReadProcessorSeconds(
    const std::vector<std::unique_ptr<Child>>& children) {
  double sum = 0;
  for (const auto& child : children) {
    sum += ReadProcessorSeconds(child->pid);
  }
  return sum;
}

double ReadResidentMib(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/statm", pid));
  double pages = 0;
  file >> pages >> pages;
  return pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

struct Load {
  std::string path;
  std::vector<Address> targets;
  int callers = 16;
  // Pause of each caller between two requests.
  Duration pause{};
  Duration time = seconds(4);
};

struct LoadResult {
  double per_second = 0;
  Duration p50{};
  Duration p99{};
  std::uint64_t failed = 0;
  // What the first failed request got.
  std::string first_failure;
};

// Describes an answer that is not the expected one.
std::string DescribeAnswer(const httplib::Result& answer) {
  constexpr std::size_t kMaxBodyBytes = 200;
  return answer ? fmt::format("status {}: {}", answer->status,
                              answer->body.substr(0, kMaxBodyBytes))
                : httplib::to_string(answer.error());
}

LoadResult RunLoad(const Load& load) {
  std::vector<std::vector<Duration>> latencies(
      static_cast<std::size_t>(load.callers));
  std::atomic<std::uint64_t> failed = 0;
  std::string first_failure;
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
            if (failed++ == 0) {
              first_failure = DescribeAnswer(answer);
            }
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
  for (const auto& caller_latencies : latencies) {
    all.insert(all.end(), caller_latencies.begin(), caller_latencies.end());
  }
  std::sort(all.begin(), all.end());
  LoadResult result{.failed = failed, .first_failure = first_failure};
  if (!all.empty()) {
    result.per_second = static_cast<double>(all.size()) /
                        std::chrono::duration<double>(load.time).count();
    result.p50 = all[all.size() / 2];
    result.p99 = all[all.size() * 99 / 100];
  }
  return result;
}

// Stand-ins of the platform that run in this process.
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

std::uint16_t FindFreePort() {
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
  Child publish(
      {bin + "/chicorystepctl", "--log", log.value, "publish", file.string()});
  return publish.Wait() == 0;
}

double CountServed(const Load& load, const LoadResult& result) {
  return std::chrono::duration<double>(load.time).count() * result.per_second;
}

void PrintLoad(const std::string& name, const LoadResult& result) {
  fmt::print("{:<34} {:>9.0f}/s  p50 {:>7} us  p99 {:>7} us  failed {}\n", name,
             result.per_second, result.p50.count(), result.p99.count(),
             result.failed);
}

// The stated goal (issue 6) for a process with 2,000 connected callers.
constexpr double kMaxMemoryMib = 256;

// Measures processor time and memory with many callers that only hold
// connections, and checks that another caller is still served.
void MeasureConnected(const Address& entry,
                      pid_t pid,
                      int callers,
                      Goals& goals) {
  std::vector<std::unique_ptr<httplib::Client>> idle;
  for (int i = 0; i < callers; ++i) {
    idle.push_back(MakeHttpClient(entry, seconds(5)));
    (void)idle.back()->Get("/v1/jobs/none", {{kWorkspaceHeader, "w1"}});
  }
  const double before = ReadProcessorSeconds(pid);
  std::this_thread::sleep_for(seconds(4));
  fmt::print("{} callers connected and idle: {:.3f} cores, {:.0f} MiB\n",
             idle.size(), (ReadProcessorSeconds(pid) - before) / 4,
             ReadResidentMib(pid));
  Expect(goals, "memory_with_connected_callers",
         ReadResidentMib(pid) < kMaxMemoryMib,
         fmt::format("{:.0f} MiB", ReadResidentMib(pid)));
  const LoadResult result = RunLoad({.path = "/v1/requests/echo",
                                     .targets = {entry},
                                     .callers = 1,
                                     .time = seconds(2)});
  PrintLoad("with them, 1 caller", result);
  Expect(goals, "serves_beside_connected_callers",
         result.per_second > 0 && result.failed == 0,
         fmt::format("{} failed: {}", result.failed, result.first_failure));
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
  const Address callers = LocalAddress(FindFreePort());
  const Address admin = LocalAddress(FindFreePort());
  InstanceList list;
  std::vector<Address> targets;
  for (int i = 0; i < kExecutors; ++i) {
    const std::uint16_t port = FindFreePort();
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
      callers.value, LocalAddress(FindFreePort()).value, admin.value, log.value,
      LocalAddress(platform.instances_server.Port()).value, connected + 100);
  const Child entry(
      {bin + "/chicorystep-entry", "--settings", settings.string()});
  if (!Publish(bin, folder, log)) {
    fmt::print(stderr,
               "entry_bench: chicorystepctl could not publish the tables\n");
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

  const Load direct_load{.path = "/v1/run/echo", .targets = targets};
  const Load entry_load{.path = "/v1/requests/echo", .targets = {callers}};
  for (const int count : {1, 16, kMaxCallers}) {
    Load load = direct_load;
    load.callers = count;
    load.time = arguments.quick ? kQuickTime : load.time;
    const double direct_before = ReadProcessorSeconds(executors);
    const LoadResult direct_result = RunLoad(load);
    const double direct_cpu = ReadProcessorSeconds(executors) - direct_before;
    PrintLoad(fmt::format("direct, {} callers", count), direct_result);
    load = entry_load;
    load.callers = count;
    load.time = arguments.quick ? kQuickTime : load.time;
    const double before = ReadProcessorSeconds(entry.pid);
    const LoadResult result = RunLoad(load);
    const double used = ReadProcessorSeconds(entry.pid) - before;
    PrintLoad(fmt::format("through the entry, {} callers", count), result);
    Expect(goals, "entry_serves", result.per_second > 0 && result.failed == 0,
           fmt::format("{} callers, {} failed: {}", count, result.failed,
                       result.first_failure));
    fmt::print(
        "  entry: {:.1f} us of processor a request; stand-in, direct: "
        "{:.1f} us\n",
        1e6 * used / std::max(1.0, CountServed(load, result)),
        1e6 * direct_cpu / std::max(1.0, CountServed(load, direct_result)));
  }
  MeasureConnected(callers, entry.pid, connected, goals);
  std::filesystem::remove_all(folder);
  return Finish(goals, arguments);
}

}  // namespace
}  // namespace chicorystep

int main(int argc, char** argv) {
  try {
    return chicorystep::Main(
        std::filesystem::absolute(argv[0]).parent_path().string(),
        chicorystep::ReadBenchArguments(argc, argv));
  } catch (const std::system_error& error) {
    fmt::print(stderr, "entry_bench: {}\n", error.what());
    return 1;
  }
}
