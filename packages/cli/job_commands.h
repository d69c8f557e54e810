#ifndef PACKAGES_CLI_JOB_COMMANDS_H_
#define PACKAGES_CLI_JOB_COMMANDS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "packages/cli/cli_error.h"
#include "packages/cli/command_context.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// @{
/// Commands on jobs and requests. They fail with CliError.
Result<CliExit> Submit(const CommandContext& context);
Result<CliExit> ShowStatus(const CommandContext& context);
Result<CliExit> CancelJob(const CommandContext& context);
Result<CliExit> SendRequest(const CommandContext& context);
Result<CliExit> SetDrain(const CommandContext& context, bool drain);
/// @}

/// One sentence on a job, with the reason if it waits.
std::string DescribeJob(const nlohmann::json& job);

/// The body of a job from --file and the options. Fails with CliError.
Result<nlohmann::json> BuildJobBody(const CommandLine& line);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_JOB_COMMANDS_H_
