#ifndef CHICORYSTEP_TRAFFIC_METRICS_H_
#define CHICORYSTEP_TRAFFIC_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "chicorystep/tables/messages.h"
#include "chicorystep/tables/received_bytes.h"
#include "chicorystep/tables/world.h"

namespace chicorystep {

// The process's metrics; docs/OPERATIONS.md lists them with their units.
struct Metrics {
  prometheus::Registry registry;

  // Incremented when the event happens.
  prometheus::Family<prometheus::Counter>* exchanges_ended = nullptr;
  prometheus::Counter* attempts = nullptr;
  prometheus::Counter* ticks = nullptr;
  prometheus::Counter* appends = nullptr;
  prometheus::Counter* appends_unconfirmed = nullptr;
  prometheus::Counter* worker_messages = nullptr;
  prometheus::Counter* log_bytes_sent = nullptr;
  prometheus::Counter* log_bytes_received = nullptr;
  prometheus::Histogram* request_seconds = nullptr;

  // Updated from the control state on each scrape.
  prometheus::Gauge* ready = nullptr;
  prometheus::Gauge* config_revision = nullptr;
  prometheus::Gauge* members_alive = nullptr;
  prometheus::Gauge* requests_open = nullptr;
  prometheus::Gauge* requests_waiting = nullptr;
  prometheus::Gauge* cells_held = nullptr;
  prometheus::Gauge* workers_responsive = nullptr;
  prometheus::Gauge* free_accelerators = nullptr;
  prometheus::Family<prometheus::Gauge>* jobs = nullptr;

  // Updated from the account of received bytes on each scrape.
  prometheus::Gauge* received_bytes = nullptr;
  prometheus::Gauge* caller_connections = nullptr;
  prometheus::Gauge* calls_declined = nullptr;
  // Labelled by reason.
  prometheus::Family<prometheus::Gauge>* callers_closed = nullptr;
};

void RegisterMetrics(Metrics& metrics);

// Counts the messages that one tick put into its outbox.
void CountOutbox(Metrics& metrics, const Outbox& outbox);

// Updates the gauges from the control state.
void SetGauges(Metrics& metrics, const World& world, TimePoint now);

// Updates the gauges from the account of received bytes.
void SetReceivedGauges(Metrics& metrics, const ReceivedBytes& account);

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_METRICS_H_
