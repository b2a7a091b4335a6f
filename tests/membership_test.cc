#define BOOST_TEST_MODULE membership
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "chicorystep/systems/config_sync.h"
#include "chicorystep/systems/membership.h"

namespace chicorystep {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

World MakeWorld() {
  World world;
  world.self.id = EntryId("self");
  world.self.region = Region("r1");
  world.self.heartbeat_interval = std::chrono::milliseconds(500);
  world.self.member_timeout = std::chrono::seconds(2);
  return world;
}

Heartbeat BeatOf(const std::string& id, std::uint64_t incarnation = 1) {
  return Heartbeat{.id = EntryId(id),
                   .incarnation = Incarnation(incarnation),
                   .zone = Zone("z1"),
                   .region = Region("r1"),
                   .address = Address(id + ":1")};
}

ListedEntry ListedOf(const std::string& id) {
  return ListedEntry{.id = EntryId(id),
                     .address = Address(id + ":1"),
                     .zone = Zone("z1"),
                     .region = Region("r1")};
}

void Receive(World& world, const Heartbeat& beat, TimePoint now) {
  Inbox inbox;
  inbox.heartbeats.push_back(beat);
  Outbox outbox;
  ExchangeHeartbeats(world, inbox, now, outbox);
}

void List(World& world, const std::vector<std::string>& ids) {
  Inbox inbox;
  InstanceList& list = inbox.instance_lists.emplace_back();
  for (const std::string& id : ids) {
    list.entries.push_back(ListedOf(id));
  }
  ApplyInstanceLists(world, inbox);
}

// How the lagging list and the heartbeats together make a member alive.
struct AliveCase {
  std::string name;
  void (*happen)(World&);
  // After the start.
  Duration asked_after;
  bool alive;
};

const std::vector<AliveCase> kAliveCases = {
    {"listed, never heard", [](World& world) { List(world, {"m"}); },
     Duration{}, false},
    {"heard, not listed yet",
     [](World& world) { Receive(world, BeatOf("m"), kStart); }, Duration{},
     true},
    {"heard, then taken off the list",
     [](World& world) {
       List(world, {"m"});
       Receive(world, BeatOf("m"), kStart);
       List(world, {});
     },
     Duration{}, true},
    {"listed, but silent",
     [](World& world) {
       List(world, {"m"});
       Receive(world, BeatOf("m"), kStart);
     },
     std::chrono::seconds(3), false},
    {"stopping",
     [](World& world) {
       Heartbeat beat = BeatOf("m");
       beat.stopping = true;
       Receive(world, beat, kStart);
     },
     Duration{}, false},
    {"late heartbeat of an earlier life",
     [](World& world) {
       Heartbeat beat = BeatOf("m", 1);
       beat.stopping = true;
       Receive(world, BeatOf("m", 2), kStart);
       Receive(world, beat, kStart);
     },
     Duration{}, true},
    {"new life from a clock behind, after silence",
     [](World& world) {
       Receive(world, BeatOf("m", 9), kStart - std::chrono::seconds(5));
       Receive(world, BeatOf("m", 3), kStart);
     },
     Duration{}, true},
    {"heard of through another",
     [](World& world) {
       Receive(world, BeatOf("m"), kStart - std::chrono::seconds(5));
       Heartbeat beat = BeatOf("n");
       beat.seen.push_back(Seen{world.members.table.find(EntryId("m"))->hash,
                                std::chrono::seconds(1)});
       Receive(world, beat, kStart);
     },
     Duration{}, true},
    {"an echo of old news",
     [](World& world) {
       Receive(world, BeatOf("m"), kStart - std::chrono::seconds(5));
       Heartbeat beat = BeatOf("n");
       beat.seen.push_back(Seen{world.members.table.find(EntryId("m"))->hash,
                                std::chrono::seconds(4)});
       Receive(world, beat, kStart);
     },
     Duration{}, false},
};

BOOST_AUTO_TEST_CASE(list_and_heartbeats_correct_each_other) {
  for (const AliveCase& sample : kAliveCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld();
      sample.happen(world);
      const Member* member = world.members.table.find(EntryId("m"));
      const bool alive =
          member != nullptr &&
          IsAlive(*member, world.self, kStart + sample.asked_after);
      BOOST_TEST(alive == sample.alive);
    }
  }
}

struct SizeCase {
  int members;
  std::size_t heartbeats;
  std::size_t seen;
};

const std::vector<SizeCase> kSizeCases = {{1, 1, 0},
                                          {4, 4, 0},
                                          {8, 4, 8},
                                          {60, 4, 24},
                                          {210, 4, 24}};

