// chicorystep-standin, small substitutes for the platform's services, executors
// and workers, for tests and the demonstration.

#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/core/version.h"
#include "chicorystep/encoding/instance_list.h"
#include "chicorystep/settings/values.h"
#include "chicorystep/standin/executor_standin.h"
#include "chicorystep/standin/instances_standin.h"
#include "chicorystep/standin/listener_faults.h"
#include "chicorystep/standin/log_standin.h"
#include "chicorystep/standin/worker_standin.h"

namespace chicorystep {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// The stand-ins of one process. They are in deques because handlers refer to
// them, so their addresses must not change.
struct Standins {
  LogStandin log;
  InstancesStandin instances;
  std::deque<ExecutorStandin> executors;
  std::deque<WorkerStandin> workers;
  // The fault state of each listener, in the order of `servers`.
  std::deque<FaultyListener> listeners;
  ListenerFaults faults;
  std::vector<std::unique_ptr<HttpServer>> servers;
};

HttpServer& AddServer(Standins& standins, std::int64_t threads) {
  standins.servers.push_back(
      std::make_unique<HttpServer>(HttpServerOptions{.threads = threads}));
  FaultyListener& listener = standins.listeners.emplace_back();
  listener.faults = standins.faults;
  AddListenerFaults(standins.servers.back()->Routes(), listener);
  return *standins.servers.back();
}

bool StartLog(Standins& standins, const cxxopts::ParseResult& arguments) {
  constexpr std::int64_t kThreads = 128;
  standins.log.faults.down = arguments["down"].as<bool>();
  standins.log.faults.lose_append_answers =
      arguments["lose-answers"].as<std::int64_t>();
  HttpServer& server = AddServer(standins, kThreads);
  AddLogRoutes(server.Routes(), standins.log);
  return server.Start("127.0.0.1", arguments["port"].as<std::uint16_t>());
}

bool LoadInstances(Standins& standins, const std::string& file) {
  const std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  const auto list = DecodeInstanceList(text.str());
  if (!list) {
    fmt::print(stderr, "{}: {}\n", file, list.error().detail);
    return false;
  }
  SetInstances(standins.instances, list.value());
  return true;
}

bool StartInstances(Standins& standins, const cxxopts::ParseResult& arguments) {
  constexpr std::int64_t kThreads = 64;
  if (arguments.count("file") != 0 &&
      !LoadInstances(standins, arguments["file"].as<std::string>())) {
    return false;
  }
  standins.instances.lag =
      std::chrono::milliseconds(arguments["lag-ms"].as<std::int64_t>());
  HttpServer& server = AddServer(standins, kThreads);
  AddInstancesRoutes(server.Routes(), standins.instances);
  return server.Start("127.0.0.1", arguments["port"].as<std::uint16_t>());
}

// Starts `count` stand-ins on consecutive ports.
bool StartMany(const cxxopts::ParseResult& arguments,
               const std::function<HttpServer&()>& add) {
  const auto first = arguments["port"].as<std::uint16_t>();
  const auto count = arguments["count"].as<std::uint16_t>();
  for (std::uint16_t i = 0; i < count; ++i) {
    if (!add().Start("127.0.0.1", static_cast<std::uint16_t>(first + i))) {
      return false;
    }
  }
  return true;
}

bool StartExecutors(Standins& standins, const cxxopts::ParseResult& arguments) {
  return StartMany(arguments, [&]() -> HttpServer& {
    ExecutorStandin& executor = standins.executors.emplace_back();
    executor.slots = Slots(arguments["slots"].as<std::int64_t>());
    executor.run_time =
        std::chrono::milliseconds(arguments["run-ms"].as<std::int64_t>());
    executor.faults.lose_answers = arguments["lose-answers"].as<std::int64_t>();
    executor.faults.cross_answers =
        arguments["cross-answers"].as<std::int64_t>();
    executor.faults.cut_answers = arguments["cut-answers"].as<std::int64_t>();
    HttpServer& server =
        AddServer(standins, arguments["connections"].as<std::int64_t>());
    AddExecutorRoutes(server.Routes(), executor);
    return server;
  });
}

bool StartWorkers(Standins& standins, const cxxopts::ParseResult& arguments) {
  // A connection that was silenced by --silent-after occupies a thread.
  constexpr std::int64_t kThreads = 32;
  return StartMany(arguments, [&]() -> HttpServer& {
    WorkerStandin& worker = standins.workers.emplace_back();
    worker.accelerators =
        Accelerators(arguments["accelerators"].as<std::int64_t>());
    worker.processors =
        Millicores(1000 * arguments["cores"].as<std::int64_t>());
    worker.memory =
        Mebibytes(1024 * arguments["memory-gib"].as<std::int64_t>());
    worker.faults.fail_starts = arguments["fail-starts"].as<bool>();
    worker.faults.lose_answers = arguments["lose-answers"].as<std::int64_t>();
    HttpServer& server = AddServer(standins, kThreads);
    AddWorkerRoutes(server.Routes(), worker);
    return server;
  });
}

using Starter = bool (*)(Standins&, const cxxopts::ParseResult&);

const std::map<std::string, Starter>& Starters() {
  static const std::map<std::string, Starter> starters = {
      {"log", StartLog},
      {"instances", StartInstances},
      {"executor", StartExecutors},
      {"worker", StartWorkers}};
  return starters;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "chicorystep-standin",
      "Stands in for the platform: log, instances, executor or worker.");
  options.positional_help("log|instances|executor|worker");
  options.add_options()("role", "What to stand in for",
                        cxxopts::value<std::string>())(
      "port", "First port on 127.0.0.1", cxxopts::value<std::uint16_t>())(
      "count", "How many executors or workers, on consecutive ports",
      cxxopts::value<std::uint16_t>()->default_value("1"))(
      "file", "instances: JSON file with the list",
      cxxopts::value<std::string>())(
      "lag-ms", "instances: delay before changes become visible",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "slots", "executor: requests run at once",
      cxxopts::value<std::int64_t>()->default_value("8"))(
      "connections", "executor: connections served at once",
      cxxopts::value<std::int64_t>()->default_value("64"))(
      "run-ms", "executor: run time of a request",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "accelerators", "worker: accelerators",
      cxxopts::value<std::int64_t>()->default_value("8"))(
      "cores", "worker: processor cores",
      cxxopts::value<std::int64_t>()->default_value("32"))(
      "memory-gib", "worker: memory in GiB",
      cxxopts::value<std::int64_t>()->default_value("128"))(
      "fail-starts", "worker: fail every start",
      cxxopts::value<bool>()->default_value("false"))(
      "down", "log: refuse every call",
      cxxopts::value<bool>()->default_value("false"))(
      "lose-answers",
      "log, executor, worker: the next calls that take effect but whose "
      "answer is lost",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "cross-answers", "executor: the next answers that name another request",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "cut-answers", "executor: the next answers that end early",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "refuse", "all: answer the next calls with 503 and do nothing",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "delay-ms", "all: wait before each call",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "silent-after",
      "all: calls answered on each connection before it stops answering",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "version", "Print the version")("help", "Print this help");
  options.parse_positional({"role"});
  return options;
}

