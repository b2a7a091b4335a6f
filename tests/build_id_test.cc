#define BOOST_TEST_MODULE build_id
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/core/version.h"
#include "tests/support/program.h"

namespace chicorystep::testing {
namespace {

const std::string kSourceFolder = CHICORYSTEP_SOURCE_DIR;

// Runs a command of the shell and returns what it prints, without the last line
// break.
std::string ReadOutput(const std::string& command) {
  const ScratchFolder folder;
  const std::string out = folder.Write("out", "");
  const int code =
      ChildProcess({"/bin/sh", "-c", command + " >" + out + " 2>&1"}).Wait();
  std::string text = ReadFile(out);
  BOOST_TEST(code == 0, command + " printed " + text);
  return text.substr(0, text.find_last_not_of('\n') + 1);
}

// A program that names its build.
struct ProgramCase {
  std::string name;
};

const std::vector<ProgramCase> kProgramCases = {
    {"chicorystep-edge"},
    {"chicorystep-entry"},
};

// Guards against logs that do not tell which build wrote them: the version in
// them had never changed (issue 42).
BOOST_AUTO_TEST_CASE(programs_name_the_build_that_the_tool_prints) {
  const std::string id = ReadOutput(kSourceFolder + "/tools/build_id");
  BOOST_TEST(id.size() == 12U);
  BOOST_TEST(id.find_first_not_of("0123456789abcdef") == std::string::npos);
  for (const ProgramCase& sample : kProgramCases) {
    const Outcome version = Run(sample.name, {"--version"});
    BOOST_TEST(version.code == 0);
    BOOST_TEST(version.out ==
               fmt::format("{} {} build={}\n", sample.name, kVersion, id));
  }
}

using Files = std::vector<std::pair<std::string, std::string>>;

// The files of a tree by path, and whether its id differs from that of the
// first row.
struct SourcesCase {
  std::string name;
  Files files;
  bool differs;
};

const std::vector<SourcesCase> kSourcesCases = {
    {"the first tree",
     {{"CMakeLists.txt", "1"},
      {"chicorystep/core/a.cc", "2"},
      {"platform/b.cc", "3"}},
     false},
    {"the same sources elsewhere, written in another order",
     {{"platform/b.cc", "3"},
      {"chicorystep/core/a.cc", "2"},
      {"CMakeLists.txt", "1"}},
     false},
    {"more files that are no sources of the product",
     {{"CMakeLists.txt", "1"},
      {"chicorystep/core/a.cc", "2"},
      {"platform/b.cc", "3"},
      {"docs/OPERATIONS.md", "4"},
      {"tests/a_test.cc", "5"}},
     false},
    {"another source",
     {{"CMakeLists.txt", "1"},
      {"chicorystep/core/a.cc", "0"},
      {"platform/b.cc", "3"}},
     true},
    {"another adapter",
     {{"CMakeLists.txt", "1"},
      {"chicorystep/core/a.cc", "2"},
      {"platform/b.cc", "0"}},
     true},
    {"other rules of the build",
     {{"CMakeLists.txt", "0"},
      {"chicorystep/core/a.cc", "2"},
      {"platform/b.cc", "3"}},
     true},
    {"a source under another name",
     {{"CMakeLists.txt", "1"},
      {"chicorystep/core/c.cc", "2"},
      {"platform/b.cc", "3"}},
     true},
    {"one more header",
     {{"CMakeLists.txt", "1"},
      {"chicorystep/core/a.cc", "2"},
      {"chicorystep/core/a.h", ""},
      {"platform/b.cc", "3"}},
     true},
    {"contents that are moved to the next file",
     {{"CMakeLists.txt", "1"},
      {"chicorystep/core/a.cc", ""},
      {"platform/b.cc", "23"}},
     true},
};

// Writes the files of a tree into a new folder.
void WriteTree(const ScratchFolder& folder, const Files& files) {
  for (const auto& [path, text] : files) {
    std::filesystem::create_directories(
        std::filesystem::path(folder.Write(".root", "")).parent_path() /
        std::filesystem::path(path).parent_path());
    const std::string written = folder.Write(path, text);
    BOOST_REQUIRE(ReadFile(written) == text);
  }
}

// The command that computes the id of a tree.
std::string MakeCommand(const ScratchFolder& folder) {
  return fmt::format(
      "cmake -DSOURCE_DIR={} -P {}/cmake/build_id.cmake",
      std::filesystem::path(folder.Write(".root", "")).parent_path().string(),
      kSourceFolder);
}

BOOST_AUTO_TEST_CASE(id_depends_on_sources_alone) {
  std::string first;
  for (const SourcesCase& sample : kSourcesCases) {
    const ScratchFolder folder;
    WriteTree(folder, sample.files);
    const std::string id = ReadOutput(MakeCommand(folder));
    if (first.empty()) {
      first = id;
    }
    BOOST_TEST((id != first) == sample.differs, sample.name);
  }
}

// What happens to the sources between two builds, and whether the header with
// the id is written again, so that what includes it is compiled again.
struct HeaderCase {
  std::string name;
  std::string source;
  bool written;
};

const std::vector<HeaderCase> kHeaderCases = {
    {"the same contents", "2", false},
    {"other contents", "0", true},
};

BOOST_AUTO_TEST_CASE(header_is_written_when_the_id_changes) {
  for (const HeaderCase& sample : kHeaderCases) {
    const ScratchFolder folder;
    WriteTree(folder, {{"CMakeLists.txt", "1"}, {"platform/b.cc", "2"}});
    const std::string header = folder.Write("build_id.h", "");
    const std::string command =
        "cmake -DHEADER=" + header + MakeCommand(folder).substr(5);
    ReadOutput(command);
    const std::filesystem::file_time_type past{};
    std::filesystem::last_write_time(header, past);
    WriteTree(folder, {{"platform/b.cc", sample.source}});
    ReadOutput(command);
    BOOST_TEST(
        (std::filesystem::last_write_time(header) != past) == sample.written,
        sample.name);
  }
}

}  // namespace
}  // namespace chicorystep::testing
