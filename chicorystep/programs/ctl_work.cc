// The commands on work and state: request, submit, job, watch, cancel, state.

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "chicorystep/encoding/caller_messages.h"
#include "chicorystep/programs/ctl_commands.h"
#include "chicorystep/systems/job_records.h"
#include "chicorystep/traffic/headers.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(5);
constexpr Duration kAnswerMargin = std::chrono::seconds(30);
constexpr auto kWatchInterval = std::chrono::milliseconds(100);

std::unique_ptr<httplib::Client> ConnectTo(const CtlArguments& arguments,
                                           const char* option) {
  auto client = MakeHttpClient(
      Address(arguments.options[option].as<std::string>()), kConnectTimeout);
  const auto deadline =
      arguments.options.count("deadline-ms") != 0
          ? arguments.options["deadline-ms"].as<std::int64_t>()
          : 0;
  SetExchangeTimeout(*client,
                     std::chrono::milliseconds(deadline) + kAnswerMargin);
  return client;
}

std::string MakeRequestId() {
  std::random_device random;
  return fmt::format("{:08x}{:08x}", random(), random());
}

httplib::Headers MakeHeaders(const CtlArguments& arguments) {
  const auto& options = arguments.options;
  httplib::Headers headers = {
      {kRequestIdHeader, options.count("id") != 0
                             ? options["id"].as<std::string>()
                             : MakeRequestId()},
      {kWorkspaceHeader, options.count("workspace") != 0
                             ? options["workspace"].as<std::string>()
                             : ""}};
  if (options.count("deadline-ms") != 0) {
    headers.emplace(kDeadlineHeader,
                    std::to_string(options["deadline-ms"].as<std::int64_t>()));
  }
  return headers;
}

// Prints the answer, or why there is none, and returns the exit code.
int Finish(const httplib::Result& response) {
  if (!response) {
    fmt::print(stderr, "chicorystepctl: no answer ({}); outcome unknown\n",
               httplib::to_string(response.error()));
    return kCtlUnreachable;
  }
  if (response->status >= 300) {
    fmt::print(stderr, "{}\n", response->body);
    return kCtlFailed;
  }
  fmt::print("{}\n", response->body);
  return kCtlDone;
}

std::optional<std::string> OneWord(const CtlArguments& arguments,
                                   std::string_view what) {
  if (arguments.words.size() != 1) {
    fmt::print(stderr, "chicorystepctl: expected one {}\n", what);
    return std::nullopt;
  }
  return arguments.words.front();
}

std::optional<JobSpec> MakeSpec(const CtlArguments& arguments,
                                const std::string& kind) {
  const auto& options = arguments.options;
  const auto adjacency =
      FromName<Adjacency>(options["adjacent"].as<std::string>());
  if (!adjacency) {
    fmt::print(stderr,
               "chicorystepctl: --adjacent: expected none, rack or "
               "worker\n");
    return std::nullopt;
  }
  constexpr std::int64_t kMillicoresInCore = 1000;
  return JobSpec{
      .kind = Kind(kind),
      .shape =
          Shape{.pieces = options["pieces"].as<std::int64_t>(),
                .accelerators =
                    Accelerators(options["accelerators"].as<std::int64_t>()),
                .processors = Millicores(kMillicoresInCore *
                                         options["cores"].as<std::int64_t>()),
                .memory = Mebibytes(options["memory-mib"].as<std::int64_t>()),
                .adjacency = *adjacency},
      .command = options["command"].as<std::string>()};
}

}  // namespace

int RunRequest(const CtlArguments& arguments) {
  const auto kind = OneWord(arguments, "kind");
  if (!kind) {
    return kCtlUsage;
  }
  return Finish(ConnectTo(arguments, "entry")
                    ->Post("/v1/requests/" + *kind, MakeHeaders(arguments),
                           arguments.options["body"].as<std::string>(),
                           "application/octet-stream"));
}

int RunSubmit(const CtlArguments& arguments) {
  const auto kind = OneWord(arguments, "kind");
  const auto spec = kind ? MakeSpec(arguments, *kind) : std::nullopt;
  if (!spec) {
    return kCtlUsage;
  }
  return Finish(ConnectTo(arguments, "entry")
                    ->Post("/v1/jobs", MakeHeaders(arguments),
                           EncodeJobSpec(*spec), kJsonType));
}

int RunJob(const CtlArguments& arguments) {
  const auto job = OneWord(arguments, "job id");
  if (!job) {
    return kCtlUsage;
  }
  return Finish(ConnectTo(arguments, "entry")
                    ->Get("/v1/jobs/" + *job, MakeHeaders(arguments)));
}

int RunWatch(const CtlArguments& arguments) {
  const auto job = OneWord(arguments, "job id");
  if (!job) {
    return kCtlUsage;
  }
  const auto client = ConnectTo(arguments, "entry");
  std::optional<JobState> last;
  while (true) {
    const auto response =
        client->Get("/v1/jobs/" + *job, MakeHeaders(arguments));
    if (!response || response->status >= 300) {
      return Finish(response);
    }
    const auto status = DecodeJobStatus(response->body);
    if (!status) {
      fmt::print(stderr, "chicorystepctl: {}\n", status.error().detail);
      return kCtlFailed;
    }
    if (const JobState state = status.value().state; state != last) {
      last = state;
      fmt::print("{} {} {}\n", *job, NameOf(state), status.value().detail);
      if (HasEnded(state)) {
        return state == JobState::kDone ? kCtlDone : kCtlFailed;
      }
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

int RunCancel(const CtlArguments& arguments) {
  const auto job = OneWord(arguments, "job id");
  if (!job) {
    return kCtlUsage;
  }
  return Finish(ConnectTo(arguments, "entry")
                    ->Delete("/v1/jobs/" + *job, MakeHeaders(arguments)));
}

int RunState(const CtlArguments& arguments) {
  return Finish(ConnectTo(arguments, "admin")->Get("/v1/state"));
}

}  // namespace chicorystep
