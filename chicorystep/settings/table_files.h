#ifndef CHICORYSTEP_SETTINGS_TABLE_FILES_H_
#define CHICORYSTEP_SETTINGS_TABLE_FILES_H_

#include <string>
#include <vector>

#include "chicorystep/core/result.h"
#include "chicorystep/settings/ini.h"
#include "chicorystep/tables/config.h"

namespace chicorystep {

// Reads the operators' route and pool tables from an INI document that has a
// section [route KIND] or [pool NAME WORKSPACE] for each row. Revisions are
// left at 0. On failure reports every fault.
[[nodiscard]] Result<Config, std::vector<SettingsFault>> ReadTables(
    const IniDocument& document);

// Formats the tables as INI text from which ReadTables reads equal rows.
[[nodiscard]] std::string FormatTables(const Config& config);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SETTINGS_TABLE_FILES_H_
