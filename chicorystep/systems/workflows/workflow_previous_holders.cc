#include "chicorystep/systems/workflows/workflow_previous_holders.h"

#include <algorithm>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/task_unresponsive_workers.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/workflow_holder.h"

namespace chicorystep {
namespace {

// When the orders of the holders before the record's claim end at the latest.
TimePoint EarlierOrdersEnd(const HolderRecord& record, TimePoint now) {
  return now + record.earlier_orders.value_or(kConfirmationBound);
}

}  // namespace

void RecordSupersededHolder(Holding& holding,
                            const HolderRecord& claim,
                            TimePoint now) {
  // The leases of the last orders are over by then, too.
  std::erase_if(holding.previous, [&](const auto& row) {
    return row.second.orders_end + kConfirmationBound < now;
  });
  const bool follows_known =
      !holding.epoch.empty() && claim.epoch.value == holding.epoch.value + 1;
  if (!follows_known && claim.epoch > Epoch(1)) {
    holding.unknown_orders_end = EarlierOrdersEnd(claim, now);
  }
  if (!holding.epoch.empty()) {
    // A holder that has released the role orders on until the store confirms
    // the release to it.
    holding.previous[holding.epoch] = PreviousHolder{
        .entry = {.id = holding.holder, .address = holding.holder_address},
        .orders_end = now + kConfirmationBound};
  }
}

void ShortenUnknownOrders(Holding& holding,
                          const HolderRecord& record,
                          TimePoint now) {
  holding.unknown_orders_end =
      std::min(holding.unknown_orders_end, EarlierOrdersEnd(record, now));
}

Duration TimeUntilPreviousOrdersEnd(const Holding& holding, TimePoint now) {
  return std::max(Duration(), PreviousOrdersEnd(holding) - now);
}

TimePoint PreviousOrdersEnd(const Holding& holding) {
  TimePoint end = holding.unknown_orders_end;
  for (const auto& [epoch, previous] : holding.previous) {
    const auto ended = holding.orders_ended.find(previous.entry);
    const bool known =
        ended != holding.orders_ended.end() && ended->second.epoch >= epoch;
    end =
        std::max(end, known ? std::min(previous.orders_end, ended->second.read)
                            : previous.orders_end);
  }
  return end;
}

void ApplyOrdersEnded(WorkflowWorld& world,
                      const OrdersEndedRecord& record,
                      TimePoint now) {
  Holding& holding = world.holding;
  OrdersEnded& ended = holding.orders_ended[record.entry];
  if (record.epoch <= ended.epoch) {
    return;
  }
  ended = OrdersEnded{.epoch = record.epoch, .read = now};
  if (holding.state != HoldingState::kHolding) {
    return;
  }
  const TimePoint expiry =
      PreviousOrdersEnd(holding) + ScaleForSlowClocks(world.self.lease);
  std::size_t waiting = 0;
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    if (!worker.fenced) {
      const TimePoint inherited =
          InheritedLeaseExpiry(world, worker.listing.id);
      worker.inherited_lease_expiry =
          std::min(worker.inherited_lease_expiry,
                   worker.restarted
                       ? std::max(inherited, RestartedLeaseExpiry(world, now))
                       : inherited);
      waiting += worker.tasks.empty() ? 0 : 1;
    }
  }
  Log(LogLevel::kInfo, "previous_orders_ended",
      {{"entry", record.entry.id.value},
       {"epoch", record.epoch.value},
       {"workers_waiting", waiting},
       {"leases_expire_ms", WholeMillis(expiry - now)}});
}

void QueueOrdersEnded(WorkflowWorld& world) {
  world.callers.orders_ended = OrdersEndedRecord{
      .entry = {.id = world.self.id, .address = world.self.address},
      .epoch = world.holding.own_epoch};
}

void QueueOrdersEndedOfEarlierProcess(WorkflowWorld& world) {
  const Holding& holding = world.holding;
  const EntryAddress self{.id = world.self.id, .address = world.self.address};
  if (self.address.empty() || holding.epoch.empty()) {
    return;
  }
  const EntryAddress newest{.id = holding.holder,
                            .address = holding.holder_address};
  if (newest == self && holding.holder_incarnation != world.self.incarnation) {
    world.callers.orders_ended =
        OrdersEndedRecord{.entry = self, .epoch = holding.epoch};
  } else if (newest != self && holding.holder_before == self) {
    world.callers.orders_ended = OrdersEndedRecord{
        .entry = self, .epoch = Epoch(holding.epoch.value - 1)};
  }
}

}  // namespace chicorystep
