#ifndef PACKAGES_CLI_COMMAND_CONTEXT_H_
#define PACKAGES_CLI_COMMAND_CONTEXT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "packages/cli/api_client.h"
#include "packages/cli/command_line.h"
#include "packages/core/result.h"

namespace carobrill::cli {

/// What a command works with.
struct CommandContext {
  const CommandLine& line;
  ApiClient& api;

  /// True when answers are printed as JSON.
  bool PrintsJson() const { return this->line.Has("json"); }

  /// Prints an answer as JSON, or `text`.
  void Print(const nlohmann::json& answer, const std::string& text) const;
};

/// Reads a file. Fails with CliError (kInput).
Result<std::string> ReadFile(const std::string& path);

/// Name of the user, for the audit trail; "unknown" when it is not set.
std::string UserName();

/// A new Idempotency-Key of 32 hexadecimal digits.
std::string NewIdempotencyKey();

/// Escapes a value of a query.
std::string PercentEncode(const std::string& text);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_COMMAND_CONTEXT_H_
