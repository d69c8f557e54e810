#include "packages/core/log.h"

#include <easylogging++.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "packages/core/time.h"

INITIALIZE_EASYLOGGINGPP

namespace carobrill {
namespace {

LogSettings& ProcessSettings() {
  static LogSettings settings;
  return settings;
}

/// Limits the rate of log lines per message and counts suppressed lines.
class LogRateLimiter {
 public:
  /// Returns how many lines of `message` were suppressed since its last line
  /// was written, or nothing when this line is suppressed as well.
  std::optional<std::uint64_t> Admit(std::string_view message) {
    const std::lock_guard lock(this->mutex);
    State& state = this->states.try_emplace(std::string(message)).first->second;
    const Instant now = BootClock{}.Now();
    if (now >= state.window_ends) {
      state.window_ends = now.After(kWindowMs);
      state.written = 0;
    }
    if (state.written >= kLogLinesPerSecond || !OutputIsWritable()) {
      ++state.suppressed;
      return std::nullopt;
    }
    ++state.written;
    return std::exchange(state.suppressed, 0);
  }

 private:
  static constexpr std::int64_t kWindowMs = 1'000;

  struct State {
    Instant window_ends;
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
  };

  // A pipe that polls as writable accepts a whole line of up to PIPE_BUF bytes.
  static bool OutputIsWritable() {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) > 0;
  }

  std::mutex mutex;
  std::map<std::string, State> states;
};

LogRateLimiter& ProcessRateLimiter() {
  static LogRateLimiter limiter;
  return limiter;
}

std::string JsonLine(LogLevel level,
                     std::string_view message,
                     std::uint64_t suppressed,
                     std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  line["time_ms"] = WallClock{}.Now().ms;
  line["level"] = NameOf(level);
  line["message"] = message;
  line["instance"] = ProcessSettings().instance;
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  if (suppressed > 0) {
    line["left_out"] = suppressed;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string PlainLine(LogLevel level,
                      std::string_view message,
                      std::uint64_t suppressed,
                      std::initializer_list<LogField> fields) {
  std::string line(NameOf(level));
  line += " ";
  line += message;
  for (const auto& [name, value] : fields) {
    line += " ";
    line += name;
    line += "=";
    line += value;
  }
  if (suppressed > 0) {
    line += " left_out=" + std::to_string(suppressed);
  }
  return line;
}

}  // namespace

// Easylogging++ writes the line unchanged, since its formats do not escape
// JSON.
void ConfigureLog(const LogSettings& settings) {
  ProcessSettings() = settings;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format, "%msg");
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configurations);
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
}

void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  const LogSettings& settings = ProcessSettings();
  if (level < settings.level) {
    return;
  }
  const auto suppressed = ProcessRateLimiter().Admit(message);
  if (!suppressed.has_value()) {
    return;
  }
  std::string line = settings.format == LogFormat::kJson
                         ? JsonLine(level, message, *suppressed, fields)
                         : PlainLine(level, message, *suppressed, fields);
  // A write of more than PIPE_BUF bytes could block until the reader continues.
  line.resize(std::min<std::size_t>(line.size(), PIPE_BUF - 1));
  switch (level) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace carobrill
