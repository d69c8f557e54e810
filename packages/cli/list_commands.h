#ifndef PACKAGES_CLI_LIST_COMMANDS_H_
#define PACKAGES_CLI_LIST_COMMANDS_H_

#include <optional>
#include <string_view>

#include "packages/cli/cli_error.h"
#include "packages/cli/command_context.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// Runs a command that prints a list. Returns no value when `command` is not a
/// list command. Fails with CliError.
std::optional<Result<CliExit>> RunListCommand(std::string_view command,
                                              const CommandContext& context);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_LIST_COMMANDS_H_
