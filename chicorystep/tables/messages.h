#ifndef CHICORYSTEP_TABLES_MESSAGES_H_
#define CHICORYSTEP_TABLES_MESSAGES_H_

#include <vector>

#include "chicorystep/tables/claims.h"
#include "chicorystep/tables/config_sync.h"
#include "chicorystep/tables/instances.h"
#include "chicorystep/tables/jobs.h"
#include "chicorystep/tables/log.h"
#include "chicorystep/tables/members.h"
#include "chicorystep/tables/requests.h"

namespace chicorystep {

// The messages that arrived since the last tick, one vector for each kind.
struct Inbox {
  std::vector<LogBatch> log_batches;
  std::vector<LogHealthChange> log_health_changes;
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

// The decisions of one tick, which the traffic threads carry out.
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

#endif  // CHICORYSTEP_TABLES_MESSAGES_H_
