#ifndef CHICORYSTEP_TRAFFIC_METRICS_H_
#define CHICORYSTEP_TRAFFIC_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "chicorystep/control/world.h"

namespace chicorystep {

// The process's metrics; docs/OPERATING.md lists them with their units.
struct Metrics {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>* exchanges_ended = nullptr;
  prometheus::Counter* attempts = nullptr;
  prometheus::Counter* ticks = nullptr;
  prometheus::Counter* appends = nullptr;
  prometheus::Counter* worker_messages = nullptr;
  prometheus::Counter* log_bytes_sent = nullptr;
  prometheus::Counter* log_bytes_received = nullptr;
};

void RegisterMetrics(Metrics& metrics);

// Counts what one tick decided.
void CountOutbox(Metrics& metrics, const Outbox& outbox);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_METRICS_H_
