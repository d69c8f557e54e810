#ifndef PACKAGES_CLI_JOB_COMMANDS_H_
#define PACKAGES_CLI_JOB_COMMANDS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "packages/cli/cli_error.h"
#include "packages/cli/command_context.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// @{
/// Commands for jobs, requests and worker drains. They fail with CliError.
Result<CliExit> Submit(const CommandContext& context);
Result<CliExit> ShowStatus(const CommandContext& context);
Result<CliExit> CancelJob(const CommandContext& context);
Result<CliExit> SendRequest(const CommandContext& context);
Result<CliExit> SetDrain(const CommandContext& context, bool drain);
/// @}

/// Returns a one-line description of a job, with the reason if it waits.
std::string DescribeJob(const nlohmann::json& job);

/// Builds the JSON body of a job submission from --file and the options, which
/// override the file. Fails with CliError.
Result<nlohmann::json> BuildJobBody(const CommandLine& line);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_JOB_COMMANDS_H_
