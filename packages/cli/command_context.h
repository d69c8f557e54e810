#ifndef PACKAGES_CLI_COMMAND_CONTEXT_H_
#define PACKAGES_CLI_COMMAND_CONTEXT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "packages/cli/api_client.h"
#include "packages/cli/command_line.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// Command line and API client that a command uses.
struct CommandContext {
  const CommandLine& line;
  ApiClient& api;

  /// True when responses are printed as JSON.
  bool PrintsJson() const { return this->line.Has("json"); }

  /// Prints `answer` as JSON if --json is set, otherwise `text`.
  void Print(const nlohmann::json& answer, const std::string& text) const;
};

/// Reads a file. Fails with CliError (kInput).
Result<std::string> ReadFile(const std::string& path);

/// Value of $USER, recorded in the audit trail; "unknown" when it is not set.
std::string UserName();

/// Generates an Idempotency-Key of 32 hexadecimal digits.
std::string NewIdempotencyKey();

/// Percent-encodes a path segment or query value.
std::string PercentEncode(const std::string& text);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_COMMAND_CONTEXT_H_
