#ifndef PACKAGES_CORE_LOG_H_
#define PACKAGES_CORE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "packages/core/name_table.h"

namespace carobrill {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

constexpr auto NamesOf(LogLevel) {
  return MakeNameTable<LogLevel>({{LogLevel::kDebug, "debug"},
                                  {LogLevel::kInfo, "info"},
                                  {LogLevel::kWarning, "warning"},
                                  {LogLevel::kError, "error"}});
}

/// Format of log lines on standard output.
enum class LogFormat { kJson, kPlain };

constexpr auto NamesOf(LogFormat) {
  return MakeNameTable<LogFormat>(
      {{LogFormat::kJson, "json"}, {LogFormat::kPlain, "plain"}});
}

/// Settings of the process log.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kJson;
  /// Included in every JSON line, for example the instance id and incarnation.
  std::string instance;
};

/// A name and value in a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Maximum number of lines with the same message per second. Further lines are
/// suppressed and counted; the next line with that message reports the count.
inline constexpr std::uint32_t kLogLinesPerSecond = 200;

/// Sets up logging for the process. Must be called once, before other threads
/// start.
void ConfigureLog(const LogSettings& settings);

/// Writes one line with a message and named values. Never waits for a
/// reader: lines are suppressed while standard output is not writable.
void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

}  // namespace carobrill

#endif  // PACKAGES_CORE_LOG_H_
