#ifndef CHICORYSTEP_TABLES_WORLD_H_
#define CHICORYSTEP_TABLES_WORLD_H_

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/cell_map.h"
#include "chicorystep/tables/claims.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/config_sync.h"
#include "chicorystep/tables/instances.h"
#include "chicorystep/tables/jobs.h"
#include "chicorystep/tables/log.h"
#include "chicorystep/tables/members.h"
#include "chicorystep/tables/requests.h"

namespace chicorystep {

// Who this process is, and the times its systems keep to.
struct Self {
  EntryId id;
  Incarnation incarnation;
  // Where peers reach it.
  Address address;
  Zone zone;
  Region region;
  Duration heartbeat_interval{};
  // A peer not heard for this long counts as gone.
  Duration member_timeout{};
  Duration lease_time{};
  // For how long the log service keeps records.
  Duration log_retention = std::chrono::hours(24);
  // How often a worker is sent its one message when nothing else is due.
  Duration worker_poll_interval{};
  // How long a borrower may take to write its checkpoint.
  Duration reclaim_grace = std::chrono::seconds(5);
  // A job that has not ended is written to its cell's stream again this often,
  // before the log service drops its records.
  Duration keep_interval = std::chrono::minutes(20);
  // How long an ended job's state can be asked for.
  Duration ended_kept = std::chrono::minutes(30);
  // For how long a stopping process still accepts, so that the balancer can
  // notice, and how long it then waits for what is under way.
  Duration announce_time{};
  Duration drain_time{};
  std::size_t max_waiting_requests = 0;
  std::size_t max_waiting_jobs = 0;
  JobLimits job_limits;
  CellMap cells;
  SlotPolicy slot_policy = SlotPolicy::kLearntLimit;
  // Bytes a second that this process may spend on requests to other regions.
  Bytes link_bytes_per_second;
  // Claims held in memory; beyond it requests that need one are refused.
  std::size_t max_claims = 0;
  // For how long a claim holds; shorter than the log's retention.
  Duration claim_window{};
  // How long a request waits for its claim to be read back.
  Duration claim_timeout{};
};

// All control state of one entry process. Only the control thread touches it.
struct World {
  Self self;
  Config config;
  // Whether the tables may be acted on: they are as new as the log, or as any
  // peer has shown.
  bool config_ready = false;
  ConfigSync config_sync;
  ConfigPublishing config_publishing;
  bool stopping = false;
  TimePoint accept_until = kNever;
  TimePoint drain_until = kNever;
  InstanceList instances;
  Members members;
  Requests requests;
  Claims claims;
  Jobs jobs;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_WORLD_H_
