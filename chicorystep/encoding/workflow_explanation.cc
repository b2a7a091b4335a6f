#include "chicorystep/encoding/workflow_explanation.h"

#include <nlohmann/json.hpp>

namespace chicorystep {
namespace {

using PlainJson = nlohmann::ordered_json;

// The most tasks that are listed with their worker.
constexpr std::size_t kMaxTasks = 500;

PlainJson EncodeCounts(const WorkerCounts& workers) {
  PlainJson json = {{"candidates", workers.candidates},
                    {"without_room", workers.without_room},
                    {"too_small", workers.too_small},
                    {"without_label", workers.without_label},
                    {"other_service", workers.other_service}};
  for (std::size_t i = 0; i < workers.rejected.size(); ++i) {
    if (workers.rejected[i] > 0) {
      json[std::string(EnumName(static_cast<WorkerRejection>(i)))] =
          workers.rejected[i];
    }
  }
  return json;
}

PlainJson EncodeStep(const StepExplanation& step) {
  PlainJson json = {{"step", step.step.value},
                    {"tasks", step.tasks},
                    {"placed", step.placed.size()},
                    {"units_before", step.units_before},
                    {"needs_one_rack", step.needs_one_rack},
                    {"workers", EncodeCounts(step.workers)},
                    {"placements", PlainJson::array()}};
  for (const ExplainedTask& task : step.placed) {
    if (json["placements"].size() == kMaxTasks) {
      break;
    }
    json["placements"].push_back({{"task", task.task.value},
                                  {"worker", task.worker.value},
                                  {"rack", task.rack.value},
                                  {"zone", task.zone.value}});
  }
  return json;
}

}  // namespace

std::string EncodePlacementExplanation(
    const PlacementExplanation& explanation) {
  PlainJson json = {
      {"accepted", explanation.accepted},
      {"result", std::string(EnumName(explanation.answer.result))},
      {"detail", explanation.answer.detail},
      {"retry_after_ms", WholeMillis(explanation.answer.retry_after)},
      {"config_version", explanation.config_version.value},
      {"holder", explanation.holder.value}};
  if (explanation.accepted) {
    json["route"] = explanation.terms.route.value;
    json["service"] = explanation.terms.service.value;
    json["priority"] = explanation.terms.priority;
    json["waits_for"] = std::string(EnumName(explanation.waits_for));
    json["may_preempt"] = explanation.may_preempt;
  }
  if (explanation.step) {
    json["first_step"] = EncodeStep(*explanation.step);
  }
  // Text that is not UTF-8 is replaced rather than rejected.
  return json.dump(1, ' ', false, PlainJson::error_handler_t::replace);
}

}  // namespace chicorystep
