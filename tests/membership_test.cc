#define BOOST_TEST_MODULE membership
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "chicorystep/systems/cells/membership.h"
#include "chicorystep/systems/config/config_sync.h"

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

Heartbeat MakeMemberHeartbeat(const std::string& id,
                              std::uint64_t incarnation = 1) {
  return Heartbeat{.id = EntryId(id),
                   .incarnation = Incarnation(incarnation),
                   .zone = Zone("z1"),
                   .region = Region("r1"),
                   .address = Address(id + ":1")};
}

ListedEntry MakeListedEntry(const std::string& id) {
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

void ApplyEntryList(World& world, const std::vector<std::string>& ids) {
  Inbox inbox;
  InstanceList& list = inbox.instance_lists.emplace_back();
  for (const std::string& id : ids) {
    list.entries.push_back(MakeListedEntry(id));
  }
  ApplyInstanceLists(world, inbox);
}

// Whether a member counts as alive after a sequence of instance lists, which
// lag behind, and heartbeats.
struct AliveCase {
  std::string name;
  void (*apply_events)(World&);
  // Time from the start to the check.
  Duration checked_after;
  bool alive;
};

const std::vector<AliveCase> kAliveCases = {
    {"listed, no heartbeat yet",
     [](World& world) { ApplyEntryList(world, {"m"}); }, Duration{}, false},
    {"heartbeat received, not listed yet",
     [](World& world) { Receive(world, MakeMemberHeartbeat("m"), kStart); },
     Duration{}, true},
    {"heartbeat received, then removed from the list",
     [](World& world) {
       ApplyEntryList(world, {"m"});
       Receive(world, MakeMemberHeartbeat("m"), kStart);
       ApplyEntryList(world, {});
     },
     Duration{}, true},
    {"listed, heartbeat timed out",
     [](World& world) {
       ApplyEntryList(world, {"m"});
       Receive(world, MakeMemberHeartbeat("m"), kStart);
     },
     std::chrono::seconds(3), false},
    {"stopping",
     [](World& world) {
       Heartbeat beat = MakeMemberHeartbeat("m");
       beat.stopping = true;
       Receive(world, beat, kStart);
     },
     Duration{}, false},
    {"late heartbeat of an earlier incarnation",
     [](World& world) {
       Heartbeat beat = MakeMemberHeartbeat("m", 1);
       beat.stopping = true;
       Receive(world, MakeMemberHeartbeat("m", 2), kStart);
       Receive(world, beat, kStart);
     },
     Duration{}, true},
    {"lower incarnation after a heartbeat time-out, from a clock that is "
     "behind",
     [](World& world) {
       Receive(world, MakeMemberHeartbeat("m", 9),
               kStart - std::chrono::seconds(5));
       Receive(world, MakeMemberHeartbeat("m", 3), kStart);
     },
     Duration{}, true},
    {"recently seen by another member",
     [](World& world) {
       Receive(world, MakeMemberHeartbeat("m"),
               kStart - std::chrono::seconds(5));
       Heartbeat beat = MakeMemberHeartbeat("n");
       beat.seen.push_back(
           SeenMember{world.members.table.find(EntryId("m"))->hash,
                      std::chrono::seconds(1)});
       Receive(world, beat, kStart);
     },
     Duration{}, true},
    {"seen by another member longer ago than the time-out",
     [](World& world) {
       Receive(world, MakeMemberHeartbeat("m"),
               kStart - std::chrono::seconds(5));
       Heartbeat beat = MakeMemberHeartbeat("n");
       beat.seen.push_back(
           SeenMember{world.members.table.find(EntryId("m"))->hash,
                      std::chrono::seconds(4)});
       Receive(world, beat, kStart);
     },
     Duration{}, false},
};

BOOST_AUTO_TEST_CASE(liveness_follows_from_list_and_heartbeats) {
  for (const AliveCase& sample : kAliveCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld();
      sample.apply_events(world);
      const Member* member = world.members.table.find(EntryId("m"));
      const bool alive =
          member != nullptr &&
          IsAlive(*member, world.self, kStart + sample.checked_after);
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

BOOST_AUTO_TEST_CASE(heartbeat_traffic_is_independent_of_member_count) {
  for (const SizeCase& sample : kSizeCases) {
    BOOST_TEST_CONTEXT(sample.members << " members") {
      World world = MakeWorld();
      for (int i = 0; i < sample.members; ++i) {
        Receive(world, MakeMemberHeartbeat(fmt::format("m{}", i)), kStart);
      }
      std::set<Address> notified;
      for (int i = 0; i < sample.members; ++i) {
        Outbox outbox;
        world.members.next_heartbeat = kStart;
        ExchangeHeartbeats(world, {}, kStart, outbox);
        BOOST_TEST(outbox.heartbeats.size() == sample.heartbeats);
        for (const SendHeartbeat& sent : outbox.heartbeats) {
          notified.insert(sent.address);
          BOOST_TEST(sent.heartbeat.seen.size() == sample.seen);
        }
      }
      // The rotation reaches all members.
      BOOST_TEST(notified.size() == static_cast<std::size_t>(sample.members));
    }
  }
}

// A change to the member that reads the log for the region, and whether another
// process must replace it as the reader.
struct ReaderCase {
  std::string name;
  void (*change)(World&, Member& reader);
  bool replaced;
};

const std::vector<ReaderCase> kReaderCases = {
    {"nothing", [](World&, Member&) {}, false},
    {"its reads fail", [](World&, Member& m) { m.log_failing = true; }, true},
    {"it stops", [](World&, Member& m) { m.stopping = true; }, true},
    {"it is unresponsive",
     [](World&, Member& m) { m.last_seen = kStart - std::chrono::seconds(3); },
     true},
    {"it belongs to another region",
     [](World&, Member& m) { m.region = Region("r2"); }, true},
    {"the reads of all processes fail",
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
        Receive(world, MakeMemberHeartbeat(fmt::format("m{}", i)), kStart);
      }
      const EntryId reader = ComputeRelayOrder(world, kStart).front();
      Member* member = world.members.table.find(reader);
      BOOST_REQUIRE(member != nullptr);
      sample.change(world, *member);
      BOOST_TEST((ComputeRelayOrder(world, kStart).front() != reader) ==
                 sample.replaced);
    }
  }
}

// Ticks at the given times after the start, and whether the tables are ready
// after the last one. With `peer_confirms`, a ready peer answers a fetch in
// each tick.
struct PauseCase {
  std::string name;
  std::vector<Duration> ticks;
  bool peer_confirms;
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
    {"confirmed within the member time-out after the pause",
     {std::chrono::seconds(5)},
     true,
     false},
    {"not confirmed after the member time-out",
     {std::chrono::seconds(5), std::chrono::seconds(6),
      std::chrono::seconds(8)},
     false,
     false},
    {"confirmed after the member time-out",
     {std::chrono::seconds(5), std::chrono::seconds(6),
      std::chrono::seconds(8)},
     true,
     true},
};

BOOST_AUTO_TEST_CASE(a_paused_process_is_not_ready_until_confirmed) {
  for (const PauseCase& sample : kPauseCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld();
      world.config_sync.has_base = true;
      world.config_sync.caught_up = true;
      Outbox outbox;
      SyncConfig(world, {}, kStart, outbox);
      BOOST_REQUIRE(world.config_ready);
      for (const Duration tick : sample.ticks) {
        Inbox inbox;
        if (sample.peer_confirms) {
          inbox.configs_fetched.push_back(
              ConfigFetched{EntryId("m"), true, ConfigAnswer{.ready = true}});
        }
        SyncConfig(world, inbox, kStart + tick, outbox);
      }
      BOOST_TEST(world.config_ready == sample.ready);
    }
  }
}

