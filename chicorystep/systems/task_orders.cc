#include "chicorystep/systems/task_orders.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "chicorystep/systems/task_worker_clock.h"
#include "chicorystep/systems/task_worker_silence.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// How long a worker may wait for an end before it answers a hold. Each hold is
// a priced call; each also renews the leases, which are several times longer.
constexpr Duration kHoldWait = milliseconds(900);
// With more workers than this holds wait longer, so that their number does not
// grow with the workers as fast. The platform allows 2 s.
constexpr std::size_t kManyWorkers = 100;
constexpr Duration kLongHoldWait = milliseconds(1800);
// On a worker that is about to leave: a task there stands still for this long
// after it has left, and tasks may do so for three seconds. It outlasts an
// answer that is lost and most takeovers.
constexpr Duration kDrainingLease = milliseconds(2500);
// Where urgent tasks run, reports come as often as workers measure their speed
// anew, to notice slow ones early.
constexpr Duration kUrgentHoldWait = milliseconds(500);
// Sound workers answer within this; nothing is placed on one that takes longer,
// while its answer is still waited for.
constexpr Duration kAnswerTime = milliseconds(700);
// Orders to one worker at the same time, each on a connection of its own: the
// members of a gang that come later keep the others waiting.
constexpr std::size_t kMaxOrdersUnderWay = 8;

bool RunsUrgent(const WorkflowWorld& world, const TaskWorker& worker) {
  return std::any_of(
      worker.tasks.begin(), worker.tasks.end(), [&](const auto& row) {
        const Workflow* workflow = world.workflows.find(row.first.workflow);
        return workflow != nullptr && workflow->terms.priority == 0;
      });
}

Duration HoldWait(const WorkflowWorld& world, const TaskWorker& worker) {
  if (worker.listing.draining || RunsUrgent(world, worker)) {
    return kUrgentHoldWait;
  }
  return world.scheduling.workers.size() > kManyWorkers ? kLongHoldWait
                                                        : kHoldWait;
}

Duration LeaseOn(const WorkflowWorld& world, const TaskWorker& worker) {
  return worker.listing.draining ? std::min(world.self.lease, kDrainingLease)
                                 : world.self.lease;
}

void SendHold(WorkflowWorld& world,
              TaskWorker& worker,
              TimePoint now,
              WorkflowOutbox& outbox) {
  WorkerOrder hold{.kind = OrderKind::kHold,
                   .worker = worker.listing.id,
                   .address = worker.listing.address,
                   .fence = world.holding.own_epoch,
                   .acknowledged = worker.acknowledged};
  // A worker that does not answer is not granted more time: its leases must
  // lapse before its tasks can start elsewhere.
  if (!worker.tasks.empty() && worker.clock_read != kLongAgo &&
      MayLease(worker)) {
    hold.until = LeaseEnd(worker, LeaseOn(world, worker), now);
    worker.leased_until = std::max(worker.leased_until, *hold.until);
    if (worker.fenced) {
      hold.wait = HoldWait(world, worker);
    }
  }
  worker.told = worker.acknowledged;
  worker.hold_under_way = true;
  worker.overdue = now + hold.wait + kAnswerTime;
  outbox.orders.push_back(std::move(hold));
}

// Sends the queued orders of tasks that have none under way. A worker that is
// noted as silent gets no start, as that carries a lease.
void SendQueued(WorkflowWorld& world,
                TaskWorker& worker,
                TimePoint now,
                WorkflowOutbox& outbox) {
  std::deque<WorkerOrder> later;
  while (!worker.orders.empty()) {
    WorkerOrder order = std::move(worker.orders.front());
    worker.orders.pop_front();
    if (worker.ordering.size() >= kMaxOrdersUnderWay ||
        worker.ordering.contains(order.task) ||
        (order.kind == OrderKind::kStart && worker.noted_silent)) {
      later.push_back(std::move(order));
      continue;
    }
    order.address = worker.listing.address;
    order.fence = world.holding.own_epoch;
    if (order.kind == OrderKind::kStart) {
      order.until = LeaseEnd(worker, world.self.lease, now);
      worker.leased_until = std::max(worker.leased_until, *order.until);
    }
    worker.ordering.insert(order.task);
    outbox.orders.push_back(std::move(order));
  }
  worker.orders = std::move(later);
}

// Whether the worker has to be asked or told anything.
bool WantsHold(const TaskWorker& worker) {
  if (worker.listing.address.empty()) {
    return false;
  }
  // It answers again, but its leases cannot go on before the journal says so.
  if (worker.noted_silent && worker.silent_holds == 0) {
    return false;
  }
  // One that did not answer is asked until it does, also when nothing runs
  // there any more: it cannot be used before, and may have ends to tell.
  return !worker.tasks.empty() || worker.acknowledged > worker.told ||
         ((!worker.fenced || worker.silent_holds > 0) && worker.listed);
}

}  // namespace

void SendOrders(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox) {
  if (!world.holding.may_order) {
    return;
  }
  for (TaskWorker& worker : world.scheduling.workers.rows) {
    SendQueued(world, worker, now, outbox);
    if (!worker.hold_under_way && now >= worker.next_hold &&
        WantsHold(worker)) {
      SendHold(world, worker, now, outbox);
    }
  }
}

TimePoint NextOrderDue(const WorkflowWorld& world) {
  TimePoint due = kNever;
  for (const TaskWorker& worker : world.scheduling.workers.rows) {
    if (!worker.hold_under_way && WantsHold(worker)) {
      due = std::min(due, worker.next_hold);
    }
  }
  return due;
}

}  // namespace chicorystep
