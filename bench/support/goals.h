#ifndef BENCH_SUPPORT_GOALS_H_
#define BENCH_SUPPORT_GOALS_H_

#include <fmt/format.h>

#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace chicorystep {

// How a measurement was asked to run.
struct BenchArguments {
  // The short form with fixed seeds that CI runs.
  bool quick = false;
  // Where missed goals are listed for tools/known_red; empty for nowhere.
  std::string report;
  std::vector<std::string> rest;
};

// Takes --quick and --report FILE; everything else is left in `rest`.
[[nodiscard]] inline BenchArguments ReadBenchArguments(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  BenchArguments arguments;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (words[i] == "--quick") {
      arguments.quick = true;
    } else if (words[i] == "--report" && i + 1 < words.size()) {
      arguments.report = words[++i];
    } else {
      arguments.rest.push_back(words[i]);
    }
  }
  return arguments;
}

// The goals that a measurement did not reach.
struct Goals {
  std::vector<std::string> missed;
};

// Notes `name`, a word of letters and underscores, when the goal is not met.
inline void Expect(Goals& goals,
                   std::string_view name,
                   bool met,
                   std::string_view measured) {
  if (!met) {
    goals.missed.push_back(fmt::format("error: in \"{}\": {}", name, measured));
    fmt::print("goal missed: {}: {}\n", name, measured);
  }
}

// Writes the report; the exit code of the measurement.
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
