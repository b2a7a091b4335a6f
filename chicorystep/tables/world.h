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

// The identity of this process, and the limits and intervals of its systems.
struct Self {
  EntryId id;
  Incarnation incarnation;
  // The address at which peers reach this process.
  Address address;
  Zone zone;
  Region region;
  Duration heartbeat_interval{};
  // A peer that has not been seen for this long, neither directly nor through
  // another member, counts as failed.
  Duration member_timeout{};
  Duration lease_time{};
  // How long the log service retains records.
  Duration log_retention = std::chrono::hours(24);
  // How often a worker is polled when no other message to it is due.
  Duration worker_poll_interval{};
  // How long a preempted borrower may take to write its checkpoint.
  Duration reclaim_grace = std::chrono::seconds(5);
  // How often a job that has not ended is written to its cell's stream again,
  // so that the log service does not drop its last record.
  Duration job_rewrite_interval = std::chrono::minutes(20);
  // How long the state of an ended job can be queried.
  Duration ended_job_retention = std::chrono::minutes(30);
  // How long a stopping process still accepts requests, so that the load
  // balancer can notice, and how long it then waits for work in progress.
  Duration announce_time{};
  Duration drain_time{};
  std::size_t max_waiting_requests = 0;
  std::size_t max_waiting_jobs = 0;
  JobLimits job_limits;
  CellMap cells;
  SlotPolicy slot_policy = SlotPolicy::kAdaptiveLimit;
  // Bytes per second that this process may spend on requests to other regions.
  Bytes link_bytes_per_second;
  // The most claims held in memory. Beyond it, requests that need a claim are
  // refused.
  std::size_t max_claims = 0;
  // How long a claim is valid; shorter than `log_retention`.
  Duration claim_window{};
  // How long a request waits for its claim to be read back from the log.
  Duration claim_timeout{};
};

// All control state of one entry process. Only the control thread accesses it.
struct World {
  Self self;
  Config config;
  // Whether the configuration may be used: it is as new as the log, or as the
  // newest configuration that any peer has reported.
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
