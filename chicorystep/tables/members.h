#ifndef CHICORYSTEP_TABLES_MEMBERS_H_
#define CHICORYSTEP_TABLES_MEMBERS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// A hash of a member's id, for digests.
using MemberHash = Id<struct MemberHashTag, std::uint32_t>;

// That a member was heard of `age` ago, by whatever way.
struct Seen {
  MemberHash member;
  Duration age{};
};

// What a heartbeat carries: constant size, whatever the number of members.
struct Heartbeat {
  EntryId id;
  Incarnation incarnation;
  Zone zone;
  Region region;
  // How far the sender has applied the configuration stream.
  Offset config_next;
  bool stopping = false;
  Address address;
  // Whether the sender's reads of the log fail.
  bool log_failing = false;
  // Some of those that the sender heard of lately.
  std::vector<Seen> seen;
};

// Another entry process.
struct Member {
  EntryId id;
  Address address;
  Zone zone;
  Region region;
  Incarnation incarnation;
  Offset config_next;
  bool stopping = false;
  bool log_failing = false;
  MemberHash hash;
  // Whether the platform's list names it, and as leaving.
  bool listed = false;
  bool leaving = false;
  TimePoint heard = TimePoint::min();
};

// The entry processes that this one knows, without itself.
struct Members {
  Table<EntryId, Member> table;
  TimePoint next_heartbeat{};
  // Where the rotation over the members goes on.
  std::size_t next_target = 0;
  std::size_t next_seen = 0;
};

// Sends one heartbeat to a peer.
struct SendHeartbeat {
  Address address;
  Heartbeat heartbeat;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_MEMBERS_H_
