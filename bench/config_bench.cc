// Measures how edits of the configuration come into force: delay, bytes,
// processor time and memory of real entry processes, and how the cost of each
// step grows with the size of the tables.

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "bench/support/goals.h"
#include "chicorystep/clients/log_client.h"
#include "chicorystep/encoding/config_snapshot.h"
#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/systems/cells/guarantee_check.h"
#include "chicorystep/systems/config/config_stream.h"
#include "tests/support/cluster.h"

namespace chicorystep::testing {
namespace {

using Clock = std::chrono::steady_clock;

Route MakeRoute(int row, std::int64_t attempts) {
  return Route{.kind = Kind(fmt::format("kind-{:05}", row)),
               .service = Service("echo"),
               .pool = PoolName("main"),
               .deadline = std::chrono::seconds(1),
               .max_request = Bytes{1 << 20},
               .max_answer = Bytes{1 << 20},
               .max_attempts = attempts};
}

Config MakeTables(int rows) {
  Config config;
  const PoolKey key{PoolName("main"), Workspace("w1")};
  config.pools.emplace(key, Pool{.key = key});
  for (int i = 0; i < rows; ++i) {
    Route route = MakeRoute(i, 1);
    config.routes.emplace(route.kind, route);
  }
  return config;
}

double MicrosecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
      .count();
}

void MeasureSteps() {
  fmt::print("rows  apply_us  snapshot_bytes  encode_us  decode_us\n");
  for (const int rows : {100, 1000, 10'000}) {
    Config config;
    (void)ApplyEdit(config, DiffConfig({}, MakeTables(rows)), RecordId("0"),
                    Offset(0));
    constexpr int kEdits = 1000;
    auto start = Clock::now();
    for (int i = 0; i < kEdits; ++i) {
      const Route route = MakeRoute(i % rows, 2 + i);
      const Revision base = config.routes.at(route.kind).revision;
      const LogRecord record{
          Offset(i + 1), RecordId(fmt::format("r{}", i)),
          EncodeEdit(
              Edit{"bench", {RouteChange{route.kind, base, route}}, {}})};
      if (!ApplyConfigRecord(config, record)) {
        fmt::print("an edit was rejected\n");
      }
    }
    const double apply = MicrosecondsSince(start) / kEdits;
    start = Clock::now();
    const std::string snapshot = EncodeSnapshot(config);
    const double encode = MicrosecondsSince(start);
    start = Clock::now();
    const bool decoded = DecodeSnapshot(snapshot).has_value();
    fmt::print("{:5} {:9.1f} {:15} {:10.0f} {:10.0f}{}\n", rows, apply,
               snapshot.size(), encode, MicrosecondsSince(start),
               decoded ? "" : " not decoded");
  }
  fmt::print("\nworkers  guarantee_check_us\n");
  for (const std::int64_t racks : {7, 240, 3400}) {
    const std::vector<WorkerGroup> groups = {{.racks = racks,
                                              .workers_per_rack = 8,
                                              .accelerators = Accelerators{8}}};
    const std::vector<Guarantee> guarantees = {
        {Zone("z"), racks / 2,
         Shape{.pieces = 8,
               .accelerators = Accelerators{8},
               .adjacency = Adjacency::kRack}},
        {Zone("z"), racks,
         Shape{.pieces = 2, .accelerators = Accelerators{8}}}};
    const auto start = Clock::now();
    const bool fits = GuaranteesFit(groups, guarantees);
    fmt::print("{:7} {:19.0f}{}\n", racks * 8, MicrosecondsSince(start),
               fits ? "" : " does not fit");
  }
}

// Resources that one process has used since its start; resident_mib is the
// present value.
struct Usage {
  double cpu_seconds = 0;
  double peer_bytes = 0;
  double log_bytes = 0;
  double resident_mib = 0;
};

struct BenchCluster : Cluster {
  // Concurrent runs use different port ranges, chosen by process id.
  static constexpr int kFirstPort = 22'000;
  static constexpr int kPortsPerRun = 200;
  static constexpr int kPortRanges = 50;

  explicit BenchCluster(int entry_count) : Cluster(entry_count, 0, 0) {
    // The ports lie below the ephemeral range, so that no outgoing connection
    // takes one of them.
    int port = kFirstPort + kPortsPerRun * (::getpid() % kPortRanges);
    const auto address = [&] { return fmt::format("127.0.0.1:{}", port++); };
    for (std::size_t i = 0; i < this->list.entries.size(); ++i) {
      EntryAddresses& entry = this->addresses[i];
      entry = {entry.id, address(), address(), address()};
      this->list.entries[i].region = Region(RegionOf(i));
      this->list.entries[i].address = chicorystep::Address(entry.peers);
    }
    SetInstances(this->instances.standin, this->list);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->Start(i);
    }
  }

  // Every third process is in the second region.
  static std::string RegionOf(std::size_t entry) {
    return entry % 3 == 2 ? "r2" : "r1";
  }

  void Start(std::size_t i) {
    const EntryAddresses& entry = this->addresses[i];
    const std::string settings = this->folder.Write(
        entry.id + ".ini",
        fmt::format("[instance]\nid = {}\nzone = z{}\nregion = {}\n"
                    "[listen]\ncallers = {}\npeers = {}\nadmin = {}\n"
                    "[platform]\nlog = {}\ninstances = {}\n"
                    "instances_interval = 5s\n[callers]\nthreads = 4\n"
                    "[jobs]\nworker_threads = 1\n",
                    entry.id, i % 3 + 1, RegionOf(i), entry.callers,
                    entry.peers, entry.admin, this->log.Address(),
                    this->instances.Address()));
    this->entries[i] = std::make_unique<ChildProcess>(std::vector<std::string>{
        Program("chicorystep-entry"), "--settings", settings});
  }

  [[nodiscard]] Usage ReadUsage(std::size_t i) const {
    const std::string folder =
        fmt::format("/proc/{}/", this->entries[i]->Pid());
    Usage usage;
    std::ifstream stat(folder + "stat");
    std::string word;
    constexpr int kUserTime = 14;
    constexpr int kResidentPages = 24;
    for (int field = 1; field <= kResidentPages && stat >> word; ++field) {
      if (field == kUserTime || field == kUserTime + 1) {
        usage.cpu_seconds +=
            std::stod(word) / static_cast<double>(::sysconf(_SC_CLK_TCK));
      } else if (field == kResidentPages) {
        usage.resident_mib = std::stod(word) *
                             static_cast<double>(::sysconf(_SC_PAGESIZE)) /
                             (1 << 20);
      }
    }
    // The kernel counts only read and write calls here. The peer connections
    // use these; the HTTP library does not, so its bytes are not included.
    std::ifstream io(folder + "io");
    double value = 0;
    while (io >> word >> value) {
      usage.peer_bytes += word == "rchar:" || word == "wchar:" ? value : 0;
    }
    const auto response =
        MakeHttpClient(chicorystep::Address(this->addresses[i].admin),
                       std::chrono::seconds(5))
            ->Get("/metrics");
    std::istringstream lines(response ? response->body : "");
    while (lines >> word) {
      if (word == "chicorystep_log_sent_bytes_total" ||
          word == "chicorystep_log_received_bytes_total") {
        if (lines >> word;
            word.find_first_not_of("0123456789.e+") == std::string::npos) {
          usage.log_bytes += std::stod(word);
        }
      }
    }
    return usage;
  }
};

// Returns how many other members `entry` reports as alive.
std::size_t CountAlive(const BenchCluster& cluster, std::size_t entry) {
  const auto response =
      MakeHttpClient(chicorystep::Address(cluster.addresses[entry].admin),
                     std::chrono::seconds(5))
          ->Get("/v1/state");
  std::size_t alive = 0;
  const std::string text = response ? response->body : "";
  for (auto at = text.find("\"alive\": true"); at != std::string::npos;
       at = text.find("\"alive\": true", at + 1)) {
    ++alive;
  }
  return alive;
}

std::int64_t WallClockMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Parses the time of day of a log line, "time=...Thh:mm:ss.mmmZ", into
// milliseconds.
std::int64_t ParseLogTimeOfDay(const std::string& line) {
  const auto at = line.find('T') + 1;
  const auto number = [&](std::size_t offset, std::size_t length) {
    return std::stoll(line.substr(at + offset, length));
  };
  return ((number(0, 2) * 60 + number(3, 2)) * 60 + number(6, 2)) * 1000 +
         number(9, 3);
}

// The time of day at which each revision was accepted, in milliseconds.
using AcceptanceTimes = std::map<std::uint64_t, std::int64_t>;

// Returns the sorted delays in milliseconds from acceptance to being in force,
// one for each revision and process, as read from the log file.
std::vector<std::int64_t> ReadDelays(const std::string& file,
                                     const AcceptanceTimes& accepted) {
  std::vector<std::int64_t> delays;
  std::ifstream stream(file);
  std::string line;
  while (std::getline(stream, line)) {
    const auto at = line.find("edit_in_force revision=");
    if (at == std::string::npos) {
      continue;
    }
    const auto revision = std::stoull(line.substr(at + 23));
    if (const auto found = accepted.find(revision); found != accepted.end()) {
      delays.push_back(ParseLogTimeOfDay(line) - found->second);
    }
  }
  std::sort(delays.begin(), delays.end());
  return delays;
}

// The stated goal (issue 4): an accepted edit is in force in all processes
// within this time.
constexpr std::int64_t kMaxInForceMs = 4000;

struct Phase {
  std::string name;
  int edits;
  Duration interval;
};

// Used with --quick.
const std::vector<Phase> kQuickPhases = {
    {"20 a second", 20, std::chrono::milliseconds(50)},
};

const std::vector<Phase> kPhases = {
    {"idle", 0, std::chrono::seconds(10)},
    {"26,000 a day", 6, std::chrono::microseconds(3'323'077)},
    {"20 a second", 100, std::chrono::milliseconds(50)},
};

struct Bench {
  BenchCluster cluster;
  Config config;
  std::string log_file;
  Goals& goals;

