// Fuzzes the reading of an entry process's settings: any input gives either
// settings or at least one fault.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "chicorystep/settings/entry_settings.h"
#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto document = chicorystep::ParseIni(text, "fuzz");
  if (!document) {
    chicorystep::fuzz::Require(!document.error().empty(),
                               "rejected settings come with a fault");
    return 0;
  }
  const auto settings = chicorystep::ReadEntrySettings(document.value());
  chicorystep::fuzz::Require(settings || !settings.error().empty(),
                             "rejected settings come with a fault");
  return 0;
}
