#ifndef PACKAGES_CLI_RUN_H_
#define PACKAGES_CLI_RUN_H_

#include <string>
#include <vector>

#include "packages/cli/cli_error.h"

namespace carobrill::cli {

/// Runs a command line and prints its result; errors go to standard error.
/// `arguments` starts with the program name.
CliExit Run(const std::vector<std::string>& arguments);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_RUN_H_
