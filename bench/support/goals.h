#ifndef BENCH_SUPPORT_GOALS_H_
#define BENCH_SUPPORT_GOALS_H_

#include <fmt/format.h>

#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace chicorystep {

// Command-line arguments of a benchmark.
struct BenchArguments {
  // Runs the short form with fixed seeds, as CI does.
  bool quick = false;
  // File that receives the missed goals for tools/known_red; none if empty.
  std::string report;
  // All other arguments.
  std::vector<std::string> positional;
};

// Parses --quick and --report FILE.
[[nodiscard]] inline BenchArguments ReadBenchArguments(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  BenchArguments arguments;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (words[i] == "--quick") {
      arguments.quick = true;
    } else if (words[i] == "--report" && i + 1 < words.size()) {
      arguments.report = words[++i];
    } else {
      arguments.positional.push_back(words[i]);
    }
  }
  return arguments;
}

// Collects the goals that a benchmark has missed.
struct Goals {
  std::vector<std::string> missed;
};

// Records the goal `name`, of letters and underscores only, as missed unless
// `met`. The line has the form of a Boost.Test error, which tools/known_red
// parses.
inline void Expect(Goals& goals,
                   std::string_view name,
                   bool met,
                   std::string_view measured) {
  if (!met) {
    goals.missed.push_back(fmt::format("error: in \"{}\": {}", name, measured));
    fmt::print("goal missed: {}: {}\n", name, measured);
  }
}

// Writes the report if one was requested, and returns the exit code.
[[nodiscard]] inline int Finish(const Goals& goals,
                                const BenchArguments& arguments) {
  if (!arguments.report.empty()) {
    std::ofstream file(arguments.report);
    for (const std::string& line : goals.missed) {
      file << line << '\n';
    }
  }
  return goals.missed.empty() ? 0 : 1;
}

}  // namespace chicorystep

#endif  // BENCH_SUPPORT_GOALS_H_
