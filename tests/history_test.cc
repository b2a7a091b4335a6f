// Runs real processes concurrently under each fault and checks every promise on
// the recorded history. Test cases are named fault/promise.

#define BOOST_TEST_MODULE history
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "proof/json_lines.h"
#include "tests/support/faults.h"

namespace chicorystep::testing {
namespace {

constexpr std::uint64_t kSeed = 1;

// Promises that every run must have cases for.
constexpr std::array kAlwaysExercised = {
    proof::Promise::kGuaranteeReclaimed, proof::Promise::kGangWhole,
    proof::Promise::kAnswerWhole, proof::Promise::kAtMostOnce,
    proof::Promise::kEditInForce};

// Returns the history of a run with `faults` caused one after another, or
// nullopt if the run did not start.
std::optional<proof::History> RunUnder(const std::vector<Fault>& faults,
                                       std::uint64_t seed) {
  HistoryRun run;
  run.seed = seed;
  if (!StartRun(run, faults.front().operators)) {
    return std::nullopt;
  }
  SubmitGuaranteedGang(run);
  Random random(seed);
  for (const Fault& fault : faults) {
    fault.cause(run, random);
  }
  return FinishRun(run);
}

// Returns the history of a run under `fault`. Each fault runs only once, for
// all checkers.
const std::optional<proof::History>& GetHistory(const Fault& fault) {
  static std::map<std::string, std::optional<proof::History>> histories;
  const auto found = histories.find(fault.name);
  return found != histories.end()
             ? found->second
             : histories.emplace(fault.name, RunUnder({fault}, kSeed))
                   .first->second;
}

bool MustExamine(const Fault& fault, proof::Promise promise) {
  return std::find(kAlwaysExercised.begin(), kAlwaysExercised.end(), promise) !=
             kAlwaysExercised.end() ||
         std::find(fault.exercised.begin(), fault.exercised.end(), promise) !=
             fault.exercised.end();
}

void CheckPromise(const Fault& fault, const proof::Checker& checker) {
  const auto& history = GetHistory(fault);
  BOOST_REQUIRE_MESSAGE(history, "the run did not start, seed " << kSeed);
  const proof::Verdict verdict = checker.check(*history, proof::Bounds{});
  BOOST_TEST_MESSAGE("examined=" << verdict.examined << " violations="
                                 << verdict.violations.size());
  BOOST_TEST((verdict.examined > 0 || !MustExamine(fault, checker.promise)));
  BOOST_TEST(verdict.violations.empty());
  constexpr std::size_t kMaxShown = 5;
  for (std::size_t i = 0; i < std::min(kMaxShown, verdict.violations.size());
       ++i) {
    BOOST_TEST_MESSAGE("seed " << kSeed << ": " << verdict.violations[i]);
  }
}

// One suite for each fault, with one case for each checker.
const bool kRegistered = [] {
  for (const Fault& fault : Faults()) {
    auto* suite = BOOST_TEST_SUITE(fault.name);
    for (const proof::Checker& checker : proof::kCheckers) {
      suite->add(boost::unit_test::make_test_case(
          [&] { CheckPromise(fault, checker); },
          std::string(EnumName(checker.promise)), __FILE__, __LINE__));
    }
    boost::unit_test::framework::current_auto_test_suite().add(suite);
  }
  return true;
}();

struct SoakOptions {
  std::chrono::seconds time{60};
  std::uint64_t seed = 1;
  // The directory for histories that violate a promise.
  std::string reports = std::filesystem::temp_directory_path().string();
};

// Parses the command-line arguments after "--".
SoakOptions ReadSoakOptions() {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  SoakOptions options;
  for (int i = 1; i + 1 < suite.argc; i += 2) {
    const std::string name = suite.argv[i];
    const std::string value = suite.argv[i + 1];
    if (name == "--seconds") {
      options.time = std::chrono::seconds(std::stoll(value));
    } else if (name == "--seed") {
      options.seed = std::stoull(value);
    } else if (name == "--reports") {
      options.reports = value;
    }
  }
  return options;
}

// Chooses one to three faults. Planned stops are not combined with others,
// because an answer delayed by another fault would look like a call that the
// stop cut off.
std::vector<Fault> ChooseFaults(Random& random) {
  constexpr std::size_t kMaxFaults = 3;
  std::vector<Fault> chosen;
  const std::size_t count = 1 + random() % kMaxFaults;
  while (chosen.size() < count) {
    const Fault& fault = Faults()[random() % Faults().size()];
    if (fault.cause == &StopInTurn) {
      return {fault};
    }
    chosen.push_back(fault);
  }
  return chosen;
}

void SoakOnce(const SoakOptions& options, std::uint64_t seed) {
  Random random(seed);
  const std::vector<Fault> faults = ChooseFaults(random);
  std::string names;
  for (const Fault& fault : faults) {
    names += " " + fault.name;
  }
  const auto history = RunUnder(faults, seed);
  BOOST_REQUIRE_MESSAGE(history, "the run did not start, seed " << seed);
  bool violated = false;
  for (const proof::Checker& checker : proof::kCheckers) {
    const proof::Verdict verdict = checker.check(*history, proof::Bounds{});
    BOOST_TEST_MESSAGE("seed=" << seed
                               << " promise=" << EnumName(checker.promise)
                               << " examined=" << verdict.examined
                               << " violations=" << verdict.violations.size());
    if (!verdict.violations.empty()) {
      violated = true;
      BOOST_ERROR("seed " << seed << " under" << names << ": "
                          << EnumName(checker.promise) << ": "
                          << verdict.violations.front());
    }
  }
  if (violated) {
    std::ofstream(fmt::format("{}/history-{}.jsonl", options.reports, seed))
        << proof::EncodeHistory(*history);
  }
}

// Disabled in ordinary test runs; tools/soak runs it by name.
BOOST_AUTO_TEST_CASE(soak, *boost::unit_test::disabled()) {
  const SoakOptions options = ReadSoakOptions();
  const auto end = std::chrono::steady_clock::now() + options.time;
  for (std::uint64_t seed = options.seed;
       std::chrono::steady_clock::now() < end; ++seed) {
    SoakOnce(options, seed);
  }
}

}  // namespace
}  // namespace chicorystep::testing
