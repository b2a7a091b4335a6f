#include "chicorystep/settings/ini.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace chicorystep {
namespace impl {

// inih truncates lines, section names and key names that exceed its buffers, so
// longer ones are reported as faults.
inline constexpr std::size_t kMaxLine = INI_MAX_LINE - 3;
inline constexpr std::size_t kMaxName = 49;

// State shared by the inih callbacks. inih calls HandleEntry right after it has
// read the line of the entry, so `line` is the line number of that entry.
struct IniParse {
  std::string_view remaining;
  std::size_t line = 0;
  std::string_view line_text;
  bool has_section = false;
  IniDocument document;
  std::vector<SettingsFault> faults;
};

std::string_view TrimLeft(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  return first == std::string_view::npos ? std::string_view()
                                         : text.substr(first);
}

void AddFault(IniParse& parse, std::string expected, std::size_t column = 1) {
  parse.faults.push_back(SettingsFault{
      {parse.document.file, parse.line, column}, "", std::move(expected)});
}

// Rejects malformed lines that inih would accept without an error.
void CheckLine(IniParse& parse) {
  if (parse.line_text.size() > kMaxLine) {
    AddFault(parse, fmt::format("a line of at most {} characters", kMaxLine));
    return;
  }
  const std::string_view text = TrimLeft(parse.line_text);
  if (text.empty() || text.front() == '#' || text.front() == ';') {
    return;
  }
  if (text.size() != parse.line_text.size()) {
    AddFault(parse, "a line without leading space");
    return;
  }
  if (text.front() != '[') {
    if (const std::size_t equals = text.find('='); equals > kMaxName) {
      AddFault(parse, "key = value");
    }
    return;
  }
  const std::size_t close = text.find(']');
  if (close == std::string_view::npos || close - 1 > kMaxName || close == 1) {
    AddFault(parse, fmt::format("a [section] of 1 to {} characters", kMaxName));
    return;
  }
  parse.has_section = true;
  parse.document.sections.push_back(
      IniSection{std::string(text.substr(1, close - 1)),
                 {parse.document.file, parse.line, 1},
                 {}});
}

char* ReadLine(char* buffer, int capacity, void* stream) {
  auto& parse = *static_cast<IniParse*>(stream);
  if (parse.remaining.empty()) {
    return nullptr;
  }
  const std::size_t end = parse.remaining.find('\n');
  parse.line_text = parse.remaining.substr(0, end);
  parse.remaining = end == std::string_view::npos
                        ? std::string_view()
                        : parse.remaining.substr(end + 1);
  if (!parse.line_text.empty() && parse.line_text.back() == '\r') {
    parse.line_text.remove_suffix(1);
  }
  ++parse.line;
  const std::size_t faults = parse.faults.size();
  CheckLine(parse);
  const bool is_valid = parse.faults.size() == faults &&
                        parse.line_text.find('\0') == std::string_view::npos;
  const std::string_view text = is_valid ? parse.line_text : std::string_view();
  const std::size_t length =
      std::min(text.size(), static_cast<std::size_t>(capacity) - 2);
  std::copy_n(text.begin(), length, buffer);
  buffer[length] = '\n';
  buffer[length + 1] = '\0';
  return buffer;
}

int HandleEntry(void* user,
                const char* /*section*/,
                const char* name,
                const char* value) {
  auto& parse = *static_cast<IniParse*>(user);
  if (!parse.has_section) {
    AddFault(parse, "a [section] before the first key");
    return 1;
  }
  const std::string_view value_text(value);
  const std::size_t equals = parse.line_text.find('=');
  const std::size_t found = value_text.empty() || equals == std::string::npos
                                ? std::string_view::npos
                                : parse.line_text.find(value_text, equals);
  parse.document.sections.back().entries.push_back(
      IniEntry{name,
               std::string(value_text),
               {parse.document.file, parse.line,
                found == std::string_view::npos ? 1 : found + 1}});
  return 1;
}

}  // namespace impl

std::string ToString(const SettingsFault& fault) {
  const SourcePosition& at = fault.position;
  const std::string location =
      at.line == 0 ? at.file
                   : fmt::format("{}:{}:{}", at.file, at.line, at.column);
  return fault.key.empty()
             ? fmt::format("{}: expected {}", location, fault.expected)
             : fmt::format("{}: {}: expected {}", location, fault.key,
                           fault.expected);
}

Result<IniDocument, std::vector<SettingsFault>> ParseIni(
    std::string_view text,
    const std::string& file) {
  impl::IniParse parse{.remaining = text};
  parse.document.file = file;
  const int first_bad_line =
      ini_parse_stream(impl::ReadLine, &parse, impl::HandleEntry, &parse);
  if (first_bad_line > 0) {
    parse.faults.push_back(
        SettingsFault{{file, static_cast<std::size_t>(first_bad_line), 1},
                      "",
                      "key = value"});
  }
  if (!parse.faults.empty()) {
    return failure(std::move(parse.faults));
  }
  return std::move(parse.document);
}

Result<IniDocument, std::vector<SettingsFault>> LoadIni(
    const std::string& file) {
  const std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    return failure(std::vector{
        SettingsFault{{file, 0, 0}, "", "a file that can be read"}});
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseIni(text.str(), file);
}

}  // namespace chicorystep
