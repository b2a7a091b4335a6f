#ifndef CHICORYSTEP_SETTINGS_ENTRY_SETTINGS_H_
#define CHICORYSTEP_SETTINGS_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/logging.h"
#include "chicorystep/core/result.h"
#include "chicorystep/core/units.h"
#include "chicorystep/settings/ini.h"
#include "chicorystep/tables/cell_map.h"

namespace chicorystep {

// The settings of chicorystep-entry. Each member is one key of the INI file;
// docs/OPERATIONS.md documents the keys and their units.
struct EntrySettings {
  // [instance]
  EntryId id;
  Zone zone;
  Region region;
  LogLevel log_level = LogLevel::kInfo;

  // [listen]
  Address callers_address;
  Address peers_address;
  Address admin_address;

  // [platform]
  Address log_address;
  Address instances_address;
  Duration instances_interval = std::chrono::seconds(1);
  Duration platform_timeout = std::chrono::seconds(5);
  std::int64_t append_attempts = 8;
  // In bytes per second.
  Bytes log_read_rate{256 << 10};
  Duration log_retention = std::chrono::hours(24);

  // [callers]
  std::int64_t caller_threads = 256;
  std::int64_t keep_alive_requests = 1'000'000;
  Duration keep_alive_time = std::chrono::seconds(60);
  Duration read_timeout = std::chrono::seconds(10);
  Duration receive_timeout = std::chrono::seconds(60);
  Bytes max_head{32 << 10};
  Bytes max_body{8 << 20};
  Bytes max_received{1 << 30};
  std::int64_t max_waiting_requests = 10'000;
  Duration max_deadline = std::chrono::hours(1);

  // Budget for requests to other regions, in bytes per second.
  Bytes link_bytes_per_second{256 << 10};

  // [claims]
  std::int64_t max_claims = 200'000;
  Duration claim_window = std::chrono::hours(1);
  Duration claim_timeout = std::chrono::seconds(2);

  // [jobs]
  // Must be the same in all entry processes.
  CellMap cells;
  std::int64_t max_waiting_jobs = 20'000;
  std::int64_t max_pieces = 1024;
  Bytes max_command{64 << 10};
  Duration lease_time = std::chrono::seconds(10);
  Duration worker_poll_interval = std::chrono::seconds(1);
  std::int64_t worker_threads = 8;
  Duration reclaim_grace = std::chrono::seconds(5);

  // [peers]
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  Duration member_timeout = std::chrono::seconds(2);

  // [stop]
  Duration announce_time = std::chrono::seconds(5);
  Duration drain_time = std::chrono::seconds(30);
};

// One key of the settings file.
struct SettingDescription {
  // The name in the form "section.key".
  std::string name;
  // The default in the syntax of the settings file; empty if there is none.
  std::string default_value;
  std::string expected;
};

// Returns every key in the order of docs/OPERATIONS.md.
[[nodiscard]] std::vector<SettingDescription> DescribeEntrySettings();

// Reads the settings; on failure reports every fault in the document.
[[nodiscard]] Result<EntrySettings, std::vector<SettingsFault>>
ReadEntrySettings(const IniDocument& document);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SETTINGS_ENTRY_SETTINGS_H_
