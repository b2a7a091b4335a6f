#include "chicorystep/traffic/metrics.h"

#include <string>

#include "chicorystep/core/outcome.h"

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

void CountEnd(Metrics& metrics, const EndExchange& end) {
  const std::string reason =
      end.refusal ? std::string(NameOf(end.refusal->reason)) : "answered";
  const std::string outcome = std::string(
      NameOf(end.refusal ? end.refusal->execution : Execution::kRan));
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
  metrics.worker_messages =
      impl::AddCounter(metrics.registry, "chicorystep_worker_messages_total",
                       "Messages sent to workers");
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

}  // namespace chicorystep
