#ifndef PACKAGES_CLI_EXPLAIN_COMMAND_H_
#define PACKAGES_CLI_EXPLAIN_COMMAND_H_

#include <istream>
#include <string>

#include "packages/cli/cli_error.h"
#include "packages/cli/command_line.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// Prints the log lines about a job in order of time, read from --file or
/// standard input. Fails with CliError when no line mentions the job.
Result<CliExit> ExplainJob(const CommandLine& line);

/// Returns the timeline of `job` in the log lines of `input`, with the
/// evacuations of failure domains while it waited, followed by the line that
/// determined its outcome; empty when no line mentions the job.
std::string JobTimeline(const std::string& job, std::istream& input);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_EXPLAIN_COMMAND_H_
