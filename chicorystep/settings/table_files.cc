#include "chicorystep/settings/table_files.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

#include "chicorystep/settings/values.h"

namespace chicorystep {
namespace impl {

// One key of a row. `read` parses the text into the row and returns false if
// the text is not as `expected` describes.
template <typename Row>
struct Column {
  std::string_view key;
  bool required;
  std::string expected;
  std::function<bool(Row&, std::string_view)> read;
};

template <typename Row, typename Value>
Column<Row> ParsedColumn(std::string_view key,
                         bool required,
                         std::string_view expected,
                         Value Row::*member,
                         auto parse) {
  return {key, required, std::string(expected),
          [=](Row& row, std::string_view text) {
            const auto value = parse(text);
            if (value) {
              row.*member = Value(*value);
            }
            return value.has_value();
          }};
}

template <typename Row, typename Name>
Column<Row> NameColumn(std::string_view key, Name Row::*member) {
  return {key, true, std::string(kNameFormat),
          [=](Row& row, std::string_view text) {
            row.*member = Name(std::string(text));
            return IsName(text);
          }};
}

std::optional<std::int64_t> ParsePositive(std::string_view text) {
  const auto count = ParseCount(text);
  return count && *count > 0 ? count : std::nullopt;
}

std::optional<Duration> ParsePositiveDuration(std::string_view text) {
  const auto duration = ParseDuration(text);
  return duration && *duration > Duration::zero() ? duration : std::nullopt;
}

std::optional<Mebibytes> ParseMebibytes(std::string_view text) {
  constexpr std::int64_t kBytesInMebibyte = 1 << 20;
  const auto bytes = ParseBytes(text);
  if (!bytes || bytes->value % kBytesInMebibyte != 0) {
    return std::nullopt;
  }
  return Mebibytes(bytes->value / kBytesInMebibyte);
}

std::optional<Millicores> ParseMillicores(std::string_view text) {
  constexpr std::int64_t kMillicoresInCore = 1000;
  constexpr std::int64_t kMaxCores = 1'000'000;
  if (text.ends_with('m')) {
    const auto count = ParseCount(text.substr(0, text.size() - 1));
    return count ? std::optional(Millicores(*count)) : std::nullopt;
  }
  const auto cores = ParseCount(text);
  return cores && *cores <= kMaxCores
             ? std::optional(Millicores(*cores * kMillicoresInCore))
             : std::nullopt;
}

inline constexpr std::string_view kGuaranteeFormat =
    "words such as: zone=Fes count=2 pieces=4 accelerators=8 cores=32 "
    "memory=64GiB adjacent=rack";

// Sets the member of a guarantee that `key` names. Returns false if the key is
// unknown or the value is malformed.
bool ReadGuaranteeField(Guarantee& guarantee,
                        std::string_view key,
                        std::string_view value) {
  const auto assign = [](auto& member, const auto& parsed) {
    if (parsed) {
      member = std::remove_reference_t<decltype(member)>(*parsed);
    }
    return parsed.has_value();
  };
  if (key == "zone") {
    guarantee.zone = Zone(std::string(value));
    return IsName(value);
  }
  if (key == "count") {
    return assign(guarantee.count, ParsePositive(value));
  }
  if (key == "pieces") {
    return assign(guarantee.shape.pieces, ParsePositive(value));
  }
  if (key == "accelerators") {
    return assign(guarantee.shape.accelerators, ParseCount(value));
  }
  if (key == "cores") {
    return assign(guarantee.shape.processors, ParseMillicores(value));
  }
  if (key == "memory") {
    return assign(guarantee.shape.memory, ParseMebibytes(value));
  }
  if (key == "adjacent") {
    return assign(guarantee.shape.adjacency, EnumFromName<Adjacency>(value));
  }
  return false;
}

std::optional<Guarantee> ParseGuarantee(std::string_view text) {
  Guarantee guarantee;
  std::istringstream words{std::string(text)};
  std::set<std::string> seen;
  for (std::string word; words >> word;) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
      return std::nullopt;
    }
    const std::string key = word.substr(0, equals);
    if (!seen.insert(key).second ||
        !ReadGuaranteeField(guarantee, key,
                            std::string_view(word).substr(equals + 1))) {
      return std::nullopt;
    }
  }
  if (guarantee.zone.empty() || guarantee.count == 0) {
    return std::nullopt;
  }
  return guarantee;
}

const std::vector<Column<Route>>& RouteColumns() {
  static const std::vector<Column<Route>> columns = {
      NameColumn("service", &Route::service),
      NameColumn("pool", &Route::pool),
      ParsedColumn("priority", false, "urgent, normal or bulk",
                   &Route::priority, EnumFromName<Priority>),
      ParsedColumn("deadline", true, kDurationFormat, &Route::deadline,
                   ParsePositiveDuration),
      ParsedColumn("idempotent", true, kFlagFormat, &Route::idempotent,
                   ParseFlag),
      ParsedColumn("max_request", true, kBytesFormat, &Route::max_request,
                   ParseBytes),
      ParsedColumn("max_answer", true, kBytesFormat, &Route::max_answer,
                   ParseBytes),
      ParsedColumn("max_attempts", false, "a whole number, 1 or more",
                   &Route::max_attempts, ParsePositive),
      ParsedColumn("hedge_after", false, kDurationFormat, &Route::hedge_after,
                   ParseDuration),
  };
  return columns;
}

