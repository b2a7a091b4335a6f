#define BOOST_TEST_MODULE gang_protocol
#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "chicorystep/core/logging.h"
#include "tests/support/gang_model.h"

namespace chicorystep::testing {
namespace {

// A search over every order of the events that the fault budget allows, cut off
// after `max_states` states.
struct SearchCase {
  std::string name;
  bool idempotent;
  FaultBudget budget;
  std::size_t max_states;
};

std::ostream& operator<<(std::ostream& stream, const SearchCase& value) {
  return stream << value.name;
}

const std::vector<SearchCase> kSearchCases = {
    {"no fault", false, {}, 15'000},
    {"no fault, idempotent", true, {}, 15'000},
    {"time passes", false, {.time_steps = 1}, 15'000},
    {"duplicates", false, {.duplicates = 1}, 15'000},
    {"lost messages", false, {.lost_messages = 1}, 15'000},
    {"lost answers", false, {.lost_answers = 1}, 15'000},
    {"lost appends",
     false,
     {.lost_acknowledgements = 1, .lost_appends = 1},
     15'000},
    {"holder crash", false, {.holder_crashes = 1}, 15'000},
    {"holder crash, idempotent", true, {.holder_crashes = 1}, 15'000},
    {"worker crash", false, {.worker_crashes = 1}, 15'000},
    {"failed start", false, {.failed_starts = 1}, 15'000},
    {"cancel", true, {.cancels = 1}, 15'000},
};

constexpr FaultBudget kAllFaults = {.duplicates = 2,
                                    .lost_messages = 2,
                                    .lost_answers = 2,
                                    .lost_acknowledgements = 1,
                                    .lost_appends = 1,
                                    .holder_crashes = 1,
                                    .worker_crashes = 1,
                                    .failed_starts = 1,
                                    .time_steps = 12};
constexpr FaultBudget kCancels = {.lost_answers = 1,
                                  .holder_crashes = 1,
                                  .cancels = 1,
                                  .time_steps = 12};
constexpr FaultBudget kFreezes = {.lost_answers = 1, .time_steps = 16};

// Random walks, for paths longer than a search can cover.
struct WalkCase {
  std::string name;
  bool idempotent;
  FaultBudget budget;
  int walks;
  std::uint32_t seed;
};

std::ostream& operator<<(std::ostream& stream, const WalkCase& value) {
  return stream << value.name;
}

const std::vector<WalkCase> kWalkCases = {
    {"all faults", false, kAllFaults, 1'500, 1},
    {"all faults, idempotent", true, kAllFaults, 1'500, 2},
    {"cancelled", false, kCancels, 1'500, 5},
    {"frozen holders", false, kFreezes, 1'500, 3},
    {"frozen holders, idempotent", true, kFreezes, 1'500, 4},
};

// A state of the search and the steps that led to it.
struct Node {
  GangModel model;
  std::vector<ModelStep> path;
};

std::string Describe(const std::vector<ModelStep>& path) {
  std::string text;
  for (const ModelStep& step : path) {
    text += fmt::format(
        "{}({}) ", kModelActionNames[static_cast<std::size_t>(step.action)],
        step.index);
  }
  return text;
}

struct SearchResult {
  std::size_t states = 0;
  std::size_t settled = 0;
  bool complete = true;
  Duration longest_partial{};
  std::string violation;
};

// One in this many new states is run until it settles.
constexpr std::size_t kSettleEvery = 16;

// Expands the newest and the oldest open state in turn, so that a search cut
// off at its state limit has explored both in depth and in breadth.
SearchResult Search(const SearchCase& sample) {
  SearchResult result;
  std::unordered_set<std::uint64_t> seen;
  std::deque<Node> open;
  open.push_back(Node{MakeGangModel(sample.idempotent, sample.budget), {}});
  for (std::size_t turn = 0; !open.empty(); ++turn) {
    if (seen.size() >= sample.max_states) {
      result.complete = false;
      break;
    }
    const bool newest = turn % 2 == 0;
    const Node node = newest ? std::move(open.back()) : std::move(open.front());
    newest ? open.pop_back() : open.pop_front();
    for (const ModelStep step : NextSteps(node.model)) {
      Node next = node;
      next.path.push_back(step);
      TakeStep(next.model, step);
      if (!seen.insert(Fingerprint(next.model)).second) {
        continue;
      }
      if (next.model.violation.empty() && seen.size() % kSettleEvery == 0) {
        GangModel settling = next.model;
        RunToCompletion(settling);
        ++result.settled;
        next.model.violation = settling.violation;
      }
      result.longest_partial =
          std::max(result.longest_partial, next.model.longest_partial);
      if (!next.model.violation.empty()) {
        result.violation =
            next.model.violation + " after " + Describe(next.path);
        result.states = seen.size();
        return result;
      }
      open.push_back(std::move(next));
    }
  }
  result.states = seen.size();
  return result;
}

BOOST_AUTO_TEST_CASE(every_order_of_events_keeps_the_gang_invariants) {
  ConfigureLogging(LogLevel::kError, "gang_protocol_test");
  for (const SearchCase& sample : kSearchCases) {
    BOOST_TEST_CONTEXT(sample) {
      const SearchResult result = Search(sample);
      BOOST_TEST_MESSAGE(
          fmt::format("{}: {} states, {} settled, {}, longest partial run {} s",
                      sample.name, result.states, result.settled,
                      result.complete ? "complete" : "cut off",
                      std::chrono::duration_cast<std::chrono::seconds>(
                          result.longest_partial)
                          .count()));
      BOOST_TEST(result.violation == "");
    }
  }
}

constexpr std::size_t kWalkSteps = 160;

// Takes random steps and then lets the model settle.
GangModel Walk(const WalkCase& sample,
               std::mt19937& random,
               std::vector<ModelStep>& path) {
  GangModel model = MakeGangModel(sample.idempotent, sample.budget);
  while (path.size() < kWalkSteps && model.violation.empty()) {
    const auto steps = NextSteps(model);
    if (steps.empty()) {
      break;
    }
    path.push_back(steps[random() % steps.size()]);
    TakeStep(model, path.back());
  }
  if (model.violation.empty()) {
    RunToCompletion(model);
  }
  return model;
}

BOOST_AUTO_TEST_CASE(long_random_paths_keep_the_gang_invariants) {
  ConfigureLogging(LogLevel::kError, "gang_protocol_test");
  for (const WalkCase& sample : kWalkCases) {
    BOOST_TEST_CONTEXT(sample) {
      std::mt19937 random(sample.seed);
      Duration longest_partial{};
      std::map<std::string, int> ends;
      std::string violation;
      for (int i = 0; i < sample.walks && violation.empty(); ++i) {
        std::vector<ModelStep> path;
        const GangModel model = Walk(sample, random, path);
        longest_partial = std::max(longest_partial, model.longest_partial);
        if (!model.violation.empty()) {
          violation = model.violation + " after " + Describe(path);
        }
        for (const auto& holder : model.holders) {
          const Job* job = holder.jobs.cells.begin()->second.jobs.rows.data();
          ++ends[std::string(EnumName(job->state))];
        }
      }
      std::string end_counts;
      for (const auto& [name, count] : ends) {
        end_counts += fmt::format(" {}={}", name, count);
      }
      BOOST_TEST_MESSAGE(fmt::format(
          "{}: {} walks, longest partial run {} s, states at the end:{}",
          sample.name, sample.walks,
          std::chrono::duration_cast<std::chrono::seconds>(longest_partial)
              .count(),
          end_counts));
      BOOST_TEST(violation == "");
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
