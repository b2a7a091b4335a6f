#define BOOST_TEST_MODULE platform_names
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <string>
#include <vector>

namespace chicorystep {
namespace {

// Folders of the product that must not contain names of the platform's wire.
const std::vector<std::string> kFoldersWithoutWireNames = {
    "chicorystep/core",    "chicorystep/tables",   "chicorystep/systems",
    "chicorystep/control", "chicorystep/encoding", "chicorystep/traffic",
    "chicorystep/clients", "chicorystep/settings", "chicorystep/standin",
    "chicorystep/programs"};

// Names that occur only on the platform's wire.
const std::regex kWireNames(
    "run-start|run-stop|machine-move|machine-upkeep|AckCursor|UntilMs|"
    "X-Expect-Instance|X-Fencing-Token|X-Lease-Holder|keyed\\.(op|servers|"
    "status)|log-(append|read|newest|join|trim)|CHICORYSTEP_NODE_FILE|"
    "ApiKeys|PathPrefix|SavesProgress|EstimateMs|MaxPerServer");

BOOST_AUTO_TEST_CASE(only_the_adapter_uses_wire_names) {
  const std::filesystem::path root = CHICORYSTEP_SOURCE_DIR;
  std::size_t files = 0;
  for (const std::string& folder : kFoldersWithoutWireNames) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      const auto extension = entry.path().extension();
      if (extension != ".h" && extension != ".cc") {
        continue;
      }
      ++files;
      std::ifstream file(entry.path());
      std::string line;
      for (int number = 1; std::getline(file, line); ++number) {
        BOOST_TEST(!std::regex_search(line, kWireNames), entry.path().string()
                                                             << ":" << number);
      }
    }
  }
  BOOST_TEST(files > 100U);
}

BOOST_AUTO_TEST_CASE(systems_include_no_control_or_traffic_headers) {
  const std::filesystem::path root = CHICORYSTEP_SOURCE_DIR;
  const std::regex forbidden_include(
      "#include \"(chicorystep/(control|traffic|clients)|platform)/");
  for (const std::string& folder :
       {std::string("chicorystep/core"), std::string("chicorystep/tables"),
        std::string("chicorystep/systems")}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      std::ifstream file(entry.path());
      std::string line;
      while (std::getline(file, line)) {
        BOOST_TEST(!std::regex_search(line, forbidden_include),
                   entry.path().string() << ": " << line);
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
