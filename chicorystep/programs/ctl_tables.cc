// The commands on the route and pool tables: check, publish, show, history and
// rollback.

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "chicorystep/clients/backoff.h"
#include "chicorystep/clients/config_reader.h"
#include "chicorystep/clients/log_client.h"
#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/programs/ctl_commands.h"
#include "chicorystep/settings/entry_settings.h"
#include "chicorystep/settings/table_files.h"
#include "chicorystep/settings/values.h"
#include "chicorystep/systems/config/config_edits.h"
#include "chicorystep/systems/config/config_stream.h"

namespace chicorystep {
namespace {

LogServiceOptions MakeLogOptions(const CtlArguments& arguments) {
  return LogServiceOptions{
      .address = Address(arguments.options["log"].as<std::string>())};
}

// Prints an error and returns the exit code for a service that did not answer.
int ReportUnreachable(std::string_view what) {
  fmt::print(stderr, "chicorystepctl: {}\n", what);
  return kCtlUnreachable;
}

// Larger than every offset, so that a read with this limit goes to the end of
// the log.
constexpr Offset kNoLimit(std::numeric_limits<std::uint64_t>::max());

void PrintFaults(const std::vector<SettingsFault>& faults) {
  for (const SettingsFault& fault : faults) {
    fmt::print(stderr, "{}\n", ToString(fault));
  }
}

// Reads the newest tables by replaying the log to its end.
Result<Config, LogError> ReadConfig(const LogServiceOptions& options) {
  BOOST_OUTCOME_TRY(config, ReadConfigBase(options, kNoLimit));
  BOOST_OUTCOME_TRY(
      ReplayConfig(options, kNoLimit, config, [](const auto&, const auto&) {}));
  return config;
}

bool IsTableFile(const IniDocument& document) {
  return std::any_of(document.sections.begin(), document.sections.end(),
                     [](const IniSection& section) {
                       return section.name.starts_with("route ") ||
                              section.name.starts_with("pool ");
                     });
}

std::vector<SettingsFault> CheckFile(const std::string& file) {
  const auto document = LoadIni(file);
  if (!document) {
    return document.error();
  }
  if (IsTableFile(document.value())) {
    const auto tables = ReadTables(document.value());
    return tables ? std::vector<SettingsFault>() : tables.error();
  }
  const auto settings = ReadEntrySettings(document.value());
  return settings ? std::vector<SettingsFault>() : settings.error();
}

void PrintChange(bool created, bool deleted, const std::string& row) {
  fmt::print("{} {}\n", created ? '+' : deleted ? '-' : '~', row);
}

void PrintEdit(const Edit& edit) {
  for (const RouteChange& change : edit.routes) {
    PrintChange(change.base == Revision{}, !change.row,
                fmt::format("route {}", change.key.value));
  }
  for (const PoolChange& change : edit.pools) {
    PrintChange(change.base == Revision{}, !change.row,
                fmt::format("pool {} {}", change.key.name.value,
                            change.key.workspace.value));
  }
}

// Prints one line for an edit, then one line for each row that it changes.
void PrintHistory(const LogRecord& record,
                  const Result<Revision, EditError>& verdict) {
  const auto decoded = DecodeConfigRecord(record.data);
  if (!decoded) {
    fmt::print("{} malformed\n", record.offset.value + 1);
    return;
  }
  if (const auto* edit = std::get_if<Edit>(&decoded.value())) {
    fmt::print("{} {} author={}\n", record.offset.value + 1,
               verdict ? "accepted" : EnumName(verdict.error().code),
               edit->author);
    PrintEdit(*edit);
  }
}

RecordId MakeRecordId() {
  std::random_device random;
  return RecordId(fmt::format("edit-{:08x}{:08x}", random(), random()));
}

// Appends the edit and retries with back-off until the edit is read back from
// the log after the position of `config`. All attempts use one record id, so
// the log may hold the edit several times; the first verdict decides. Returns
// nothing when no attempt could be confirmed.
std::optional<Result<Revision, EditError>> AppendAndConfirm(
    const LogServiceOptions& options,
    const Edit& edit,
    Config config) {
  constexpr int kAttempts = 8;
  const RecordId id = MakeRecordId();
  Backoff backoff{.random = std::minstd_rand(std::random_device()())};
  std::optional<Result<Revision, EditError>> verdict;
  for (int attempt = 0; attempt < kAttempts && !verdict; ++attempt) {
    if (attempt > 0) {
      std::this_thread::sleep_for(NextDelay(backoff));
    }
    // The acknowledgement is ignored, because reading the log decides whether
    // the edit was written.
    (void)AppendOnce(options, ConfigStream(),
                     {LogRecord{Offset{}, id, EncodeEdit(edit)}});
    (void)ReplayConfig(options, kNoLimit, config,
                       [&](const LogRecord& record, const auto& result) {
                         if (record.id == id && !verdict) {
                           verdict = result;
                         }
                       });
  }
  return verdict;
}

// Publishes the edit that turns `current` into `wanted`, prints its rows and
// the result, and returns the exit code.
int PublishDifference(const CtlArguments& arguments,
                      const Config& current,
                      const Config& wanted) {
  const LogServiceOptions options = MakeLogOptions(arguments);
  Edit edit = DiffConfig(current, wanted);
  edit.author = arguments.options["author"].as<std::string>();
  PrintEdit(edit);
  if (edit.routes.empty() && edit.pools.empty()) {
    fmt::print("unchanged revision={}\n", current.revision.value);
    return kCtlDone;
  }
  if (arguments.options.count("dry-run") != 0) {
    return kCtlDone;
  }
  const auto verdict = AppendAndConfirm(options, edit, current);
  if (!verdict) {
    return ReportUnreachable(
        "the log did not confirm the edit; it may still come into force");
  }
  if (!*verdict) {
    fmt::print(stderr, "rejected reason={} {}\n",
               EnumName(verdict->error().code), verdict->error().detail);
    return kCtlFailed;
  }
  fmt::print("accepted revision={}\n", verdict->value().value);
  std::fflush(stdout);
  return arguments.options.count("wait") != 0
             ? WaitUntilInForce(arguments, verdict->value())
             : kCtlDone;
}

int ReportReadFailure(const LogError& error) {
  return ReportUnreachable(
      error.code == LogErrorCode::kExpired
          ? "the log retains neither the records nor a "
            "snapshot of that revision"
          : "the log cannot be read; nothing was published");
}

}  // namespace

int RunCheck(const CtlArguments& arguments) {
  if (arguments.words.empty()) {
    fmt::print(stderr, "chicorystepctl: check needs a file\n");
    return kCtlUsage;
  }
  int code = kCtlDone;
  for (const std::string& file : arguments.words) {
    const std::vector<SettingsFault> faults = CheckFile(file);
    PrintFaults(faults);
    if (faults.empty()) {
      fmt::print("{}: ok\n", file);
    } else {
      code = kCtlUsage;
    }
  }
  return code;
}

int RunPublish(const CtlArguments& arguments) {
  if (arguments.words.size() != 1) {
    fmt::print(stderr, "chicorystepctl: publish needs one file\n");
    return kCtlUsage;
  }
  const auto document = LoadIni(arguments.words.front());
  if (!document) {
    PrintFaults(document.error());
    return kCtlUsage;
  }
  const auto wanted = ReadTables(document.value());
  if (!wanted) {
    PrintFaults(wanted.error());
    return kCtlUsage;
  }
  const auto current = ReadConfig(MakeLogOptions(arguments));
  if (!current) {
    return ReportReadFailure(current.error());
  }
  return PublishDifference(arguments, current.value(), wanted.value());
}

int RunShow(const CtlArguments& arguments) {
  const auto config = ReadConfig(MakeLogOptions(arguments));
  if (!config) {
    return ReportUnreachable("the log cannot be read");
  }
  fmt::print("# revision {}\n{}", config.value().revision.value,
             FormatTables(config.value()));
  return kCtlDone;
}

int RunHistory(const CtlArguments& arguments) {
  const LogServiceOptions options = MakeLogOptions(arguments);
  auto config = ReadConfigBase(options, kNoLimit, SnapshotChoice::kOldest);
  if (!config) {
    return ReportReadFailure(config.error());
  }
  const auto replayed =
      ReplayConfig(options, kNoLimit, config.value(), PrintHistory);
  return replayed ? kCtlDone : ReportReadFailure(replayed.error());
}

int RunRollback(const CtlArguments& arguments) {
  const auto revision = arguments.words.size() == 1
                            ? ParseCount(arguments.words.front())
                            : std::nullopt;
  if (!revision) {
    fmt::print(stderr, "chicorystepctl: rollback needs one revision\n");
    return kCtlUsage;
  }
  const LogServiceOptions options = MakeLogOptions(arguments);
  // A revision is the offset of its edit plus 1.
  const Offset limit(static_cast<std::uint64_t>(*revision));
  auto restored = ReadConfigBase(options, limit);
  if (!restored) {
    return ReportReadFailure(restored.error());
  }
  const auto replayed = ReplayConfig(options, limit, restored.value(),
                                     [](const auto&, const auto&) {});
  const auto current = ReadConfig(options);
  if (!replayed || !current) {
    return ReportReadFailure(replayed ? current.error() : replayed.error());
  }
  if (restored.value().revision.value != limit.value) {
    fmt::print(stderr, "rejected: {} is not the revision of an edit\n",
               limit.value);
    return kCtlFailed;
  }
  return PublishDifference(arguments, current.value(), restored.value());
}

}  // namespace chicorystep
