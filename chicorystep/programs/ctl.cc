// chicorystepctl, the command-line tool for operators and callers.

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cxxopts.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/version.h"
#include "chicorystep/programs/ctl_commands.h"

namespace chicorystep {

std::span<const CtlCommand> CtlCommands() {
  static const std::vector<CtlCommand> commands = {
      {"check",
       "FILE...",
       "Check settings or table files offline",
       {},
       RunCheck},
      {"publish",
       "FILE",
       "Make the tables equal to a file",
       {"log", "admin", "author", "dry-run", "wait", "wait-ms"},
       RunPublish},
      {"show", "", "Print the tables in force in the log", {"log"}, RunShow},
      {"history",
       "",
       "Print the edits that the log still holds",
       {"log"},
       RunHistory},
      {"rollback",
       "REVISION",
       "Publish the tables of an earlier revision as a new edit",
       {"log", "admin", "author", "dry-run", "wait", "wait-ms"},
       RunRollback},
      {"request",
       "KIND",
       "Send a request and print the answer",
       {"entry", "workspace", "id", "deadline-ms", "body", "body-file"},
       RunRequest},
      {"submit",
       "KIND",
       "Submit a job",
       {"entry", "workspace", "id", "pieces", "accelerators", "cores",
        "memory-mib", "adjacent", "command", "attach", "json"},
       RunSubmit},
      {"job",
       "JOB",
       "Print the state of a job",
       {"entry", "workspace", "json"},
       RunJob},
      {"watch",
       "JOB",
       "Print the states of a job until it has ended",
       {"entry", "workspace", "json"},
       RunWatch},
      {"cancel",
       "JOB",
       "Cancel a job",
       {"entry", "workspace", "json"},
       RunCancel},
      {"state",
       "",
       "Print the state of an entry process",
       {"admin", "json"},
       RunState},
      {"explain",
       "job|request|placement NAME",
       "Print why work waits or was refused, or where it would go",
       {"entry", "admin", "workspace", "host", "path", "json"},
       RunExplain},
  };
  return commands;
}

namespace {

void PrintHelp() {
  fmt::print(
      "Publishes tables, sends work and shows state.\n\n"
      "Usage:\n  chicorystepctl COMMAND [OPTION...] [ARGUMENT...]\n\n"
      "Commands:\n");
  for (const CtlCommand& command : CtlCommands()) {
    fmt::print("  {:<36}{}\n",
               fmt::format("{} {}", command.name, command.arguments),
               command.help);
  }
  fmt::print(
      "\n  --help     Print this help, or that of a command\n"
      "  --version  Print the version\n\n"
      "Exit codes: 0 done, 1 refused or failed, 2 wrong command line or file,\n"
      "3 a service could not be reached.\n");
}

const CtlCommand* FindCommand(std::string_view name) {
  const auto commands = CtlCommands();
  const auto found = std::find_if(
      commands.begin(), commands.end(),
      [&](const CtlCommand& command) { return command.name == name; });
  return found == commands.end() ? nullptr : &*found;
}

// The addresses of the services; every command accepts these options.
constexpr std::array<std::string_view, 3> kAddressOptions = {"log", "entry",
                                                             "admin"};

bool TakesOption(const CtlCommand& command, std::string_view name) {
  const auto contains = [&](const auto& names) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  return contains(kAddressOptions) || contains(command.options);
}

// Checks that the command accepts every option given; prints an error for the
// first one that it does not accept.
bool CheckOptions(const CtlCommand& command,
                  const cxxopts::ParseResult& parsed) {
  for (const auto& given : parsed.arguments()) {
    if (given.key() != "words" && !TakesOption(command, given.key())) {
      PrintError(fmt::format("{} takes no --{}; see chicorystepctl {} --help",
                             command.name, given.key(), command.name));
      return false;
    }
  }
  return true;
}

int RunCommand(const cxxopts::ParseResult& parsed) {
  const auto words = parsed.count("words") != 0
                         ? parsed["words"].as<std::vector<std::string>>()
                         : std::vector<std::string>();
  if (words.empty()) {
    if (parsed.count("help") != 0) {
      PrintHelp();
      return kCtlDone;
    }
    PrintError("a command is required; see chicorystepctl --help");
    return kCtlUsage;
  }
  const CtlCommand* command = FindCommand(words.front());
  if (command == nullptr) {
    PrintError(fmt::format("unknown command {}; see chicorystepctl --help",
                           words.front()));
    return kCtlUsage;
  }
  if (parsed.count("help") != 0) {
    fmt::print("{}", FormatCommandHelp(*command));
    return kCtlDone;
  }
  if (!CheckOptions(*command, parsed)) {
    return kCtlUsage;
  }
  return command->run(CtlArguments{{words.begin() + 1, words.end()}, parsed});
}

int Main(int argc, char** argv) {
  try {
    cxxopts::Options options = MakeCtlOptions();
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("version") != 0) {
      fmt::print("chicorystepctl {}\n", kVersion);
      return kCtlDone;
    }
    return RunCommand(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    PrintError(error.what());
    return kCtlUsage;
  }
}

}  // namespace
}  // namespace chicorystep

int main(int argc, char** argv) {
  return chicorystep::Main(argc, argv);
}
