// Measures the processor time and memory of an idle entry process by the number
// of callers that hold an idle connection.

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/support/goals.h"
#include "tests/support/cluster.h"
#include "tests/support/raw_http.h"

namespace chicorystep::testing {
namespace {

constexpr auto kSettleTime = std::chrono::seconds(3);
constexpr auto kIdleTime = std::chrono::seconds(10);
// Used with --quick.
constexpr auto kQuickIdleTime = std::chrono::seconds(1);

// Returns the user and system time that a process has used, in seconds.
double ReadProcessorSeconds(pid_t pid) {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string word;
  // User and system time are the 14th and 15th words. The 2nd word, the
  // program's name, contains no space here.
  for (int i = 0; i < 13; ++i) {
    stat >> word;
  }
  double user = 0;
  double system = 0;
  stat >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::string ReadResidentMemory(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return line.substr(line.find_first_of("0123456789"));
    }
  }
  return "?";
}

using Connections = std::vector<std::unique_ptr<RawConnection>>;

// Opens connections until `count` are open. Each sends one request and then
// stays idle.
bool ConnectIdle(const Cluster& cluster, std::size_t count, Connections& open) {
  while (open.size() < count) {
    auto connection =
        std::make_unique<RawConnection>(Address(cluster.addresses[0].callers));
    if (!connection->Send("GET /v1/jobs/all.0 HTTP/1.1\r\nHost: e\r\n"
                          "Workspace: w1\r\n\r\n")) {
      return false;
    }
    open.push_back(std::move(connection));
  }
  return true;
}

// Requests a job that does not exist and returns the whole answer, or nothing
// if the request could not be sent.
std::string RequestMissingJob(const Cluster& cluster) {
  RawConnection connection(Address(cluster.addresses[0].callers));
  if (!connection.Send("GET /v1/jobs/all.0 HTTP/1.1\r\nHost: e\r\n"
                       "Workspace: w1\r\nConnection: close\r\n\r\n")) {
    return "";
  }
  return connection.ReadToEnd();
}

int Main(const BenchArguments& arguments) {
  Goals goals;
  const auto idle_time = arguments.quick ? kQuickIdleTime : kIdleTime;
  const std::vector<std::size_t> counts =
      arguments.quick ? std::vector<std::size_t>{0, 100}
                      : std::vector<std::size_t>{0, 200, 1000};
  Cluster cluster(3, 3, 2);
  cluster.caller_threads = 1200;
  cluster.StartAll();
  if (!Eventually([&] { return cluster.AllReady(); }) ||
      cluster.Publish(kTables) != 0) {
    fmt::print(stderr,
               "idle_bench: the cluster did not become ready or did not "
               "accept the tables\n");
    return 1;
  }
  fmt::print("{:>14}  {:>12}  {:>10}  {}\n", "idle callers", "cpu s",
             "% of core", "resident");
  Connections open;
  for (const std::size_t callers : counts) {
    if (!ConnectIdle(cluster, callers, open)) {
      fmt::print(stderr,
                 "idle_bench: an idle caller could not send its request\n");
      return 1;
    }
    std::this_thread::sleep_for(kSettleTime);
    const pid_t pid = cluster.entries[0]->Pid();
    const double before = ReadProcessorSeconds(pid);
    std::this_thread::sleep_for(idle_time);
    const double used = ReadProcessorSeconds(pid) - before;
    fmt::print("{:>14}  {:>12.2f}  {:>10.2f}  {}\n", callers, used,
               100 * used / static_cast<double>(idle_time.count()),
               ReadResidentMemory(pid));
    const std::string answer = RequestMissingJob(cluster);
    Expect(goals, "serves_beside_idle_callers",
           answer.find(" 404 ") != std::string::npos,
           answer.substr(0, answer.find('\r')));
  }
  return Finish(goals, arguments);
}

}  // namespace
}  // namespace chicorystep::testing

int main(int argc, char** argv) {
  return chicorystep::testing::Main(
      chicorystep::ReadBenchArguments(argc, argv));
}