// The offset that a peer reports as applied, and for how long this process
// stays behind it.
struct BehindCase {
  std::string name;
  std::uint64_t peer_offset;
  Duration passed;
  bool ready;
};

const std::vector<BehindCase> kBehindCases = {
    {"at the offset of the peer", 0, std::chrono::milliseconds(1500), true},
    {"behind for less than the permitted lag", 5,
     std::chrono::milliseconds(100), true},
    {"behind for longer than the permitted lag", 5,
     std::chrono::milliseconds(1500), false},
};

BOOST_AUTO_TEST_CASE(tables_older_than_a_peers_are_not_served) {
  for (const BehindCase& sample : kBehindCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      World world = MakeWorld();
      world.config_sync.has_base = true;
      world.config_sync.caught_up = true;
      Inbox inbox;
      inbox.heartbeats.push_back(MakeMemberHeartbeat("m"));
      inbox.heartbeats.back().config_next = Offset(sample.peer_offset);
      Outbox outbox;
      ExchangeHeartbeats(world, inbox, kStart, outbox);
      SyncConfig(world, inbox, kStart, outbox);
      SyncConfig(world, {}, kStart + sample.passed, outbox);
      BOOST_TEST(world.config_ready == sample.ready);
      BOOST_TEST(outbox.config_fetches.empty() == (sample.peer_offset == 0));
    }
  }
}

}  // namespace
}  // namespace chicorystep
