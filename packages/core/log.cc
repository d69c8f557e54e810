#include "packages/core/log.h"

#include <easylogging++.h>

#include <atomic>
#include <nlohmann/json.hpp>

#include "packages/core/time.h"

INITIALIZE_EASYLOGGINGPP

namespace carobrill {
namespace {

LogSettings& ProcessSettings() {
  static LogSettings settings;
  return settings;
}

std::string JsonLine(LogLevel level,
                     std::string_view message,
                     std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  line["time_ms"] = WallClock{}.Now().ms;
  line["level"] = NameOf(level);
  line["message"] = message;
  line["instance"] = ProcessSettings().instance;
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string PlainLine(LogLevel level,
                      std::string_view message,
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
  const std::string line = settings.format == LogFormat::kJson
                               ? JsonLine(level, message, fields)
                               : PlainLine(level, message, fields);
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
