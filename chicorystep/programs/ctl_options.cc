#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>

#include "chicorystep/programs/ctl_commands.h"

namespace chicorystep {
namespace {

enum class OptionType : std::uint8_t { kText, kCount, kFlag };

// A command-line option. The value is taken from the command line, else from
// the environment variable `variable`, else from `fallback`.
struct CtlOption {
  std::string_view name;
  OptionType type;
  std::string_view value_name;
  std::optional<std::string_view> fallback;
  std::string_view variable;
  std::string_view help;
};

using enum OptionType;

constexpr std::array kOptions = {
    CtlOption{"log", kText, "IP:PORT", "127.0.0.1:7100", "CHICORYSTEP_LOG",
              "The log service"},
    CtlOption{"entry", kText, "IP:PORT", "127.0.0.1:7001", "CHICORYSTEP_ENTRY",
              "Callers' address of an entry process"},
    CtlOption{"admin", kText, "IP:PORT", "127.0.0.1:7003", "CHICORYSTEP_ADMIN",
              "Admin address of an entry process"},
    CtlOption{"author", kText, "NAME", "operator", "CHICORYSTEP_AUTHOR",
              "Who makes the edit"},
    CtlOption{"dry-run", kFlag, "", std::nullopt, "",
              "Only show what would change"},
    CtlOption{"wait", kFlag, "", std::nullopt, "",
              "Wait until it is in force at every entry process"},
    CtlOption{"wait-ms", kCount, "MS", "10000", "", "How long to wait"},
    CtlOption{"workspace", kText, "NAME", std::nullopt, "CHICORYSTEP_WORKSPACE",
              "The workspace to act for"},
    CtlOption{"id", kText, "ID", std::nullopt, "",
              "The request id; a repeat with the same id is safe"},
    CtlOption{"deadline-ms", kCount, "MS", std::nullopt, "",
              "How long the caller waits"},
    CtlOption{"body", kText, "TEXT", std::nullopt, "", "The body"},
    CtlOption{"body-file", kText, "FILE", std::nullopt, "",
              "The file with the body, - for standard input"},
    CtlOption{"host", kText, "HOST", std::nullopt, "",
              "The host that a caller would name"},
    CtlOption{"path", kText, "/PREFIX/", std::nullopt, "",
              "The path that a caller would post to, with or without an id"},
    CtlOption{"pieces", kCount, "N", "1", "", "Pieces of the gang"},
    CtlOption{"accelerators", kCount, "N", "0", "",
              "Accelerators for each piece"},
    CtlOption{"cores", kCount, "N", "1", "", "Processor cores for each piece"},
    CtlOption{"memory-mib", kCount, "MIB", "256", "",
              "Memory for each piece, in MiB"},
    CtlOption{"adjacent", kText, "HOW", "none", "",
              "How near the pieces are: none, rack or worker"},
    CtlOption{"command", kText, "TEXT", "", "", "What each piece runs"},
    CtlOption{"attach", kFlag, "", std::nullopt, "",
              "Wait until the job has ended, as watch does"},
    CtlOption{"json", kFlag, "", std::nullopt, "", "Print JSON, for programs"},
};

// Returns the value that the option has when it is not on the command line.
std::optional<std::string> FindDefaultValue(const CtlOption& option) {
  if (!option.variable.empty()) {
    const std::string variable(option.variable);
    if (const char* value = std::getenv(variable.c_str())) {
      return value;
    }
  }
  return option.fallback ? std::optional(std::string(*option.fallback))
                         : std::nullopt;
}

template <typename Value>
std::shared_ptr<cxxopts::Value> MakeOptionValue(const CtlOption& option) {
  auto value = cxxopts::value<Value>();
  if (auto fallback = FindDefaultValue(option)) {
    value->default_value(*fallback);
  }
  return value;
}

std::shared_ptr<cxxopts::Value> MakeOptionValue(const CtlOption& option) {
  switch (option.type) {
    case kText:
      return MakeOptionValue<std::string>(option);
    case kCount:
      return MakeOptionValue<std::int64_t>(option);
    case kFlag:
      break;
  }
  return cxxopts::value<bool>();
}

void AddOption(cxxopts::OptionAdder& add, const CtlOption& option) {
  std::string help(option.help);
  if (!option.variable.empty()) {
    help += fmt::format(" [{}]", option.variable);
  }
  add(std::string(option.name), help, MakeOptionValue(option),
      std::string(option.value_name));
}

}  // namespace

cxxopts::Options MakeCtlOptions() {
  cxxopts::Options options("chicorystepctl",
                           "Publishes tables, sends work and shows state.");
  auto add = options.add_options();
  add("words", "The command and its arguments",
      cxxopts::value<std::vector<std::string>>());
  for (const CtlOption& option : kOptions) {
    AddOption(add, option);
  }
  add("version", "Print the version");
  add("help", "Print this help");
  options.parse_positional({"words"});
  return options;
}

std::string FormatCommandHelp(const CtlCommand& command) {
  cxxopts::Options options(fmt::format("chicorystepctl {}", command.name),
                           std::string(command.help) + ".");
  options.custom_help(fmt::format("[OPTION...]{}{}",
                                  command.arguments.empty() ? "" : " ",
                                  command.arguments));
  auto add = options.add_options();
  for (const CtlOption& option : kOptions) {
    if (std::find(command.options.begin(), command.options.end(),
                  option.name) != command.options.end()) {
      AddOption(add, option);
    }
  }
  add("help", "Print this help");
  return options.help();
}

std::vector<std::string_view> CtlOptionNames() {
  std::vector<std::string_view> names;
  for (const CtlOption& option : kOptions) {
    names.push_back(option.name);
  }
  return names;
}

void PrintError(std::string_view message) {
  fmt::print(stderr, "chicorystepctl: {}\n", message);
}

}  // namespace chicorystep
