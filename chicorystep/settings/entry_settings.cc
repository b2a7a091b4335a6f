#include "chicorystep/settings/entry_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <type_traits>
#include <utility>

#include "chicorystep/settings/values.h"

namespace chicorystep {
namespace impl {

// One key of the settings file. `read` parses the text into the settings and
// returns false if the text is not as `expected` describes.
struct Field {
  std::string_view section;
  std::string_view key;
  bool required;
  std::string expected;
  std::function<bool(EntrySettings&, std::string_view)> read;
  // The default in the syntax of the settings file; empty if there is none.
  std::string default_value;
};

// Formats the default of a member that has a unit.
template <typename Value>
std::string FormatDefault(Value EntrySettings::*member) {
  return FormatValue(EntrySettings{}.*member);
}

template <typename Value>
auto ParseInto(Value EntrySettings::*member, auto parse, auto is_valid) {
  return [=](EntrySettings& settings, std::string_view text) {
    const auto value = parse(text);
    if (!value || !is_valid(*value)) {
      return false;
    }
    settings.*member = *value;
    return true;
  };
}

template <typename Name>
Field NameField(std::string_view section,
                std::string_view key,
                Name EntrySettings::*member) {
  return {section, key, true, std::string(kNameFormat),
          [=](EntrySettings& settings, std::string_view text) {
            settings.*member = Name(std::string(text));
            return IsName(text);
          }};
}

Field AddressField(std::string_view section,
                   std::string_view key,
                   Address EntrySettings::*member) {
  return {section, key, true, std::string(kAddressFormat),
          ParseInto(member, ParseAddress, [](const Address&) { return true; })};
}

Field DurationField(std::string_view section,
                    std::string_view key,
                    Duration EntrySettings::*member,
                    Duration minimum) {
  return {section,
          key,
          false,
          fmt::format("{}, at least {}us", kDurationFormat, minimum.count()),
          ParseInto(member, ParseDuration,
                    [=](Duration value) { return value >= minimum; }),
          FormatDefault(member)};
}

Field CountField(std::string_view section,
                 std::string_view key,
                 std::int64_t EntrySettings::*member,
                 std::int64_t minimum,
                 std::int64_t maximum) {
  return {section,
          key,
          false,
          fmt::format("a whole number from {} to {}", minimum, maximum),
          ParseInto(member, ParseCount,
                    [=](std::int64_t value) {
                      return value >= minimum && value <= maximum;
                    }),
          std::to_string(EntrySettings{}.*member)};
}

Field BytesField(std::string_view section,
                 std::string_view key,
                 Bytes EntrySettings::*member) {
  return {section,
          key,
          false,
          std::string(kBytesFormat),
          ParseInto(member, ParseBytes,
                    [](Bytes value) { return value > Bytes{0}; }),
          FormatDefault(member)};
}

Field LogLevelField() {
  static constexpr std::array kNames = {"debug", "info", "warn", "error"};
  return {"instance",
          "log_level",
          false,
          "debug, info, warn or error",
          [](EntrySettings& settings, std::string_view text) {
            const auto found = std::find(kNames.begin(), kNames.end(), text);
            if (found == kNames.end()) {
              return false;
            }
            settings.log_level =
                static_cast<LogLevel>(std::distance(kNames.begin(), found));
            return true;
          },
          kNames.at(static_cast<std::size_t>(EntrySettings{}.log_level))};
}

// Returns the parts between separators, including empty ones.
std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t length = text.find(separator);
    parts.push_back(text.substr(0, length));
    if (length == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(length + 1);
  }
}

// Parses a list such as "west=z1,z2 east=z3". Returns nullopt if a name is
// malformed or a zone is listed twice.
std::optional<CellMap> ParseCells(std::string_view text) {
  CellMap map;
  if (text == kDefaultCell.value) {
    return map;
  }
  for (const std::string_view cell : Split(text, ' ')) {
    const std::size_t equals = cell.find('=');
    if (equals == std::string_view::npos || !IsName(cell.substr(0, equals))) {
      return std::nullopt;
    }
    const CellName name(std::string(cell.substr(0, equals)));
    for (const std::string_view zone : Split(cell.substr(equals + 1), ',')) {
      if (!IsName(zone) ||
          !map.cell_of_zone.emplace(Zone(std::string(zone)), name).second) {
        return std::nullopt;
      }
    }
  }
  return map;
}

Field CellsField() {
  return {"jobs",
          "cells",
          false,
          "all, or cells and their zones such as west=z1,z2 east=z3",
          ParseInto(&EntrySettings::cells, ParseCells,
                    [](const CellMap&) { return true; }),
          kDefaultCell.value};
}

const std::vector<Field>& Fields() {
  using S = EntrySettings;
  using std::chrono::milliseconds;
  static const std::vector<Field> fields = {
      NameField("instance", "id", &S::id),
      NameField("instance", "zone", &S::zone),
      NameField("instance", "region", &S::region),
      LogLevelField(),
      AddressField("listen", "callers", &S::callers_address),
      AddressField("listen", "peers", &S::peers_address),
      AddressField("listen", "admin", &S::admin_address),
      AddressField("platform", "log", &S::log_address),
      AddressField("platform", "instances", &S::instances_address),
      DurationField("platform", "instances_interval", &S::instances_interval,
                    milliseconds(10)),
      DurationField("platform", "timeout", &S::platform_timeout,
                    milliseconds(10)),
      CountField("platform", "append_attempts", &S::append_attempts, 1, 1000),
      BytesField("platform", "log_read_rate", &S::log_read_rate),
      DurationField("platform", "log_retention", &S::log_retention,
                    std::chrono::seconds(1)),
      CountField("callers", "threads", &S::caller_threads, 1, 20'000),
      CountField("callers", "keep_alive_requests", &S::keep_alive_requests, 1,
                 1'000'000'000),
      DurationField("callers", "keep_alive_time", &S::keep_alive_time,
                    milliseconds(1)),
      DurationField("callers", "read_timeout", &S::read_timeout,
                    milliseconds(1)),
      DurationField("callers", "receive_timeout", &S::receive_timeout,
                    milliseconds(1)),
      BytesField("callers", "max_head", &S::max_head),
      BytesField("callers", "max_body", &S::max_body),
      BytesField("callers", "max_received", &S::max_received),
      CountField("callers", "max_waiting", &S::max_waiting_requests, 1,
                 10'000'000),
      DurationField("callers", "max_deadline", &S::max_deadline,
                    milliseconds(1)),
      BytesField("callers", "link_bytes_per_second", &S::link_bytes_per_second),
      CountField("claims", "max", &S::max_claims, 1, 10'000'000),
      DurationField("claims", "window", &S::claim_window, milliseconds(100)),
      DurationField("claims", "timeout", &S::claim_timeout, milliseconds(10)),
      CellsField(),
      CountField("jobs", "max_waiting", &S::max_waiting_jobs, 1, 10'000'000),
      CountField("jobs", "max_pieces", &S::max_pieces, 1, 100'000),
      BytesField("jobs", "max_command", &S::max_command),
      DurationField("jobs", "lease_time", &S::lease_time, milliseconds(100)),
      DurationField("jobs", "worker_poll_interval", &S::worker_poll_interval,
                    milliseconds(10)),
      CountField("jobs", "worker_threads", &S::worker_threads, 1, 1000),
      DurationField("jobs", "reclaim_grace", &S::reclaim_grace,
                    milliseconds(0)),
      DurationField("peers", "heartbeat_interval", &S::heartbeat_interval,
                    milliseconds(10)),
      DurationField("peers", "member_timeout", &S::member_timeout,
                    milliseconds(20)),
      DurationField("stop", "announce_time", &S::announce_time,
                    milliseconds(0)),
      DurationField("stop", "drain_time", &S::drain_time, milliseconds(0)),
  };
  return fields;
}

const Field* FindField(std::string_view section, std::string_view key) {
  const auto found =
      std::find_if(Fields().begin(), Fields().end(), [&](const Field& field) {
        return field.section == section && field.key == key;
      });
  return found == Fields().end() ? nullptr : &*found;
}

bool IsKnownSection(std::string_view section) {
  return std::any_of(Fields().begin(), Fields().end(), [&](const Field& field) {
    return field.section == section;
  });
}

// The position in the file of each key that has been read.
using KeyPositions = std::map<std::string, SourcePosition>;

void ReadEntry(EntrySettings& settings,
               const IniSection& section,
               const IniEntry& entry,
               KeyPositions& seen,
               std::vector<SettingsFault>& faults) {
  const std::string name = section.name + "." + entry.key;
  const Field* field = FindField(section.name, entry.key);
  if (field == nullptr) {
    faults.push_back({entry.position, name, "a known key"});
    return;
  }
  if (!seen.emplace(name, entry.position).second) {
    faults.push_back({entry.position, name, "each key once"});
    return;
  }
  if (!field->read(settings, entry.value)) {
    faults.push_back({entry.position, name, field->expected});
  }
}

void CheckRequired(const IniDocument& document,
                   const KeyPositions& seen,
                   std::vector<SettingsFault>& faults) {
  for (const Field& field : Fields()) {
    std::string name = fmt::format("{}.{}", field.section, field.key);
    if (field.required && !seen.contains(name)) {
      faults.push_back({{document.file, 0, 0},
                        std::move(name),
                        field.expected + "; it is missing"});
    }
  }
}

// Checks constraints between keys.
void CheckAcrossKeys(const EntrySettings& settings,
                     const KeyPositions& seen,
                     std::vector<SettingsFault>& faults) {
  const std::array endpoints = {
      std::pair("listen.callers", &settings.callers_address),
      std::pair("listen.peers", &settings.peers_address),
      std::pair("listen.admin", &settings.admin_address),
      std::pair("platform.log", &settings.log_address),
      std::pair("platform.instances", &settings.instances_address)};
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const auto& [key, address] = endpoints[i];
    for (std::size_t j = 0; j < std::min<std::size_t>(i, 3); ++j) {
      const auto& [other_key, other] = endpoints[j];
      if (!address->empty() && *address == *other) {
        faults.push_back(
            {seen.at(key), key,
             fmt::format("an address other than that of {}", other_key)});
      }
    }
  }
  if (settings.member_timeout < 2 * settings.heartbeat_interval) {
    const auto at = seen.find("peers.member_timeout");
    faults.push_back({at == seen.end() ? SourcePosition{} : at->second,
                      "peers.member_timeout",
                      "at least twice peers.heartbeat_interval"});
  }
  if (settings.lease_time < 2 * settings.worker_poll_interval) {
    const auto at = seen.find("jobs.lease_time");
    faults.push_back({at == seen.end() ? SourcePosition{} : at->second,
                      "jobs.lease_time",
                      "at least twice jobs.worker_poll_interval"});
  }
}

}  // namespace impl

std::vector<SettingDescription> DescribeEntrySettings() {
  std::vector<SettingDescription> descriptions;
  for (const impl::Field& field : impl::Fields()) {
    descriptions.push_back(
        SettingDescription{fmt::format("{}.{}", field.section, field.key),
                           field.default_value, field.expected});
  }
  return descriptions;
}

Result<EntrySettings, std::vector<SettingsFault>> ReadEntrySettings(
    const IniDocument& document) {
  EntrySettings settings;
  std::vector<SettingsFault> faults;
  impl::KeyPositions seen;
  for (const IniSection& section : document.sections) {
    if (!impl::IsKnownSection(section.name)) {
      faults.push_back({section.position, section.name, "a known section"});
      continue;
    }
    for (const IniEntry& entry : section.entries) {
      impl::ReadEntry(settings, section, entry, seen, faults);
    }
  }
  impl::CheckRequired(document, seen, faults);
  impl::CheckAcrossKeys(settings, seen, faults);
  if (!faults.empty()) {
    std::sort(faults.begin(), faults.end(),
              [](const SettingsFault& a, const SettingsFault& b) {
                return a.position < b.position;
              });
    return failure(std::move(faults));
  }
  return settings;
}

}  // namespace chicorystep
