#ifndef CHICORYSTEP_SETTINGS_TABLE_FILES_H_
#define CHICORYSTEP_SETTINGS_TABLE_FILES_H_

#include <string>
#include <vector>

#include "chicorystep/core/result.h"
#include "chicorystep/settings/ini.h"
#include "chicorystep/tables/config.h"

namespace chicorystep {

// Reads the operators' two tables from one INI document with a section
// [route KIND] or [pool NAME WORKSPACE] for each row; revisions are left 0.
// Reports every fault.
[[nodiscard]] Result<Config, std::vector<SettingsFault>> ReadTables(
    const IniDocument& document);

// The tables as INI text that ReadTables reads back to equal rows.
[[nodiscard]] std::string WriteTables(const Config& config);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SETTINGS_TABLE_FILES_H_
