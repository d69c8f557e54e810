#include "packages/cli/command_table.h"

#include <algorithm>

#include "packages/cli/cli_error.h"

namespace carobrill::cli {
namespace {

using Options = std::vector<OptionDescription>;

constexpr std::size_t kHelpColumn = 28;

constexpr OptionDescription kAccount = {"account", "NAME", "client account"};
constexpr OptionDescription kClass = {"class", "CLASS",
                                      "urgent, normal or batch"};
constexpr OptionDescription kKind = {
    "kind", "NAME", "kind of work; run times are learned per kind"};
constexpr OptionDescription kRun = {"expected-run-ms", "MS",
                                    "declared run time"};
constexpr OptionDescription kDeadline = {"deadline-ms", "MS",
                                         "time until the result is needed"};
constexpr OptionDescription kIdempotent = {
    "idempotent", "",
    "the work may run more than once (default: at most once)"};
constexpr OptionDescription kPayload = {"payload", "TEXT", "input of the work"};
constexpr OptionDescription kPayloadFile = {"payload-file", "FILE",
                                            "input of the work, from a file"};
constexpr OptionDescription kKey = {
    "key", "KEY", "Idempotency-Key; give the same one to repeat a call"};
constexpr OptionDescription kReason = {"reason", "TEXT", "for the audit trail"};
constexpr OptionDescription kLimit = {"limit", "N",
                                      "show at most N (default: all)"};

Options SubmitOptions() {
  return {
      {"file", "FILE", "job as JSON; options override its fields"},
      kAccount,
      kClass,
      kKind,
      {"members", "N", "members of the gang (default 1)"},
      {"accelerators", "N", "accelerators of a member, a power of two"},
      {"cores", "N", "cores of a member"},
      {"memory-mb", "MIB", "memory of a member"},
      {"adjacent", "LEVEL", "none, worker, rack or failure_domain"},
      kRun,
      kIdempotent,
      {"preemption", "HOW", "never, stop or checkpoint"},
      kDeadline,
      kPayload,
      kPayloadFile,
      kKey,
      {"wait", "", "wait until the job has ended"},
      {"wait-limit-s", "S", "longest wait (default: none)"},
  };
}

Options RequestOptions() {
  return {kAccount,
          kClass,
          kKind,
          kRun,
          kIdempotent,
          kDeadline,
          kPayload,
          kPayloadFile,
          kKey,
          {"hold-during-outage", "",
           "wait for the log service instead of being refused"}};
}

std::vector<CommandDescription> MakeCommands() {
  using enum ArgumentKind;
  return {
      {"submit", kNone, "queue a job", SubmitOptions()},
      {"status", kJob, "show a job, and why it waits", {}},
      {"cancel", kJob, "cancel a job", {}},
      {"queue",
       kNone,
       "list the jobs that wait, each with the reason",
       {kAccount, kClass, kLimit}},
      {"jobs",
       kNone,
       "list jobs",
       {kAccount,
        kClass,
        {"state", "STATE", "only jobs in this state"},
        kLimit}},
      {"request", kService, "send a short request to a service",
       RequestOptions()},
      {"rules check", kFile, "check a rule file against the installation", {}},
      {"rules diff", kFile, "compare a rule file with the rules in force", {}},
      {"rules publish",
       kFile,
       "put a rule file in force",
       {{"author", "NAME", "who publishes it (default: the user's name)"},
        {"base", "VERSION",
         "version that the file was based on (default: the one in force)"}}},
      {"rules show", kNone, "print the rules in force", {}},
      {"rules history", kNone, "list the published versions", {kLimit}},
      {"accounts", kNone, "list client accounts and guarantees", {kLimit}},
      {"workers", kNone, "list workers", {kLimit}},
      {"endpoints", kNone, "list service endpoints", {kLimit}},
      {"instances", kNone, "list instances of carobrilld", {kLimit}},
      {"audit", kNone, "list the changes", {kLimit}},
      {"drain", kWorker, "stop assigning new tasks to a worker", {kReason}},
      {"undrain", kWorker, "return a worker to service", {kReason}},
      {"explain",
       kJob,
       "print the log lines about a job",
       {{"file", "FILE", "log lines (default: standard input)"}}},
      {"settings check", kFile, "check a settings file of carobrilld", {}},
      {"settings list", kNone, "print all settings as a Markdown table", {}},
  };
}

std::string OptionHelpLine(const OptionDescription& option) {
  std::string line = "  ";
  if (option.short_name != 0) {
    line += std::string("-") + option.short_name + ", ";
  }
  line += "--" + std::string(option.name);
  if (!option.value_name.empty()) {
    line += " " + std::string(option.value_name);
  }
  line.resize(std::max(line.size() + 2, kHelpColumn), ' ');
  return line + std::string(option.help) + "\n";
}

std::string CommandHelpLine(const CommandDescription& command) {
  std::string line = "  " + std::string(command.name);
  if (command.argument != ArgumentKind::kNone) {
    line += " " + std::string(ArgumentName(command.argument));
  }
  line.resize(std::max(line.size() + 2, kHelpColumn), ' ');
  return line + std::string(command.summary) + "\n";
}

std::string GlobalOptionsHelp() {
  std::string text = "\nOptions of every command:\n";
  for (const auto& option : GlobalOptions()) {
    text += OptionHelpLine(option);
  }
  return text;
}

std::string ExitCodesHelp() {
  std::string text = "\nExit codes:\n";
  for (const auto& [code, meaning] : NamesOf(CliExit{}).entries) {
    text += "  " + std::to_string(static_cast<int>(code)) + "  " +
            std::string(meaning) + "\n";
  }
  return text;
}

}  // namespace

const std::vector<CommandDescription>& AllCommands() {
  static const std::vector<CommandDescription> commands = MakeCommands();
  return commands;
}

const std::vector<OptionDescription>& GlobalOptions() {
  static const Options options = {
      {"entry", "URL",
       "entry to call; may be repeated, then they are tried in turn "
       "(default: $CAROBRILL_ENTRIES, else http://127.0.0.1:8080)",
       'e'},
      {"json", "", "print the answer as JSON", 'j'},
      {"timeout-ms", "MS", "longest wait for one answer (default 60000)"},
      {"version", "", "print the version", 'V'},
      {"help", "", "print help", 'h'},
  };
  return options;
}

std::string_view ArgumentName(ArgumentKind kind) {
  switch (kind) {
    case ArgumentKind::kJob:
      return "JOB";
    case ArgumentKind::kWorker:
      return "WORKER";
    case ArgumentKind::kService:
      return "SERVICE";
    case ArgumentKind::kFile:
      return "FILE";
    case ArgumentKind::kNone:
      break;
  }
  return "";
}

std::string ProgramHelp() {
  std::string text =
      "Usage: carobrill [--entry URL]... [--json] COMMAND [OPTION]... "
      "[ARGUMENT]\n\nCommands:\n";
  for (const auto& command : AllCommands()) {
    text += CommandHelpLine(command);
  }
  return text + GlobalOptionsHelp() + ExitCodesHelp() +
         "\n'carobrill COMMAND --help' describes a command.\n";
}

std::string GroupHelp(std::string_view group) {
  const std::string prefix = std::string(group) + " ";
  std::string text = "Usage: carobrill " + prefix + "COMMAND\n\nCommands:\n";
  for (const auto& command : AllCommands()) {
    if (command.name.starts_with(prefix)) {
      text += CommandHelpLine(command);
    }
  }
  return text + GlobalOptionsHelp();
}

std::string CommandHelp(const CommandDescription& command) {
  std::string text = "Usage: carobrill " + std::string(command.name);
  if (!command.options.empty()) {
    text += " [OPTION]...";
  }
  if (command.argument != ArgumentKind::kNone) {
    text += " " + std::string(ArgumentName(command.argument));
  }
  text += "\n" + std::string(command.summary) + "\n";
  if (!command.options.empty()) {
    text += "\nOptions:\n";
  }
  for (const auto& option : command.options) {
    text += OptionHelpLine(option);
  }
  return text + GlobalOptionsHelp();
}

}  // namespace carobrill::cli
