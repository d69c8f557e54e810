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
  // 0 resets the internal state of GNU getopt, so that parsing can be repeated.
  optind = 0;
  while (true) {
    const int option_code = getopt_long(count, pointers.data(), ":s:cVh",
                                        kLongOptions.data(), nullptr);
    if (option_code == -1) {
      break;
    }
    switch (option_code) {
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
        return UsageError{"option " + arguments.at(optind - 1) +
                          " requires a value"};
      default:
        return UsageError{"option " + arguments.at(optind - 1) +
                          " is not recognized"};
    }
  }
  if (optind < count) {
    return UsageError{"unexpected argument " + std::string(pointers[optind])};
  }
  if (options.settings_path.empty()) {
    return UsageError{"required option --settings FILE is missing"};
  }
  return options;
}

std::string DaemonHelp() {
  std::string text =
      "Usage: carobrilld --settings FILE [--check]\n"
      "Runs the role configured in the settings, for example entry or "
      "agent.\n\n"
      "  -s, --settings FILE  read the settings from FILE\n"
      "  -c, --check          check the settings and exit\n"
      "  -V, --version        print the version and exit\n"
      "  -h, --help           print this text and exit\n\n"
      "SIGTERM and SIGINT start a graceful shutdown; a second signal forces\n"
      "the process to exit immediately.\n\n"
      "Exit codes:\n";
  for (const auto& [code, meaning] : NamesOf(ExitCode{}).entries) {
    text += "  " + std::to_string(static_cast<int>(code)) + "  " +
            std::string(meaning) + "\n";
  }
  return text;
}

}  // namespace carobrill::daemon
