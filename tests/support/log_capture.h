#ifndef TESTS_SUPPORT_LOG_CAPTURE_H_
#define TESTS_SUPPORT_LOG_CAPTURE_H_

#include <unistd.h>

#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

#include "chicorystep/core/logging.h"

namespace chicorystep {

// Collects the log lines of this process for as long as it lives. Log lines go
// to standard error, which is redirected to a file meanwhile.
class LogCapture {
 public:
  LogCapture() : file(std::tmpfile()), saved(::dup(STDERR_FILENO)) {
    ConfigureLogging(LogLevel::kInfo, "test");
    ::dup2(::fileno(this->file), STDERR_FILENO);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;
  ~LogCapture() {
    ::dup2(this->saved, STDERR_FILENO);
    ::close(this->saved);
    std::fclose(this->file);
  }

  // The lines of an event, each from its name on.
  [[nodiscard]] std::vector<std::string> Find(const std::string& event) const {
    std::string text;
    char buffer[4096];
    for (::off_t at = 0;;) {
      const ::ssize_t count =
          ::pread(::fileno(this->file), buffer, sizeof(buffer), at);
      if (count <= 0) {
        break;
      }
      text.append(buffer, static_cast<std::size_t>(count));
      at += count;
    }
    std::vector<std::string> found;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
      if (const auto at = line.find("event=" + event + " ");
          at != std::string::npos) {
        found.push_back(line.substr(at + 6));
      }
    }
    return found;
  }

 private:
  std::FILE* file;
  int saved;
};

}  // namespace chicorystep

#endif  // TESTS_SUPPORT_LOG_CAPTURE_H_
