#ifndef CHICORYSTEP_TABLES_CONFIG_SYNC_H_
#define CHICORYSTEP_TABLES_CONFIG_SYNC_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/log.h"

namespace chicorystep {

// A peer's answer to a fetch: its configuration from the requested offset on.
struct ConfigAnswer {
  // Whether the peer's tables are ready to serve callers.
  bool ready = false;
  // The offset after the last record that the peer has applied.
  Offset next;
  std::vector<LogRecord> records;
  // An encoded snapshot when the peer no longer holds the records, otherwise
  // empty.
  std::string snapshot;
};

// Requests the configuration from an offset on from a peer.
struct FetchConfig {
  EntryId peer;
  Address address;
  Offset from;
};

// The result of a fetch. `answered` is false when the peer could not be
// reached.
struct ConfigFetched {
  EntryId peer;
  bool answered = false;
  ConfigAnswer answer;
};

// Where this process reads the configuration from and how current its tables
// are.
struct ConfigSync {
  // Whether the tables have a valid base: a snapshot, a peer's tables or the
  // beginning of the stream.
  bool has_base = false;
  // Whether the end of the log, or the state of a ready peer, has been reached.
  bool caught_up = false;
  bool follows_log = false;
  bool follows_snapshots = false;
  LogHealth log_health = LogHealth::kWorking;
  // Whether reads of the log fail. While this process does not read the log,
  // the flag is cleared at `log_failing_until`.
  bool log_failing = false;
  TimePoint log_failing_until = TimePoint::min();
  // The highest offset that any peer has reported as applied.
  Offset max_peer_offset;
  TimePoint behind_since = kNever;
  // The peer of the fetch in flight, if any, and the number of failures since
  // the last successful fetch.
  EntryId fetching_from;
  std::size_t failed_fetches = 0;
  TimePoint next_fetch{};
  // Start of the grace period in which peers may supply a base: the start of
  // the process, the end of a pause, or the loss of the base.
  TimePoint grace_start = kNever;
  TimePoint last_tick = kNever;
  // The process is not ready before this time. Set when it detects that it was
  // paused.
  TimePoint not_ready_until = TimePoint::min();
  // The newest applied records, kept for fetches by peers, the offset from
  // which they are complete, and their total size.
  std::deque<LogRecord> recent;
  Offset recent_from;
  Bytes recent_size;
};

// State of the records that this process itself writes into the log: snapshots,
// snapshot marks and zone capacities.
struct ConfigPublishing {
  // The append in flight, if any.
  RecordId append_in_flight;
  // The offset that the snapshot in flight covers up to. A snapshot mark
  // follows once the snapshot is acknowledged.
  Offset snapshot_next;
  // The newest snapshot mark, and the time from which the interval until the
  // next snapshot counts.
  Offset newest_mark;
  TimePoint newest_mark_at{};
  // Since when the listed capacity of the zones has differed from the capacity
  // recorded in the log.
  TimePoint differs_since = kNever;
  TimePoint next_attempt{};
  std::uint64_t records_written = 0;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CONFIG_SYNC_H_
