// The command line of operators and callers.

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
namespace {

// One subcommand: its name, its arguments, what it does, and the function.
struct Command {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  int (*run)(const CtlArguments&);
};

constexpr std::array kCommands = {
    Command{"check", "FILE...", "Check settings or table files offline",
            RunCheck},
    Command{"publish", "FILE", "Make the tables equal to a file", RunPublish},
    Command{"show", "", "Print the tables in force in the log", RunShow},
    Command{"history", "", "Print the edits that the log still holds",
            RunHistory},
    Command{"rollback", "REVISION",
            "Publish the tables of an earlier revision as a new edit",
            RunRollback},
    Command{"request", "KIND", "Send a request; the body is read from --body",
            RunRequest},
    Command{"submit", "KIND", "Submit a job", RunSubmit},
    Command{"job", "JOB", "Print the state of a job", RunJob},
    Command{"watch", "JOB", "Wait until a job has ended", RunWatch},
    Command{"cancel", "JOB", "Cancel a job", RunCancel},
    Command{"state", "", "Dump the state of an entry process", RunState},
};

void PrintHelp(const cxxopts::Options& options) {
  fmt::print("{}\nCommands:\n", options.help());
  for (const Command& command : kCommands) {
    fmt::print("  {:<24}{}\n",
               fmt::format("{} {}", command.name, command.arguments),
               command.help);
  }
}

int Main(int argc, char** argv) {
  cxxopts::Options options = MakeCtlOptions();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      PrintHelp(options);
      return kCtlDone;
    }
    if (parsed.count("version") != 0) {
      fmt::print("chicorystepctl {}\n", kVersion);
      return kCtlDone;
    }
    const auto words = parsed.count("words") != 0
                           ? parsed["words"].as<std::vector<std::string>>()
                           : std::vector<std::string>();
    const auto* const command = std::find_if(
        kCommands.begin(), kCommands.end(), [&](const Command& candidate) {
          return !words.empty() && candidate.name == words.front();
        });
    if (command == kCommands.end()) {
      fmt::print(stderr, "chicorystepctl: a command is required; see --help\n");
      return kCtlUsage;
    }
    return command->run(CtlArguments{{words.begin() + 1, words.end()}, parsed});
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "chicorystepctl: {}\n", error.what());
    return kCtlUsage;
  }
}

}  // namespace
}  // namespace chicorystep

int main(int argc, char** argv) {
  return chicorystep::Main(argc, argv);
}
