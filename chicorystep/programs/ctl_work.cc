// The commands on requests, jobs and state: request, submit, job, watch,
// cancel, state and explain.

#include <fmt/format.h>

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "chicorystep/encoding/caller_messages.h"
#include "chicorystep/programs/ctl_commands.h"
#include "chicorystep/programs/ctl_render.h"
#include "chicorystep/systems/cells/job_records.h"
#include "chicorystep/traffic/headers.h"
#include "chicorystep/traffic/http_client.h"

namespace chicorystep {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(5);
// Added to the caller's deadline when waiting for an answer.
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

bool WantsJson(const CtlArguments& arguments) {
  return arguments.options.count("json") != 0;
}

// Prints a refusal to standard error: as text, or unchanged with --json or when
// it cannot be decoded.
void PrintRefusal(const CtlArguments& arguments, const std::string& body) {
  const auto refusal = DecodeRefusal(body);
  if (!refusal || WantsJson(arguments)) {
    fmt::print(stderr, "{}\n", body);
    return;
  }
  const Refusal& details = refusal.value();
  std::string line =
      fmt::format("refused: {}, outcome {}", EnumName(details.reason),
                  EnumName(details.execution));
  if (!details.detail.empty()) {
    line += ": " + details.detail;
  }
  if (details.retry_after > Duration{}) {
    line += fmt::format(
        "; repeat after {} ms",
        std::chrono::ceil<std::chrono::milliseconds>(details.retry_after)
            .count());
  }
  PrintError(line);
}

// Prints an error and returns the exit code when the call failed or was
// refused; returns nothing when it succeeded.
std::optional<int> ReportFailure(const CtlArguments& arguments,
                                 const httplib::Result& response) {
  if (!response) {
    PrintError(fmt::format("no answer ({}); outcome unknown",
                           httplib::to_string(response.error())));
    return kCtlUnreachable;
  }
  if (response->status >= 300) {
    PrintRefusal(arguments, response->body);
    return kCtlFailed;
  }
  return std::nullopt;
}

void PrintStatus(const JobStatus& status) {
  fmt::print("{} {}{}{}\n", status.id.value, EnumName(status.state),
             status.detail.empty() ? "" : ": ", status.detail);
  std::fflush(stdout);
}

// Prints the job status in an answer and returns the exit code.
int ReportJob(const CtlArguments& arguments, const httplib::Result& response) {
  if (const auto code = ReportFailure(arguments, response)) {
    return *code;
  }
  if (WantsJson(arguments)) {
    fmt::print("{}\n", response->body);
    return kCtlDone;
  }
  const auto status = DecodeJobStatus(response->body);
  if (!status) {
    PrintError(status.error().detail);
    return kCtlFailed;
  }
  PrintStatus(status.value());
  return kCtlDone;
}

std::optional<std::string> RequireOneArgument(const CtlArguments& arguments,
                                              std::string_view what) {
  if (arguments.words.size() != 1) {
    PrintError(fmt::format("expected one {}", what));
    return std::nullopt;
  }
  return arguments.words.front();
}

std::optional<JobSpec> MakeJobSpec(const CtlArguments& arguments,
                                   const std::string& kind) {
  const auto& options = arguments.options;
  const auto adjacency =
      EnumFromName<Adjacency>(options["adjacent"].as<std::string>());
  if (!adjacency) {
    PrintError("--adjacent: expected none, rack or worker");
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

// Prints the JSON document in an answer and returns the exit code.
int ReportDocument(const CtlArguments& arguments,
                   const httplib::Result& response) {
  if (const auto code = ReportFailure(arguments, response)) {
    return *code;
  }
  const Json document = Json::parse(response->body, nullptr, false);
  if (WantsJson(arguments) || !document.is_object()) {
    fmt::print("{}\n", response->body);
  } else {
    fmt::print("{}", RenderAsText(document));
  }
  return kCtlDone;
}

// Prints the refusals of one request and returns the exit code; fails when the
// entry process has none.
int ReportRefusals(const CtlArguments& arguments,
                   const httplib::Result& response) {
  if (response && response->status == 200) {
    const Json document = Json::parse(response->body, nullptr, false);
    if (document.is_object() && document.value("refusals", Json()).empty()) {
      PrintError("the entry process has no refusal of this request on record");
      return kCtlFailed;
    }
  }
  return ReportDocument(arguments, response);
}

// Reads a file, or standard input if its name is "-". Prints an error that
// names `what` and returns nothing when it cannot be read.
std::optional<std::string> ReadInput(const std::string& name,
                                     std::string_view what) {
  std::ostringstream text;
  if (name == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  const std::ifstream file(name, std::ios::binary);
  if (!file) {
    PrintError(fmt::format("{}: cannot read {}", what, name));
    return std::nullopt;
  }
  text << file.rdbuf();
  return text.str();
}

// Reads the body from --body, --body-file or standard input; empty when neither
// option is given. Prints an error and returns nothing when it cannot be read.
std::optional<std::string> ReadBody(const CtlArguments& arguments) {
  const auto& options = arguments.options;
  if (options.count("body") != 0 && options.count("body-file") != 0) {
    PrintError("--body and --body-file exclude each other");
    return std::nullopt;
  }
  if (options.count("body-file") == 0) {
    return options.count("body") != 0 ? options["body"].as<std::string>() : "";
  }
  return ReadInput(options["body-file"].as<std::string>(), "--body-file");
}

// Prints the explanation of a placement and returns the exit code; fails when
// the workflow would not be accepted.
int ReportPlacement(const CtlArguments& arguments,
                    const httplib::Result& response) {
  if (response && response->status != 200) {
    PrintError(
        fmt::format("the process does not explain the placement (status {})",
                    response->status));
    return kCtlFailed;
  }
  const int code = ReportDocument(arguments, response);
  if (code != kCtlDone) {
    return code;
  }
  const Json document = Json::parse(response->body, nullptr, false);
  if (!document.is_object() || !document.contains("accepted")) {
    PrintError("the process gave no explanation");
    return kCtlFailed;
  }
  const std::string result = document.value("result", "");
  if (document.value("accepted", false) || result == "ok") {
    return kCtlDone;
  }
  PrintError(fmt::format("would not be accepted: {}: {}", result,
                         document.value("detail", "")));
  return result == "malformed" ? kCtlUsage : kCtlFailed;
}

int ExplainPlacementOf(const CtlArguments& arguments, const std::string& name) {
  const auto& options = arguments.options;
  if (options.count("host") == 0 || options.count("path") == 0) {
    PrintError("explain placement needs --host and --path");
    return kCtlUsage;
  }
  const auto workflow = ReadInput(name, "placement");
  if (!workflow) {
    return kCtlUsage;
  }
  httplib::Headers headers = {
      {kCallHostHeader, options["host"].as<std::string>()},
      {kCallPathHeader, options["path"].as<std::string>()}};
  if (options.count("workspace") != 0) {
    headers.emplace(kWorkspaceHeader, options["workspace"].as<std::string>());
  }
  return ReportPlacement(
      arguments, ConnectTo(arguments, "admin")
                     ->Post("/v1/explain", headers, *workflow, kJsonType));
}

// Polls a job and prints each change of its state until it has ended. Returns
// the exit code.
int Watch(const CtlArguments& arguments,
          httplib::Client& client,
          const std::string& job) {
  std::optional<JobState> last;
  while (true) {
    const auto response = client.Get("/v1/jobs/" + job, MakeHeaders(arguments));
    if (const auto code = ReportFailure(arguments, response)) {
      return *code;
    }
    const auto status = DecodeJobStatus(response->body);
    if (!status) {
      PrintError(status.error().detail);
      return kCtlFailed;
    }
    if (const JobState state = status.value().state; state != last) {
      last = state;
      (void)ReportJob(arguments, response);
      if (HasEnded(state)) {
        return state == JobState::kDone ? kCtlDone : kCtlFailed;
      }
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

}  // namespace

int RunRequest(const CtlArguments& arguments) {
  const auto kind = RequireOneArgument(arguments, "kind");
  const auto body = kind ? ReadBody(arguments) : std::nullopt;
  if (!body) {
    return kCtlUsage;
  }
  const auto response =
      ConnectTo(arguments, "entry")
          ->Post("/v1/requests/" + *kind, MakeHeaders(arguments), *body,
                 "application/octet-stream");
  if (const auto code = ReportFailure(arguments, response)) {
    return *code;
  }
  std::fwrite(response->body.data(), 1, response->body.size(), stdout);
  if (::isatty(STDOUT_FILENO) != 0) {
    fmt::print("\n");
  }
  return std::fflush(stdout) == 0 ? kCtlDone : kCtlFailed;
}

int RunSubmit(const CtlArguments& arguments) {
  const auto kind = RequireOneArgument(arguments, "kind");
  const auto spec = kind ? MakeJobSpec(arguments, *kind) : std::nullopt;
  if (!spec) {
    return kCtlUsage;
  }
  const auto client = ConnectTo(arguments, "entry");
  const auto response = client->Post("/v1/jobs", MakeHeaders(arguments),
                                     EncodeJobSpec(*spec), kJsonType);
  const int code = ReportJob(arguments, response);
  if (code != kCtlDone || arguments.options.count("attach") == 0) {
    return code;
  }
  const auto status = DecodeJobStatus(response->body);
  return status ? Watch(arguments, *client, status.value().id.value)
                : kCtlFailed;
}

int RunJob(const CtlArguments& arguments) {
  const auto job = RequireOneArgument(arguments, "job id");
  if (!job) {
    return kCtlUsage;
  }
  return ReportJob(arguments,
                   ConnectTo(arguments, "entry")
                       ->Get("/v1/jobs/" + *job, MakeHeaders(arguments)));
}

int RunWatch(const CtlArguments& arguments) {
  const auto job = RequireOneArgument(arguments, "job id");
  if (!job) {
    return kCtlUsage;
  }
  return Watch(arguments, *ConnectTo(arguments, "entry"), *job);
}

int RunCancel(const CtlArguments& arguments) {
  const auto job = RequireOneArgument(arguments, "job id");
  if (!job) {
    return kCtlUsage;
  }
  return ReportJob(arguments,
                   ConnectTo(arguments, "entry")
                       ->Delete("/v1/jobs/" + *job, MakeHeaders(arguments)));
}

int RunState(const CtlArguments& arguments) {
  if (!arguments.words.empty()) {
    PrintError("state takes no argument");
    return kCtlUsage;
  }
  return ReportDocument(arguments,
                        ConnectTo(arguments, "admin")->Get("/v1/state"));
}

int RunExplain(const CtlArguments& arguments) {
  const std::string what =
      arguments.words.empty() ? "" : arguments.words.front();
  if (arguments.words.size() != 2 ||
      (what != "job" && what != "request" && what != "placement")) {
    PrintError("explain needs job JOB or request ID or placement FILE");
    return kCtlUsage;
  }
  const std::string& id = arguments.words.back();
  if (what == "placement") {
    return ExplainPlacementOf(arguments, id);
  }
  if (what == "job") {
    return ReportDocument(arguments,
                          ConnectTo(arguments, "entry")
                              ->Get("/v1/jobs/" + id, MakeHeaders(arguments)));
  }
  return ReportRefusals(
      arguments, ConnectTo(arguments, "admin")->Get("/v1/refusals/" + id));
}

}  // namespace chicorystep
