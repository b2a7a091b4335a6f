#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_VICTIM_SELECTION_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_VICTIM_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "chicorystep/core/units.h"
#include "chicorystep/tables/capacity.h"

namespace chicorystep {

// What stopping a victim frees on one worker.
struct VictimPart {
  std::size_t worker = 0;
  Capacity frees;
};

// Work that is stopped as a whole or not at all: a single task or a whole gang.
// It has one part for each worker that it runs on.
struct PreemptionVictim {
  std::vector<VictimPart> parts;
  // Work that has to be repeated if the victim is stopped, and a surcharge for
  // the stops.
  CoreMillis cost;
};

// What a worker has free before any victim is stopped.
struct WorkerRoom {
  Capacity free;
  // How many of the wanted tasks may run there, whatever is free; 0 if none.
  std::uint32_t max_tasks = 0;
};

// The workers and victims that a plan may use. Workers are referred to by their
// index.
struct PreemptionField {
  std::vector<WorkerRoom> workers;
  std::vector<PreemptionVictim> victims;
};

// Tasks of equal size that must all be placed.
struct PreemptionWant {
  Capacity need;
  std::size_t tasks = 0;
};

// The victims to stop, in ascending order, and a worker for each wanted task.
struct PreemptionChoice {
  std::vector<std::size_t> victims;
  std::vector<std::size_t> workers;
  CoreMillis cost;
};

// Selects victims so that all wanted tasks fit, with as little cost as it
// finds; without any one of them the tasks would not fit. Returns nothing if
// they do not fit once all victims are stopped.
[[nodiscard]] std::optional<PreemptionChoice> ChooseVictims(
    const PreemptionField& field,
    const PreemptionWant& want);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_PREEMPTION_VICTIM_SELECTION_H_
