#ifndef PACKAGES_CLI_RULES_COMMANDS_H_
#define PACKAGES_CLI_RULES_COMMANDS_H_

#include "packages/cli/cli_error.h"
#include "packages/cli/session.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// @{
/// Commands on rule files. They fail with CliError.
Result<CliExit> CheckRules(const Session& session);
Result<CliExit> DiffRules(const Session& session);
Result<CliExit> PublishRules(const Session& session);
Result<CliExit> ShowRules(const Session& session);
/// @}

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_RULES_COMMANDS_H_
