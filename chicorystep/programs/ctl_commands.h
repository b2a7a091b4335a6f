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
// The system refused, or what was asked for failed.
inline constexpr int kCtlFailed = 1;
// The command line or a file is wrong.
inline constexpr int kCtlUsage = 2;
// A service could not be reached; what was sent may have taken effect.
inline constexpr int kCtlUnreachable = 3;

// The words after the command, and the options.
struct CtlArguments {
  std::vector<std::string> words;
  const cxxopts::ParseResult& options;
};

// One subcommand: its name, its arguments, what it does, the options that it
// takes, and the function, which returns the exit code.
struct CtlCommand {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  std::vector<std::string_view> options;
  int (*run)(const CtlArguments&);
};

[[nodiscard]] std::span<const CtlCommand> CtlCommands();

// Every option, for parsing; defaults come from the environment where the
// option has a variable.
[[nodiscard]] cxxopts::Options MakeCtlOptions();

// Waits until every entry process has confirmed `revision`, and reports where
// it is in force and which processes have not confirmed.
int WaitUntilInForce(const CtlArguments& arguments, Revision revision);
// The options of one command as its help shows them.
[[nodiscard]] std::string HelpOf(const CtlCommand& command);

// The names of all options.
[[nodiscard]] std::vector<std::string_view> CtlOptionNames();

// Prints "chicorystepctl: MESSAGE" to standard error.
void PrintError(std::string_view message);

// Each runs one command and returns the exit code.
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
