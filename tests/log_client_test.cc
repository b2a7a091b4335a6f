#define BOOST_TEST_MODULE log_client
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/clients/byte_budget.h"
#include "chicorystep/clients/log_client.h"
#include "tests/support/cluster.h"

namespace chicorystep::testing {
namespace {

const Stream kStream("s");

// Collects what a client reports through its callbacks.
struct Reports {
  std::mutex mutex;
  std::vector<AppendEnded> ended;
  std::vector<LogRecord> records;
  std::vector<LogHealth> health;

  LogClient::Callbacks Callbacks() {
    return {.append_ended =
                [this](AppendEnded end) {
                  const std::scoped_lock lock(this->mutex);
                  this->ended.push_back(std::move(end));
                },
            .batch =
                [this](const LogBatch& batch) {
                  const std::scoped_lock lock(this->mutex);
                  this->records.insert(this->records.end(),
                                       batch.records.begin(),
                                       batch.records.end());
                },
            .health_changed =
                [this](const LogHealthChange& state) {
                  const std::scoped_lock lock(this->mutex);
                  this->health.push_back(state.health);
                },
            .traffic = [](const LogTraffic&) {}};
  }

  std::size_t CountEnded() {
    const std::scoped_lock lock(this->mutex);
    return this->ended.size();
  }

  std::optional<LogHealth> LastHealth() {
    const std::scoped_lock lock(this->mutex);
    return this->health.empty() ? std::nullopt
                                : std::optional(this->health.back());
  }
};

// A log service that runs in the test process.
struct Service {
  Served<LogStandin> log;

  Service() {
    AddLogRoutes(this->log.server.Routes(), this->log.standin);
    (void)this->log.server.Start("127.0.0.1", 0);
  }
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;
  ~Service() {
    const std::scoped_lock lock(this->log.standin.mutex);
    this->log.standin.stopping = true;
    this->log.standin.appended.notify_all();
  }

  void SetFaults(const LogFaults& faults) {
    const std::scoped_lock lock(this->log.standin.mutex);
    this->log.standin.faults = faults;
  }

  std::size_t CountRecords() {
    const std::scoped_lock lock(this->log.standin.mutex);
    return this->log.standin.streams[kStream.value].records.size();
  }
};

// The expected result of one append under a fault, and the number of copies of
// the record that are then in the stream.
struct AppendCase {
  std::string name;
  LogFaults faults;
  bool listening;
  bool acknowledged;
  bool certainly_absent;
  std::size_t copies;
};

const std::vector<AppendCase> kAppendCases = {
    {"no fault", {}, true, true, false, 1},
    {"two answers lost", {.lose_append_answers = 2}, true, true, false, 3},
    {"all answers lost", {.lose_append_answers = 9}, true, false, false, 3},
    {"down", {.down = true}, true, false, false, 0},
    {"slow", {.delay = std::chrono::milliseconds(300)}, true, true, false, 1},
    {"connection refused", {}, false, false, true, 0},
};

BOOST_AUTO_TEST_CASE(append_results_match_what_is_certain) {
  for (const AppendCase& sample : kAppendCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Service service;
      service.SetFaults(sample.faults);
      Reports reports;
      LogClient client(
          {.address = chicorystep::Address(
               sample.listening ? service.log.Address()
                                : fmt::format("127.0.0.1:{}", FreePort())),
           .timeout = std::chrono::seconds(2),
           .append_attempts = 3},
          reports.Callbacks());
      client.Append(AppendRecord{kStream, RecordId("r"), "data"});
      BOOST_REQUIRE(Eventually([&] { return reports.CountEnded() == 1; }));
      BOOST_TEST(reports.ended[0].acknowledged == sample.acknowledged);
      BOOST_TEST(reports.ended[0].certainly_absent == sample.certainly_absent);
      BOOST_TEST(service.CountRecords() == sample.copies);
    }
  }
}

BOOST_AUTO_TEST_CASE(appends_of_one_stream_go_out_in_batches_and_in_order) {
  Service service;
  service.SetFaults({.delay = std::chrono::milliseconds(100)});
  Reports reports;
  LogClient client({.address = chicorystep::Address(service.log.Address())},
                   reports.Callbacks());
  constexpr std::size_t kRecords = 500;
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kRecords; ++i) {
    client.Append(AppendRecord{kStream, RecordId(std::to_string(i)), "x"});
  }
  // Queuing an append does not wait for the service.
  BOOST_TEST((std::chrono::steady_clock::now() - start <
              kRecords * std::chrono::milliseconds(100)));
  BOOST_REQUIRE(Eventually([&] { return reports.CountEnded() == kRecords; }));
  const std::scoped_lock lock(service.log.standin.mutex);
  const auto& records = service.log.standin.streams[kStream.value].records;
  BOOST_REQUIRE_EQUAL(records.size(), kRecords);
  for (std::size_t i = 0; i < kRecords; ++i) {
    BOOST_TEST(records[i].id.value == std::to_string(i));
  }
}

// Bytes of reads one second apart, and the expected wait after the last read.
struct BudgetCase {
  std::string name;
  std::int64_t rate;
  std::vector<std::int64_t> reads;
  std::int64_t wait_us;
};

const std::vector<BudgetCase> kBudgetCases = {
    {"no limit", 0, {1'000'000, 1'000'000}, 0},
    {"within the rate", 1000, {1000, 1000, 1000, 1000}, 0},
    {"a burst", 1000, {5000}, 0},
    {"beyond the burst", 1000, {6000}, 1'000'000},
    {"the debt is repaid", 1000, {5000, 0, 0, 3000}, 0},
    {"above the rate for several reads", 1000, {3000, 3000, 3000}, 2'000'000},
};

BOOST_AUTO_TEST_CASE(reads_stay_within_their_budget) {
  for (const BudgetCase& sample : kBudgetCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      ByteBudget budget{.rate = Bytes{sample.rate}, .burst = Bytes{5000}};
      TimePoint now{std::chrono::seconds(100)};
      Duration wait{};
      for (const std::int64_t read : sample.reads) {
        wait = Charge(budget, Bytes{read}, now);
        now += std::chrono::seconds(1);
      }
      BOOST_TEST(wait.count() == sample.wait_us);
    }
  }
}

// A state of the service, and the health that the client must report for it.
struct HealthCase {
  std::string name;
  LogFaults faults;
  LogHealth health;
};

const std::vector<HealthCase> kHealthCases = {
    {"down", {.down = true}, LogHealth::kDown},
    {"recovered after down", {}, LogHealth::kWorking},
    {"slow", {.delay = std::chrono::milliseconds(900)}, LogHealth::kSlow},
    {"down after slow", {.down = true}, LogHealth::kDown},
    {"recovered", {}, LogHealth::kWorking},
};

BOOST_AUTO_TEST_CASE(slow_and_down_are_distinguished) {
  Service service;
  Reports reports;
  LogClient client({.address = chicorystep::Address(service.log.Address()),
                    .timeout = std::chrono::seconds(2),
                    .read_wait = std::chrono::milliseconds(100)},
                   reports.Callbacks());
  client.Follow(FollowStream{kStream, Offset{}});
  for (const HealthCase& sample : kHealthCases) {
    service.SetFaults(sample.faults);
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(
          Eventually([&] { return reports.LastHealth() == sample.health; }));
    }
  }
}

}  // namespace
}  // namespace chicorystep::testing
