#include "chicorystep/encoding/workflow_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace chicorystep {
namespace {

// Records use short member names, since every entry process reads every record,
// over links that are billed by volume.
using PlainJson = nlohmann::json;

constexpr std::string_view kAcceptedPrefix = "a-";
constexpr std::string_view kCancelPrefix = "c-";
constexpr std::string_view kStatePrefix = "s-";
constexpr std::string_view kProgressPrefix = "p-";
// Separates the id of a workflow from the number of a part of its progress.
constexpr char kPartSeparator = '.';
constexpr std::string_view kHolderKey = "holder";
// The key consists of this prefix and 0 for even epochs or 1 for odd ones, so
// that a new holder's record does not replace the previous holder's.
constexpr std::string_view kUnresponsivePrefix = "silent-";
constexpr std::string_view kOrdersEndedPrefix = "ended-";

// Accepted workflows have fewer tasks. A record with more was not written by an
// entry, and must not take up the memory of those that read it.
constexpr std::uint32_t kMaxTasksOfStep = 100'000;

std::uint32_t ReadTaskCount(const PlainJson& json) {
  const auto count = json.get<std::uint64_t>();
  if (count > kMaxTasksOfStep) {
    throw std::runtime_error("too many tasks");
  }
  return static_cast<std::uint32_t>(count);
}

PlainJson ToPlainJson(const StepSpec& step) {
  PlainJson json = {{"n", step.count}};
  const auto number = [&](const char* name, std::int64_t value) {
    if (value != 0) {
      json[name] = value;
    }
  };
  number("cpu", step.need.processors.value);
  number("mem", step.need.memory.value);
  number("acc", step.need.accelerators.value);
  number("est", step.estimate.count());
  number("max", step.max_per_worker);
  const auto flag = [&](const char* name, bool value) {
    if (value) {
      json[name] = true;
    }
  };
  flag("gang", step.gang);
  flag("rack", step.same_rack);
  flag("save", step.saves_progress);
  flag("spec", step.speculative);
  flag("long", step.long_running);
  flag("fill", step.fills_idle);
  if (!step.program.empty()) {
    json["prog"] = step.program;
  }
  if (!step.required_label.empty()) {
    json["label"] = step.required_label;
  }
  if (!step.data_rack.empty()) {
    json["near"] = step.data_rack.value;
  }
  for (const StepIndex needed : step.depends_on) {
    json["after"].push_back(needed.value);
  }
  return json;
}

StepSpec StepFromPlainJson(const PlainJson& json) {
  StepSpec step;
  step.count = ReadTaskCount(json.at("n"));
  step.need.processors = Millicores(json.value("cpu", std::int64_t{0}));
  step.need.memory = Mebibytes(json.value("mem", std::int64_t{0}));
  step.need.accelerators = Accelerators(json.value("acc", std::int64_t{0}));
  step.estimate = Duration(json.value("est", std::int64_t{0}));
  step.max_per_worker = json.value("max", 0U);
  step.gang = json.value("gang", false);
  step.same_rack = json.value("rack", false);
  step.saves_progress = json.value("save", false);
  step.speculative = json.value("spec", false);
  step.long_running = json.value("long", false);
  step.fills_idle = json.value("fill", false);
  step.program = json.value("prog", std::string());
  step.required_label = json.value("label", std::string());
  step.data_rack = Rack(json.value("near", std::string()));
  if (const auto after = json.find("after"); after != json.end()) {
    for (const PlainJson& needed : *after) {
      step.depends_on.emplace_back(needed.get<std::uint32_t>());
    }
  }
  return step;
}

KeyedValue Encode(const AcceptedRecord& record) {
  PlainJson json = {
      {"p", record.spec.payload},        {"at", record.accepted.value},
      {"r", record.terms.route.value},   {"w", record.terms.workspace.value},
      {"s", record.terms.service.value}, {"pr", record.terms.priority},
      {"ma", record.terms.max_attempts}, {"ta", record.terms.target.count()},
      {"st", record.terms.stretch},      {"by", record.entry.value}};
  if (record.spec.occurrences > 0) {
    json["times"] = {record.spec.occurrences, record.spec.first_due.value,
                     record.spec.interval.count()};
  }
  json["steps"] = PlainJson::array();
  for (const StepSpec& step : record.spec.steps) {
    json["steps"].push_back(ToPlainJson(step));
  }
  return KeyedValue{fmt::format("{}{}", kAcceptedPrefix, record.id.value),
                    json.dump()};
}

AcceptedRecord DecodeAccepted(WorkflowId id, const PlainJson& json) {
  AcceptedRecord record{.id = std::move(id)};
  record.spec.payload = json.at("p").get<std::string>();
  record.accepted = UnixMillis(json.at("at").get<std::int64_t>());
  record.terms.route = RouteName(json.at("r").get<std::string>());
  record.terms.workspace = Workspace(json.at("w").get<std::string>());
  record.terms.service = Service(json.at("s").get<std::string>());
  record.terms.priority = json.at("pr").get<std::uint32_t>();
  record.terms.max_attempts = json.at("ma").get<std::uint32_t>();
  record.terms.target = Duration(json.at("ta").get<std::int64_t>());
  record.terms.stretch = json.at("st").get<double>();
  record.entry = EntryId(json.value("by", std::string()));
  if (const auto times = json.find("times"); times != json.end()) {
    record.spec.occurrences = times->at(0).get<std::uint32_t>();
    record.spec.first_due = UnixMillis(times->at(1).get<std::int64_t>());
    record.spec.interval = Duration(times->at(2).get<std::int64_t>());
  }
  for (const PlainJson& step : json.at("steps")) {
    record.spec.steps.push_back(StepFromPlainJson(step));
  }
  return record;
}

// Encodes which tasks are done as a bitmap, four tasks per hexadecimal digit.
std::string EncodeDoneBitmap(const std::vector<Task>& tasks) {
  std::string bitmap;
  for (std::size_t i = 0; i < tasks.size(); i += 4) {
    int digit = 0;
    for (std::size_t j = i; j < tasks.size() && j < i + 4; ++j) {
      digit |= (tasks[j].state == TaskState::kDone ? 1 : 0) << (j - i);
    }
    bitmap += fmt::format("{:x}", digit);
  }
  return bitmap;
}

bool IsDoneInBitmap(const std::string& bitmap, std::size_t index) {
  const std::size_t at = index / 4;
  if (at >= bitmap.size()) {
    return false;
  }
  const char c = bitmap[at];
  const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
  return ((digit >> (index % 4)) & 1) != 0;
}

// A section of a step run's tasks, those of one part of a progress record.
struct TaskSection {
  std::size_t begin = 0;
  std::size_t end = 0;
  // The first section of a run also tells which of all its tasks are done.
  bool is_first = true;
};

PlainJson ToPlainJson(const StepRun& run, const TaskSection& section) {
  PlainJson others = PlainJson::array();
  for (std::size_t i = section.begin; i < section.end; ++i) {
    const Task& task = run.tasks[i];
    if (task.state == TaskState::kDone || task.run.empty()) {
      continue;
    }
    PlainJson entry = {i, task.run.value, task.failures};
    if (HoldsCapacity(task.state)) {
      entry.push_back(task.worker.value);
      entry.push_back(task.incarnation.value);
    } else {
      entry.push_back("");
      entry.push_back(0);
    }
    const bool run_counted_as_failed =
        HoldsCapacity(task.state) && task.failed_run == task.run;
    if (!task.checkpoint.empty() || run_counted_as_failed) {
      entry.push_back(task.checkpoint);
    }
    if (run_counted_as_failed) {
      entry.push_back(true);
    }
    others.push_back(std::move(entry));
  }
  const bool has_bitmap = section.is_first && run.done > 0;
  return {run.occurrence.value, run.step.value, CountTasks(run),
          has_bitmap ? EncodeDoneBitmap(run.tasks) : std::string(),
          std::move(others)};
}

StepRun StepRunFromPlainJson(const PlainJson& json) {
  StepRun run = MakeStepRun(Occurrence(json.at(0).get<std::uint32_t>()),
                            StepIndex(json.at(1).get<std::uint32_t>()),
                            ReadTaskCount(json.at(2)));
  const std::uint32_t count = CountTasks(run);
  const auto done = json.at(3).get<std::string>();
  const auto in_bitmap =
      static_cast<std::uint32_t>(std::min<std::size_t>(count, 4 * done.size()));
  for (std::uint32_t i = 0; i < in_bitmap; ++i) {
    if (IsDoneInBitmap(done, i)) {
      AddTaskRow(run, TaskIndex(i)).state = TaskState::kDone;
      ++run.done;
    }
  }
  for (const PlainJson& entry : json.at(4)) {
    const auto index = entry.at(0).get<std::uint32_t>();
    if (index >= count) {
      throw std::runtime_error("no such task");
    }
    Task& task = AddTaskRow(run, TaskIndex(index));
    task.run = RunNumber(entry.at(1).get<std::uint32_t>());
    task.failures = entry.at(2).get<std::uint32_t>();
    task.worker = WorkerId(entry.at(3).get<std::string>());
    task.incarnation = WorkerIncarnation(entry.at(4).get<std::uint64_t>());
    if (!task.worker.empty()) {
      task.state = TaskState::kRunning;
    }
    if (entry.size() > 5) {
      task.checkpoint = entry.at(5).get<std::string>();
    }
    // The record tells whether the newest run is counted only while that is in
    // progress. Afterwards it is taken to be, so that no failure counts twice.
    const bool run_counted_as_failed =
        !HoldsCapacity(task.state) ||
        (entry.size() > 6 && entry.at(6).get<bool>());
    if (task.failures > 0) {
      task.failed_run =
          run_counted_as_failed ? task.run : RunNumber(task.run.value - 1);
    }
  }
  return run;
}

// Encodes the members that state records and progress records share.
template <typename Record>
PlainJson StateToPlainJson(const Record& record) {
  PlainJson json = {{"e", record.epoch.value},
                    {"s", std::string(EnumName(record.state))}};
  if (IsTerminal(record.state)) {
    json["o"] = record.ended_at.value;
  }
  return json;
}

template <typename Record>
Record StateFromPlainJson(const WorkflowId& id, const PlainJson& json) {
  Record record{.id = id};
  record.epoch = Epoch(json.at("e").get<std::uint64_t>());
  const auto name = json.at("s").get<std::string>();
  const auto state = EnumFromName<WorkflowState>(name);
  if (!state) {
    throw std::runtime_error("no such state: " + name);
  }
  record.state = *state;
  record.ended_at = UnixMillis(json.value("o", std::int64_t{0}));
  return record;
}

KeyedValue Encode(const StateRecord& record) {
  return KeyedValue{fmt::format("{}{}", kStatePrefix, record.id.value),
                    StateToPlainJson(record).dump()};
}

std::string ProgressKey(const WorkflowId& id, std::uint32_t part) {
  return part == 0 ? fmt::format("{}{}", kProgressPrefix, id.value)
                   : fmt::format("{}{}{}{}", kProgressPrefix, id.value,
                                 kPartSeparator, part);
}

// Encodes the progress in parts. Each part has the state of the workflow.
std::vector<KeyedValue> Encode(const ProgressRecord& record) {
  std::vector<PlainJson> parts(1, StateToPlainJson(record));
  if (!IsTerminal(record.state)) {
    parts.back()["t"] = PlainJson::array();
    std::size_t room = kRowsPerProgressPart;
    for (const StepRun& run : record.runs) {
      TaskSection section;
      do {
        if (room == 0) {
          parts.push_back(StateToPlainJson(record));
          parts.back()["t"] = PlainJson::array();
          room = kRowsPerProgressPart;
        }
        // The row of the run itself counts with its first section.
        const std::size_t own_row = section.is_first ? 1 : 0;
        section.end =
            std::min(run.tasks.size(), section.begin + room - own_row);
        parts.back()["t"].push_back(ToPlainJson(run, section));
        room -= own_row + (section.end - section.begin);
        section = TaskSection{.begin = section.end, .is_first = false};
      } while (section.begin < run.tasks.size());
    }
  }
  std::vector<KeyedValue> records;
  for (std::uint32_t part = 0; part < parts.size(); ++part) {
    records.push_back(
        KeyedValue{ProgressKey(record.id, part), parts[part].dump()});
  }
  return records;
}

// Decodes one part. `name` is the workflow's id, with the number of the part
// unless it is the first.
ProgressRecord DecodeProgress(std::string_view name, const PlainJson& json) {
  const std::size_t separator = name.find(kPartSeparator);
  auto record = StateFromPlainJson<ProgressRecord>(
      WorkflowId(std::string(name.substr(0, separator))), json);
  if (separator != std::string_view::npos) {
    const std::string_view digits = name.substr(separator + 1);
    const auto parsed = std::from_chars(
        digits.data(), digits.data() + digits.size(), record.part);
    if (parsed.ec != std::errc() ||
        parsed.ptr != digits.data() + digits.size() || record.part == 0) {
      throw std::runtime_error("no such part");
    }
  }
  if (const auto runs = json.find("t"); runs != json.end()) {
    for (const PlainJson& run : *runs) {
      record.runs.push_back(StepRunFromPlainJson(run));
    }
  }
  return record;
}

KeyedValue Encode(const HolderRecord& record) {
  PlainJson json = {{"e", record.epoch.value},
                    {"h", record.holder.value},
                    {"i", record.incarnation.value},
                    {"r", record.released},
                    {"a", record.address.value},
                    {"b", record.previous.id.value},
                    {"ba", record.previous.address.value}};
  if (record.earlier_orders) {
    json["o"] = record.earlier_orders->count();
  }
  return KeyedValue{std::string(kHolderKey), json.dump()};
}

HolderRecord DecodeHolder(const PlainJson& json) {
  HolderRecord record{
      .epoch = Epoch(json.at("e").get<std::uint64_t>()),
      .holder = EntryId(json.at("h").get<std::string>()),
      .incarnation = Incarnation(json.at("i").get<std::uint64_t>()),
      .released = json.at("r").get<bool>(),
      .address = Address(json.value("a", "")),
      .previous = {.id = EntryId(json.value("b", "")),
                   .address = Address(json.value("ba", ""))}};
  if (const auto earlier = json.find("o"); earlier != json.end()) {
    record.earlier_orders = Duration(earlier->get<std::int64_t>());
  }
  return record;
}

KeyedValue Encode(const OrdersEndedRecord& record) {
  return KeyedValue{
      fmt::format("{}{}", kOrdersEndedPrefix, record.entry.id.value),
      PlainJson({{"a", record.entry.address.value}, {"e", record.epoch.value}})
          .dump()};
}

KeyedValue Encode(const UnresponsiveWorkersRecord& record) {
  PlainJson workers = PlainJson::array();
  for (const auto& [id, leased] : record.workers) {
    workers.push_back({id.value, leased.count()});
  }
  const PlainJson json = {{"e", record.epoch.value}, {"w", std::move(workers)}};
  return KeyedValue{
      fmt::format("{}{}", kUnresponsivePrefix, record.epoch.value % 2),
      json.dump()};
}

UnresponsiveWorkersRecord DecodeUnresponsiveWorkers(const PlainJson& json) {
  UnresponsiveWorkersRecord record{
      .epoch = Epoch(json.at("e").get<std::uint64_t>())};
  for (const PlainJson& worker : json.at("w")) {
    record.workers.push_back(UnresponsiveWorker{
        .id = WorkerId(worker.at(0).get<std::string>()),
        .leased = Duration(worker.at(1).get<std::int64_t>())});
  }
  return record;
}

}  // namespace

