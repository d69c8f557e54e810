#ifndef PACKAGES_CLI_JOB_COMMANDS_H_
#define PACKAGES_CLI_JOB_COMMANDS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "packages/cli/cli_error.h"
#include "packages/cli/session.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// @{
/// Commands on jobs and requests. They fail with CliError.
Result<CliExit> Submit(const Session& session);
Result<CliExit> ShowStatus(const Session& session);
Result<CliExit> CancelJob(const Session& session);
Result<CliExit> SendRequest(const Session& session);
Result<CliExit> SetDrain(const Session& session, bool drain);
/// @}

/// One sentence on a job, with the reason if it waits.
std::string JobSentence(const nlohmann::json& job);

/// The body of a job from --file and the options. Fails with CliError.
Result<nlohmann::json> JobBody(const CommandLine& line);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_JOB_COMMANDS_H_
