#define BOOST_TEST_MODULE workflow_volume
#include <boost/test/unit_test.hpp>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

// What one entry may read for each workflow, so that all entries of a region
// use at most a quarter of the link to the store and leave the rest to appends
// and orders: 60 Mbit/s for 17 entries, at 23 workflows per second.
constexpr Bytes kMaxBytesPerWorkflow(60'000'000 / 8 / 4 / 17 / 23);

// Workflows that are submitted at a constant rate. Those without a gang run in
// parts when they are wider than the free capacity.
struct VolumeCase {
  std::string name;
  std::uint32_t width;
  bool gang;
  int workflows;
};

const std::vector<VolumeCase> kVolumeCases = {
    {"a few tasks each", 5, false, 40},
    {"gangs", 16, true, 40},
    {"wide steps in a busy service", 60, false, 30},
    {"the widest steps", 180, false, 10},
};

// Guards against entries that read everything the holder writes on each task,
// which in a burst saturates the link to a region without the store
// (bssp-sched-grown, SHORT).
BOOST_AUTO_TEST_CASE(entries_read_little_for_each_workflow) {
  for (const VolumeCase& sample : kVolumeCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      Emulation run;
      run.store.configs.push_back(Emulation::MakeConfig(1));
      run.AddWorkers(16);
      run.AddEntries(3);
      BOOST_REQUIRE(run.RunFor(seconds(5), [&] { return run.Holder() >= 0; }));
      const auto follower = static_cast<std::size_t>((run.Holder() + 1) % 3);
      const Bytes before = run.entries[follower]->received;
      for (int number = 1; number <= sample.workflows; ++number) {
        Emulation::Submitted what{.work = milliseconds(600 + number % 7 * 200),
                                  .work_increment = milliseconds(60)};
        what.spec.payload = std::string(200, 'p');
        what.spec.steps = {MakeStep(sample.width, 1, sample.gang)};
        run.Submit(number % 3, "bulk", Emulation::MakeId(number), what);
        run.RunFor(milliseconds(200));
      }
      BOOST_REQUIRE(
          run.RunFor(seconds(60), [&] { return run.AllWorkflowsEnded(); }));
      const Bytes read = run.entries[follower]->received - before;
      const Bytes bytes_per_workflow(read.value / sample.workflows);
      BOOST_TEST(bytes_per_workflow.value <= kMaxBytesPerWorkflow.value);
      BOOST_TEST_MESSAGE(sample.name << ": " << bytes_per_workflow.value
                                     << " bytes");
    }
  }
}

}  // namespace
}  // namespace chicorystep
