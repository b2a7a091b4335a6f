#include "chicorystep/core/logging.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <utility>

namespace chicorystep {
namespace {

struct LogSink {
  std::mutex mutex;
  LogLevel min_level = LogLevel::kInfo;
  std::string process_name;
  LogOutput output = LogOutput::kStandardError;
  // Rate limit of the bounded output: the current second of Unix time, the
  // lines that were to be written in it, and the lines dropped since the last
  // line that was written.
  std::int64_t second = 0;
  std::uint32_t written = 0;
  std::uint64_t dropped = 0;
};

// Lines per second of the bounded output: several times the event rate of a
// busy scheduler, and far below what a slow reader can take.
constexpr std::uint32_t kMaxLinesPerSecond = 400;
// Of these, lines that only warnings and errors may use: what went wrong is
// still written when routine lines exceed the limit.
constexpr std::uint32_t kReservedLinesPerSecond = 100;
// Longer values, such as text that another process wrote, are cut.
constexpr std::size_t kMaxValueBytes = 400;

// Counts a line against the rate limit. Returns whether it may be written, and
// counts it as dropped otherwise.
bool MayWrite(LogSink& sink, LogLevel level, std::int64_t second) {
  if (sink.output == LogOutput::kStandardError) {
    return true;
  }
  if (second != sink.second) {
    sink.second = second;
    sink.written = 0;
  }
  const std::uint32_t limit =
      level >= LogLevel::kWarn ? kMaxLinesPerSecond
                               : kMaxLinesPerSecond - kReservedLinesPerSecond;
  if (sink.written >= limit) {
    ++sink.dropped;
    return false;
  }
  ++sink.written;
  return true;
}

LogSink& Sink() {
  static LogSink sink;
  return sink;
}

std::string_view ToString(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

bool IsUnquotedChar(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("._:/+-,%").find(c) != std::string_view::npos;
}

}  // namespace

void ConfigureLogging(LogLevel min_level,
                      std::string process_name,
                      LogOutput output) {
  LogSink& sink = Sink();
  const std::scoped_lock lock(sink.mutex);
  sink.min_level = min_level;
  sink.process_name = std::move(process_name);
  sink.output = output;
  if (output == LogOutput::kBoundedStandardOutput) {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }
}

std::string QuoteLogValue(std::string_view value) {
  if (!value.empty() &&
      std::all_of(value.begin(), value.end(), IsUnquotedChar)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (std::iscntrl(static_cast<unsigned char>(c)) != 0) {
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  LogSink& sink = Sink();
  const std::scoped_lock lock(sink.mutex);
  if (level < sink.min_level) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  // Checked before the line is formatted, because formatting costs most.
  if (!MayWrite(sink, level, now.time_since_epoch().count() / 1000)) {
    return;
  }
  std::string line = fmt::format(
      "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} process={} event={}",
      fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
      ToString(level), QuoteLogValue(sink.process_name), event);
  for (const LogField& field : fields) {
    line += fmt::format(
        " {}={}", field.key,
        QuoteLogValue(std::string_view(field.value).substr(0, kMaxValueBytes)));
  }
  if (sink.dropped > 0) {
    line += fmt::format(" lines_dropped_before={}", sink.dropped);
  }
  line += '\n';
  if (sink.output == LogOutput::kStandardError) {
    fmt::print(stderr, "{}", line);
    return;
  }
  if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
    ++sink.dropped;
  } else {
    sink.dropped = 0;
  }
}

}  // namespace chicorystep
