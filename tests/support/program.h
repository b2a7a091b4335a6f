#ifndef TESTS_SUPPORT_PROGRAM_H_
#define TESTS_SUPPORT_PROGRAM_H_

#include <string>
#include <vector>

#include "tests/support/cluster.h"

namespace chicorystep::testing {

// The exit code and the output of a program.
struct Outcome {
  int code = -1;
  std::string out;
  std::string err;
};

inline std::string ReadFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Runs a program until it ends, with `input` as its standard input.
inline Outcome Run(const std::string& program,
                   const std::vector<std::string>& arguments,
                   const std::string& input = "") {
  const ScratchFolder folder;
  const std::string in = folder.Write("in", input);
  const std::string out = folder.Write("out", "");
  const std::string err = folder.Write("err", "");
  std::vector<std::string> command = {"/bin/sh", "-c",
                                      R"(exec "$@" <"$IN" >"$OUT" 2>"$ERR")",
                                      "sh", Program(program)};
  command.insert(command.end(), arguments.begin(), arguments.end());
  ::setenv("IN", in.c_str(), 1);
  ::setenv("OUT", out.c_str(), 1);
  ::setenv("ERR", err.c_str(), 1);
  const int code = ChildProcess(command).Wait();
  return {code, ReadFile(out), ReadFile(err)};
}

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_PROGRAM_H_
