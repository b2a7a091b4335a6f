#ifndef CHICORYSTEP_ENCODING_CONFIG_FIELDS_H_
#define CHICORYSTEP_ENCODING_CONFIG_FIELDS_H_

#include "chicorystep/tables/config.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, Shape& shape) {
  archive("pieces", shape.pieces);
  archive("accelerators", shape.accelerators);
  archive("millicores", shape.processors);
  archive("memory_mib", shape.memory);
  archive("adjacent", shape.adjacency);
}

template <typename Archive>
void VisitFields(Archive& archive, Guarantee& guarantee) {
  archive("zone", guarantee.zone);
  archive("count", guarantee.count);
  archive("shape", guarantee.shape);
}

template <typename Archive>
void VisitFields(Archive& archive, PoolKey& key) {
  archive("name", key.name);
  archive("workspace", key.workspace);
}

template <typename Archive>
void VisitFields(Archive& archive, Pool& pool) {
  archive("key", pool.key);
  archive("weight", pool.weight);
  archive("borrows", pool.borrows);
  archive("guarantees", pool.guarantees);
  archive("revision", pool.revision);
}

template <typename Archive>
void VisitFields(Archive& archive, Route& route) {
  archive("kind", route.kind);
  archive("service", route.service);
  archive("pool", route.pool);
  archive("priority", route.priority);
  archive("deadline_us", route.deadline);
  archive("idempotent", route.idempotent);
  archive("max_request_bytes", route.max_request);
  archive("max_answer_bytes", route.max_answer);
  archive("max_attempts", route.max_attempts);
  archive("hedge_after_us", route.hedge_after);
  archive("revision", route.revision);
}

template <typename Archive>
void VisitFields(Archive& archive, WorkerGroup& group) {
  archive.Required("racks", group.racks);
  archive.Required("workers_per_rack", group.workers_per_rack);
  archive.Required("accelerators", group.accelerators);
  archive.Required("millicores", group.processors);
  archive.Required("memory_mib", group.memory);
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_CONFIG_FIELDS_H_