  LogServiceOptions LogOptions() {
    return {.address = chicorystep::Address(this->cluster.log.Address())};
  }

  // Appends one edit and returns its revision, or 0 if it was rejected.
  std::uint64_t Append(const Edit& edit) {
    LogRecord record{Offset{},
                     RecordId(fmt::format("b{}", this->config.next.value)),
                     EncodeEdit(edit)};
    const auto answer =
        AppendOnce(this->LogOptions(), ConfigStream(), {record});
    record.offset = answer.value().first;
    const auto verdict = ApplyConfigRecord(this->config, record);
    return verdict ? verdict.value().value : 0;
  }

  AcceptanceTimes PublishAll(const Phase& phase) {
    AcceptanceTimes accepted;
    auto due = Clock::now();
    for (int i = 0; i < phase.edits; ++i) {
      const Route& old = std::next(this->config.routes.begin(), i % 10)->second;
      Route row = old;
      row.max_attempts += 1;
      const std::uint64_t revision =
          this->Append(Edit{"bench", {{row.kind, old.revision, row}}, {}});
      accepted[revision] = WallClockMilliseconds() % (24LL * 3600 * 1000);
      due += phase.interval;
      std::this_thread::sleep_until(due);
    }
    return accepted;
  }

  void Run(const Phase& phase) {
    const std::size_t count = this->cluster.entries.size();
    std::vector<Usage> before;
    for (std::size_t i = 0; i < count; ++i) {
      before.push_back(this->cluster.ReadUsage(i));
    }
    const auto start = Clock::now();
    const AcceptanceTimes accepted = this->PublishAll(phase);
    if (accepted.empty()) {
      std::this_thread::sleep_for(phase.interval);
    }
    const bool complete = Eventually([&] {
      return ReadDelays(this->log_file, accepted).size() ==
             count * accepted.size();
    });
    const double seconds = MicrosecondsSince(start) / 1e6;
    this->Print(phase, accepted, before, seconds, complete);
    const auto delays = ReadDelays(this->log_file, accepted);
    Expect(this->goals, "in_force_everywhere",
           complete && (delays.empty() || delays.back() <= kMaxInForceMs),
           fmt::format("{} processes, {}: {} ms", count, phase.name,
                       delays.empty() ? 0 : delays.back()));
  }

