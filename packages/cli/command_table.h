#ifndef PACKAGES_CLI_COMMAND_TABLE_H_
#define PACKAGES_CLI_COMMAND_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

namespace carobrill::cli {

/// One long option.
struct OptionDescription {
  std::string_view name;
  /// Name of its value in the help; empty when it takes none.
  std::string_view value_name;
  std::string_view help;
  /// Letter of its short form; 0 for none.
  char short_name = 0;
};

/// What the words after the options are.
enum class ArgumentKind { kNone, kJob, kWorker, kService, kFile };

/// One command.
struct CommandDescription {
  /// One or two words, for example "rules check".
  std::string_view name;
  ArgumentKind argument = ArgumentKind::kNone;
  std::string_view summary;
  std::vector<OptionDescription> options;
};

/// All commands, in the order of the help.
const std::vector<CommandDescription>& AllCommands();

/// Options that every command takes.
const std::vector<OptionDescription>& GlobalOptions();

/// The name of an argument in the help, for example "JOB".
std::string_view ArgumentName(ArgumentKind kind);

/// Help of the program.
std::string ProgramHelp();

/// Help of all commands that start with `group`, for example "rules".
std::string GroupHelp(std::string_view group);

/// Help of one command.
std::string CommandHelp(const CommandDescription& command);

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_COMMAND_TABLE_H_
