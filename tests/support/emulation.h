#ifndef TESTS_SUPPORT_EMULATION_H_
#define TESTS_SUPPORT_EMULATION_H_

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/control/workflow_tick.h"
#include "chicorystep/standin/emulated_store.h"
#include "chicorystep/systems/workflows/workflow_append_latency.h"
#include "chicorystep/systems/workflows/workflow_calls.h"
#include "tests/support/standstill.h"
#include "tests/support/worker_fleet.h"

namespace chicorystep {

// Simulates entry processes that run the real tick, a store and workers, in
// virtual time and on one thread. Tests set the faults; each start of a task is
// checked for violations.
struct Emulation : WorkerFleet {
  struct Entry {
    WorkflowWorld world;
    WorkflowInbox inbox;
    bool up = true;
    // Whether the entry reaches the store, and the workers that it is cut off
    // from.
    bool store_reachable = true;
    std::set<WorkerId> cut_workers;
    TimePoint frozen_until{};
    // The entry's processor is busy until then with what the last tick ordered.
    TimePoint busy_until{};
    TimePoint due{};
    // Bytes received in reads, over all incarnations.
    Bytes received;
    // Rises at each start and kill, so that answers to an earlier incarnation
    // are dropped.
    std::uint64_t incarnation = 0;
  };
  struct Rates {
    // Appends or orders per 1000 that are executed but not answered.
    int lost_appends = 0;
    int lost_orders = 0;
    // Start and stop orders, and holds, per 1000 that are executed 2 to 8
    // seconds later and not answered, by the incarnation that runs then.
    int late_orders = 0;
    int late_holds = 0;
    // How long after their sending lost appends are executed.
    Duration lost_append_delay{};
  };

  std::multimap<TimePoint, std::function<void()>> events;
  EmulatedStore store;
  bool store_up = true;
  // Workers that reject all orders as unhealthy, and workers at whose address
  // another process answers.
  std::set<WorkerId> unhealthy_workers;
  std::set<WorkerId> displaced_workers;
  // Workers that reject starts as unhealthy, and carry out all other orders.
  std::set<WorkerId> rejects_starts;
  // How long an order to a worker takes each way; `kLatency` for the others.
  std::map<WorkerId, Duration> distances;
  // Whether the store serves the stream of progress, while it is up.
  bool progress_up = true;
  // What the link that all entries share carries from the store in a second; no
  // limit if zero. The answers to reads share it equally, and each arrives as a
  // whole.
  Bytes link_per_second;
  struct Transfer {
    Entry* entry = nullptr;
    std::uint64_t incarnation = 0;
    StreamRead read;
    Bytes left;
    TimePoint deadline{};
  };
  std::vector<Transfer> transfers;
  // Whether the store answers every append with 503, while it serves reads.
  bool rejects_appends = false;
  std::vector<std::unique_ptr<Entry>> entries;
  // Submitted workflows that must end. Tests remove those whose submission was
  // not answered as accepted.
  std::set<WorkflowId> expected_to_end;
  std::map<ExchangeId, CallAnswer> answers;
  // The service of each submitted workflow.
  std::map<WorkflowId, Service> services;
  // Checked while it is set.
  std::optional<StandstillCheck> standstill;
  Rates rates;
  // Whether each order opens a connection of its own, which fails if the worker
  // is cut off or down. Otherwise all are sent on connections that are open.
  bool connects_anew = false;
  // How long an entry waits for the answer to an order before it gives up.
  Duration order_timeout = milliseconds(1000);
  // The same for holds, in addition to their own wait; if zero, holds time out
  // like other orders.
  Duration hold_timeout{};
  // Processor time that an entry needs to send an order, and again to read its
  // answer. The next tick waits for it.
  Duration order_cost{};
  // The longest additional time that an order, and again its answer, takes at
  // random, so that they overtake others.
  Duration order_jitter{};
  // Holds per 1000 that are answered before the end of their wait each time
  // that the worker looks for ends.
  int early_answers = 0;
  // The most orders that one tick has sent.
  std::size_t most_orders_in_tick = 0;
  std::minstd_rand random{1};
  std::uint64_t last_exchange = 0;
  // Wall-clock duration of each tick of the entry that is the holder.
  std::vector<std::chrono::nanoseconds> holder_ticks;

  static constexpr Duration kLatency = milliseconds(4);
  static constexpr Duration kWorkerStep = milliseconds(10);
  static constexpr std::int64_t kWallClockStartMs = 1'700'000'000'000;

