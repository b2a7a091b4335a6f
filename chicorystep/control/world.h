#ifndef CHICORYSTEP_CONTROL_WORLD_H_
#define CHICORYSTEP_CONTROL_WORLD_H_

#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/systems/job_check.h"
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
  // For how long a stopping process still accepts, so that the balancer can
  // notice, and how long it then waits for what is under way.
  Duration announce_time{};
  Duration drain_time{};
  std::size_t max_waiting_requests = 0;
  std::size_t max_waiting_jobs = 0;
  JobLimits job_limits;
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

// What came in since the last tick, one vector for each kind of message.
struct Inbox {
  std::vector<LogBatch> log_batches;
  std::vector<LogReadState> log_read_states;
  std::vector<ConfigFetched> configs_fetched;
  std::vector<AppendEnded> appends_ended;
  std::vector<InstanceList> instance_lists;
  std::vector<Heartbeat> heartbeats;
  std::vector<RequestArrived> requests;
  std::vector<AttemptEnded> attempts_ended;
  std::vector<JobOperation> job_operations;
  std::vector<WorkerAnswered> worker_answers;
  bool stop = false;
};

// What a tick decided, for the traffic threads to carry out.
struct Outbox {
  std::vector<AppendRecord> appends;
  std::vector<FollowStream> follows;
  std::vector<UnfollowStream> unfollows;
  std::vector<SendHeartbeat> heartbeats;
  std::vector<FetchConfig> config_fetches;
  std::vector<SendAttempt> attempts;
  std::vector<EndExchange> ended_exchanges;
  std::vector<ForwardJobOperation> forwards;
  std::vector<EndJobOperation> ended_job_operations;
  std::vector<SendWorkerCommands> worker_commands;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_WORLD_H_
