#ifndef REVIEW_SUPPORT_3_DEPLOYMENT_H_
#define REVIEW_SUPPORT_3_DEPLOYMENT_H_

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "platform/endpoint.h"
#include "tests/support/platform_standin.h"
#include "tests/support/process.h"

// A small deployment on loopback: the entry processes of the deploy file and
// the project's stand-in of the platform, with bounds and limits as on the
// sheet of the site bssp-sched.
namespace chicorystep::review {

using testing::ChildProcess;
using testing::PlatformStandin;

using Clock = std::chrono::steady_clock;

// The limits of one machine on the sheet.
inline constexpr std::int64_t kMemoryMb = 260;
inline constexpr std::size_t kMaxBody = 262'144;
inline constexpr int kWorkers = 48;

// What was sent, answered and run, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  template <typename... Values>
  void Write(fmt::format_string<Values...> text, Values&&... values) {
    const std::scoped_lock lock(this->mutex);
    const double at =
        std::chrono::duration<double>(Clock::now() - this->began).count();
    this->file << fmt::format("{:8.3f} s  ", at)
               << fmt::format(text, std::forward<Values>(values)...) << '\n'
               << std::flush;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point began = Clock::now();
};

// Whether the case runs with its disruption.
inline bool IsTroubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

// The answer to a call; `status` is 0 if there was none.
struct Answer {
  int status = 0;
  std::string body;
};

// The resident memory of a process in bytes, or 0 if it has ended.
inline std::int64_t ResidentMemory(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/statm", pid));
  std::int64_t total = 0;
  std::int64_t resident = 0;
  file >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE);
}

// Makes a request of a caller.
inline std::string MakeRequest(std::string_view method,
                               std::string_view host,
                               std::string_view path,
                               std::string_view key,
                               int deadline_ms,
                               std::string_view body) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nX-Deadline-Ms: {}\r\n", method,
                  path, host, deadline_ms);
  if (!key.empty()) {
    text += fmt::format("Authorization: Token {}\r\n", key);
  }
  if (!body.empty()) {
    text +=
        fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n",
                    body.size());
  }
  text += "Connection: close\r\n\r\n";
  text += body;
  return text;
}

