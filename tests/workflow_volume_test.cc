#define BOOST_TEST_MODULE workflow_volume
#include <boost/test/unit_test.hpp>

#include "tests/support/emulation.h"

namespace chicorystep {
namespace {

// What one entry may read for each workflow, so that all entries of a region
// leave three quarters of the link to the store to appends and orders: 60
// Mbit/s for 17 entries, at 23 workflows a second.
constexpr Bytes kMostForEach(60'000'000 / 8 / 4 / 17 / 23);

// Workflows that come at a steady pace, and end task by task where they are
// wider than the room.
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

// Guards against entries that read all that the holder writes on each task: in
// a burst that fills the link to the region without the store
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
                                  .uneven = milliseconds(60)};
        what.spec.payload = std::string(200, 'p');
        what.spec.steps = {MakeStep(sample.width, 1, sample.gang)};
        run.Submit(number % 3, "bulk", Emulation::MakeId(number), what);
        run.RunFor(milliseconds(200));
      }
      BOOST_REQUIRE(run.RunFor(seconds(60), [&] { return run.AllOver(); }));
      const Bytes read = run.entries[follower]->received - before;
      const Bytes for_each(read.value / sample.workflows);
      BOOST_TEST(for_each.value <= kMostForEach.value);
      BOOST_TEST_MESSAGE(sample.name << ": " << for_each.value << " bytes");
    }
  }
}

}  // namespace
}  // namespace chicorystep
