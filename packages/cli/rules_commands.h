#ifndef PACKAGES_CLI_RULES_COMMANDS_H_
#define PACKAGES_CLI_RULES_COMMANDS_H_

#include "packages/cli/cli_error.h"
#include "packages/cli/command_context.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// @{
/// Commands for rule files. They fail with CliError.
Result<CliExit> CheckRules(const CommandContext& context);
Result<CliExit> DiffRules(const CommandContext& context);
Result<CliExit> PublishRulesCommand(const CommandContext& context);
Result<CliExit> ShowRules(const CommandContext& context);
/// @}

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_RULES_COMMANDS_H_
