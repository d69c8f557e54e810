#include "packages/daemon/daemon_options.h"

#include <getopt.h>

#include <array>

namespace carobrill::daemon {
namespace {

constexpr int kSettingsOption = 's';
constexpr int kCheckOption = 'c';
constexpr int kVersionOption = 'V';
constexpr int kHelpOption = 'h';

constexpr std::array kLongOptions = {
    option{"settings", required_argument, nullptr, kSettingsOption},
    option{"check", no_argument, nullptr, kCheckOption},
    option{"version", no_argument, nullptr, kVersionOption},
    option{"help", no_argument, nullptr, kHelpOption},
    option{nullptr, 0, nullptr, 0},
};

}  // namespace

std::variant<DaemonOptions, UsageError> ParseDaemonOptions(
    std::vector<std::string> arguments) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (auto& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  const int count = static_cast<int>(arguments.size());
  DaemonOptions options;
  // 0 makes the GNU getopt start anew, also after an earlier parse.
  optind = 0;
  while (true) {
    const int found = getopt_long(count, pointers.data(), ":s:cVh",
                                  kLongOptions.data(), nullptr);
    if (found == -1) {
      break;
    }
    switch (found) {
      case kSettingsOption:
        options.settings_path = optarg;
        break;
      case kCheckOption:
        options.action = DaemonAction::kCheck;
        break;
      case kVersionOption:
        options.action = DaemonAction::kVersion;
        return options;
      case kHelpOption:
        options.action = DaemonAction::kHelp;
        return options;
      case ':':
        return UsageError{"the option " + arguments.at(optind - 1) +
                          " needs a value"};
      default:
        return UsageError{"the option " + arguments.at(optind - 1) +
                          " is not known"};
    }
  }
  if (optind < count) {
    return UsageError{"unexpected argument " + std::string(pointers[optind])};
  }
  if (options.settings_path.empty()) {
    return UsageError{"--settings FILE is missing"};
  }
  return options;
}

std::string DaemonHelp() {
  std::string text =
      "Usage: carobrilld --settings FILE [--check]\n"
      "Runs the role that the settings name: entry or agent.\n\n"
      "  -s, --settings FILE  read the settings from FILE\n"
      "  -c, --check          check the settings and end\n"
      "  -V, --version        print the version and end\n"
      "  -h, --help           print this text and end\n\n"
      "SIGTERM and SIGINT start a graceful shutdown; a second signal ends the\n"
      "process at once.\n\n"
      "Exit codes:\n";
  for (const auto& [code, meaning] : NamesOf(ExitCode{}).entries) {
    text += "  " + std::to_string(static_cast<int>(code)) + "  " +
            std::string(meaning) + "\n";
  }
  return text;
}

}  // namespace carobrill::daemon
