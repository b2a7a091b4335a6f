#ifndef CHICORYSTEP_PROGRAMS_CTL_COMMANDS_H_
#define CHICORYSTEP_PROGRAMS_CTL_COMMANDS_H_

#include <cxxopts.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/ids.h"

namespace chicorystep {

// Exit codes of chicorystepctl.
inline constexpr int kCtlDone = 0;
// The system refused the operation, or it failed.
inline constexpr int kCtlFailed = 1;
// The command line or a file is wrong.
inline constexpr int kCtlUsage = 2;
// A service did not answer; a request that was sent may have taken effect.
inline constexpr int kCtlUnreachable = 3;

// The positional arguments after the command name, and all options.
struct CtlArguments {
  std::vector<std::string> words;
  const cxxopts::ParseResult& options;
};

// A subcommand of chicorystepctl. `arguments` and `help` are shown by --help;
// `options` are the options that it accepts besides the service addresses;
// `run` returns the exit code.
struct CtlCommand {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  std::vector<std::string_view> options;
  int (*run)(const CtlArguments&);
};

[[nodiscard]] std::span<const CtlCommand> CtlCommands();

// Builds the parser with the options of all commands. An option's environment
// variable, if it has one and it is set, gives the default value.
[[nodiscard]] cxxopts::Options MakeCtlOptions();

// Waits until every entry process has confirmed `revision` or the time given by
// --wait-ms has passed. Prints for each process whether it has confirmed, and
// returns the exit code.
int WaitUntilInForce(const CtlArguments& arguments, Revision revision);

// Formats the help text of one command.
[[nodiscard]] std::string FormatCommandHelp(const CtlCommand& command);

[[nodiscard]] std::vector<std::string_view> CtlOptionNames();

// Prints "chicorystepctl: MESSAGE" to standard error.
void PrintError(std::string_view message);

// Each function runs one command and returns the exit code.
int RunCheck(const CtlArguments& arguments);
int RunPublish(const CtlArguments& arguments);
int RunShow(const CtlArguments& arguments);
int RunHistory(const CtlArguments& arguments);
int RunRollback(const CtlArguments& arguments);
int RunRequest(const CtlArguments& arguments);
int RunSubmit(const CtlArguments& arguments);
int RunJob(const CtlArguments& arguments);
int RunWatch(const CtlArguments& arguments);
int RunCancel(const CtlArguments& arguments);
int RunState(const CtlArguments& arguments);
int RunExplain(const CtlArguments& arguments);

}  // namespace chicorystep

#endif  // CHICORYSTEP_PROGRAMS_CTL_COMMANDS_H_