  [[nodiscard]] WorkflowTime Time() const {
    return WorkflowTime{
        .now = this->now,
        .wall = UnixMillis(kWallClockStartMs +
                           std::chrono::duration_cast<milliseconds>(
                               this->now.time_since_epoch())
                               .count())};
  }

  void ScheduleAfter(Duration delay, std::function<void()> action) {
    this->events.emplace(this->now + delay, std::move(action));
  }

  bool DrawChance(int per_thousand) {
    return per_thousand > 0 &&
           static_cast<int>(this->random() % 1000) < per_thousand;
  }

  // Adds and starts `count` entries, which read their configuration from the
  // store.
  void AddEntries(int count) {
    for (int i = 0; i < count; ++i) {
      this->entries.push_back(std::make_unique<Entry>());
      this->StartEntry(i);
    }
  }

  void StartEntry(int index) {
    Entry& entry = *this->entries[static_cast<std::size_t>(index)];
    entry.world = WorkflowWorld{};
    entry.inbox = {};
    entry.world.self.id = EntryId(fmt::format("entry-{}", index));
    entry.world.self.incarnation = Incarnation(
        1000 + 100 * static_cast<std::uint64_t>(index) + ++entry.incarnation);
    entry.world.self.address = Address(fmt::format("10.1.0.{}:80", index));
    entry.up = true;
    entry.due = entry.busy_until = this->now;
  }

  void KillEntry(int index) {
    Entry& entry = *this->entries[static_cast<std::size_t>(index)];
    entry.up = false;
    ++entry.incarnation;
  }