std::vector<KeyedValue> EncodeJournalRecord(const JournalRecord& record) {
  if (const auto* accepted = std::get_if<AcceptedRecord>(&record)) {
    return {Encode(*accepted)};
  }
  if (const auto* state = std::get_if<StateRecord>(&record)) {
    return {Encode(*state)};
  }
  if (const auto* progress = std::get_if<ProgressRecord>(&record)) {
    return Encode(*progress);
  }
  if (const auto* dropped = std::get_if<ProgressRemovalRecord>(&record)) {
    return {KeyedValue{ProgressKey(dropped->id, dropped->part), std::nullopt}};
  }
  if (const auto* holder = std::get_if<HolderRecord>(&record)) {
    return {Encode(*holder)};
  }
  if (const auto* ended = std::get_if<OrdersEndedRecord>(&record)) {
    return {Encode(*ended)};
  }
  if (const auto* unresponsive =
          std::get_if<UnresponsiveWorkersRecord>(&record)) {
    return {Encode(*unresponsive)};
  }
  if (const auto* cancel = std::get_if<CancelRecord>(&record)) {
    return {KeyedValue{fmt::format("{}{}", kCancelPrefix, cancel->id.value),
                       PlainJson({{"w", cancel->workspace.value}}).dump()}};
  }
  if (const auto* removal = std::get_if<CancelRemovalRecord>(&record)) {
    return {KeyedValue{fmt::format("{}{}", kCancelPrefix, removal->id.value),
                       std::nullopt}};
  }
  const std::string& id = std::get<EvictionRecord>(record).id.value;
  // The acceptance is deleted last: the other records mean nothing without it.
  return {KeyedValue{fmt::format("{}{}", kCancelPrefix, id), std::nullopt},
          KeyedValue{fmt::format("{}{}", kStatePrefix, id), std::nullopt},
          KeyedValue{fmt::format("{}{}", kAcceptedPrefix, id), std::nullopt}};
}

