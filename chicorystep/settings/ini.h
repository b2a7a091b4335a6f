#ifndef CHICORYSTEP_SETTINGS_INI_H_
#define CHICORYSTEP_SETTINGS_INI_H_

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/result.h"

namespace chicorystep {

// A position in a text file. Lines and columns are numbered from 1; line 0
// means the file as a whole.
struct SourcePosition {
  std::string file;
  std::size_t line = 0;
  std::size_t column = 0;

  friend auto operator<=>(const SourcePosition&,
                          const SourcePosition&) = default;
};

// An error in a settings or table file.
struct SettingsFault {
  SourcePosition position;
  // "section.key", or empty if the fault concerns the whole line.
  std::string key;
  std::string expected;
};

// Formats a fault like a compiler message: "file:line:column: key: expected
// ...".
[[nodiscard]] std::string ToString(const SettingsFault& fault);

struct IniEntry {
  std::string key;
  std::string value;
  SourcePosition position;
};

struct IniSection {
  std::string name;
  SourcePosition position;
  std::vector<IniEntry> entries;
};

struct IniDocument {
  std::string file;
  std::vector<IniSection> sections;
};

// Parses INI text. On failure reports every malformed line, not only the first.
[[nodiscard]] Result<IniDocument, std::vector<SettingsFault>> ParseIni(
    std::string_view text,
    const std::string& file);

// Reads and parses a file. An unreadable file is reported as a single fault.
[[nodiscard]] Result<IniDocument, std::vector<SettingsFault>> LoadIni(
    const std::string& file);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SETTINGS_INI_H_
