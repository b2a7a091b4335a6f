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
#include "chicorystep/standin/emulated_worker.h"
#include "chicorystep/systems/workflow_calls.h"

namespace chicorystep {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Entry processes with the real tick, a store and workers in virtual time, on
// one thread. Faults are set from outside; what must never happen is checked
// at each start.
struct Emulation {
  struct Entry {
    WorkflowWorld world;
    WorkflowInbox inbox;
    bool up = true;
    // It reaches the store, and the workers that are not cut off from it.
    bool store_reachable = true;
    std::set<WorkerId> cut_workers;
    TimePoint frozen_until{};
    TimePoint due{};
    // What its reads brought, all lives together.
    Bytes received;
    // Tells the answers to an earlier life apart.
    std::uint64_t life = 0;
  };
  struct Submitted {
    WorkflowSpec spec;
    // How long the first task of a step really runs, and how much longer than
    // the one before each further one does, up to the 16th.
    Duration work = milliseconds(1000);
    Duration uneven{};
    // Runs of any task that end as failed before one ends well.
    std::uint32_t failing_runs = 0;
  };
  struct Rates {
    // Of 1000 appends or orders, how many are carried out without an answer.
    int lost_appends = 0;
    int lost_orders = 0;
    // Of 1000 orders, how many are carried out seconds later.
    int late_orders = 0;
  };

  TimePoint now{};
  std::multimap<TimePoint, std::function<void()>> events;
  EmulatedStore store;
  bool store_up = true;
  // Whether the store serves the stream of progress, while it is up.
  bool progress_up = true;
  std::vector<EmulatedWorker> workers;
  std::vector<std::unique_ptr<Entry>> entries;
  std::map<WorkflowId, Submitted> submitted;
  // Of them, those that must end: all but what was not accepted for sure.
  std::set<WorkflowId> owed;
  std::map<ExchangeId, CallAnswer> answers;
  Rates rates;
  // How long an entry waits for the answer to an order.
  Duration order_timeout = milliseconds(1000);
  std::minstd_rand random{1};
  Duration stop_grace = milliseconds(300);
  Duration longest_lease = milliseconds(10'000);
  std::uint64_t last_exchange = 0;
  std::uint64_t starts = 0;
  // Task names that a worker reported as done with the end acknowledged.
  std::set<TaskKey> settled;
  // A good end, until its worker's lease has lapsed or its life is over.
  struct GoodEnd {
    WorkerId worker;
    WorkerLife life;
    EndNumber number;
    // The task was started again after it.
    bool restarted = false;
  };
  std::multimap<TaskKey, GoodEnd> good_ends;
  std::vector<std::string> violations;
  std::vector<TimePoint> start_times;
  // Processor time of each tick of an entry that places workflows.
  std::vector<std::chrono::nanoseconds> holder_ticks;
  // Workflows of which any task has begun.
  std::set<WorkflowId> started;

  static constexpr Duration kLatency = milliseconds(4);
  static constexpr Duration kWorkerStep = milliseconds(10);
  static constexpr std::int64_t kWallStart = 1'700'000'000'000;

  [[nodiscard]] WorkflowTime Time() const {
    return WorkflowTime{
        .now = this->now,
        .wall =
            UnixMillis(kWallStart + std::chrono::duration_cast<milliseconds>(
                                        this->now.time_since_epoch())
                                        .count())};
  }

  void At(Duration delay, std::function<void()> action) {
    this->events.emplace(this->now + delay, std::move(action));
  }

  bool Happens(int of_thousand) {
    return of_thousand > 0 &&
           static_cast<int>(this->random() % 1000) < of_thousand;
  }

  // `count` entries; each gets the configuration from the store.
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
        1000 + 100 * static_cast<std::uint64_t>(index) + ++entry.life);
    entry.up = true;
    entry.due = this->now;
  }

  void KillEntry(int index) {
    Entry& entry = *this->entries[static_cast<std::size_t>(index)];
    entry.up = false;
    ++entry.life;
  }

  // The entry that holds the scheduler's place, or -1.
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

