#define BOOST_TEST_MODULE platform_names
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <string>
#include <vector>

namespace chicorystep {
namespace {

// Folders of the product, which must not know the platform's names.
const std::vector<std::string> kFolders = {
    "chicorystep/core",    "chicorystep/tables",   "chicorystep/systems",
    "chicorystep/control", "chicorystep/encoding", "chicorystep/traffic",
    "chicorystep/clients", "chicorystep/settings", "chicorystep/standin",
    "chicorystep/programs"};

// Names that stand only on the platform's wire.
const std::regex kWireNames(
    "run-start|run-stop|machine-move|machine-upkeep|AckCursor|UntilMs|"
    "X-Expect-Instance|X-Fencing-Token|X-Lease-Holder|keyed\\.(op|servers|"
    "status)|log-(append|read|newest|join|trim)|CHICORYSTEP_NODE_FILE|"
    "ApiKeys|PathPrefix|SavesProgress|EstimateMs|MaxPerServer");

BOOST_AUTO_TEST_CASE(only_the_adapter_knows_the_names_of_the_wire) {
  const std::filesystem::path root = CHICORYSTEP_SOURCE_DIR;
  std::size_t files = 0;
  for (const std::string& folder : kFolders) {
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

BOOST_AUTO_TEST_CASE(systems_use_no_control_and_no_traffic) {
  const std::filesystem::path root = CHICORYSTEP_SOURCE_DIR;
  const std::regex backwards(
      "#include \"(chicorystep/(control|traffic|clients)|platform)/");
  for (const std::string& folder :
       {std::string("chicorystep/core"), std::string("chicorystep/tables"),
        std::string("chicorystep/systems")}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      std::ifstream file(entry.path());
      std::string line;
      while (std::getline(file, line)) {
        BOOST_TEST(!std::regex_search(line, backwards), entry.path().string()
                                                            << ": " << line);
      }
    }
  }
}

}  // namespace
}  // namespace chicorystep