// Sends the bytes on a connection of its own and reads the answer.
inline Answer Exchange(const Address& address,
                       std::string_view bytes,
                       std::chrono::milliseconds limit) {
  const auto endpoint = platform::ParseEndpoint(address);
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(endpoint->port());
  peer.sin_addr.s_addr = htonl(endpoint->address().to_v4().to_uint());
  const int handle =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (handle < 0) {
    return {};
  }
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  (void)::connect(handle, reinterpret_cast<const sockaddr*>(&peer),
                  sizeof(peer));
  const auto end = Clock::now() + limit;
  std::string text;
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - Clock::now());
    pollfd ready{.fd = handle,
                 .events = static_cast<short>(
                     bytes.empty() ? POLLIN : (POLLIN | POLLOUT)),
                 .revents = 0};
    if (left.count() <= 0 ||
        ::poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    if ((ready.revents & POLLOUT) != 0 && !bytes.empty()) {
      const ssize_t sent =
          ::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        break;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    if ((ready.revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
      std::string piece(4096, '\0');
      const ssize_t size = ::recv(handle, piece.data(), piece.size(), 0);
      if (size <= 0) {
        break;
      }
      text.append(piece, 0, static_cast<std::size_t>(size));
    }
  }
  ::close(handle);
  Answer answer;
  const std::size_t head = text.find("\r\n\r\n");
  if (head != std::string::npos && text.starts_with("HTTP/1.1 ")) {
    answer.status = std::atoi(text.substr(9, 3).c_str());
    answer.body = text.substr(head + 4);
  }
  return answer;
}

// One entry machine: the process and what the platform knows of it.
struct Machine {
  std::string name;
  std::string settings;
  Address front;
  Address ready;
  std::optional<ChildProcess> process;
  int starts = 0;
  // How often the platform killed the process for its use of memory.
  int memory_kills = 0;
  std::int64_t peak_memory = 0;
  Clock::time_point start_again{};
};

class Deployment {
 public:
  Deployment(std::size_t machine_count,
             Record& run_record,
             const std::string& scratch)
      : folder(scratch), record(run_record), platform(context, 1) {
    this->platform.fleet.stop_grace = std::chrono::milliseconds(200);
    this->platform.fleet.longest_lease = std::chrono::milliseconds(6000);
    this->platform.fleet.AddWorkers(kWorkers);
    const Address workers = this->platform.ServeWorkers();
    for (EmulatedWorker& worker : this->platform.fleet.workers) {
      worker.started = BootTimeNow() - std::chrono::seconds(30);
      worker.listing.address = workers;
      this->platform.List(worker);
    }
    this->platform.Put("keyed.op", "config", this->MakeConfig());
    for (std::size_t i = 0; i < machine_count; ++i) {
      this->AddMachine(i);
    }
    this->Step();
    this->serving = std::thread([this] { this->context.run(); });
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment() {
    this->watching = false;
    if (this->watcher.joinable()) {
      this->watcher.join();
    }
    for (Machine& machine : this->machines) {
      machine.process.reset();
    }
    this->context.stop();
    this->serving.join();
  }

  // Starts all processes, and from then on does what the platform does with
  // them: one that uses more than the memory of its machine is killed, and one
  // that has ended is started again.
  void Start() {
    for (Machine& machine : this->machines) {
      this->StartProcess(machine);
    }
    this->watcher = std::thread([this] {
      while (this->watching) {
        this->Watch();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  }

  // Runs `action` on the thread of the platform's stand-in.
  template <typename Action>
  auto OnPlatform(Action action) {
    std::promise<decltype(action(this->platform))> result;
    asio::post(this->context, [&] {
      if constexpr (std::is_void_v<decltype(action(this->platform))>) {
        action(this->platform);
        result.set_value();
      } else {
        result.set_value(action(this->platform));
      }
    });
    return result.get_future().get();
  }

  // Whether the machine answers its readiness check with 200.
  [[nodiscard]] bool IsReady(std::size_t machine) const {
    return Exchange(this->machines[machine].ready,
                    "GET /chicorystep/readyz HTTP/1.1\r\nHost: h\r\n"
                    "Connection: close\r\n\r\n",
                    std::chrono::milliseconds(500))
               .status == 200;
  }
  bool AwaitReady(std::chrono::seconds limit) const {
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
      bool all = true;
      for (std::size_t i = 0; i < this->machines.size(); ++i) {
        all = all && this->IsReady(i);
      }
      if (all) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  std::vector<Machine> machines;

 private:
  static constexpr std::chrono::milliseconds kRestartDelay{500};

  // A queue whose callers have keys, and one that is public.
  [[nodiscard]] static std::string MakeConfig() {
    const auto route = [](const char* name, const char* prefix, int priority) {
      return nlohmann::json{{"Name", name},         {"Host", "desk.example"},
                            {"PathPrefix", prefix}, {"Service", "service"},
                            {"Priority", priority}, {"MaxAttempts", 4},
                            {"Stretch", 3.0},       {"TargetDurationMs", 1500}};
    };
    nlohmann::json open = route("reviews", "/reviews/", 1);
    open["Public"] = true;
    return nlohmann::json{
        {"Version", 3},
        {"Routes", {route("renewals", "/renewals/", 0), open}},
        {"Services", {{{"Name", "service"}, {"EnforcesCapacity", true}}}},
        {"Tenants",
         {{{"Name", "team"},
           {"ApiKeys", {"key-of-team"}},
           {"Guaranteed", {{"Gpu", 16}}}}}},
        {"Limits",
         {{"MaxHeaderBytes", 16'384},
          {"MaxBodyBytes", kMaxBody},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs", 15'000}}}}
        .dump();
  }

  void AddMachine(std::size_t number) {
    Machine machine{.name = fmt::format("edge-mass-east-{}", number + 1),
                    .front = this->platform.addresses.Next(),
                    .ready = this->platform.addresses.Next()};
    const Address store = this->platform.ServeStore(number);
    const Address own = this->platform.addresses.Next();
    const std::size_t colon = own.value.find(':');
    const std::string port = own.value.substr(colon + 1);
    machine.settings = fmt::format("{}/{}.toml", this->folder, machine.name);
    std::ofstream(machine.settings)
        << fmt::format("Node = \"{}\"\nRole = \"entry\"\n", machine.name)
        << "MachineClass = \"edge\"\nServes = [\"edge\",\"control_plane\"]\n"
        << fmt::format("Ip = \"{}\"\nZone = \"mass-east\"\nRegion = \"mass\"\n",
                       own.value.substr(0, colon))
        << fmt::format("InternalPortRange = [{},{}]\n", port, port)
        << "Bootstrap = true\nDiscovery = \"platform\"\nEntry = \"vip\"\n"
        << "HeartbeatMs = 1500\nOrders = \"dispatch\"\n"
        << fmt::format("[Listen]\nFront = \"{}\"\nReady = \"{}\"\n",
                       machine.front.value, machine.ready.value)
        << fmt::format(
               "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = {}\n"
               "MaxFds = 4100\n",
               kMemoryMb)
        << "[Bounds]\nContactMs = 4000\nAckMs = 5000\nGraceS = 6\n"
        << "StrictRevoke = true\nRevokeMs = 5000\nMaxHoldMs = 6000\n"
        << "StopGraceMs = 200\nGangTimeoutMs = 3000\ncancel_ms = 3000\n"
        << "visible_ms = 3000\nstatus_s = 120\n"
        << fmt::format("[platform]\nAddress = \"{}\"\nform = \"log\"\n",
                       store.value)
        << "RecordBytes = 262144\nCallBytes = 2097152\nkeep_s = 20\n";
    this->machines.push_back(std::move(machine));
  }

  void StartProcess(Machine& machine) {
    ::setenv("CHICORYSTEP_NODE_FILE", machine.settings.c_str(), 1);
    ++machine.starts;
    machine.process.emplace(
        std::vector<std::string>{"target/bin/chicorystep-edge"},
        fmt::format("{}/{}.{}.log", this->folder, machine.name,
                    machine.starts));
    this->record.Write("{} starts, process {}", machine.name,
                       machine.process->Pid());
  }

  void Watch() {
    for (Machine& machine : this->machines) {
      if (!machine.process) {
        if (Clock::now() >= machine.start_again) {
          this->StartProcess(machine);
        }
        continue;
      }
      if (machine.process->HasEnded()) {
        this->record.Write("{} has ended by itself, code {}", machine.name,
                           machine.process->Wait());
        machine.process.reset();
        machine.start_again = Clock::now() + kRestartDelay;
        continue;
      }
      const std::int64_t memory = ResidentMemory(machine.process->Pid());
      machine.peak_memory = std::max(machine.peak_memory, memory);
      if (memory > kMemoryMb << 20) {
        ++machine.memory_kills;
        this->record.Write(
            "{} uses {} MB, more than the {} MB of its machine: killed",
            machine.name, memory >> 20, kMemoryMb);
        machine.process.reset();
        machine.start_again = Clock::now() + kRestartDelay;
      }
    }
  }

  void Step() {
    this->platform.Step();
    this->platform.After(std::chrono::milliseconds(20),
                         [this] { this->Step(); });
  }

  std::string folder;
  Record& record;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> guard{
      context.get_executor()};
  PlatformStandin platform;
  std::thread serving;
  std::thread watcher;
  std::atomic<bool> watching = true;
};

}  // namespace chicorystep::review

#endif  // REVIEW_SUPPORT_3_DEPLOYMENT_H_
