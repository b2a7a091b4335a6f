#include "chicorystep/programs/ctl_commands.h"

namespace chicorystep {

cxxopts::Options MakeCtlOptions() {
  using cxxopts::value;
  cxxopts::Options options("chicorystepctl",
                           "Publishes tables, sends work and shows state.");
  options.positional_help("COMMAND ARGUMENTS...");
  auto add = options.add_options();
  add("words", "The command and its arguments",
      value<std::vector<std::string>>());
  add("log", "Log service",
      value<std::string>()->default_value("127.0.0.1:7100"), "IP:PORT");
  add("entry", "Callers' address of an entry process",
      value<std::string>()->default_value("127.0.0.1:7001"), "IP:PORT");
  add("admin", "Admin address of an entry process",
      value<std::string>()->default_value("127.0.0.1:7003"), "IP:PORT");
  add("author", "publish: who makes the edit",
      value<std::string>()->default_value("operator"), "NAME");
  add("dry-run", "publish: only show what would change");
  add("wait", "publish: wait until it is in force at every entry process");
  add("wait-ms", "publish: how long to wait",
      value<std::int64_t>()->default_value("10000"), "MS");
  add("workspace", "The workspace to act for", value<std::string>(), "NAME");
  add("id", "The request id; a repeat with the same id is safe",
      value<std::string>(), "ID");
  add("deadline-ms", "How long the caller waits", value<std::int64_t>(), "MS");
  add("body", "request: the body", value<std::string>()->default_value(""),
      "TEXT");
  add("pieces", "submit: pieces of the gang",
      value<std::int64_t>()->default_value("1"), "N");
  add("accelerators", "submit: accelerators for each piece",
      value<std::int64_t>()->default_value("0"), "N");
  add("cores", "submit: processor cores for each piece",
      value<std::int64_t>()->default_value("1"), "N");
  add("memory-mib", "submit: memory for each piece, in MiB",
      value<std::int64_t>()->default_value("256"), "MIB");
  add("adjacent", "submit: none, rack or worker",
      value<std::string>()->default_value("none"), "HOW");
  add("command", "submit: what each piece runs",
      value<std::string>()->default_value(""), "TEXT");
  add("version", "Print the version");
  add("help", "Print this help");
  options.parse_positional({"words"});
  return options;
}

}  // namespace chicorystep
