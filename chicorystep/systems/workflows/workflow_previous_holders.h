#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_PREVIOUS_HOLDERS_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_PREVIOUS_HOLDERS_H_

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Records that `claim` has superseded the holder known so far, if any. Called
// before the claim is applied.
void RecordSupersededHolder(Holding& holding,
                            const HolderRecord& claim,
                            TimePoint now);

// Applies what a later record of the same claim says of earlier holders.
void ShortenUnknownOrders(Holding& holding,
                          const HolderRecord& record,
                          TimePoint now);

// Applies the record that an entry sends no orders under earlier claims. Leases
// on workers that this holder has not reached then end sooner.
void ApplyOrdersEnded(WorkflowWorld& world,
                      const OrdersEndedRecord& record,
                      TimePoint now);

// When the last order of any previous holder was sent at the latest: a holder
// may send orders for `kConfirmationBound` after another has claimed the role,
// unless it is known to have ended them.
[[nodiscard]] TimePoint PreviousOrdersEnd(const Holding& holding);

// How long previous holders may still send orders, for this holder's records.
[[nodiscard]] Duration TimeUntilPreviousOrdersEnd(const Holding& holding,
                                                  TimePoint now);

// Queues the record that this process has ended its orders under its claim, for
// the next holder.
void QueueOrdersEnded(WorkflowWorld& world);

// Queues the same record for an earlier process of this entry that is the
// newest holder in the journal or the one before it. Called once the journal is
// loaded.
void QueueOrdersEndedOfEarlierProcess(WorkflowWorld& world);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_WORKFLOW_PREVIOUS_HOLDERS_H_
