#include "chicorystep/traffic/metrics.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

#include "chicorystep/core/outcome.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/membership.h"

namespace chicorystep {
namespace impl {

prometheus::Counter* AddCounter(prometheus::Registry& registry,
                                const std::string& name,
                                const std::string& help) {
  return &prometheus::BuildCounter()
              .Name(name)
              .Help(help)
              .Register(registry)
              .Add({});
}

prometheus::Gauge* AddGauge(prometheus::Registry& registry,
                            const std::string& name,
                            const std::string& help) {
  return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

// Upper bounds of the request latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries& TimeBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
      0.5,   1,     2,     5,    10,   30,   60};
  return buckets;
}

void RegisterGauges(Metrics& metrics) {
  prometheus::Registry& registry = metrics.registry;
  metrics.ready = AddGauge(registry, "chicorystep_ready",
                           "1 while the balancer may send callers here");
  metrics.config_revision =
      AddGauge(registry, "chicorystep_config_revision",
               "Revision of the newest edit in force in this process");
  metrics.members_alive = AddGauge(registry, "chicorystep_members_alive",
                                   "Other entry processes heard in time");
  metrics.requests_open = AddGauge(registry, "chicorystep_requests_open",
                                   "Requests whose caller waits");
  metrics.requests_waiting = AddGauge(registry, "chicorystep_requests_waiting",
                                      "Requests that wait for an executor");
  metrics.cells_held = AddGauge(registry, "chicorystep_cells_held",
                                "Placement cells that this process holds");
  metrics.workers_responsive =
      AddGauge(registry, "chicorystep_workers_heard",
               "Workers of the held cells that have answered within a lease");
  metrics.free_accelerators =
      AddGauge(registry, "chicorystep_free_accelerators",
               "Accelerators of the held cells without a placed piece");
  metrics.jobs = &prometheus::BuildGauge()
                      .Name("chicorystep_jobs")
                      .Help("Jobs of the held cells, by state")
                      .Register(registry);
}

void SetCellGauges(Metrics& metrics, const World& world, TimePoint now) {
  std::array<double, kEnumNames<JobState>.size()> jobs{};
  double held_cells = 0;
  double responsive_workers = 0;
  double free_accelerators = 0;
  for (const auto& [zone, cell] : world.jobs.cells) {
    if (!IsHeld(cell)) {
      continue;
    }
    ++held_cells;
    for (const Worker& worker : cell.workers.rows) {
      responsive_workers +=
          worker.last_answered_send != TimePoint::min() &&
                  now - worker.last_answered_send <= world.self.lease_time
              ? 1
              : 0;
      free_accelerators += static_cast<double>(worker.free.accelerators.value);
    }
    for (const Job& job : cell.jobs.rows) {
      ++jobs.at(static_cast<std::size_t>(job.state));
    }
  }
  metrics.cells_held->Set(held_cells);
  metrics.workers_responsive->Set(responsive_workers);
  metrics.free_accelerators->Set(free_accelerators);
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const std::string state(kEnumNames<JobState>.at(i));
    metrics.jobs->Add({{"state", state}}).Set(jobs.at(i));
  }
}

void CountEnd(Metrics& metrics, const EndExchange& end) {
  const std::string reason =
      end.refusal ? std::string(EnumName(end.refusal->reason)) : "answered";
  const std::string outcome = std::string(
      EnumName(end.refusal ? end.refusal->execution : Execution::kRan));
  metrics.exchanges_ended->Add({{"reason", reason}, {"outcome", outcome}})
      .Increment();
}

}  // namespace impl

void RegisterMetrics(Metrics& metrics) {
  metrics.exchanges_ended =
      &prometheus::BuildCounter()
           .Name("chicorystep_requests_ended_total")
           .Help("Requests ended, by reason and by what the caller was told")
           .Register(metrics.registry);
  metrics.attempts =
      impl::AddCounter(metrics.registry, "chicorystep_attempts_total",
                       "Attempts sent to executors");
  metrics.ticks = impl::AddCounter(metrics.registry, "chicorystep_ticks_total",
                                   "Ticks of the control thread");
  metrics.appends =
      impl::AddCounter(metrics.registry, "chicorystep_appends_total",
                       "Records given to the log client");
  metrics.log_bytes_sent =
      impl::AddCounter(metrics.registry, "chicorystep_log_sent_bytes_total",
                       "Bytes sent to the log service, headers included");
  metrics.log_bytes_received =
      impl::AddCounter(metrics.registry, "chicorystep_log_received_bytes_total",
                       "Bytes received from the log service, headers included");
  metrics.appends_unconfirmed = impl::AddCounter(
      metrics.registry, "chicorystep_appends_unconfirmed_total",
      "Records whose append was given up without an answer");
  metrics.request_seconds =
      &prometheus::BuildHistogram()
           .Name("chicorystep_request_seconds")
           .Help("Seconds from a whole request to its whole answer")
           .Register(metrics.registry)
           .Add({}, impl::TimeBuckets());
  impl::RegisterGauges(metrics);
  const auto add_gauge = [&](const char* name, const char* help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Register(
        metrics.registry);
  };
  metrics.received_bytes = &add_gauge("chicorystep_received_bytes",
                                      "Memory of callers' requests and answers")
                                ->Add({});
  metrics.caller_connections =
      &add_gauge("chicorystep_caller_connections",
                 "Callers' connections that have a thread")
           ->Add({});
  metrics.calls_declined =
      &add_gauge("chicorystep_calls_declined",
                 "Whole requests refused for want of memory since the start")
           ->Add({});
  metrics.callers_closed =
      add_gauge("chicorystep_callers_closed",
                "Callers' connections cut off since the start, by reason");
  metrics.worker_messages =
      impl::AddCounter(metrics.registry, "chicorystep_worker_messages_total",
                       "Messages sent to workers");
}

void SetReceivedGauges(Metrics& metrics, const ReceivedBytes& account) {
  metrics.received_bytes->Set(static_cast<double>(account.held.value));
  metrics.caller_connections->Set(
      static_cast<double>(account.connections.size()));
  metrics.calls_declined->Set(static_cast<double>(account.declined));
  for (std::size_t i = 0; i < account.closed.size(); ++i) {
    metrics.callers_closed
        ->Add(
            {{"reason", std::string(EnumName(static_cast<ClosingReason>(i)))}})
        .Set(static_cast<double>(account.closed[i]));
  }
}

void CountOutbox(Metrics& metrics, const Outbox& outbox) {
  metrics.ticks->Increment();
  metrics.attempts->Increment(static_cast<double>(outbox.attempts.size()));
  metrics.appends->Increment(static_cast<double>(outbox.appends.size()));
  metrics.worker_messages->Increment(
      static_cast<double>(outbox.worker_commands.size()));
  for (const EndExchange& end : outbox.ended_exchanges) {
    impl::CountEnd(metrics, end);
  }
}

void SetGauges(Metrics& metrics, const World& world, TimePoint now) {
  const auto& members = world.members.table.rows;
  metrics.ready->Set(world.config_ready && !world.stopping ? 1 : 0);
  metrics.config_revision->Set(
      static_cast<double>(world.config.revision.value));
  metrics.members_alive->Set(static_cast<double>(std::count_if(
      members.begin(), members.end(),
      [&](const Member& member) { return IsAlive(member, world.self, now); })));
  metrics.requests_open->Set(static_cast<double>(world.requests.table.size()));
  metrics.requests_waiting->Set(static_cast<double>(world.requests.due.size()));
  impl::SetCellGauges(metrics, world, now);
}

}  // namespace chicorystep
