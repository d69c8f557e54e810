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

/// Decides which lines are written, and counts the others.
class LogGate {
 public:
  /// Lines of `message` that were left out since its last line, or nothing
  /// when this line is left out as well.
  std::optional<std::uint64_t> Pass(std::string_view message) {
    const std::lock_guard lock(this->mutex);
    State& state = this->states.try_emplace(std::string(message)).first->second;
    const Instant now = BootClock{}.Now();
    if (now >= state.window_ends) {
      state.window_ends = now.After(kWindowMs);
      state.written = 0;
    }
    if (state.written >= kLogLinesPerSecond || !OutputTakesALine()) {
      ++state.left_out;
      return std::nullopt;
    }
    ++state.written;
    return std::exchange(state.left_out, 0);
  }

 private:
  static constexpr std::int64_t kWindowMs = 1'000;

  struct State {
    Instant window_ends;
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
  };

  // A pipe that is writable takes a whole line of up to PIPE_BUF bytes.
  static bool OutputTakesALine() {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) > 0;
  }

  std::mutex mutex;
  std::map<std::string, State> states;
};

LogGate& ProcessGate() {
  static LogGate gate;
  return gate;
}

std::string JsonLine(LogLevel level,
                     std::string_view message,
                     std::uint64_t left_out,
                     std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  line["time_ms"] = WallClock{}.Now().ms;
  line["level"] = NameOf(level);
  line["message"] = message;
  line["instance"] = ProcessSettings().instance;
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  if (left_out > 0) {
    line["left_out"] = left_out;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string PlainLine(LogLevel level,
                      std::string_view message,
                      std::uint64_t left_out,
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
  if (left_out > 0) {
    line += " left_out=" + std::to_string(left_out);
  }
  return line;
}

}  // namespace

// The library writes the line as it is: its own format has no JSON escaping.
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
  const auto left_out = ProcessGate().Pass(message);
  if (!left_out.has_value()) {
    return;
  }
  std::string line = settings.format == LogFormat::kJson
                         ? JsonLine(level, message, *left_out, fields)
                         : PlainLine(level, message, *left_out, fields);
  // A longer line might wait for the reader in the middle.
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
