#include "chicorystep/control/tick.h"

#include <algorithm>

#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/claims.h"
#include "chicorystep/systems/cells/gangs.h"
#include "chicorystep/systems/cells/job_operations.h"
#include "chicorystep/systems/cells/membership.h"
#include "chicorystep/systems/cells/packing.h"
#include "chicorystep/systems/cells/scheduling.h"
#include "chicorystep/systems/cells/stopping.h"
#include "chicorystep/systems/cells/worker_polls.h"
#include "chicorystep/systems/config/config_publish.h"
#include "chicorystep/systems/config/config_sync.h"
#include "chicorystep/systems/requests/admission.h"
#include "chicorystep/systems/requests/routing.h"

namespace chicorystep {

Outbox Tick(World& world, const Inbox& inbox, TimePoint now) {
  Outbox outbox;
  BeginStopping(world, inbox, now);

  ApplyInstanceLists(world, inbox);
  ExchangeHeartbeats(world, inbox, now, outbox);
  SyncConfig(world, inbox, now, outbox);
  PublishConfigRecords(world, inbox, now, outbox);

  EndAttempts(world, inbox, now, outbox);
  ApplyClaimBatches(world, inbox, now, outbox);
  ExpireClaims(world, inbox, now, outbox);
  AdmitRequests(world, inbox, now, outbox);
  ExpireRequests(world, now, outbox);
  RouteRequests(world, now, outbox);

  AssignCells(world, inbox, now, outbox);
  ApplyCellBatches(world, inbox, now, outbox);
  ApplyAppendsEnded(world, inbox, now, outbox);
  HandleJobOperations(world, inbox, now, outbox);
  ApplyWorkerAnswers(world, inbox, now);
  RecoverGangs(world, now, outbox);
  PlanGuarantees(world, now);
  PlaceGangs(world, now);
  AdvanceGangs(world, now, outbox);
  PollWorkers(world, now, outbox);
  return outbox;
}

TimePoint NextDue(const World& world, TimePoint now) {
  return std::min({world.members.next_heartbeat, NextRequestDue(world),
                   NextClaimDue(world), NextCellDue(world),
                   NextStopDue(world, now)});
}

}  // namespace chicorystep