  void Print(const Phase& phase,
             const AcceptanceTimes& accepted,
             const std::vector<Usage>& before,
             double seconds,
             bool complete) {
    double cpu = 0;
    double most_cpu = 0;
    double bytes = 0;
    double most_bytes = 0;
    double log_r2 = 0;
    double resident = 0;
    std::size_t alive = before.size();
    for (std::size_t i = 0; i < before.size(); ++i) {
      const Usage after = this->cluster.ReadUsage(i);
      const double used = (after.cpu_seconds - before[i].cpu_seconds) / seconds;
      const double log = (after.log_bytes - before[i].log_bytes) / seconds;
      const double moved =
          (after.peer_bytes - before[i].peer_bytes) / seconds + log;
      cpu += used / static_cast<double>(before.size());
      most_cpu = std::max(most_cpu, used);
      bytes += moved / static_cast<double>(before.size());
      most_bytes = std::max(most_bytes, moved);
      resident = std::max(resident, after.resident_mib);
      alive = std::min(alive, CountAlive(this->cluster, i) + 1);
      log_r2 += BenchCluster::RegionOf(i) == "r2" ? log : 0;
    }
    const auto delays = ReadDelays(this->log_file, accepted);
    const auto percentile = [&](double share) {
      return delays.empty()
                 ? 0
                 : delays[static_cast<std::size_t>(
                       share * static_cast<double>(delays.size() - 1))];
    };
    fmt::print(
        "{:5}  {:12}  {:7}  {:7}  {:7}  {:8.2f}  {:8.2f}  {:9.1f}  {:9.1f}  "
        "{:11.2f}  {:7.0f}  {:9}{}\n",
        before.size(), phase.name, percentile(0.5), percentile(0.99),
        percentile(1.0), 100 * cpu, 100 * most_cpu, bytes / 1000,
        most_bytes / 1000, log_r2 / 1000, resident, alive,
        complete ? "" : "  not everywhere within 30 s");
    std::fflush(stdout);
  }
};

void MeasureClusters(const std::vector<int>& sizes,
                     const std::vector<Phase>& phases,
                     Goals& goals) {
  ScratchFolder folder;
  const std::string file = folder.Write("entries.log", "");
  // The entry processes inherit standard error, and their log lines give the
  // time at which each edit comes into force.
  const int log = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  (void)::dup2(log, STDERR_FILENO);
  fmt::print(
      "\nnodes  edits         p50_ms   p99_ms   max_ms  cpu_mean%  cpu_max%  "
      "kB/s_mean  kB/s_max  log_r2_kB/s  rss_MiB  alive_min\n");
  for (const int size : sizes) {
    std::ofstream(file, std::ios::trunc).close();
    Bench bench{BenchCluster(size), {}, file, goals};
    if (!Eventually([&] { return bench.cluster.AllReady(); })) {
      Expect(goals, "cluster_gets_ready", false, std::to_string(size));
      continue;
    }
    (void)bench.Append(DiffConfig({}, MakeTables(200)));
    // Lets every process receive a heartbeat of every other.
    std::this_thread::sleep_for(std::chrono::seconds(8));
    for (const Phase& phase : phases) {
      bench.Run(phase);
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing

// Other arguments are the numbers of processes to measure, by default 9 and 60.
int main(int argc, char** argv) {
  using namespace chicorystep::testing;
  const chicorystep::BenchArguments arguments =
      chicorystep::ReadBenchArguments(argc, argv);
  chicorystep::Goals goals;
  if (arguments.quick) {
    MeasureClusters({3}, kQuickPhases, goals);
    return chicorystep::Finish(goals, arguments);
  }
  std::vector<int> sizes;
  for (const std::string& word : arguments.positional) {
    sizes.push_back(std::stoi(word));
  }
  MeasureSteps();
  MeasureClusters(sizes.empty() ? std::vector{9, 60} : sizes, kPhases, goals);
  return chicorystep::Finish(goals, arguments);
}
