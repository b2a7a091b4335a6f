#include "chicorystep/systems/workflows/task_orders.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "chicorystep/systems/workflows/task_unresponsive_workers.h"
#include "chicorystep/systems/workflows/task_worker_clock.h"
#include "chicorystep/systems/workflows/workflow_tables.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// How long a worker may wait for a run to end before it answers a hold. The
// platform charges for each hold. A hold also renews the leases, which last
// several times longer.
constexpr Duration kDefaultHoldWait = milliseconds(900);
// With more workers than this, holds wait longer, so that the number of calls
// grows more slowly than the number of workers. The platform allows 2 s.
constexpr std::size_t kLongWaitWorkerCount = 100;
constexpr Duration kLongHoldWait = milliseconds(1800);
// Lease on a draining worker. After the worker has left, its tasks make no
// progress until the lease expires, and tasks may stand still for 3 s. The
// lease still covers one lost answer and most takeovers of the holder role.
constexpr Duration kDrainingLease = milliseconds(2500);
// Lease of a start on a worker that has no run to report, and may have been
// lost while it was idle. The task is placed elsewhere when the lease is over,
// and must not stand still for 3 s. It exceeds the time for which the start is
// repeated, and that in which a hold without an answer is given up and
// repeated.
constexpr Duration kFirstLease = milliseconds(2400);
// An idle worker is asked for a report this often, to read its clock, from
// which its next leases are counted, and to find out whether it still answers.
// The holds to idle workers are spread over a part of the period.
constexpr Duration kIdleHoldPeriod = std::chrono::seconds(8);
constexpr std::size_t kIdleHoldSpreadMillis = 4000;
// With urgent tasks on the worker, holds wait only as long as the interval at
// which workers measure processor use, so that slow workers are detected early.
// Also used for draining workers.
constexpr Duration kUrgentHoldWait = milliseconds(500);
// Healthy workers answer within this time beyond the hold's wait. No task is
// placed on a worker that takes longer until it answers.
constexpr Duration kHoldAnswerTimeout = milliseconds(700);
// Concurrent orders per worker, each on its own connection, of which workers
// accept 64. A worker gets more than the least number if its tasks would
// otherwise take longer to start than the members of a gang wait.
constexpr std::size_t kMinOrdersInFlight = 8;
constexpr std::size_t kMaxOrdersInFlight = 48;
// Assumed for a worker that has not answered yet: the way between two regions
// and back.
constexpr Duration kUnknownOrderTime = milliseconds(60);
// The part of the gang time-out in which all tasks of a worker can be started.
// The rest allows for the record of the placement, for repeated starts and for
// the other workers of a gang, whose first members start earlier.
constexpr int kGangTimeoutPerStartTime = 3;
// The same for the number of members that a worker is given.
constexpr int kGangTimeoutPerMostStartTime = 2;
// Orders that one tick may send; the rest follows in the next ticks. Each costs
// the traffic thread a connection or a write, and an append that follows must
// not wait for thousands of them.
constexpr std::size_t kMaxOrdersPerTick = 128;

bool RunsUrgentTask(const WorkflowWorld& world, const TaskWorker& worker) {
  return std::any_of(
      worker.tasks.begin(), worker.tasks.end(), [&](const auto& row) {
        const Workflow* workflow = world.workflows.find(row.first.workflow);
        return workflow != nullptr && workflow->terms.priority == 0;
      });
}

Duration ChooseHoldWait(const WorkflowWorld& world, const TaskWorker& worker) {
  if (worker.listing.draining || RunsUrgentTask(world, worker)) {
    return kUrgentHoldWait;
  }
  return world.scheduling.workers.size() > kLongWaitWorkerCount
             ? kLongHoldWait
             : kDefaultHoldWait;
}

Duration ChooseLease(const WorkflowWorld& world, const TaskWorker& worker) {
  return worker.listing.draining ? std::min(world.self.lease, kDrainingLease)
                                 : world.self.lease;
}

// What the tasks on a worker need of its next hold.
struct HoldNeeds {
  // The worker has reported a run, whose lease must be renewed. Without one,
  // its tasks may all wait for starts that never arrived.
  bool renewal = false;
  // A task has been stopped since the last hold was sent. If its run never
  // began there is no end to wait for.
  bool report = false;
};

