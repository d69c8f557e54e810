#ifndef PACKAGES_CLI_CLI_ERROR_H_
#define PACKAGES_CLI_CLI_ERROR_H_

#include <string>

#include "packages/core/name_table.h"

namespace carobrill::cli {

/// Result of a carobrill command; the values are the process exit codes.
enum class CliExit {
  kOk = 0,
  /// Also for an invalid response of the entry process.
  kInternal = 1,
  kUsage = 2,
  kInput = 3,
  /// No entry process, a server that accepts requests and jobs from clients,
  /// can be reached.
  kUnreachable = 4,
  /// The request was refused and not executed.
  kNotRun = 5,
  /// It is unknown whether the request was executed.
  kOutcomeUnknown = 6,
  /// The request or job was executed and failed, or was cancelled.
  kFailed = 7,
  kConflict = 8,
  kWaitLimit = 9,
};

constexpr auto NamesOf(CliExit) {
  return MakeNameTable<CliExit>({
      {CliExit::kOk, "done"},
      {CliExit::kInternal, "internal error, or an answer that makes no sense"},
      {CliExit::kUsage, "wrong usage"},
      {CliExit::kInput, "a file of settings, rules or a job is wrong"},
      {CliExit::kUnreachable, "no entry can be reached"},
      {CliExit::kNotRun, "refused; nothing ran and nothing changed"},
      {CliExit::kOutcomeUnknown, "it is not known whether it ran"},
      {CliExit::kFailed, "it ran and failed, or was cancelled"},
      {CliExit::kConflict, "other rules were published in the meantime"},
      {CliExit::kWaitLimit, "the job had not ended when --wait-limit-s passed"},
  });
}

/// Reason why a command failed.
struct CliError {
  CliExit exit = CliExit::kInternal;
  std::string message;
};

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_CLI_ERROR_H_
