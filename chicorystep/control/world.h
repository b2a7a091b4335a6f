#ifndef CHICORYSTEP_CONTROL_WORLD_H_
#define CHICORYSTEP_CONTROL_WORLD_H_

#include <vector>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"
#include "chicorystep/tables/config.h"
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
  Zone zone;
  Region region;
  Duration heartbeat_interval{};
  // A peer not heard for this long counts as gone.
  Duration member_timeout{};
  Duration lease_time{};
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
};

// All control state of one entry process. Only the control thread touches it.
struct World {
  Self self;
  Config config;
  // Whether the configuration stream has been read to its end once.
  bool config_ready = false;
  bool stopping = false;
  TimePoint accept_until = kNever;
  TimePoint drain_until = kNever;
  InstanceList instances;
  Members members;
  Requests requests;
  Jobs jobs;
};

// What came in since the last tick, one vector for each kind of message.
struct Inbox {
  std::vector<LogBatch> log_batches;
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
  std::vector<SendAttempt> attempts;
  std::vector<EndExchange> ended_exchanges;
  std::vector<ForwardJobOperation> forwards;
  std::vector<EndJobOperation> ended_job_operations;
  std::vector<SendWorkerCommands> worker_commands;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CONTROL_WORLD_H_
