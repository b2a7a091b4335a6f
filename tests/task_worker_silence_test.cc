#define BOOST_TEST_MODULE task_worker_silence
#include "chicorystep/systems/task_worker_silence.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "chicorystep/encoding/workflow_record.h"
#include "chicorystep/systems/workflow_holder.h"

namespace chicorystep {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow(seconds(1000));
const WorkerId kWorker("w0");

// What earlier holders noted at `kNow`, and how long after it a holder of epoch
// 7 that claimed then waits for the worker.
struct LapseCase {
  std::string name;
  std::vector<SilentWorkersRecord> noted;
  Duration wait;
};

// The predecessor's right to order, and a lease by two clocks 2% slow.
constexpr Duration kWhole =
    kConfirmationBound + std::chrono::milliseconds(5200);

const std::vector<LapseCase> kLapseCases = {
    {"nothing was noted", {}, kWhole},
    {"the predecessor noted it",
     {{Epoch(6), {{kWorker, seconds(3)}}}},
     std::chrono::milliseconds(3120)},
    {"the predecessor noted another",
     {{Epoch(6), {{WorkerId("w1"), seconds(3)}}}},
     kWhole},
    {"the predecessor noted it and then that it answered",
     {{Epoch(6), {{kWorker, seconds(3)}}}, {Epoch(6), {}}},
     kWhole},
    {"an earlier holder noted it",
     {{Epoch(4), {{kWorker, seconds(3)}}}},
     kWhole},
    {"only the holder before the predecessor noted it",
     {{Epoch(5), {{kWorker, seconds(3)}}}},
     kWhole},
    {"both noted it",
     {{Epoch(5), {{kWorker, seconds(3)}}}, {Epoch(6), {{kWorker, seconds(1)}}}},
     std::chrono::milliseconds(1040)},
    {"the predecessor noted a long wait",
     {{Epoch(6), {{kWorker, seconds(60)}}}},
     kWhole},
};

BOOST_AUTO_TEST_CASE(a_successor_goes_by_what_its_predecessor_noted) {
  for (const LapseCase& sample : kLapseCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      WorkflowWorld world;
      world.holding.own_epoch = Epoch(7);
      world.holding.claimed = kNow;
      for (const SilentWorkersRecord& record : sample.noted) {
        // As read back from the journal.
        const std::vector<KeyedValue> encoded = EncodeJournalRecord(record);
        BOOST_REQUIRE_EQUAL(encoded.size(), 1U);
        const auto decoded =
            DecodeJournalRecord(encoded[0].key, encoded[0].value);
        BOOST_REQUIRE(decoded.has_value());
        const auto& read = std::get<SilentWorkersRecord>(*decoded.value());
        BOOST_TEST((read.epoch == record.epoch));
        BOOST_TEST((read.workers == record.workers));
        ApplySilentWorkers(world.holding, read, kNow);
      }
      TaskWorker worker{.listing = {.id = kWorker}};
      InheritLapse(world, worker);
      BOOST_TEST((worker.inherited_lapse - kNow).count() ==
                 sample.wait.count());
    }
  }
}

}  // namespace
}  // namespace chicorystep
