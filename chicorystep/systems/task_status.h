#ifndef CHICORYSTEP_SYSTEMS_TASK_STATUS_H_
#define CHICORYSTEP_SYSTEMS_TASK_STATUS_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// What a workflow with tasks that do not run waits for.
enum class WaitReason : std::uint8_t {
  kNothing,
  // Only the entry that places workflows can tell.
  kHolder,
  kDueTime,
  kEarlierSteps,
  // No worker of the service that is in use has the label.
  kSuitableWorker,
  // None of those could take a task of the step even when empty.
  kLargerWorker,
  kRoom,
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

// The reason of the first step that could otherwise begin.
[[nodiscard]] WaitReason WhyWaiting(const WorkflowWorld& world,
                                    const Workflow& workflow);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_TASK_STATUS_H_
