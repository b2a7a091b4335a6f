#define BOOST_TEST_MODULE core
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

#include "chicorystep/core/logging.h"
#include "chicorystep/core/table.h"
#include "chicorystep/settings/entry_settings.h"
#include "chicorystep/settings/table_files.h"
#include "chicorystep/settings/values.h"

namespace chicorystep {
namespace {

struct DurationCase {
  std::string text;
  std::optional<std::int64_t> microseconds;
};

const std::vector<DurationCase> kDurationCases = {
    {"250ms", 250'000},
    {"0us", 0},
    {"2h", 7'200'000'000},
    {"250", std::nullopt},
    {"-1s", std::nullopt},
    {"1 s", std::nullopt},
    {"1S", std::nullopt},
    {"", std::nullopt},
    {"9223372036854775807h", std::nullopt},
};

BOOST_AUTO_TEST_CASE(durations_need_their_unit) {
  for (const DurationCase& sample : kDurationCases) {
    BOOST_TEST_CONTEXT(sample.text) {
      const auto parsed = ParseDuration(sample.text);
      BOOST_TEST(parsed.has_value() == sample.microseconds.has_value());
      BOOST_TEST((parsed ? parsed->count() : 0) ==
                 sample.microseconds.value_or(0));
    }
  }
}

struct QuoteCase {
  std::string value;
  std::string quoted;
};

const std::vector<QuoteCase> kQuoteCases = {
    {"plain-1.2:3", "plain-1.2:3"},
    {"", "\"\""},
    {"two words", "\"two words\""},
    {"a=b", "\"a=b\""},
    {"say \"hi\"", "\"say \\\"hi\\\"\""},
    {"line\nlevel=error", "\"line\\x0alevel=error\""},
};

BOOST_AUTO_TEST_CASE(log_values_cannot_forge_fields) {
  for (const QuoteCase& sample : kQuoteCases) {
    BOOST_TEST(QuoteLogValue(sample.value) == sample.quoted);
  }
}

BOOST_AUTO_TEST_CASE(table_index_stays_valid_after_erasures) {
  Table<WorkerId, int> table;
  for (int i = 0; i < 10; ++i) {
    table.insert(WorkerId(std::to_string(i)), i);
  }
  table.EraseIf([](const WorkerId&, int row) { return row % 3 == 0; });
  BOOST_TEST(table.size() == 6U);
  for (int i = 0; i < 10; ++i) {
    const int* row = table.find(WorkerId(std::to_string(i)));
    BOOST_TEST((row != nullptr) == (i % 3 != 0));
    BOOST_TEST((row == nullptr || *row == i));
  }
}

const std::string kValidSettings =
    "[instance]\nid = e1\nzone = z1\nregion = r1\n"
    "[listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
    "admin = 127.0.0.1:3\n"
    "[platform]\nlog = 127.0.0.1:4\ninstances = 127.0.0.1:5\n";

// Text appended to valid settings and the faults that it must cause, as
// file:line:column and key.
struct SettingsCase {
  std::string name;
  std::string appended;
  std::vector<std::string> faults;
};

const std::vector<SettingsCase> kSettingsCases = {
    {"good", "", {}},
    {"unknown key", "[jobs]\nspeed = 3\n", {"f:13:9: jobs.speed"}},
    {"unknown section", "[job]\n", {"f:12:1: job"}},
    {"missing unit", "[jobs]\nlease_time = 10\n", {"f:13:14: jobs.lease_time"}},
    {"duplicate address",
     "[listen]\nadmin = 127.0.0.1:1\n",
     {"f:13:9: listen.admin"}},
    {"all faults at once",
     "[jobs]\nlease_time = x\nspeed = 3\n[stop]\ndrain_time = 1\n",
     {"f:13:14: jobs.lease_time", "f:14:9: jobs.speed",
      "f:16:14: stop.drain_time"}},
    {"empty lines", "\n\n\r\n[jobs]\n\n", {}},
    {"NUL in a line", std::string("[jobs]\n\0\n", 9), {"f:13:1: expected"}},
    {"no equals sign", "[jobs]\nlease_time\n", {"f:13:1: expected"}},
    {"line too long",
     "[jobs]\nlease_time = " + std::string(300, '1') + "\n",
     {"f:13:1: expected"}},
};

std::vector<std::string> ReadFaults(const std::string& text) {
  std::vector<std::string> texts;
  const auto document = ParseIni(text, "f");
  const auto settings = document ? ReadEntrySettings(document.value())
                                 : failure(document.error());
  if (!settings) {
    for (const SettingsFault& fault : settings.error()) {
      texts.push_back(ToString(fault));
    }
  }
  return texts;
}

BOOST_AUTO_TEST_CASE(settings_report_every_fault_with_its_position) {
  for (const SettingsCase& sample : kSettingsCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto faults = ReadFaults(kValidSettings + sample.appended);
      BOOST_REQUIRE_EQUAL(faults.size(), sample.faults.size());
      for (std::size_t i = 0; i < faults.size(); ++i) {
        BOOST_TEST(faults[i].starts_with(sample.faults[i]), faults[i]);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(example_tables_round_trip) {
  for (const std::string name : {"atlas", "bay-state"}) {
    const auto document = LoadIni(std::string(CHICORYSTEP_SOURCE_DIR) +
                                  "/examples/" + name + "/tables.ini");
    BOOST_REQUIRE(document);
    const auto tables = ReadTables(document.value());
    BOOST_REQUIRE(tables);
    const auto reread =
        ReadTables(ParseIni(FormatTables(tables.value()), "written").value());
    BOOST_REQUIRE(reread);
    BOOST_TEST((reread.value().routes == tables.value().routes));
    BOOST_TEST((reread.value().pools == tables.value().pools));
  }
}

}  // namespace
}  // namespace chicorystep
