#ifndef PACKAGES_DAEMON_DAEMON_OPTIONS_H_
#define PACKAGES_DAEMON_DAEMON_OPTIONS_H_

#include <string>
#include <variant>
#include <vector>

#include "packages/core/name_table.h"

namespace carobrill::daemon {

/// Exit codes of carobrilld.
enum class ExitCode {
  /// Normal exit, for example after a requested shutdown or --check.
  kOk = 0,
  kInternal = 1,
  kUsage = 2,
  kSettings = 3,
  kCannotListen = 4,
  /// The state charts (state machine definitions in JSON files) are missing or
  /// invalid.
  kCharts = 5,
  kShutdownForced = 6,
};

constexpr auto NamesOf(ExitCode) {
  return MakeNameTable<ExitCode>({
      {ExitCode::kOk, "ended as asked"},
      {ExitCode::kInternal, "internal error"},
      {ExitCode::kUsage, "wrong usage"},
      {ExitCode::kSettings, "wrong settings"},
      {ExitCode::kCannotListen, "cannot listen on an address"},
      {ExitCode::kCharts, "the state charts are missing or wrong"},
      {ExitCode::kShutdownForced,
       "the shutdown was cut short by its limit or a second signal"},
  });
}

/// Action requested on the command line.
enum class DaemonAction { kRun, kCheck, kVersion, kHelp };

/// The command line of carobrilld.
struct DaemonOptions {
  DaemonAction action = DaemonAction::kRun;
  std::string settings_path;
};

/// An error in the command line.
struct UsageError {
  std::string message;
};

/// Parses a command line; `arguments` starts with the program name.
std::variant<DaemonOptions, UsageError> ParseDaemonOptions(
    std::vector<std::string> arguments);

/// Returns the text of --help, which includes the exit codes.
std::string DaemonHelp();

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_DAEMON_OPTIONS_H_
