#ifndef CHICORYSTEP_TABLES_MEMBERS_H_
#define CHICORYSTEP_TABLES_MEMBERS_H_

#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// What a heartbeat carries: constant size, whatever the number of members.
struct Heartbeat {
  EntryId id;
  Incarnation incarnation;
  Zone zone;
  Region region;
  // How far the sender has applied the configuration stream.
  Offset config_next;
  bool stopping = false;
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
  // Whether the platform's list names it, and as leaving.
  bool listed = false;
  bool leaving = false;
  TimePoint heard = TimePoint::min();
};

// The entry processes that this one knows, without itself.
struct Members {
  Table<EntryId, Member> table;
  TimePoint next_heartbeat{};
};

// Sends one heartbeat to a peer.
struct SendHeartbeat {
  Address address;
  Heartbeat heartbeat;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_MEMBERS_H_
