// chicorystep-entry, the daemon that runs on every entry instance.

#include <fmt/format.h>

#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "chicorystep/clients/instance_list_client.h"
#include "chicorystep/clients/log_client.h"
#include "chicorystep/clients/worker_client.h"
#include "chicorystep/control/loop.h"
#include "chicorystep/core/logging.h"
#include "chicorystep/core/version.h"
#include "chicorystep/settings/entry_settings.h"
#include "chicorystep/systems/cells/claims.h"
#include "chicorystep/traffic/admin_server.h"
#include "chicorystep/traffic/caller_server.h"
#include "chicorystep/traffic/exchange.h"
#include "chicorystep/traffic/metrics.h"
#include "chicorystep/traffic/peers.h"

namespace chicorystep {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

Incarnation MakeIncarnation() {
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count()));
}

World MakeWorld(const EntrySettings& settings) {
  World world;
  world.self = Self{
      .id = settings.id,
      .incarnation = MakeIncarnation(),
      .address = settings.peers_address,
      .zone = settings.zone,
      .region = settings.region,
      .heartbeat_interval = settings.heartbeat_interval,
      .member_timeout = settings.member_timeout,
      .lease_time = settings.lease_time,
      .log_retention = settings.log_retention,
      .worker_poll_interval = settings.worker_poll_interval,
      .reclaim_grace = settings.reclaim_grace,
      .announce_time = settings.announce_time,
      .drain_time = settings.drain_time,
      .max_waiting_requests =
          static_cast<std::size_t>(settings.max_waiting_requests),
      .max_waiting_jobs = static_cast<std::size_t>(settings.max_waiting_jobs),
      .job_limits = {.max_pieces = settings.max_pieces,
                     .max_command = settings.max_command},
      .cells = settings.cells,
      .link_bytes_per_second = settings.link_bytes_per_second,
      .max_claims = static_cast<std::size_t>(settings.max_claims),
      .claim_window = settings.claim_window,
      .claim_timeout = settings.claim_timeout};
  world.requests.random.seed(
      static_cast<std::uint32_t>(world.self.incarnation.value));
  return world;
}

// The servers and clients of the process with their threads, and the state that
// they share. Members are destroyed in reverse order, so the clients stop
// before the objects that they post results to.
struct Process {
  explicit Process(const EntrySettings& entry_settings)
      : settings(entry_settings),
        executors(entry_settings.platform_timeout),
        control(
            MakeWorld(entry_settings),
            [this](Outbox&& outbox) {
              this->DispatchOutbox(std::move(outbox));
            },
            [this] { this->StopServing(); }),
        caller_context{this->control,  this->dispatcher, this->executors,
                       this->settings, this->refusals,   this->metrics},
        admin_context{this->control, this->metrics, this->refusals,
                      [this] { return this->callers->Received(); }} {}

  void DispatchOutbox(Outbox&& outbox);
  // Stops the callers' listener first, while the control loop still ends the
  // exchanges in flight, then the control loop. Both happen on a separate
  // thread, because the control loop calls this function and must not block.
  void StopServing();

  const EntrySettings& settings;
  Metrics metrics;
  RecentRefusals refusals;
  ExchangeDispatcher dispatcher;
  HttpClientPool executors;
  ControlLoop control;
  CallerContext caller_context;
  AdminContext admin_context;
  std::unique_ptr<Peers> peers;
  std::unique_ptr<LogClient> log;
  std::unique_ptr<InstanceListClient> instances;
  std::unique_ptr<WorkerClient> workers;
  std::unique_ptr<HttpServer> callers;
  // Shows what the callers occupy, so it ends before them.
  std::unique_ptr<HttpServer> admin;
  std::jthread stop_thread;
};

void Process::StopServing() {
  this->stop_thread = std::jthread([this] {
    this->callers->Stop();
    this->control.Stop();
  });
}

void Process::DispatchOutbox(Outbox&& outbox) {
  CountOutbox(this->metrics, outbox);
  for (const UnfollowStream& unfollow : outbox.unfollows) {
    this->log->Unfollow(unfollow.stream);
  }
  for (const FollowStream& follow : outbox.follows) {
    this->log->Follow(follow);
  }
  for (AppendRecord& append : outbox.appends) {
    this->log->Append(std::move(append));
  }
  for (SendHeartbeat& heartbeat : outbox.heartbeats) {
    this->peers->Send(std::move(heartbeat));
  }
  for (FetchConfig& fetch : outbox.config_fetches) {
    this->peers->Send(std::move(fetch));
  }
  for (ForwardJobOperation& forward : outbox.forwards) {
    this->peers->Send(std::move(forward));
  }
  for (SendWorkerCommands& message : outbox.worker_commands) {
    this->workers->Send(std::move(message));
  }
  for (SendAttempt& attempt : outbox.attempts) {
    this->dispatcher.Deliver(attempt.exchange, attempt);
  }
  for (EndExchange& end : outbox.ended_exchanges) {
    const ExchangeId exchange = end.exchange;
    this->dispatcher.Deliver(exchange, std::move(end));
  }
  for (EndJobOperation& end : outbox.ended_job_operations) {
    const ExchangeId exchange = end.exchange;
    this->dispatcher.Deliver(exchange, std::move(end));
  }
}

