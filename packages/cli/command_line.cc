#include "packages/cli/command_line.h"

#include <getopt.h>

#include <charconv>
#include <utility>

#include "packages/cli/cli_error.h"

namespace carobrill::cli {
namespace {

// First value that getopt_long returns for long options; above every character
// code, so that it cannot collide with a short option.
constexpr int kFirstLongOptionCode = 1000;

boost::leaf::error_id UsageError(const std::string& message) {
  return Fail(CliError{CliExit::kUsage, message});
}

/// Option tables in the format of getopt_long.
struct GetoptTable {
  explicit GetoptTable(std::vector<OptionDescription> descriptions,
                       const std::string& prefix)
      : descriptions(std::move(descriptions)), short_options(prefix) {
    for (std::size_t i = 0; i < this->descriptions.size(); ++i) {
      const auto& option = this->descriptions[i];
      const int has_argument =
          option.value_name.empty() ? no_argument : required_argument;
      this->names.emplace_back(option.name);
      this->table.push_back({nullptr, has_argument, nullptr,
                             kFirstLongOptionCode + static_cast<int>(i)});
      if (option.short_name != 0) {
        this->short_options += option.short_name;
        this->short_options += option.value_name.empty() ? "" : ":";
      }
    }
    for (std::size_t i = 0; i < this->table.size(); ++i) {
      this->table[i].name = this->names[i].c_str();
    }
    this->table.push_back({nullptr, 0, nullptr, 0});
  }

  const OptionDescription* Find(int found) const {
    for (std::size_t i = 0; i < this->descriptions.size(); ++i) {
      const bool is_long = found == kFirstLongOptionCode + static_cast<int>(i);
      if (is_long ||
          (found != 0 && found == this->descriptions[i].short_name)) {
        return &this->descriptions[i];
      }
    }
    return nullptr;
  }

  std::vector<OptionDescription> descriptions;
  std::string short_options;
  std::vector<std::string> names;
  std::vector<option> table;
};

/// Adds the options in `arguments` to `line` and returns the other arguments.
/// The first element is skipped.
Result<std::vector<std::string>> ParseOptions(
    GetoptTable options,
    std::vector<std::string> arguments,
    CommandLine& line) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (auto& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  const int count = static_cast<int>(arguments.size());
  // In GNU getopt, 0 resets the scanner.
  optind = 0;
  while (true) {
    const int found =
        getopt_long(count, pointers.data(), options.short_options.c_str(),
                    options.table.data(), nullptr);
    if (found == -1) {
      break;
    }
    const std::string word = pointers[optind - 1];
    if (found == ':') {
      return UsageError("the option " + word + " needs a value");
    }
    const auto* option = options.Find(found);
    if (option == nullptr) {
      return UsageError("the option " + word + " is not recognized");
    }
    line.options[std::string(option->name)].emplace_back(
        option->value_name.empty() ? "" : optarg);
  }
  return std::vector<std::string>(pointers.begin() + optind,
                                  pointers.begin() + count);
}

const CommandDescription* FindCommand(const std::vector<std::string>& words,
                                      std::size_t& word_count) {
  for (const auto& command : AllCommands()) {
    if (words.front() == command.name) {
      word_count = 1;
      return &command;
    }
    if (words.size() > 1 && words[0] + " " + words[1] == command.name) {
      word_count = 2;
      return &command;
    }
  }
  return nullptr;
}

bool IsCommandGroup(const std::string& word) {
  for (const auto& command : AllCommands()) {
    if (command.name.starts_with(word + " ")) {
      return true;
    }
  }
  return false;
}

// Handles a group name without a valid subcommand: "rules", "rules --help",
// "rules wrong".
Result<CommandLine> ParseGroup(const std::vector<std::string>& words) {
  const std::string& group = words.front();
  if (words.size() > 1 && (words[1] == "--help" || words[1] == "-h")) {
    CommandLine line;
    line.info_text = GroupHelp(group);
    return line;
  }
  if (words.size() == 1) {
    return UsageError("the command '" + group + "' needs a subcommand");
  }
  return UsageError("the command '" + group + " " + words[1] +
                    "' is not known");
}

Result<void> ParseArgument(const std::vector<std::string>& words,
                           CommandLine& line) {
  const auto& command = *line.command;
  const std::size_t expected = command.argument == ArgumentKind::kNone ? 0 : 1;
  if (words.size() > expected) {
    return UsageError("unexpected argument '" + words[expected] + "'");
  }
  if (words.size() < expected) {
    return UsageError(std::string(ArgumentName(command.argument)) +
                      " is missing");
  }
  if (expected == 1) {
    line.argument = words.front();
  }
  return {};
}

/// Sets `info_text` if the command line asks for help or the version.
void SetHelpOrVersionText(CommandLine& line, const std::string& help) {
  if (line.Has("help")) {
    line.info_text = help;
  } else if (line.Has("version")) {
    line.info_text = "carobrill " CAROBRILL_VERSION "\n";
  }
}

}  // namespace

bool CommandLine::Has(std::string_view option) const {
  return this->options.contains(option);
}

std::optional<std::string> CommandLine::Value(std::string_view option) const {
  const auto found = this->options.find(option);
  if (found == this->options.end()) {
    return std::nullopt;
  }
  return found->second.back();
}

Result<std::optional<std::int64_t>> CommandLine::Integer(
    std::string_view option,
    std::int64_t min,
    std::int64_t max) const {
  const auto text = this->Value(option);
  if (!text.has_value()) {
    return std::optional<std::int64_t>();
  }
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value < min ||
      value > max) {
    return UsageError("--" + std::string(option) + " must be an integer from " +
                      std::to_string(min) + " to " + std::to_string(max));
  }
  return std::optional(value);
}

Result<CommandLine> ParseCommandLine(std::vector<std::string> arguments) {
  CommandLine line;
  // "+" stops parsing at the command name, because the options of the command
  // are not known yet.
  BOOST_LEAF_AUTO(words, ParseOptions(GetoptTable(GlobalOptions(), "+:"),
                                      std::move(arguments), line));
  SetHelpOrVersionText(line, ProgramHelp());
  if (line.info_text.has_value()) {
    return line;
  }
  if (words.empty()) {
    return UsageError("a command is missing");
  }
  std::size_t word_count = 0;
  line.command = FindCommand(words, word_count);
  if (line.command == nullptr) {
    if (IsCommandGroup(words.front())) {
      return ParseGroup(words);
    }
    return UsageError("the command '" + words.front() + "' is not known");
  }
  auto options = GlobalOptions();
  options.insert(options.end(), line.command->options.begin(),
                 line.command->options.end());
  // The last word of the command stands in for argv[0], which getopt skips.
  words.erase(words.begin(),
              words.begin() + static_cast<std::ptrdiff_t>(word_count - 1));
  BOOST_LEAF_AUTO(rest, ParseOptions(GetoptTable(std::move(options), ":"),
                                     std::move(words), line));
  SetHelpOrVersionText(line, CommandHelp(*line.command));
  if (!line.info_text.has_value()) {
    BOOST_LEAF_CHECK(ParseArgument(rest, line));
  }
  return line;
}

}  // namespace carobrill::cli
