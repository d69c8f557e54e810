#include "packages/cli/run.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "packages/cli/command_line.h"
#include "packages/cli/entry_caller.h"
#include "packages/cli/explain_command.h"
#include "packages/cli/job_commands.h"
#include "packages/cli/list_commands.h"
#include "packages/cli/rules_commands.h"
#include "packages/cli/session.h"
#include "packages/core/result.h"
#include "packages/daemon/settings.h"
#include "packages/daemon/settings_table.h"

namespace carobrill::cli {
namespace {

constexpr std::int64_t kDefaultTimeoutMs = 60'000;
constexpr std::int64_t kAnswerMarginMs = 5'000;
constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;
constexpr const char* kDefaultEntry = "http://127.0.0.1:8080";
constexpr const char* kEntriesVariable = "CAROBRILL_ENTRIES";

std::string WithoutSlash(std::string url) {
  while (url.ends_with('/')) {
    url.pop_back();
  }
  return url;
}

std::vector<std::string> Split(const std::string& list) {
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

std::vector<std::string> EntriesOf(const CommandLine& line) {
  std::vector<std::string> urls;
  if (const auto given = line.options.find("entry");
      given != line.options.end()) {
    urls = given->second;
  } else if (const char* variable = std::getenv(kEntriesVariable)) {
    urls = Split(variable);
  }
  if (urls.empty()) {
    urls.emplace_back(kDefaultEntry);
  }
  for (auto& url : urls) {
    url = WithoutSlash(url);
  }
  return urls;
}

Result<CliExit> CheckSettings(const CommandLine& line) {
  std::string faults;
  const auto settings = ValueOr<daemon::SettingsFaults>(
      [&] { return daemon::LoadSettings(line.argument); },
      [&](const daemon::SettingsFaults& error) {
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

// An answer may take as long as its deadline; giving up earlier would leave the
// outcome open for nothing.
Result<std::int64_t> TimeoutOf(const CommandLine& line) {
  BOOST_LEAF_AUTO(timeout, line.Integer("timeout-ms", 1, kMaxTimeoutMs));
  if (timeout.has_value() || line.command->name != "request") {
    return timeout.value_or(kDefaultTimeoutMs);
  }
  BOOST_LEAF_AUTO(deadline, line.Integer("deadline-ms", 0, kMaxTimeoutMs));
  return std::max(kDefaultTimeoutMs, deadline.value_or(0) + kAnswerMarginMs);
}

Result<CliExit> RunWithEntry(const CommandLine& line) {
  BOOST_LEAF_AUTO(timeout_ms, TimeoutOf(line));
  EntryCaller caller(EntriesOf(line), timeout_ms);
  const Session session{line, caller};
  const std::string_view name = line.command->name;
  if (auto result = RunListCommand(name, session)) {
    return std::move(*result);
  }
  if (name == "submit") {
    return Submit(session);
  }
  if (name == "status") {
    return ShowStatus(session);
  }
  if (name == "cancel") {
    return CancelJob(session);
  }
  if (name == "request") {
    return SendRequest(session);
  }
  if (name == "drain" || name == "undrain") {
    return SetDrain(session, name == "drain");
  }
  if (name == "rules check") {
    return CheckRules(session);
  }
  if (name == "rules diff") {
    return DiffRules(session);
  }
  if (name == "rules publish") {
    return PublishRules(session);
  }
  if (name == "rules show") {
    return ShowRules(session);
  }
  return Fail(CliError{CliExit::kInternal, "the command has no function"});
}

Result<CliExit> RunCommand(const std::vector<std::string>& arguments) {
  BOOST_LEAF_AUTO(line, ParseCommandLine(arguments));
  if (line.print.has_value()) {
    std::fputs(line.print->c_str(), stdout);
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
  return RunWithEntry(line);
}

}  // namespace

CliExit Run(const std::vector<std::string>& arguments) {
  CliExit failed = CliExit::kInternal;
  const auto exit = ValueOr<CliError>(
      [&] { return RunCommand(arguments); },
      [&](const CliError& error) {
        failed = error.exit;
        std::fprintf(stderr, "carobrill: %s\n", error.message.c_str());
        if (error.exit == CliExit::kUsage) {
          std::fputs("Try carobrill --help.\n", stderr);
        }
      });
  return exit.value_or(failed);
}

}  // namespace carobrill::cli
