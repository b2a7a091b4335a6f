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

// What one process knows of the configuration beyond an offset.
struct ConfigAnswer {
  // Whether it serves callers from its tables.
  bool ready = false;
  // How far its tables reach.
  Offset next;
  std::vector<LogRecord> records;
  // An encoded snapshot when the records are no longer kept, else empty.
  std::string snapshot;
};

// Asks a peer for the configuration from an offset on.
struct FetchConfig {
  EntryId peer;
  Address address;
  Offset from;
};

// How a fetch ended; without an answer the peer could not be reached.
struct ConfigFetched {
  EntryId peer;
  bool answered = false;
  ConfigAnswer answer;
};

// How this process gets the configuration and how new its tables are.
struct ConfigSync {
  // Whether the tables rest on a snapshot, a peer's tables, or the stream's
  // beginning.
  bool based = false;
  // Whether all was read that the log, or a peer that is ready, could give.
  bool caught_up = false;
  bool follows_log = false;
  bool follows_snapshots = false;
  // The reads of the log fail, and until when that is held to be so.
  bool log_failing = false;
  TimePoint log_failing_until = TimePoint::min();
  // The furthest that any peer was seen to have applied.
  Offset shown;
  TimePoint behind_since = kNever;
  // The fetch under way, and failures since the last one that succeeded.
  EntryId fetching;
  std::size_t failed_fetches = 0;
  TimePoint next_fetch{};
  TimePoint started = kNever;
  TimePoint last_tick = kNever;
  // Not ready before; set when the process finds that it was paused.
  TimePoint unsettled_until = TimePoint::min();
  // The newest records applied, for peers, and their size.
  std::deque<LogRecord> recent;
  Offset recent_from;
  Bytes recent_size;
};

// When this process last wrote, or must write, records of its own into the
// configuration stream.
struct ConfigPublishing {
  // The append under way, if any.
  RecordId append;
  // The snapshot under way reaches to here; it is marked once acknowledged.
  Offset snapshot_next;
  // When the newest mark was seen.
  Offset marked;
  TimePoint marked_at{};
  // Since when the zones have held more, or less, than the log says.
  TimePoint differs_since = kNever;
  TimePoint next_attempt{};
  std::uint64_t records_written = 0;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CONFIG_SYNC_H_