HoldNeeds FindHoldNeeds(WorkflowWorld& world, const TaskWorker& worker) {
  HoldNeeds needs;
  for (const auto& [key, run] : worker.tasks) {
    const TaskRef ref = FindTask(world, key);
    if (!ref) {
      continue;
    }
    const Task& task = *ref.task;
    needs.renewal = needs.renewal || task.reported;
    needs.report =
        needs.report || (task.state == TaskState::kStopping &&
                         !task.order_pending && task.since >= worker.hold_sent);
  }
  return needs;
}

Duration ChooseStartLease(WorkflowWorld& world, const TaskWorker& worker) {
  return FindHoldNeeds(world, worker).renewal
             ? world.self.lease
             : std::min(world.self.lease, kFirstLease);
}

// The ends that a hold acknowledges. An incarnation that the holder does not
// know yet would take the number for one of its own, so it is sent only where
// it is needed, and not until the worker has answered the newest hold.
EndNumber ChooseAcknowledgement(const TaskWorker& worker) {
  return worker.fenced && worker.unanswered_holds == 0 &&
                 worker.recorded_ends > worker.acknowledged_ends
             ? worker.recorded_ends
             : EndNumber();
}

void SendHold(WorkflowWorld& world,
              TaskWorker& worker,
              TimePoint now,
              WorkflowOutbox& outbox) {
  WorkerOrder hold{
      .kind = OrderKind::kHold,
      .worker = worker.listing.id,
      .address = worker.listing.address,
      .fence = MakeFence(world.holding.own_epoch, worker.fence_raises),
      .acknowledged = ChooseAcknowledgement(worker)};
  // The leases of a worker that does not answer are not renewed: they must
  // expire before its tasks can start elsewhere.
  const HoldNeeds needs = FindHoldNeeds(world, worker);
  if (needs.renewal && worker.clock_read != kDistantPast &&
      MayGrantLease(worker)) {
    hold.until = ComputeLeaseExpiry(worker, ChooseLease(world, worker), now);
    worker.leased_until = std::max(worker.leased_until, *hold.until);
  }
  // Runs that have started are reported, and their leases renewed, without a
  // wait: a lost answer must not cost the first lease.
  if (worker.fenced && MayGrantLease(worker) && !needs.report &&
      (needs.renewal || worker.orphaned_runs > 0)) {
    hold.wait = ChooseHoldWait(world, worker);
  }
  worker.acknowledged_ends =
      std::max(worker.acknowledged_ends, hold.acknowledged);
  worker.hold_in_flight = true;
  worker.hold_sent = now;
  worker.answer_deadline = now + hold.wait + kHoldAnswerTimeout;
  outbox.orders.push_back(std::move(hold));
}

// How many orders can follow one another on one connection to the worker
// within `time`; at least one.
std::size_t CountRounds(const TaskWorker& worker, Duration time) {
  const Duration order_time =
      worker.order_time == Duration() ? kUnknownOrderTime : worker.order_time;
  return static_cast<std::size_t>(std::max<std::int64_t>(1, time / order_time));
}

// The number of orders that may be in flight to the worker.
std::size_t OrderWindow(const WorkflowSelf& self, const TaskWorker& worker) {
  const std::size_t rounds =
      CountRounds(worker, self.gang_timeout / kGangTimeoutPerStartTime);
  return std::clamp((worker.tasks.size() + rounds - 1) / rounds,
                    kMinOrdersInFlight, kMaxOrdersInFlight);
}

// Whether starts may be sent to the worker now. A worker that is recorded as
// unresponsive is sent none, because a start carries a lease; nor is one of
// which it is not known which incarnation answers, as its clock is not known
// either, or one in an evacuated zone.
bool MaySendStarts(const WorkflowWorld& world, const TaskWorker& worker) {
  return !worker.recorded_unresponsive && worker.fenced &&
         !IsEvacuated(world.evacuations, worker.listing.zone);
}

