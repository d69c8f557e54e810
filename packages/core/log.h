#ifndef PACKAGES_CORE_LOG_H_
#define PACKAGES_CORE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "packages/core/name_table.h"

namespace carobrill {

/// How much attention a log line deserves.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

constexpr auto NamesOf(LogLevel) {
  return MakeNameTable<LogLevel>({{LogLevel::kDebug, "debug"},
                                  {LogLevel::kInfo, "info"},
                                  {LogLevel::kWarning, "warning"},
                                  {LogLevel::kError, "error"}});
}

/// Shape of a log line on standard output.
enum class LogFormat { kJson, kPlain };

constexpr auto NamesOf(LogFormat) {
  return MakeNameTable<LogFormat>(
      {{LogFormat::kJson, "json"}, {LogFormat::kPlain, "plain"}});
}

/// What is logged, and how.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kJson;
  /// Added to every line, for example the instance id and its incarnation.
  std::string instance;
};

/// A named value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Lines of one message that are written within a second; more are counted and
/// left out, and the next line of that message says how many were.
inline constexpr std::uint32_t kLogLinesPerSecond = 200;

/// Sets up logging for the process; called once before other threads start.
void ConfigureLog(const LogSettings& settings);

/// Writes one line: a sentence for the reader and named values for tools. Never
/// waits for a reader: while standard output takes no more, lines are left out.
void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

}  // namespace carobrill

#endif  // PACKAGES_CORE_LOG_H_
