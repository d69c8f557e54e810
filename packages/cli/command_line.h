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

/// A command line as read.
struct CommandLine {
  /// Set when a help or version text is to be printed instead.
  std::optional<std::string> info_text;
  const CommandDescription* command = nullptr;
  /// Values by option name; an option without a value has an empty one.
  std::map<std::string, std::vector<std::string>, std::less<>> options;
  /// The argument of the command; empty when it takes none.
  std::string argument;

  /// True when the option was given.
  bool Has(std::string_view option) const;

  /// The last value of the option, if it was given.
  std::optional<std::string> Value(std::string_view option) const;

  /// The value as an integer within `min` and `max`. Fails with CliError.
  Result<std::optional<std::int64_t>> Integer(std::string_view option,
                                              std::int64_t min,
                                              std::int64_t max) const;
};

/// Reads a command line; `arguments` starts with the name of the program.
/// Fails with CliError (kUsage).
Result<CommandLine> ParseCommandLine(std::vector<std::string> arguments);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_COMMAND_LINE_H_