BOOST_AUTO_TEST_CASE(heartbeats_do_not_grow_with_the_members) {
  for (const SizeCase& sample : kSizeCases) {
    BOOST_TEST_CONTEXT(sample.members << " members") {
      World world = MakeWorld();
      for (int i = 0; i < sample.members; ++i) {
        Receive(world, BeatOf(fmt::format("m{}", i)), kStart);
      }
      std::set<Address> told;
      for (int i = 0; i < sample.members; ++i) {
        Outbox outbox;
        world.members.next_heartbeat = kStart;
        ExchangeHeartbeats(world, {}, kStart, outbox);
        BOOST_TEST(outbox.heartbeats.size() == sample.heartbeats);
        for (const SendHeartbeat& sent : outbox.heartbeats) {
          told.insert(sent.address);
          BOOST_TEST(sent.heartbeat.seen.size() == sample.seen);
        }
      }
      // In turn all members are told.
      BOOST_TEST(told.size() == static_cast<std::size_t>(sample.members));
    }
  }
}

// Who reads the log for the region.
struct ReaderCase {
  std::string name;
  void (*change)(World&, Member& reader);
  bool replaced;
};

const std::vector<ReaderCase> kReaderCases = {
    {"nothing", [](World&, Member&) {}, false},
    {"its reads fail", [](World&, Member& m) { m.log_failing = true; }, true},
    {"it stops", [](World&, Member& m) { m.stopping = true; }, true},
    {"it is silent",
     [](World&, Member& m) { m.heard = kStart - std::chrono::seconds(3); },
     true},
    {"it is of another region",
     [](World&, Member& m) { m.region = Region("r2"); }, true},
    {"the reads of all fail",
     [](World& world, Member&) {
       world.config_sync.log_failing = true;
       for (Member& member : world.members.table.rows) {
         member.log_failing = true;
       }
     },
     false},
};

BOOST_AUTO_TEST_CASE(a_reader_that_cannot_read_is_replaced) {
  for (const ReaderCase& sample : kReaderCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld();
      for (int i = 0; i < 8; ++i) {
        Receive(world, BeatOf(fmt::format("m{}", i)), kStart);
      }
      const EntryId reader = RelayOrder(world, kStart).front();
      Member* member = world.members.table.find(reader);
      BOOST_REQUIRE(member != nullptr);
      sample.change(world, *member);
      BOOST_TEST((RelayOrder(world, kStart).front() != reader) ==
                 sample.replaced);
    }
  }
}

// Ticks at the given times after the start, and whether the last one finds the
// tables fit to act on.
struct PauseCase {
  std::string name;
  std::vector<Duration> ticks;
  bool confirmed_after;
  bool ready;
};

const std::vector<PauseCase> kPauseCases = {
    {"regular ticks",
     {std::chrono::milliseconds(500), std::chrono::seconds(1)},
     false,
     true},
    {"in the first tick after a pause",
     {std::chrono::seconds(5)},
     false,
     false},
    {"confirmed, but too soon", {std::chrono::seconds(5)}, true, false},
    {"not confirmed for long",
     {std::chrono::seconds(5), std::chrono::seconds(6),
      std::chrono::seconds(8)},
     false,
     false},
    {"confirmed and settled",
     {std::chrono::seconds(5), std::chrono::seconds(6),
      std::chrono::seconds(8)},
     true,
     true},
};

BOOST_AUTO_TEST_CASE(a_pause_is_noticed_before_anything_is_done) {
  for (const PauseCase& sample : kPauseCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld();
      world.config_sync.based = true;
      world.config_sync.caught_up = true;
      Outbox outbox;
      SyncConfig(world, {}, kStart, outbox);
      BOOST_REQUIRE(world.config_ready);
      for (const Duration tick : sample.ticks) {
        Inbox inbox;
        if (sample.confirmed_after) {
          inbox.configs_fetched.push_back(
              ConfigFetched{EntryId("m"), true, ConfigAnswer{.ready = true}});
        }
        SyncConfig(world, inbox, kStart + tick, outbox);
      }
      BOOST_TEST(world.config_ready == sample.ready);
    }
  }
}

// What a peer shows, and for how long this process stays behind it.
struct BehindCase {
  std::string name;
  std::uint64_t shown;
  Duration passed;
  bool ready;
};

const std::vector<BehindCase> kBehindCases = {
    {"as new as the peer", 0, std::chrono::milliseconds(1500), true},
    {"just behind", 5, std::chrono::milliseconds(100), true},
    {"behind for long", 5, std::chrono::milliseconds(1500), false},
};

BOOST_AUTO_TEST_CASE(tables_older_than_a_peer_has_shown_are_not_served) {
  for (const BehindCase& sample : kBehindCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld();
      world.config_sync.based = true;
      world.config_sync.caught_up = true;
      Inbox inbox;
      inbox.heartbeats.push_back(BeatOf("m"));
      inbox.heartbeats.back().config_next = Offset(sample.shown);
      Outbox outbox;
      ExchangeHeartbeats(world, inbox, kStart, outbox);
      SyncConfig(world, inbox, kStart, outbox);
      SyncConfig(world, {}, kStart + sample.passed, outbox);
      BOOST_TEST(world.config_ready == sample.ready);
      BOOST_TEST(outbox.config_fetches.empty() == (sample.shown == 0));
    }
  }
}

}  // namespace
}  // namespace chicorystep
