// The commands on the two tables: check, publish and show.

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/encoding/edit_record.h"
#include "chicorystep/platform/log_client.h"
#include "chicorystep/programs/ctl_commands.h"
#include "chicorystep/settings/entry_settings.h"
#include "chicorystep/settings/table_files.h"
#include "chicorystep/systems/config_edits.h"
#include "chicorystep/systems/config_stream.h"

namespace chicorystep {
namespace {

LogServiceOptions LogOptions(const CtlArguments& arguments) {
  return LogServiceOptions{
      .address = Address(arguments.options["log"].as<std::string>())};
}

int FailUnreachable(std::string_view what) {
  fmt::print(stderr, "chicorystepctl: {}\n", what);
  return kCtlUnreachable;
}

void PrintFaults(const std::vector<SettingsFault>& faults) {
  for (const SettingsFault& fault : faults) {
    fmt::print(stderr, "{}\n", ToString(fault));
  }
}

// The tables as the log gives them, and what became of one record.
struct ConfigReading {
  Config config;
  std::optional<Result<Revision, EditError>> verdict;
};

// Reads the configuration stream to its end; notes the verdict on the first
// record with id `watched`.
Result<ConfigReading, LogError> ReadConfig(const LogServiceOptions& options,
                                           const RecordId& watched) {
  ConfigReading reading;
  while (true) {
    BOOST_OUTCOME_TRY(answer, ReadOnce(options, ConfigStream(),
                                       reading.config.next, Duration{}));
    if (answer.records.empty()) {
      return reading;
    }
    for (const LogRecord& record : answer.records) {
      auto verdict = ApplyConfigRecord(reading.config, record);
      if (record.id == watched && !reading.verdict) {
        reading.verdict = std::move(verdict);
      }
    }
  }
}

bool IsTableFile(const IniDocument& document) {
  return std::any_of(document.sections.begin(), document.sections.end(),
                     [](const IniSection& section) {
                       return section.name.starts_with("route ") ||
                              section.name.starts_with("pool ");
                     });
}

std::vector<SettingsFault> FaultsOf(const std::string& file) {
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

RecordId MakeRecordId() {
  std::random_device random;
  return RecordId(fmt::format("edit-{:08x}{:08x}", random(), random()));
}

// Appends the edit, again if need be, until it is seen in the log.
int AppendAndConfirm(const LogServiceOptions& options, const Edit& edit) {
  constexpr int kAttempts = 5;
  const RecordId id = MakeRecordId();
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    // Whether this append is acknowledged does not matter: the log tells.
    (void)AppendOnce(options, ConfigStream(),
                     {LogRecord{Offset{}, id, EncodeEdit(edit)}});
    const auto reading = ReadConfig(options, id);
    if (!reading || !reading.value().verdict) {
      continue;
    }
    const auto& verdict = *reading.value().verdict;
    if (verdict) {
      fmt::print("accepted revision={}\n", verdict.value().value);
      return kCtlDone;
    }
    fmt::print(stderr, "rejected reason={} {}\n", NameOf(verdict.error().code),
               verdict.error().detail);
    return kCtlFailed;
  }
  return FailUnreachable(
      "the log did not confirm the edit; it may still come into force");
}

}  // namespace

int RunCheck(const CtlArguments& arguments) {
  if (arguments.words.empty()) {
    fmt::print(stderr, "chicorystepctl: check needs a file\n");
    return kCtlUsage;
  }
  int code = kCtlDone;
  for (const std::string& file : arguments.words) {
    const std::vector<SettingsFault> faults = FaultsOf(file);
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
  const LogServiceOptions options = LogOptions(arguments);
  const auto current = ReadConfig(options, RecordId{});
  if (!current) {
    return FailUnreachable("the log cannot be read; nothing was published");
  }
  Edit edit = DiffConfig(current.value().config, wanted.value());
  edit.author = arguments.options["author"].as<std::string>();
  PrintEdit(edit);
  if (edit.routes.empty() && edit.pools.empty()) {
    fmt::print("unchanged revision={}\n",
               current.value().config.revision.value);
    return kCtlDone;
  }
  if (arguments.options.count("dry-run") != 0) {
    return kCtlDone;
  }
  return AppendAndConfirm(options, edit);
}

int RunShow(const CtlArguments& arguments) {
  const auto reading = ReadConfig(LogOptions(arguments), RecordId{});
  if (!reading) {
    return FailUnreachable("the log cannot be read");
  }
  fmt::print("# revision {}\n{}", reading.value().config.revision.value,
             WriteTables(reading.value().config));
  return kCtlDone;
}

}  // namespace chicorystep