const std::vector<Column<Pool>>& PoolColumns() {
  static const std::vector<Column<Pool>> columns = {
      ParsedColumn("weight", true, kCountFormat, &Pool::weight, ParseCount),
      ParsedColumn("borrows", false, kFlagFormat, &Pool::borrows, ParseFlag),
      {"guarantee", false, std::string(kGuaranteeFormat),
       [](Pool& row, std::string_view text) {
         auto guarantee = ParseGuarantee(text);
         if (guarantee) {
           row.guarantees.push_back(*guarantee);
         }
         return guarantee.has_value();
       }},
  };
  return columns;
}

// The only key that a row may contain more than once.
inline constexpr std::string_view kRepeatedKey = "guarantee";

template <typename Row>
void ReadRow(const IniSection& section,
             const std::vector<Column<Row>>& columns,
             Row& row,
             std::vector<SettingsFault>& faults) {
  std::set<std::string> seen;
  for (const IniEntry& entry : section.entries) {
    const std::string name = section.name + "." + entry.key;
    const auto column = std::find_if(columns.begin(), columns.end(),
                                     [&](const Column<Row>& candidate) {
                                       return candidate.key == entry.key;
                                     });
    if (column == columns.end()) {
      faults.push_back({entry.position, name, "a known key"});
    } else if (!seen.insert(entry.key).second && entry.key != kRepeatedKey) {
      faults.push_back({entry.position, name, "each key once"});
    } else if (!column->read(row, entry.value)) {
      faults.push_back({entry.position, name, column->expected});
    }
  }
  for (const Column<Row>& column : columns) {
    if (column.required && !seen.contains(std::string(column.key))) {
      faults.push_back({section.position,
                        fmt::format("{}.{}", section.name, column.key),
                        column.expected + "; it is missing"});
    }
  }
}

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream stream(text);
  return {std::istream_iterator<std::string>(stream), {}};
}

void ReadSection(Config& config,
                 const IniSection& section,
                 std::vector<SettingsFault>& faults) {
  const std::vector<std::string> words = SplitWords(section.name);
  const bool names_valid =
      std::all_of(words.begin(), words.end(),
                  [](const std::string& word) { return IsName(word); });
  bool is_new = true;
  if (names_valid && words.size() == 2 && words[0] == "route") {
    Route row{.kind = Kind(words[1])};
    ReadRow(section, RouteColumns(), row, faults);
    is_new = config.routes.emplace(row.kind, row).second;
  } else if (names_valid && words.size() == 3 && words[0] == "pool") {
    Pool row{.key = {PoolName(words[1]), Workspace(words[2])}};
    ReadRow(section, PoolColumns(), row, faults);
    is_new = config.pools.emplace(row.key, row).second;
  } else {
    faults.push_back({section.position, section.name,
                      "[route KIND] or [pool NAME WORKSPACE]"});
  }
  if (!is_new) {
    faults.push_back({section.position, section.name, "each row once"});
  }
}

// Formats an amount in the largest unit that divides it.
std::string FormatBytes(Bytes bytes) {
  for (const auto& [unit, factor] :
       {std::pair("GiB", std::int64_t{1} << 30), std::pair("MiB", 1L << 20),
        std::pair("KiB", 1L << 10)}) {
    if (bytes.value != 0 && bytes.value % factor == 0) {
      return fmt::format("{}{}", bytes.value / factor, unit);
    }
  }
  return fmt::format("{}B", bytes.value);
}

std::string FormatDuration(Duration duration) {
  for (const auto& [unit, factor] :
       {std::pair("h", 3'600'000'000L), std::pair("min", 60'000'000L),
        std::pair("s", 1'000'000L), std::pair("ms", 1'000L)}) {
    if (duration.count() != 0 && duration.count() % factor == 0) {
      return fmt::format("{}{}", duration.count() / factor, unit);
    }
  }
  return fmt::format("{}us", duration.count());
}

std::string FormatGuarantee(const Guarantee& guarantee) {
  const Shape& shape = guarantee.shape;
  return fmt::format(
      "zone={} count={} pieces={} accelerators={} cores={}m memory={}MiB "
      "adjacent={}",
      guarantee.zone.value, guarantee.count, shape.pieces,
      shape.accelerators.value, shape.processors.value, shape.memory.value,
      EnumName(shape.adjacency));
}

}  // namespace impl

Result<Config, std::vector<SettingsFault>> ReadTables(
    const IniDocument& document) {
  Config config;
  std::vector<SettingsFault> faults;
  for (const IniSection& section : document.sections) {
    impl::ReadSection(config, section, faults);
  }
  if (!faults.empty()) {
    return failure(std::move(faults));
  }
  return config;
}

std::string FormatTables(const Config& config) {
  std::string text;
  for (const auto& [kind, route] : config.routes) {
    text += fmt::format(
        "[route {}]\nservice = {}\npool = {}\npriority = {}\ndeadline = {}\n"
        "idempotent = {}\nmax_request = {}\nmax_answer = {}\n"
        "max_attempts = {}\nhedge_after = {}\n\n",
        kind.value, route.service.value, route.pool.value,
        EnumName(route.priority), impl::FormatDuration(route.deadline),
        route.idempotent ? "yes" : "no", impl::FormatBytes(route.max_request),
        impl::FormatBytes(route.max_answer), route.max_attempts,
        impl::FormatDuration(route.hedge_after));
  }
  for (const auto& [key, pool] : config.pools) {
    text += fmt::format("[pool {} {}]\nweight = {}\nborrows = {}\n",
                        key.name.value, key.workspace.value, pool.weight.value,
                        pool.borrows ? "yes" : "no");
    for (const Guarantee& guarantee : pool.guarantees) {
      text += fmt::format("guarantee = {}\n", impl::FormatGuarantee(guarantee));
    }
    text += '\n';
  }
  return text;
}

}  // namespace chicorystep
