#include "packages/cli/run.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "packages/cli/api_client.h"
#include "packages/cli/command_context.h"
#include "packages/cli/command_line.h"
#include "packages/cli/explain_command.h"
#include "packages/cli/job_commands.h"
#include "packages/cli/list_commands.h"
#include "packages/cli/rules_commands.h"
#include "packages/core/result.h"
#include "packages/daemon/settings.h"
#include "packages/daemon/settings_table.h"

namespace carobrill::cli {
namespace {

constexpr std::int64_t kDefaultTimeoutMs = 60'000;
constexpr std::int64_t kDeadlineMarginMs = 5'000;
constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;
constexpr const char* kDefaultEntry = "http://127.0.0.1:8080";
constexpr const char* kEntriesEnvironmentVariable = "CAROBRILL_ENTRIES";

std::string TrimTrailingSlashes(std::string url) {
  while (url.ends_with('/')) {
    url.pop_back();
  }
  return url;
}

std::vector<std::string> SplitCommaSeparated(const std::string& list) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= list.size()) {
    const auto end = std::min(list.find(',', begin), list.size());
    if (end > begin) {
      parts.push_back(list.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

std::vector<std::string> EntryUrls(const CommandLine& line) {
  std::vector<std::string> urls;
  if (const auto entry_option = line.options.find("entry");
      entry_option != line.options.end()) {
    urls = entry_option->second;
  } else if (const char* variable = std::getenv(kEntriesEnvironmentVariable)) {
    urls = SplitCommaSeparated(variable);
  }
  if (urls.empty()) {
    urls.emplace_back(kDefaultEntry);
  }
  for (auto& url : urls) {
    url = TrimTrailingSlashes(url);
  }
  return urls;
}

Result<CliExit> CheckSettings(const CommandLine& line) {
  std::string faults;
  const auto settings = ValueOr<daemon::SettingsErrors>(
      [&] { return daemon::LoadSettings(line.argument); },
      [&](const daemon::SettingsErrors& error) {
        for (const auto& fault : error.faults) {
          faults += "\n" + Describe(fault);
        }
      });
  if (!settings.has_value()) {
    return Fail(CliError{CliExit::kInput, "the settings have faults" + faults});
  }
  std::printf("%s: the settings are valid (role %s)\n", line.argument.c_str(),
              std::string(NameOf(settings->role)).c_str());
  return CliExit::kOk;
}

// A response may take until the deadline of the request; timing out earlier
// would leave the outcome unknown without need.
Result<std::int64_t> RequestTimeoutMs(const CommandLine& line) {
  BOOST_LEAF_AUTO(timeout, line.Integer("timeout-ms", 1, kMaxTimeoutMs));
  if (timeout.has_value() || line.command->name != "request") {
    return timeout.value_or(kDefaultTimeoutMs);
  }
  BOOST_LEAF_AUTO(deadline, line.Integer("deadline-ms", 0, kMaxTimeoutMs));
  return std::max(kDefaultTimeoutMs, deadline.value_or(0) + kDeadlineMarginMs);
}

Result<CliExit> RunApiCommand(const CommandLine& line) {
  BOOST_LEAF_AUTO(timeout_ms, RequestTimeoutMs(line));
  ApiClient api(EntryUrls(line), timeout_ms);
  const CommandContext context{line, api};
  const std::string_view name = line.command->name;
  if (auto result = RunListCommand(name, context)) {
    return std::move(*result);
  }
  if (name == "submit") {
    return Submit(context);
  }
  if (name == "status") {
    return ShowStatus(context);
  }
  if (name == "cancel") {
    return CancelJob(context);
  }
  if (name == "request") {
    return SendRequest(context);
  }
  if (name == "drain" || name == "undrain") {
    return SetDrain(context, name == "drain");
  }
  if (name == "rules check") {
    return CheckRules(context);
  }
  if (name == "rules diff") {
    return DiffRules(context);
  }
  if (name == "rules publish") {
    return PublishRulesCommand(context);
  }
  if (name == "rules show") {
    return ShowRules(context);
  }
  return Fail(
      CliError{CliExit::kInternal, "the command has no implementation"});
}

Result<CliExit> RunCommand(const std::vector<std::string>& arguments) {
  BOOST_LEAF_AUTO(line, ParseCommandLine(arguments));
  if (line.info_text.has_value()) {
    std::fputs(line.info_text->c_str(), stdout);
    return CliExit::kOk;
  }
  if (line.command->name == "explain") {
    return ExplainJob(line);
  }
  if (line.command->name == "settings check") {
    return CheckSettings(line);
  }
  if (line.command->name == "settings list") {
    std::fputs(daemon::SettingsMarkdown().c_str(), stdout);
    return CliExit::kOk;
  }
  return RunApiCommand(line);
}

}  // namespace

CliExit Run(const std::vector<std::string>& arguments) {
  CliExit error_exit = CliExit::kInternal;
  const auto exit = ValueOr<CliError>(
      [&] { return RunCommand(arguments); },
      [&](const CliError& error) {
        error_exit = error.exit;
        std::fprintf(stderr, "carobrill: %s\n", error.message.c_str());
        if (error.exit == CliExit::kUsage) {
          std::fputs("Try carobrill --help.\n", stderr);
        }
      });
  return exit.value_or(error_exit);
}

}  // namespace carobrill::cli
