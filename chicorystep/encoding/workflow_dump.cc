#include "chicorystep/encoding/workflow_dump.h"

#include <array>
#include <nlohmann/json.hpp>

#include "chicorystep/systems/workflows/task_candidates.h"
#include "chicorystep/systems/workflows/task_status.h"

namespace chicorystep {
namespace {

using PlainJson = nlohmann::ordered_json;

// The most rows of each list in a dump: more than an operator reads, and few
// enough that a dump does not take long on the control thread.
constexpr std::size_t kMaxRows = 500;

std::int64_t AgeMillis(TimePoint then, TimePoint now) {
  return WholeMillis(now - then);
}

PlainJson DumpHolding(const Holding& holding, TimePoint now) {
  PlainJson json = {{"state", std::string(EnumName(holding.state))},
                    {"epoch", holding.epoch.value},
                    {"holder", holding.holder.value},
                    {"heard_ms_ago", AgeMillis(holding.last_seen, now)}};
  if (holding.state == HoldingState::kHolding) {
    json["confirmed_ms_ago"] = AgeMillis(holding.confirmed, now);
    json["may_order"] = holding.may_order;
  }
  return json;
}

PlainJson DumpWorker(const WorkflowWorld& world,
                     const TaskWorker& worker,
                     TimePoint now) {
  return {{"id", worker.listing.id.value},
          {"zone", worker.listing.zone.value},
          {"rack", worker.rack.value},
          {"listed", worker.listed},
          {"draining", worker.listing.draining},
          {"obeys", worker.fenced},
          {"silent_holds", worker.unanswered_holds},
          {"noted_silent", worker.recorded_unresponsive},
          {"excluded_for_ms",
           std::max<std::int64_t>(0, AgeMillis(now, worker.excluded_until))},
          {"rejected_for",
           std::string(EnumName(FindRejection(world, worker, now)))},
          {"free_accelerators", worker.free.accelerators.value},
          {"tasks", worker.tasks.size()}};
}

PlainJson DumpJudgedPair(const JudgedPair& pair, TimePoint now) {
  return {{"slowed", pair.slowed.value},
          {"by", pair.by.value},
          {"speed", pair.speed},
          {"evidence_runs", pair.evidence},
          {"judged_ms_ago", AgeMillis(pair.since, now)}};
}

PlainJson DumpWorkflow(const WorkflowWorld& world,
                       const WorkflowId& id,
                       const Workflow& workflow,
                       TimePoint now) {
  std::array<std::size_t, kEnumNames<TaskState>.size()> counts{};
  for (const StepRun& run : workflow.runs) {
    for (const Task& task : run.tasks) {
      ++counts[static_cast<std::size_t>(task.state)];
    }
    counts[static_cast<std::size_t>(TaskState::kWaiting)] += run.untouched;
  }
  PlainJson tasks = PlainJson::object();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      tasks[std::string(EnumName(static_cast<TaskState>(i)))] = counts[i];
    }
  }
  return {{"id", id.value},
          {"route", workflow.terms.route.value},
          {"workspace", workflow.terms.workspace.value},
          {"priority", workflow.terms.priority},
          {"shown", std::string(EnumName(workflow.shown))},
          {"cancel_requested", workflow.cancel_requested},
          {"accepted_unix_ms", workflow.accepted.value},
          {"accepted_by", workflow.accepted_by.value},
          {"tasks", std::move(tasks)},
          {"waits_for",
           std::string(EnumName(FindWaitReason(world, id, workflow, now)))}};
}

}  // namespace

std::string DumpWorkflowWorld(const WorkflowWorld& world, TimePoint now) {
  PlainJson json;
  json["entry"] = world.self.id.value;
  json["config_version"] = world.config ? world.config->version.value : 0;
  json["stopping"] = world.stopping;
  json["evacuated_zones"] = PlainJson::array();
  for (const auto& [zone, since] : world.evacuations.zones) {
    json["evacuated_zones"].push_back(
        {{"zone", zone.value}, {"read_ms_ago", AgeMillis(since, now)}});
  }
  json["holding"] = DumpHolding(world.holding, now);
  json["streams"] = PlainJson::object();
  for (const auto& [stream, position] : world.streams) {
    json["streams"][std::string(EnumName(stream))] = {
        {"loaded", position.next.has_value()},
        {"fresh_ms_ago", AgeMillis(position.fresh_as_of, now)},
        {"failures", position.failures}};
  }
  json["calls_waiting_for_the_store"] =
      world.callers.queued.size() + world.callers.writing.size();
  json["workflows"] = world.workflows.size();
  json["open"] = PlainJson::array();
  for (std::size_t i = 0;
       i < world.workflows.size() && json["open"].size() < kMaxRows; ++i) {
    if (!IsTerminal(world.workflows.rows[i].shown)) {
      json["open"].push_back(DumpWorkflow(world, world.workflows.keys[i],
                                          world.workflows.rows[i], now));
    }
  }
  json["workers"] = PlainJson::array();
  for (const TaskWorker& worker : world.scheduling.workers.rows) {
    if (json["workers"].size() < kMaxRows) {
      json["workers"].push_back(DumpWorker(world, worker, now));
    }
  }
  json["interfering_pairs"] = PlainJson::array();
  for (const auto& [kinds, pair] : world.scheduling.interference.judged) {
    if (json["interfering_pairs"].size() < kMaxRows) {
      json["interfering_pairs"].push_back(DumpJudgedPair(pair, now));
    }
  }
  // Text that is not UTF-8 is replaced rather than rejected.
  return json.dump(1, ' ', false, PlainJson::error_handler_t::replace);
}

}  // namespace chicorystep
