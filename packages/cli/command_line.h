#ifndef PACKAGES_CLI_COMMAND_LINE_H_
#define PACKAGES_CLI_COMMAND_LINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/cli/command_table.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// A parsed command line.
struct CommandLine {
  /// Help or version text to print instead of running a command.
  std::optional<std::string> info_text;
  const CommandDescription* command = nullptr;
  /// Values by option name, in the given order. A flag has an empty string per
  /// occurrence.
  std::map<std::string, std::vector<std::string>, std::less<>> options;
  /// Positional argument of the command; empty when it takes none.
  std::string argument;

  bool Has(std::string_view option) const;

  /// Returns the last value given for the option, if any.
  std::optional<std::string> Value(std::string_view option) const;

  /// Returns the option's value as an integer in [`min`, `max`]. Fails with
  /// CliError.
  Result<std::optional<std::int64_t>> Integer(std::string_view option,
                                              std::int64_t min,
                                              std::int64_t max) const;
};

/// Parses a command line; `arguments` starts with the program name.
/// Fails with CliError (kUsage).
Result<CommandLine> ParseCommandLine(std::vector<std::string> arguments);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_COMMAND_LINE_H_