// Sends the queued orders of tasks that have no order in flight.
void SendQueued(WorkflowWorld& world,
                TaskWorker& worker,
                TimePoint now,
                WorkflowOutbox& outbox) {
  std::deque<WorkerOrder> deferred;
  const std::size_t window = OrderWindow(world.self, worker);
  const bool may_start = MaySendStarts(world, worker);
  while (!worker.orders.empty()) {
    WorkerOrder order = std::move(worker.orders.front());
    worker.orders.pop_front();
    if (outbox.orders.size() >= kMaxOrdersPerTick) {
      world.scheduling.orders_deferred = true;
      deferred.push_back(std::move(order));
      continue;
    }
    if (worker.orders_in_flight.size() >= window ||
        worker.orders_in_flight.contains(order.task) ||
        (order.kind == OrderKind::kStart && !may_start)) {
      deferred.push_back(std::move(order));
      continue;
    }
    order.address = worker.listing.address;
    order.fence = MakeFence(world.holding.own_epoch, worker.fence_raises);
    if (order.kind == OrderKind::kStart) {
      order.until =
          ComputeLeaseExpiry(worker, ChooseStartLease(world, worker), now);
      if (const TaskRef ref = FindTask(world, order.task)) {
        if (!ref.task->start_until) {
          ref.task->start_until = order.until;
        }
        order.until = ref.task->start_until;
      }
      worker.leased_until = std::max(worker.leased_until, *order.until);
    }
    worker.orders_in_flight.emplace(order.task, order.kind);
    outbox.orders.push_back(std::move(order));
  }
  worker.orders = std::move(deferred);
}

// Whether the worker has leases to renew, reports to send or ends to be
// acknowledged.
bool NeedsHold(const TaskWorker& worker) {
  if (worker.listing.address.empty()) {
    return false;
  }
  // The worker answers again, but its leases cannot be renewed until the
  // journal no longer lists it as unresponsive. If it is listed because of an
  // order without an answer, its next report is needed first.
  if (worker.recorded_unresponsive && worker.unanswered_holds == 0 &&
      worker.unidentified_lease_expiry == kDistantPast) {
    return false;
  }
  // A worker on which nothing can be placed until its next report is asked for
  // one even if no task is left there. It may also have ends to report.
  return !worker.tasks.empty() ||
         worker.recorded_ends > worker.acknowledged_ends ||
         ((!worker.fenced || worker.unanswered_holds > 0 ||
           worker.orphaned_runs > 0) &&
          worker.listed);
}

// When the next hold to the worker is due; kNever while one is in flight or the
// worker must not be asked.
TimePoint HoldDue(const Scheduling& scheduling, std::size_t row) {
  const TaskWorker& worker = scheduling.workers.rows[row];
  if (worker.hold_in_flight) {
    return kNever;
  }
  if (NeedsHold(worker)) {
    return worker.next_hold;
  }
  if (!worker.listed || worker.listing.address.empty() ||
      worker.recorded_unresponsive) {
    return kNever;
  }
  if (worker.listing.service == scheduling.sweep.service &&
      worker.hold_sent < scheduling.sweep.began) {
    return scheduling.sweep.began;
  }
  return worker.hold_sent + kIdleHoldPeriod +
         milliseconds(row * 37 % kIdleHoldSpreadMillis);
}

}  // namespace

std::size_t CountGangStarts(const WorkflowSelf& self,
                            const TaskWorker& worker) {
  const std::size_t most =
      kMaxOrdersInFlight *
      CountRounds(worker, self.gang_timeout / kGangTimeoutPerMostStartTime);
  const std::size_t ordered =
      worker.orders.size() + worker.orders_in_flight.size();
  return most - std::min(most, ordered);
}

void SendOrders(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox) {
  if (!world.holding.may_order) {
    return;
  }
  Scheduling& scheduling = world.scheduling;
  std::vector<TaskWorker>& workers = scheduling.workers.rows;
  scheduling.orders_deferred = false;
  // Workers with tasks go first, as their leases must be renewed.
  for (const bool with_tasks : {true, false}) {
    for (std::size_t i = 0; i < workers.size(); ++i) {
      const std::size_t row = (scheduling.next_worker + i) % workers.size();
      TaskWorker& worker = workers[row];
      if (worker.tasks.empty() == with_tasks) {
        continue;
      }
      const bool hold_due = now >= HoldDue(scheduling, row);
      if (outbox.orders.size() >= kMaxOrdersPerTick &&
          (hold_due || !worker.orders.empty())) {
        scheduling.next_worker = row;
        scheduling.orders_deferred = true;
        return;
      }
      if (!worker.orders.empty()) {
        SendQueued(world, worker, now, outbox);
      }
      if (hold_due) {
        SendHold(world, worker, now, outbox);
      }
    }
  }
}

TimePoint NextOrderDue(const WorkflowWorld& world, TimePoint now) {
  if (!world.holding.may_order) {
    return kNever;
  }
  if (world.scheduling.orders_deferred) {
    return now;
  }
  TimePoint due = kNever;
  for (std::size_t row = 0; row < world.scheduling.workers.size(); ++row) {
    due = std::min(due, HoldDue(world.scheduling, row));
  }
  return due;
}

}  // namespace chicorystep