// Starts all servers and clients; returns false when an address cannot be
// bound.
bool Start(Process& process) {
  const EntrySettings& settings = process.settings;
  ControlLoop& control = process.control;
  RegisterMetrics(process.metrics);

  process.admin = std::make_unique<HttpServer>(HttpServerOptions{});
  AddAdminRoutes(process.admin->Routes(), process.admin_context);
  process.callers = std::make_unique<HttpServer>(
      HttpServerOptions{.threads = settings.caller_threads,
                        .keep_alive_requests = settings.keep_alive_requests,
                        .keep_alive_time = settings.keep_alive_time,
                        .read_timeout = settings.read_timeout,
                        .receive_timeout = settings.receive_timeout,
                        .max_head = settings.max_head,
                        .max_body = settings.max_body,
                        .max_received = settings.max_received,
                        .closes_stalled = true});
  AddCallerRoutes(process.callers->Routes(), process.caller_context);

  process.peers = std::make_unique<Peers>(
      Peers::Options{.listen = settings.peers_address,
                     .call_timeout = settings.platform_timeout},
      control, process.dispatcher);
  process.log = std::make_unique<LogClient>(
      LogServiceOptions{.address = settings.log_address,
                        .timeout = settings.platform_timeout,
                        .append_attempts = settings.append_attempts,
                        .read_rate = settings.log_read_rate,
                        .seed = MakeIncarnation().value},
      LogClient::Callbacks{
          .append_ended =
              [&control, &process](AppendEnded ended) {
                if (!ended.acknowledged) {
                  process.metrics.appends_unconfirmed->Increment();
                }
                control.Post([&](Inbox& inbox) {
                  inbox.appends_ended.push_back(std::move(ended));
                });
              },
          .batch =
              [&control](LogBatch batch) {
                control.Post([&](Inbox& inbox) {
                  inbox.log_batches.push_back(std::move(batch));
                });
              },
          .health_changed =
              [&control](LogHealthChange change) {
                control.Post([&](Inbox& inbox) {
                  inbox.log_health_changes.push_back(std::move(change));
                });
              },
          .traffic =
              [&metrics = process.metrics](const LogTraffic& traffic) {
                metrics.log_bytes_sent->Increment(
                    static_cast<double>(traffic.sent.value));
                metrics.log_bytes_received->Increment(
                    static_cast<double>(traffic.received.value));
              }});
  process.log->Follow(FollowStream{ClaimStream(), Offset{}});
  process.workers = std::make_unique<WorkerClient>(
      settings.worker_threads, settings.platform_timeout,
      [&control](WorkerAnswered answered) {
        control.Post([&](Inbox& inbox) {
          inbox.worker_answers.push_back(std::move(answered));
        });
      });
  process.instances = std::make_unique<InstanceListClient>(
      InstanceListOptions{.address = settings.instances_address,
                          .interval = settings.instances_interval,
                          .timeout = settings.platform_timeout},
      [&control](InstanceList list) {
        control.Post([&](Inbox& inbox) {
          inbox.instance_lists.push_back(std::move(list));
        });
      });
  return process.peers->IsListening() &&
         process.admin->Start(settings.admin_address) &&
         process.callers->Start(settings.callers_address);
}

int RunEntry(const EntrySettings& settings) {
  ConfigureLogging(settings.log_level, settings.id.value);
  Process process(settings);
  asio::signal_set signals(process.control.Context(), SIGTERM, SIGINT);
  signals.async_wait([&](const std::error_code& error, int) {
    if (!error) {
      process.control.Post([](Inbox& inbox) { inbox.stop = true; });
    }
  });
  if (!Start(process)) {
    Log(LogLevel::kError, "address_not_bound");
    return kExitFailed;
  }
  Log(LogLevel::kInfo, "started",
      {{"version", kVersion},
       {"build", BuildId()},
       {"zone", settings.zone.value},
       {"callers", settings.callers_address.value},
       {"peers", settings.peers_address.value},
       {"admin", settings.admin_address.value}});
  process.control.Run();
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

void PrintSettings() {
  for (const auto& [name, default_value, expected] : DescribeEntrySettings()) {
    fmt::print("{:<32} {:<12} {}\n", name,
               default_value.empty() ? "required" : default_value, expected);
  }
}

int Main(int argc, char** argv) {
  cxxopts::Options options("chicorystep-entry",
                           "Serves callers and holds placement cells.");
  options.add_options()("settings", "INI file with the settings (required)",
                        cxxopts::value<std::string>(), "FILE")(
      "help-settings", "Print every key of the settings, with its default")(
      "version", "Print the version")("help", "Print this help");
  std::string file;
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      fmt::print("{}\n", options.help());
      return 0;
    }
    if (arguments.count("help-settings") != 0) {
      PrintSettings();
      return 0;
    }
    if (arguments.count("version") != 0) {
      fmt::print("chicorystep-entry {} build={}\n", kVersion, BuildId());
      return 0;
    }
    if (arguments.count("settings") == 0 || !arguments.unmatched().empty()) {
      fmt::print(stderr, "chicorystep-entry: --settings FILE is required\n");
      return kExitBadSettings;
    }
    file = arguments["settings"].as<std::string>();
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "chicorystep-entry: {}\n", error.what());
    return kExitBadSettings;
  }
  const auto document = LoadIni(file);
  const auto settings = document
                            ? ReadEntrySettings(document.value())
                            : Result<EntrySettings, std::vector<SettingsFault>>(
                                  failure(document.error()));
  if (!settings) {
    for (const SettingsFault& fault : settings.error()) {
      fmt::print(stderr, "{}\n", ToString(fault));
    }
    return kExitBadSettings;
  }
  return RunEntry(settings.value());
}

}  // namespace
}  // namespace chicorystep

int main(int argc, char** argv) {
  return chicorystep::Main(argc, argv);
}