int Serve(Starter start, const cxxopts::ParseResult& arguments) {
  Standins standins;
  standins.faults = ListenerFaults{
      .refuse = arguments["refuse"].as<std::int64_t>(),
      .delay =
          std::chrono::milliseconds(arguments["delay-ms"].as<std::int64_t>()),
      .silent_after = arguments["silent-after"].as<std::int64_t>()};
  if (!start(standins, arguments)) {
    fmt::print(
        stderr,
        "chicorystep-standin: cannot start: address not bound or list not "
        "readable\n");
    return kExitFailed;
  }
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const std::error_code&, int) {});
  context.run();
  for (FaultyListener& listener : standins.listeners) {
    ReleaseSilentCalls(listener);
  }
  {
    const std::scoped_lock lock(standins.log.mutex);
    standins.log.stopping = true;
    standins.log.appended.notify_all();
  }
  return 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      fmt::print("{}\n", options.help());
      return 0;
    }
    if (arguments.count("version") != 0) {
      fmt::print("chicorystep-standin {}\n", kVersion);
      return 0;
    }
    const std::string role =
        arguments.count("role") != 0 ? arguments["role"].as<std::string>() : "";
    const auto starter = Starters().find(role);
    if (starter == Starters().end() || arguments.count("port") == 0) {
      fmt::print(stderr,
                 "chicorystep-standin: a role and --port are required; see "
                 "--help\n");
      return kExitUsage;
    }
    return Serve(starter->second, arguments);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "chicorystep-standin: {}\n", error.what());
    return kExitUsage;
  }
}

}  // namespace
}  // namespace chicorystep

int main(int argc, char** argv) {
  return chicorystep::Main(argc, argv);
}
