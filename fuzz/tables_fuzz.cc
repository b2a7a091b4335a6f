// Fuzzes the reading of the operators' table files: tables that were read and
// then formatted give equal rows when read back.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "chicorystep/settings/table_files.h"
#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto document = chicorystep::ParseIni(text, "fuzz");
  const auto tables =
      document ? chicorystep::ReadTables(document.value())
               : chicorystep::Result<chicorystep::Config,
                                     std::vector<chicorystep::SettingsFault>>(
                     chicorystep::failure(document.error()));
  if (!tables) {
    return 0;
  }
  const auto written =
      chicorystep::ParseIni(chicorystep::FormatTables(tables.value()), "again");
  chicorystep::fuzz::Require(written.has_value(),
                             "formatted tables parse as INI");
  const auto reread = chicorystep::ReadTables(written.value());
  chicorystep::fuzz::Require(reread.has_value(),
                             "formatted tables can be read");
  chicorystep::fuzz::Require(reread.value().routes == tables.value().routes &&
                                 reread.value().pools == tables.value().pools,
                             "formatted tables give equal rows");
  return 0;
}
