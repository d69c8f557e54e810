#ifndef PACKAGES_CLI_EXPLAIN_COMMAND_H_
#define PACKAGES_CLI_EXPLAIN_COMMAND_H_

#include <istream>
#include <string>

#include "packages/cli/cli_error.h"
#include "packages/cli/command_line.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// Prints what the processes logged of a job, in the order of time, from
/// --file or standard input. Fails with CliError when no line names the job.
Result<CliExit> ExplainJob(const CommandLine& line);

/// The timeline of `job` in the log lines of `input`, and the line that decided
/// its outcome; empty when no line names the job.
std::string JobTimeline(const std::string& job, std::istream& input);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_EXPLAIN_COMMAND_H_
