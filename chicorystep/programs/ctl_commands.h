#ifndef CHICORYSTEP_PROGRAMS_CTL_COMMANDS_H_
#define CHICORYSTEP_PROGRAMS_CTL_COMMANDS_H_

#include <cxxopts.hpp>
#include <string>
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

[[nodiscard]] cxxopts::Options MakeCtlOptions();

// Waits until every entry process has confirmed `revision`, and reports where
// it is in force and which processes have not confirmed.
int WaitUntilInForce(const CtlArguments& arguments, Revision revision);

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

}  // namespace chicorystep

#endif  // CHICORYSTEP_PROGRAMS_CTL_COMMANDS_H_
