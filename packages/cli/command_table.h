#ifndef PACKAGES_CLI_COMMAND_TABLE_H_
#define PACKAGES_CLI_COMMAND_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

namespace carobrill::cli {

/// Description of one command-line option.
struct OptionDescription {
  std::string_view name;
  /// Placeholder for the value in the help; empty for a flag.
  std::string_view value_name;
  std::string_view help;
  /// Short option character; 0 for none.
  char short_name = 0;
};

/// Positional argument that a command takes.
enum class ArgumentKind { kNone, kJob, kWorker, kService, kFile };

/// Description of one command.
struct CommandDescription {
  /// Command and optional subcommand, for example "rules check".
  std::string_view name;
  ArgumentKind argument = ArgumentKind::kNone;
  std::string_view summary;
  std::vector<OptionDescription> options;
};

/// All commands, in the order in which the help lists them.
const std::vector<CommandDescription>& AllCommands();

/// Options accepted by every command.
const std::vector<OptionDescription>& GlobalOptions();

/// Placeholder for an argument in the help, for example "JOB".
std::string_view ArgumentName(ArgumentKind kind);

/// Help text of the program.
std::string ProgramHelp();

/// Help text of the commands in `group`, for example "rules".
std::string GroupHelp(std::string_view group);

/// Help text of one command.
std::string CommandHelp(const CommandDescription& command);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_COMMAND_TABLE_H_