  // Adds workers of 8 accelerators, 32 cores and 128 GiB, 8 to a rack.
  void AddWorkers(int count,
                  const Service& service = Service("service"),
                  bool guards_capacity = true) {
    for (int i = 0; i < count; ++i) {
      const std::size_t number = this->workers.size();
      EmulatedWorker worker;
      worker.listing = WorkerListing{
          .id = WorkerId(fmt::format("w{}", number)),
          .service = service,
          .address = Address(fmt::format("10.0.0.{}:80", number)),
          .capacity =
              Capacity{Accelerators(8), Millicores(32'000), Mebibytes(131'072)},
          .labels = {"a", fmt::format("r{}", number / 8)},
          .life = WorkerLife(1)};
      worker.started = this->now;
      worker.guards_capacity = guards_capacity;
      List(this->store, worker.listing);
      this->workers.push_back(std::move(worker));
    }
  }

  EmulatedWorker* FindWorker(const WorkerId& id) {
    const auto found = std::find_if(
        this->workers.begin(), this->workers.end(),
        [&](const EmulatedWorker& w) { return w.listing.id == id; });
    return found == this->workers.end() ? nullptr : &*found;
  }

  // One route for each priority, "/urgent/", "/normal/" and "/bulk/", on host
  // "host", and "/open/" for a service whose workers do not guard their
  // capacity; workspace "team" has key "key".
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
    this->owed.insert(id);
    return this->Call(
        entry, WorkflowCall{.kind = CallKind::kSubmit,
                            .path = fmt::format("/{}/{}", route, id.value),
                            .spec = what.spec});
  }

  ExchangeId Ask(int entry,
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

  // Runs events and ticks until `end`, or until `done` holds; true if it does.
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
          next = std::min(next, std::max(entry->due, entry->frozen_until));
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
        this->next_step = this->now + kWorkerStep;
      }
      for (const auto& entry : this->entries) {
        if (entry->up && this->now >= entry->due &&
            this->now >= entry->frozen_until) {
          this->Tick(*entry);
        }
      }
    }
    return done && done();
  }
  bool RunFor(Duration time, const std::function<bool()>& done = {}) {
    return this->RunUntil(this->now + time, done);
  }

  // What any entry tells callers of the workflow.
  [[nodiscard]] std::optional<WorkflowState> Shown(const WorkflowId& id) const {
    for (const auto& entry : this->entries) {
      if (const Workflow* workflow = entry->world.workflows.find(id);
          entry->up && workflow != nullptr && IsOver(workflow->shown)) {
        return workflow->shown;
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] bool AllOver() const {
    return std::all_of(
        this->owed.begin(), this->owed.end(),
        [&](const WorkflowId& id) { return this->Shown(id).has_value(); });
  }

  // Tasks that run on workers that are up.
  [[nodiscard]] std::size_t RunningTasks() const {
    std::size_t count = 0;
    for (const EmulatedWorker& worker : this->workers) {
      count += worker.up ? worker.running.size() : 0;
    }
    return count;
  }

 private:
  void Tick(Entry& entry) {
    const WorkflowInbox inbox = std::exchange(entry.inbox, {});
    const WorkflowTime time = this->Time();
    const auto began = std::chrono::steady_clock::now();
    const WorkflowOutbox outbox = WorkflowTick(entry.world, inbox, time);
    entry.due = NextWorkflowDue(entry.world, time);
    if (entry.world.holding.state == HoldingState::kHolding) {
      this->holder_ticks.emplace_back(std::chrono::steady_clock::now() - began);
    }
    for (const CallAnswer& answer : outbox.answers) {
      this->answers[answer.exchange] = answer;
    }
    for (const ReadStream& read : outbox.reads) {
      this->At(
          kLatency, [this, &entry, read, began = this->now, life = entry.life] {
            this->CarryOutRead(entry, read, began, life, this->now + read.wait);
          });
    }
    for (const AppendJournal& append : outbox.appends) {
      this->CarryOutAppend(entry, append);
    }
    for (const WorkerOrder& order : outbox.orders) {
      this->CarryOutOrder(entry, order);
    }
  }

  // Hands something to the entry if it is still the same process.
  void Deliver(Entry& entry,
               std::uint64_t life,
               Duration delay,
               std::function<void(WorkflowInbox&)> fill) {
    this->At(delay, [this, &entry, life, fill = std::move(fill)] {
      if (entry.up && entry.life == life) {
        fill(entry.inbox);
        entry.due = this->now;
      }
    });
  }

  void CarryOutRead(Entry& entry,
                    const ReadStream& read,
                    TimePoint began,
                    std::uint64_t life,
                    TimePoint until) {
    StreamRead result{.stream = read.stream};
    const bool served =
        this->progress_up || read.stream != FollowedStream::kProgress;
    if (this->store_up && served && entry.store_reachable) {
      if (auto got = Read(this->store, read, this->now < until)) {
        result = std::move(*got);
      } else {
        this->At(kWorkerStep, [this, &entry, read, began, life, until] {
          this->CarryOutRead(entry, read, began, life, until);
        });
        return;
      }
    }
    result.began = began;
    entry.received += result.received;
    this->Deliver(
        entry, life, result.ok ? kLatency : Duration(milliseconds(900)),
        [result](WorkflowInbox& inbox) { inbox.reads.push_back(result); });
  }

  void CarryOutAppend(Entry& entry, const AppendJournal& append) {
    const bool served =
        this->progress_up || append.lane != AppendLane::kProgress;
    const bool reachable = this->store_up && served && entry.store_reachable;
    const bool lost = this->Happens(this->rates.lost_appends);
    this->At(kLatency, [this, &entry, append, reachable, lost,
                        began = this->now, life = entry.life] {
      JournalAppended appended{
          .lane = append.lane, .epoch = append.epoch, .batch = append.batch};
      if (reachable) {
        appended = Append(this->store, append);
      }
      if (lost) {
        appended.outcome = AppendOutcome::kUnknown;
      }
      appended.began = began;
      this->Deliver(
          entry, life,
          reachable && !lost ? kLatency : Duration(milliseconds(1300)),
          [appended](WorkflowInbox& inbox) {
            inbox.appended.push_back(appended);
          });
    });
  }

  void CarryOutOrder(Entry& entry, const WorkerOrder& order) {
    const bool late = order.kind != OrderKind::kHold &&
                      this->Happens(this->rates.late_orders);
    const bool lost = late || this->Happens(this->rates.lost_orders);
    const TimePoint sent = this->now;
    const Duration delay =
        late ? Duration(milliseconds(2000 + this->random() % 6000)) : kLatency;
    const bool cut = entry.cut_workers.contains(order.worker);
    if (lost || cut) {
      // The sender hears nothing and gives up.
      this->DeliverOrder(entry, entry.life, this->order_timeout,
                         OrderEnded{.kind = order.kind,
                                    .worker = order.worker,
                                    .fence = order.fence,
                                    .task = order.task,
                                    .run = order.run,
                                    .sent = sent});
    }
    if (!cut) {
      this->At(delay, [this, &entry, order, sent, lost, life = entry.life] {
        this->Obey(entry, order, sent, lost, life, this->now + order.wait);
      });
    }
  }

  // What the sender learns of an order without an answer.
  static OrderEnded Unanswered(const OrderEnded& order) {
    return OrderEnded{.kind = order.kind,
                      .worker = order.worker,
                      .fence = order.fence,
                      .task = order.task,
                      .run = order.run,
                      .sent = order.sent};
  }

  void DeliverOrder(Entry& entry,
                    std::uint64_t life,
                    Duration delay,
                    OrderEnded ended) {
    this->Deliver(entry, life, delay,
                  [this, ended = std::move(ended)](WorkflowInbox& inbox) {
                    OrderEnded copy = ended;
                    copy.answered = this->now;
                    inbox.orders_ended.push_back(std::move(copy));
                  });
  }

  void Obey(Entry& entry,
            const WorkerOrder& order,
            TimePoint sent,
            bool lost,
            std::uint64_t life,
            TimePoint until) {
    EmulatedWorker* worker = this->FindWorker(order.worker);
    OrderEnded ended{.kind = order.kind,
                     .worker = order.worker,
                     .fence = order.fence,
                     .task = order.task,
                     .run = order.run,
                     .sent = sent};
    if (worker == nullptr || !worker->up) {
      if (!lost) {
        this->DeliverOrder(entry, life, this->order_timeout, ended);
      }
      return;
    }
    if (order.kind == OrderKind::kStart) {
      this->CheckStart(*worker, order);
    }
    const std::size_t before = worker->running.size();
    for (const EndReport& end : worker->ended) {
      if (order.kind == OrderKind::kHold && order.fence >= worker->fence &&
          end.number <= order.acknowledged && end.end == RunEnd::kDone) {
        this->Settle(*worker, end);
      }
    }
    ended =
        chicorystep::CarryOut(*worker, order, this->MakeRun(order),
                              this->stop_grace, this->longest_lease, this->now);
    ended.sent = sent;
    if (worker->running.size() > before) {
      ++this->starts;
      this->start_times.push_back(this->now);
      this->started.insert(order.task.workflow);
      if (!HasRoom(*worker, Capacity{})) {
        this->violations.push_back(worker->listing.id.value +
                                   " runs more than it has room for");
      }
    }
    const bool waits = order.kind == OrderKind::kHold &&
                       ended.outcome == OrderOutcome::kDone &&
                       ended.ended.empty() && this->now < until;
    if (waits) {
      this->At(kWorkerStep, [this, &entry, order, sent, lost, life, until] {
        this->Obey(entry, order, sent, lost, life, until);
      });
    } else if (!lost && entry.cut_workers.contains(order.worker)) {
      // The answer is held up by a cut that began while the order was there.
      this->DeliverOrder(entry, life, this->order_timeout, Unanswered(ended));
    } else if (!lost) {
      this->DeliverOrder(entry, life, kLatency, ended);
    }
  }

  EmulatedRun MakeRun(const WorkerOrder& order) {
    EmulatedRun run{.run = order.run, .present_since = this->now};
    if (const auto found = this->submitted.find(order.task.workflow);
        order.kind == OrderKind::kStart && found != this->submitted.end()) {
      const StepSpec& step = found->second.spec.steps[order.task.step.value];
      run.need = step.need;
      run.work = found->second.work +
                 found->second.uneven * (order.task.task.value % 16);
      run.gang = step.gang;
    }
    return run;
  }

  // What must hold whenever a worker begins a task.
  void CheckStart(const EmulatedWorker& worker, const WorkerOrder& order) {
    const bool acts = order.fence >= worker.fence && order.until &&
                      *order.until > ClockOf(worker, this->now) &&
                      !worker.running.contains(order.task) &&
                      (!worker.barred.contains(order.task) ||
                       order.run > worker.barred.at(order.task));
    if (!acts) {
      return;
    }
    const std::string name =
        fmt::format("{}.{}.{}", order.task.workflow.value,
                    order.task.step.value, order.task.task.value);
    if (!this->submitted.contains(order.task.workflow)) {
      this->violations.push_back(name + " was never submitted");
    }
    const auto [from, to] = this->good_ends.equal_range(order.task);
    std::for_each(from, to, [](auto& row) { row.second.restarted = true; });
    if (this->settled.contains(order.task)) {
      this->violations.push_back(name + " starts after its end was settled");
    }
    for (const EmulatedWorker& other : this->workers) {
      if (other.up && other.listing.id != worker.listing.id &&
          other.running.contains(order.task)) {
        this->violations.push_back(fmt::format("{} runs on {} and {}", name,
                                               other.listing.id.value,
                                               worker.listing.id.value));
      }
    }
  }

  // A good end is settled once it is acknowledged, unless the lease lapsed in
  // between; the task must not have been started after it.
  void Settle(const EmulatedWorker& worker, const EndReport& end) {
    const auto [from, to] = this->good_ends.equal_range(end.task);
    for (auto it = from; it != to; ++it) {
      if (it->second.worker != worker.listing.id ||
          it->second.life != worker.listing.life ||
          it->second.number != end.number) {
        continue;
      }
      this->settled.insert(end.task);
      if (it->second.restarted) {
        this->violations.push_back(
            fmt::format("{}.{}.{} started again after its end on {}",
                        end.task.workflow.value, end.task.step.value,
                        end.task.task.value, worker.listing.id.value));
      }
    }
  }

  // Ends a run and notes a good end.
  void End(EmulatedWorker& worker, const TaskKey& task, RunEnd how) {
    EndRun(worker, task, how);
    if (how == RunEnd::kDone) {
      this->good_ends.emplace(task, GoodEnd{.worker = worker.listing.id,
                                            .life = worker.listing.life,
                                            .number = worker.last_end});
    }
  }

  // How many members of a gang's run are present on workers that are up.
  [[nodiscard]] std::size_t CountMembers(const TaskKey& key,
                                         RunNumber run) const {
    std::size_t count = 0;
    for (const EmulatedWorker& worker : this->workers) {
      for (const auto& [other, present] : worker.running) {
        count += worker.up && other.workflow == key.workflow &&
                         other.occurrence == key.occurrence &&
                         other.step == key.step && present.run == run
                     ? 1
                     : 0;
      }
    }
    return count;
  }

  void EndGang(const TaskKey& key, RunNumber run, RunEnd how) {
    for (EmulatedWorker& worker : this->workers) {
      std::vector<TaskKey> members;
      for (const auto& [other, present] : worker.running) {
        if (other.workflow == key.workflow &&
            other.occurrence == key.occurrence && other.step == key.step &&
            present.run == run) {
          members.push_back(other);
        }
      }
      for (const TaskKey& member : members) {
        this->End(
            worker, member,
            how == RunEnd::kDone || member == key ? how : RunEnd::kBroken);
      }
    }
  }

  void StepWorkers() {
    for (EmulatedWorker& worker : this->workers) {
      if (!worker.up) {
        continue;
      }
      if (ClockOf(worker, this->now) > worker.leased_until) {
        std::erase_if(this->good_ends, [&](const auto& row) {
          return row.second.worker == worker.listing.id;
        });
      }
      const auto running = worker.running;
      for (const auto& [key, seen] : running) {
        const auto present = worker.running.find(key);
        if (present == worker.running.end() ||
            !this->submitted.contains(key.workflow)) {
          continue;
        }
        this->StepRun(worker, key, present->second);
      }
    }
  }

  void StepRun(EmulatedWorker& worker, const TaskKey& key, EmulatedRun& run) {
    const Submitted& what = this->submitted.at(key.workflow);
    const StepSpec& step = what.spec.steps[key.step.value];
    const auto end = [&](RunEnd how) {
      if (run.gang) {
        this->EndGang(key, run.run, how);
      } else {
        this->End(worker, key, how);
      }
    };
    if (ClockOf(worker, this->now) > worker.leased_until) {
      end(RunEnd::kLapsed);
    } else if (this->now >= run.stops_at) {
      end(RunEnd::kStopped);
    } else if (run.working_since == kNever) {
      if (!run.gang || this->CountMembers(key, run.run) == step.count) {
        run.working_since = this->now;
      } else if (this->now - run.present_since > seconds(3)) {
        EndRun(worker, key, RunEnd::kAlone);
      }
    } else if (static_cast<double>((this->now - run.working_since).count()) *
                   worker.speed >=
               static_cast<double>(run.work.count())) {
      end(run.run.value <= what.failing_runs ? RunEnd::kFailed : RunEnd::kDone);
    }
  }

  TimePoint next_step{};
};

// A step of `count` tasks with `accelerators` each.
inline StepSpec MakeStep(std::uint32_t count,
                         std::int64_t accelerators,
                         bool gang = false) {
  return StepSpec{.count = count,
                  .need = Capacity{Accelerators(accelerators), Millicores(1000),
                                   Mebibytes(1024)},
                  .estimate = milliseconds(1000),
                  .gang = gang};
}

}  // namespace chicorystep

#endif  // TESTS_SUPPORT_EMULATION_H_
