#ifndef CHICORYSTEP_SYSTEMS_TASK_STATUS_H_
#define CHICORYSTEP_SYSTEMS_TASK_STATUS_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// What a workflow with waiting tasks waits for.
enum class WaitReason : std::uint8_t {
  kNothing,
  // This process is not the holder, and only the holder's tables show the
  // reason.
  kHolder,
  kDueTime,
  kEarlierSteps,
  // No worker in use of the workflow's service has the required label.
  kSuitableWorker,
  // Workers are suitable, but a task of the step fits on none of them even when
  // it is empty.
  kLargerWorker,
  // A task of the step fits on a suitable worker once enough capacity is free.
  kFreeCapacity,
};
template <>
inline constexpr std::array kEnumNames<WaitReason> = {
    std::string_view("nothing"),
    std::string_view("holder"),
    std::string_view("due_time"),
    std::string_view("earlier_steps"),
    std::string_view("suitable_worker"),
    std::string_view("larger_worker"),
    std::string_view("room"),
};

// Returns what the first step whose dependencies are met waits for; if there is
// none, whether the waiting tasks depend on earlier steps.
[[nodiscard]] WaitReason FindWaitReason(const WorkflowWorld& world,
                                        const Workflow& workflow);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_STATUS_H_
