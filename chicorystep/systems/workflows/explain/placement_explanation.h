#ifndef CHICORYSTEP_SYSTEMS_WORKFLOWS_EXPLAIN_PLACEMENT_EXPLANATION_H_
#define CHICORYSTEP_SYSTEMS_WORKFLOWS_EXPLAIN_PLACEMENT_EXPLANATION_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// A submission that is asked about and not made.
struct PlacementQuestion {
  // The path may end with the route's prefix, without an id.
  WorkflowCall call;
  // Whose key the caller would present; keys are not checked.
  Workspace workspace;
  // Size of the caller's body.
  Bytes body;
};

// The workers as one step sees them. Each worker is counted once, under the
// first reason that applies.
struct WorkerCounts {
  std::size_t other_service = 0;
  std::size_t without_label = 0;
  // By WorkerRejection.
  std::array<std::size_t, kEnumNames<WorkerRejection>.size()> rejected{};
  // A task does not fit even when the worker is empty.
  std::size_t too_small = 0;
  // A task does not fit beside what is placed there or comes before it.
  std::size_t without_room = 0;
  std::size_t candidates = 0;
};

struct ExplainedTask {
  TaskIndex task;
  WorkerId worker;
  Rack rack;
  Zone zone;
};

// Where the tasks of the first ready step would go.
struct StepExplanation {
  StepIndex step;
  std::size_t tasks = 0;
  WorkerCounts workers;
  // Units of other workflows that a placement pass takes before this step.
  std::size_t units_before = 0;
  bool needs_one_rack = false;
  // In the order of the tasks; those that would wait are missing.
  std::vector<ExplainedTask> placed;
};

// What would become of a submission now.
struct PlacementExplanation {
  ConfigVersion config_version;
  // The answer to the caller, apart from the store's part.
  CallAnswer answer;
  // The acceptance would be appended; `answer` is kOk.
  bool accepted = false;
  WorkflowTerms terms;
  // The newest holder that this process knows of; empty before the first.
  EntryId holder;
  // Set only if this process is the holder and a task would be ready now.
  std::optional<StepExplanation> step;
  // What the tasks that are not placed would wait for; kHolder if this process
  // does not place tasks.
  WaitReason waits_for = WaitReason::kNothing;
  // The unit is urgent and waits, so it may stop other work. The explanation
  // reckons without preemptions.
  bool may_preempt = false;
};

// Explains what would become of a submission now: whether it would be accepted,
// and which workers the next placement pass would choose. Decides on copies of
// the rows concerned.
[[nodiscard]] PlacementExplanation ExplainPlacement(
    const WorkflowWorld& world,
    const PlacementQuestion& question,
    const WorkflowTime& time);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_WORKFLOWS_EXPLAIN_PLACEMENT_EXPLANATION_H_
