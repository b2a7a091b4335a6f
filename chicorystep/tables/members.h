#ifndef CHICORYSTEP_TABLES_MEMBERS_H_
#define CHICORYSTEP_TABLES_MEMBERS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// A short hash of a member's id, used in heartbeats in place of the id.
using MemberHash = Id<struct MemberHashTag, std::uint32_t>;

// Part of a heartbeat: the sender last saw `member` `age` ago, directly or
// through another member.
struct SeenMember {
  MemberHash member;
  Duration age{};
};

// The content of a heartbeat. Its size is bounded, whatever the number of
// members.
struct Heartbeat {
  EntryId id;
  Incarnation incarnation;
  Zone zone;
  Region region;
  // The offset after the last configuration record that the sender has applied.
  Offset config_next;
  bool stopping = false;
  Address address;
  // Whether the sender's reads of the log fail.
  bool log_failing = false;
  // A subset of the members that the sender considers alive.
  std::vector<SeenMember> seen;
};

// An entry process other than this one.
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
  // Whether the platform's instance list contains the member, and whether it
  // does so with state kLeaving.
  bool listed = false;
  bool leaving = false;
  // When the member was last seen, directly or through another member;
  // TimePoint::min() when it never was.
  TimePoint last_seen = TimePoint::min();
};

// All known entry processes except this one.
struct Members {
  Table<EntryId, Member> table;
  TimePoint next_heartbeat{};
  // Round-robin positions in the table: the next recipient of a heartbeat and
  // the next member to include in `Heartbeat::seen`.
  std::size_t heartbeat_cursor = 0;
  std::size_t seen_cursor = 0;
};

// Sends one heartbeat to a peer.
struct SendHeartbeat {
  Address address;
  Heartbeat heartbeat;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_MEMBERS_H_
