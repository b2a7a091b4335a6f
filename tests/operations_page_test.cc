#define BOOST_TEST_MODULE operations_page
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <regex>
#include <set>
#include <string>
#include <vector>

#include "chicorystep/settings/entry_settings.h"
#include "chicorystep/settings/values.h"
#include "tests/support/program.h"

namespace chicorystep::testing {
namespace {

std::string ReadPage() {
  return ReadFile(std::string(CHICORYSTEP_SOURCE_DIR) + "/docs/OPERATIONS.md");
}

std::string ReadSources() {
  std::string text;
  for (const char* folder : {"/chicorystep", "/platform"}) {
    for (const auto& file : std::filesystem::recursive_directory_iterator(
             std::string(CHICORYSTEP_SOURCE_DIR) + folder)) {
      if (file.path().extension() == ".cc") {
        text += ReadFile(file.path());
      }
    }
  }
  return text;
}

// A table of docs/OPERATIONS.md: a pattern that matches each of its names in
// the sources, and the least number of names expected, so that a pattern that
// no longer matches is noticed.
struct TableCase {
  std::string name;
  std::string pattern;
  std::size_t min_names;
};

const std::vector<TableCase> kTableCases = {
    {"log events", R"re(\bLog\(\s*LogLevel::\w+,\s*"([a-z_]+)")re", 20},
    {"metrics", R"re("(chicorystep_[a-z_]+)")re", 14},
};

BOOST_AUTO_TEST_CASE(page_lists_every_name_in_the_sources) {
  const std::string page = ReadPage();
  const std::string sources = ReadSources();
  for (const TableCase& sample : kTableCases) {
    const std::regex pattern(sample.pattern);
    std::set<std::string> names;
    for (auto match =
             std::sregex_iterator(sources.begin(), sources.end(), pattern);
         match != std::sregex_iterator(); ++match) {
      names.insert((*match)[1]);
    }
    BOOST_TEST(names.size() >= sample.min_names, sample.name);
    for (const std::string& name : names) {
      BOOST_TEST(page.find("\n| `" + name + "` |") != std::string::npos,
                 sample.name + ": docs/OPERATIONS.md has no row for " + name);
    }
  }
}

BOOST_AUTO_TEST_CASE(page_lists_every_setting_with_its_default) {
  const std::string page = ReadPage();
  const auto settings = DescribeEntrySettings();
  BOOST_TEST(settings.size() > 25U);
  for (const SettingDescription& setting : settings) {
    const std::string value = setting.default_value.empty()
                                  ? "required"
                                  : "`" + setting.default_value + "`";
    const std::string row =
        fmt::format("\n| `{}` | {} | ", setting.name, value);
    BOOST_TEST(page.find(row) != std::string::npos,
               "docs/OPERATIONS.md does not contain the row" + row);
  }
  const Outcome help = Run("chicorystep-entry", {"--help-settings"});
  BOOST_TEST(help.code == 0);
  BOOST_TEST(help.out.find("callers.max_head") != std::string::npos);
}

struct FormatCase {
  std::int64_t number;
  std::string duration;
  std::string bytes;
};

const std::vector<FormatCase> kFormatCases = {
    {0, "0us", "0B"},
    {1500, "1500us", "1500B"},
    {2'000'000, "2s", "2000000B"},
    {60'000'000, "1min", "60000000B"},
    {1 << 20, "1048576us", "1MiB"},
};

BOOST_AUTO_TEST_CASE(values_are_written_as_they_are_read) {
  for (const FormatCase& sample : kFormatCases) {
    BOOST_TEST(FormatValue(Duration(sample.number)) == sample.duration);
    BOOST_TEST(FormatValue(Bytes(sample.number)) == sample.bytes);
    BOOST_TEST((ParseDuration(sample.duration) == Duration(sample.number)));
    BOOST_TEST((ParseBytes(sample.bytes) == Bytes(sample.number)));
  }
}

}  // namespace
}  // namespace chicorystep::testing