Result<std::optional<JournalRecord>, DecodingError> DecodeJournalRecord(
    std::string_view key,
    const std::optional<std::string>& value) {
  if (!value) {
    if (key.starts_with(kAcceptedPrefix)) {
      return std::optional<JournalRecord>(EvictionRecord{
          .id = WorkflowId(std::string(key.substr(kAcceptedPrefix.size())))});
    }
    if (key.starts_with(kCancelPrefix)) {
      return std::optional<JournalRecord>(CancelRemovalRecord{
          .id = WorkflowId(std::string(key.substr(kCancelPrefix.size())))});
    }
    return std::optional<JournalRecord>();
  }
  try {
    const PlainJson json = PlainJson::parse(*value);
    if (key.starts_with(kCancelPrefix)) {
      // Earlier builds wrote a number.
      return std::optional<JournalRecord>(CancelRecord{
          .id = WorkflowId(std::string(key.substr(kCancelPrefix.size()))),
          .workspace = Workspace(json.is_object() ? json.value("w", "") : "")});
    }
    if (key == kHolderKey) {
      return std::optional<JournalRecord>(DecodeHolder(json));
    }
    if (key.starts_with(kOrdersEndedPrefix)) {
      return std::optional<JournalRecord>(OrdersEndedRecord{
          .entry = {.id = EntryId(
                        std::string(key.substr(kOrdersEndedPrefix.size()))),
                    .address = Address(json.at("a").get<std::string>())},
          .epoch = Epoch(json.at("e").get<std::uint64_t>())});
    }
    if (key.starts_with(kUnresponsivePrefix)) {
      return std::optional<JournalRecord>(DecodeUnresponsiveWorkers(json));
    }
    if (key.starts_with(kAcceptedPrefix)) {
      return std::optional<JournalRecord>(DecodeAccepted(
          WorkflowId(std::string(key.substr(kAcceptedPrefix.size()))), json));
    }
    if (key.starts_with(kStatePrefix)) {
      return std::optional<JournalRecord>(StateFromPlainJson<StateRecord>(
          WorkflowId(std::string(key.substr(kStatePrefix.size()))), json));
    }
    if (key.starts_with(kProgressPrefix)) {
      return std::optional<JournalRecord>(
          DecodeProgress(key.substr(kProgressPrefix.size()), json));
    }
  } catch (const std::exception& error) {
    return DecodingError{fmt::format("{}: {}", key, error.what())};
  }
  return DecodingError{fmt::format("{}: no such kind of record", key)};
}

}  // namespace chicorystep
