#ifndef CHICORYSTEP_CORE_LOGGING_H_
#define CHICORYSTEP_CORE_LOGGING_H_

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chicorystep {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };

// One key=value pair of a log line. The value is quoted when it is empty or
// contains anything but letters, digits and the punctuation ._:/+-,%
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view field_key, std::string_view field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const char* field_value)
      : key(field_key), value(field_value) {}
  template <typename Number>
  LogField(std::string_view field_key,
           Number number) requires std::is_arithmetic_v<Number>
      : key(field_key), value(fmt::format("{}", number)) {}
};

// Where log lines are written. The bounded output never blocks: it drops lines
// that exceed a rate limit or that the reader does not take, and reports their
// number on the next line that it writes.
enum class LogOutput : std::uint8_t { kStandardError, kBoundedStandardOutput };

// Sets the minimum level, the process name on every line, and the output. Call
// once, before other threads log.
void ConfigureLogging(LogLevel min_level,
                      std::string process_name,
                      LogOutput output = LogOutput::kStandardError);

// Writes one line to the output: time=... level=... process=... event=... and
// the fields. Thread-safe. Callers must not pass payloads or API keys.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

// Returns `value` as written in a key=value line, quoted and escaped where
// needed.
[[nodiscard]] std::string QuoteLogValue(std::string_view value);

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_LOGGING_H_