  // The index of the entry that is the holder, or -1.
  [[nodiscard]] int Holder() const {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (this->entries[i]->up &&
          this->entries[i]->world.holding.state == HoldingState::kHolding &&
          this->entries[i]->world.holding.own_epoch ==
              this->store.journal.epoch) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  // Adds workers and lists them in the store.
  void AddWorkers(int count,
                  const Service& service = Service("service"),
                  bool enforces_capacity = true) {
    const std::size_t first = this->workers.size();
    WorkerFleet::AddWorkers(count, service, enforces_capacity);
    for (std::size_t i = first; i < this->workers.size(); ++i) {
      List(this->store, this->workers[i].listing);
    }
  }

  // Makes one route for each priority, "/urgent/", "/normal/" and "/bulk/", on
  // host "host", and "/open/" for a service whose workers do not enforce their
  // capacity. The workspace "team" has the key "key".
  static WorkflowConfig MakeConfig(std::uint64_t version) {
    WorkflowConfig config{.version = ConfigVersion(version)};
    std::uint32_t priority = 0;
    for (const char* name : {"urgent", "normal", "bulk"}) {
      config.routes.push_back(
          WorkflowRoute{.name = RouteName(name),
                        .host = "host",
                        .path_prefix = fmt::format("/{}/", name),
                        .service = Service("service"),
                        .priority = priority++,
                        .max_attempts = 3,
                        .target = milliseconds(1000),
                        .stretch = 2.0});
    }
    config.routes.push_back(WorkflowRoute{.name = RouteName("open"),
                                          .host = "host",
                                          .path_prefix = "/open/",
                                          .service = Service("open"),
                                          .priority = 1,
                                          .max_attempts = 3,
                                          .target = milliseconds(1000),
                                          .stretch = 2.0});
    config.services[Service("service")] = WorkflowService{};
    config.services[Service("open")] =
        WorkflowService{.enforces_capacity = false};
    config.workspaces[Workspace("team")] =
        WorkflowWorkspace{.guaranteed = Accelerators(16)};
    config.keys[ApiKey("key")] = Workspace("team");
    return config;
  }

  ExchangeId Call(int entry, WorkflowCall call) {
    call.exchange = ExchangeId(++this->last_exchange);
    call.host = "host";
    call.key = ApiKey("key");
    Entry& to = *this->entries[static_cast<std::size_t>(entry)];
    to.inbox.calls.push_back(call);
    to.due = this->now;
    return call.exchange;
  }

  static WorkflowId MakeId(int number) {
    return WorkflowId(fmt::format("{:016x}", number));
  }

  ExchangeId Submit(int entry,
                    const std::string& route,
                    const WorkflowId& id,
                    const Submitted& what) {
    this->submitted[id] = what;
    this->expected_to_end.insert(id);
    this->services[id] = Service(route == "open" ? "open" : "service");
    return this->Call(
        entry, WorkflowCall{.kind = CallKind::kSubmit,
                            .path = fmt::format("/{}/{}", route, id.value),
                            .spec = what.spec});
  }

  ExchangeId CallWorkflow(int entry,
                          CallKind kind,
                          const std::string& route,
                          const WorkflowId& id) {
    return this->Call(
        entry, WorkflowCall{.kind = kind,
                            .path = fmt::format("/{}/{}", route, id.value)});
  }

  [[nodiscard]] std::optional<CallAnswer> AnswerTo(ExchangeId exchange) const {
    const auto found = this->answers.find(exchange);
    return found == this->answers.end() ? std::nullopt
                                        : std::optional(found->second);
  }

  // Runs events and ticks until `end` or until `done` returns true. Returns
  // whether `done` was true.
  bool RunUntil(TimePoint end, const std::function<bool()>& done = {}) {
    while (this->now < end) {
      if (done && done()) {
        return true;
      }
      TimePoint next = std::min(end, this->next_step);
      if (!this->events.empty()) {
        next = std::min(next, this->events.begin()->first);
      }
      for (const auto& entry : this->entries) {
        if (entry->up) {
          next = std::min(next, std::max({entry->due, entry->frozen_until,
                                          entry->busy_until}));
        }
      }
      this->now = std::max(this->now, next);
      while (!this->events.empty() &&
             this->events.begin()->first <= this->now) {
        auto action = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        action();
      }
      if (this->now >= this->next_step) {
        this->StepWorkers();
        this->StepLink();
        this->CheckStandstill();
        this->next_step = this->now + kWorkerStep;
      }
      for (const auto& entry : this->entries) {
        if (entry->up && this->now >= entry->due &&
            this->now >= entry->frozen_until &&
            this->now >= entry->busy_until) {
          this->Tick(*entry);
        }
      }
    }
    return done && done();
  }
  bool RunFor(Duration time, const std::function<bool()>& done = {}) {
    return this->RunUntil(this->now + time, done);
  }

  // The terminal state that any running entry reports to callers of the
  // workflow; nothing while none reports one.
  [[nodiscard]] std::optional<WorkflowState> FindTerminalState(
      const WorkflowId& id) const {
    for (const auto& entry : this->entries) {
      if (const Workflow* workflow = entry->world.workflows.find(id);
          entry->up && workflow != nullptr && IsTerminal(workflow->shown)) {
        return workflow->shown;
      }
    }
    return std::nullopt;
  }

  // Observes every workflow that is accepted, not cancelled and has not ended.
  void CheckStandstill() {
    if (!this->standstill) {
      return;
    }
    for (const WorkflowId& id : this->expected_to_end) {
      const bool open = !this->FindTerminalState(id) &&
                        std::any_of(this->entries.begin(), this->entries.end(),
                                    [&](const auto& entry) {
                                      const Workflow* known =
                                          entry->world.workflows.find(id);
                                      return entry->up && known != nullptr &&
                                             !known->cancel_requested;
                                    });
      if (open) {
        ObserveStandstill(*this->standstill, *this, this->services.at(id), id);
      } else {
        this->standstill->standing.erase(id);
      }
    }
  }

  [[nodiscard]] bool AllWorkflowsEnded() const {
    return std::all_of(this->expected_to_end.begin(),
                       this->expected_to_end.end(), [&](const WorkflowId& id) {
                         return this->FindTerminalState(id).has_value();
                       });
  }

 private:
  void Tick(Entry& entry) {
    const WorkflowInbox inbox = std::exchange(entry.inbox, {});
    const WorkflowTime time = this->Time();
    const auto began = std::chrono::steady_clock::now();
    const WorkflowOutbox outbox = WorkflowTick(entry.world, inbox, time);
    entry.due = NextWorkflowDue(entry.world, time);
    entry.busy_until =
        this->now +
        this->order_cost * (outbox.orders.size() + inbox.order_results.size());
    this->most_orders_in_tick =
        std::max(this->most_orders_in_tick, outbox.orders.size());
    if (entry.world.holding.state == HoldingState::kHolding) {
      this->holder_ticks.emplace_back(std::chrono::steady_clock::now() - began);
    }
    for (const CallAnswer& answer : outbox.answers) {
      this->answers[answer.exchange] = answer;
    }
    for (const ReadStream& read : outbox.reads) {
      this->ScheduleAfter(kLatency, [this, &entry, read, began = this->now,
                                     incarnation = entry.incarnation] {
        this->ServeRead(entry, read, began, incarnation, this->now + read.wait);
      });
    }
    for (const AppendJournal& append : outbox.appends) {
      this->SendAppend(entry, append);
    }
    for (const WorkerOrder& order : outbox.orders) {
      this->SendOrder(entry, order);
    }
  }

  // Calls `fill` on the entry's inbox after `delay`, unless the process has
  // been killed or restarted.
  void DeliverToEntry(Entry& entry,
                      std::uint64_t incarnation,
                      Duration delay,
                      std::function<void(WorkflowInbox&)> fill) {
    this->ScheduleAfter(delay,
                        [this, &entry, incarnation, fill = std::move(fill)] {
                          if (entry.up && entry.incarnation == incarnation) {
                            fill(entry.inbox);
                            entry.due = this->now;
                          }
                        });
  }

  void ServeRead(Entry& entry,
                 const ReadStream& read,
                 TimePoint began,
                 std::uint64_t incarnation,
                 TimePoint until) {
    StreamRead result{.stream = read.stream};
    const bool served =
        this->progress_up || read.stream != FollowedStream::kProgress;
    if (this->store_up && served && entry.store_reachable) {
      if (auto got = Read(this->store, read, this->now < until)) {
        result = std::move(*got);
      } else {
        this->ScheduleAfter(
            kWorkerStep, [this, &entry, read, began, incarnation, until] {
              this->ServeRead(entry, read, began, incarnation, until);
            });
        return;
      }
    }
    result.began = began;
    entry.received += result.received;
    if (result.ok && this->link_per_second != Bytes()) {
      const TimePoint deadline = began + read.wait + read.answer_timeout;
      this->transfers.push_back(Transfer{.entry = &entry,
                                         .incarnation = incarnation,
                                         .read = result,
                                         .left = result.received,
                                         .deadline = deadline});
      return;
    }
    this->DeliverToEntry(
        entry, incarnation, result.ok ? kLatency : Duration(milliseconds(900)),
        [result](WorkflowInbox& inbox) { inbox.reads.push_back(result); });
  }

  // Carries the answers on the link further. Those that nobody awaits any more
  // are dropped.
  void StepLink() {
    const std::int64_t share =
        this->link_per_second.value * kWorkerStep.count() /
        Duration(seconds(1)).count() /
        std::max<std::int64_t>(1, std::ssize(this->transfers));
    std::erase_if(this->transfers, [&](Transfer& transfer) {
      transfer.left -= Bytes(share);
      const bool arrived = transfer.left <= Bytes();
      if (!arrived && this->now < transfer.deadline) {
        return false;
      }
      if (!arrived) {
        transfer.read = StreamRead{.stream = transfer.read.stream,
                                   .began = transfer.read.began};
      }
      this->DeliverToEntry(*transfer.entry, transfer.incarnation, Duration(),
                           [read = transfer.read](WorkflowInbox& inbox) {
                             inbox.reads.push_back(read);
                           });
      return true;
    });
  }

  void SendAppend(Entry& entry, const AppendJournal& append) {
    const bool served =
        this->progress_up || append.lane != AppendLane::kProgress;
    const bool reachable = this->store_up && served && entry.store_reachable;
    const bool lost = this->DrawChance(this->rates.lost_appends);
    this->ScheduleAfter(kLatency, [this, &entry, append, reachable, lost,
                                   began = this->now,
                                   incarnation = entry.incarnation] {
      JournalAppended appended{
          .lane = append.lane, .epoch = append.epoch, .batch = append.batch};
      if (reachable && this->rejects_appends) {
        appended.outcome = AppendOutcome::kRejected;
      } else if (reachable && lost) {
        this->ScheduleAfter(this->rates.lost_append_delay, [this, append] {
          (void)Append(this->store, append);
        });
      } else if (reachable) {
        appended = Append(this->store, append);
      }
      appended.began = began;
      this->DeliverToEntry(entry, incarnation,
                           reachable && (!lost || this->rejects_appends)
                               ? kLatency
                               : kAppendTimeout,
                           [appended](WorkflowInbox& inbox) {
                             inbox.appended.push_back(appended);
                           });
    });
  }

  [[nodiscard]] Duration AnswerTimeout(const WorkerOrder& order) const {
    return order.kind == OrderKind::kHold && this->hold_timeout != Duration()
               ? this->hold_timeout + order.wait
               : this->order_timeout;
  }

  [[nodiscard]] Duration DistanceTo(const WorkerId& worker) {
    const auto found = this->distances.find(worker);
    const Duration distance =
        found == this->distances.end() ? kLatency : found->second;
    return this->order_jitter == Duration()
               ? distance
               : distance +
                     Duration(this->random() % this->order_jitter.count());
  }

  void SendOrder(Entry& entry, const WorkerOrder& order) {
    const bool late = this->DrawChance(order.kind == OrderKind::kHold
                                           ? this->rates.late_holds
                                           : this->rates.late_orders);
    const bool lost = late || this->DrawChance(this->rates.lost_orders);
    const TimePoint sent = this->now;
    const Duration delay =
        late ? Duration(milliseconds(2000 + this->random() % 6000))
             : this->DistanceTo(order.worker);
    const bool cut = entry.cut_workers.contains(order.worker);
    if (lost || cut) {
      // The sender gets no answer and gives up after its time-out.
      OrderResult ended = this->Unanswered(order, sent);
      if (cut && this->connects_anew) {
        ended.outcome = OrderOutcome::kNotSent;
      }
      this->DeliverOrderResult(entry, entry.incarnation,
                               this->AnswerTimeout(order), ended);
    }
    if (!cut) {
      this->ScheduleAfter(delay, [this, &entry, order, sent, lost,
                                  incarnation = entry.incarnation] {
        this->ProcessOrder(entry, order, sent, lost, incarnation,
                           this->now + order.wait);
      });
    }
  }

  // The result that the sender records for an order without an answer.
  [[nodiscard]] OrderResult Unanswered(const WorkerOrder& order,
                                       TimePoint sent) const {
    return OrderResult{.kind = order.kind,
                       .worker = order.worker,
                       .fence = order.fence,
                       .task = order.task,
                       .run = order.run,
                       .acknowledged = order.acknowledged,
                       .leases = order.until.has_value(),
                       .connected = this->connects_anew ? sent : kDistantPast,
                       .sent = sent};
  }

  void DeliverOrderResult(Entry& entry,
                          std::uint64_t incarnation,
                          Duration delay,
                          OrderResult ended) {
    this->DeliverToEntry(
        entry, incarnation, delay,
        [this, ended = std::move(ended)](WorkflowInbox& inbox) {
          OrderResult copy = ended;
          copy.answered = this->now;
          inbox.order_results.push_back(std::move(copy));
        });
  }

  // `reached` is when the process started that an order waits at, if one has
  // received it. The order is lost with that process.
  void ProcessOrder(Entry& entry,
                    const WorkerOrder& order,
                    TimePoint sent,
                    bool lost,
                    std::uint64_t incarnation,
                    TimePoint until,
                    std::optional<TimePoint> reached = std::nullopt) {
    EmulatedWorker* worker = this->FindWorker(order.worker);
    OrderResult ended = this->Unanswered(order, sent);
    if (worker != nullptr && worker->up && reached &&
        *reached != worker->started) {
      // The process has been replaced while its machine was up, which resets
      // the connection.
      if (!lost) {
        this->DeliverOrderResult(entry, incarnation,
                                 this->DistanceTo(order.worker), ended);
      }
      return;
    }
    if (worker == nullptr || !worker->up) {
      if (this->connects_anew && !reached) {
        ended.outcome = OrderOutcome::kNotSent;
      }
      if (!lost) {
        this->DeliverOrderResult(entry, incarnation, this->AnswerTimeout(order),
                                 ended);
      }
      return;
    }
    if (this->displaced_workers.contains(order.worker)) {
      ended.outcome = OrderOutcome::kOtherIncarnation;
    } else if (this->unhealthy_workers.contains(order.worker) ||
               (order.kind == OrderKind::kStart &&
                this->rejects_starts.contains(order.worker))) {
      ended.outcome = OrderOutcome::kUnhealthy;
    } else {
      ended = this->ExecuteOrderOn(*worker, order);
    }
    ended.sent = sent;
    const bool waits = order.kind == OrderKind::kHold &&
                       ended.outcome == OrderOutcome::kDone &&
                       ended.ended.empty() && this->now < until &&
                       !this->DrawChance(this->early_answers);
    if (waits) {
      this->ScheduleAfter(kWorkerStep,
                          [this, &entry, order, sent, lost, incarnation, until,
                           started = worker->started] {
                            this->ProcessOrder(entry, order, sent, lost,
                                               incarnation, until, started);
                          });
    } else if (!lost && entry.cut_workers.contains(order.worker)) {
      // The worker was cut off while it handled the order, so the answer is
      // lost.
      this->DeliverOrderResult(entry, incarnation, this->AnswerTimeout(order),
                               this->Unanswered(order, sent));
    } else if (!lost) {
      this->DeliverOrderResult(entry, incarnation,
                               this->DistanceTo(order.worker), ended);
    }
  }

  TimePoint next_step{};
};

}  // namespace chicorystep

#endif  // TESTS_SUPPORT_EMULATION_H_
