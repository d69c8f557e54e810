#include "tests/soak/options.h"

#include <getopt.h>
#include <unistd.h>

#include <charconv>
#include <cstdio>
#include <sstream>
#include <string_view>

#include "tests/soak/fault_series.h"

namespace carobrill::soak {
namespace {

constexpr const char* kUsage =
    "usage: carobrill_soak --program PATH [OPTIONS]\n"
    "  --seed N        seed of faults and traffic (1)\n"
    "  --seconds N     duration of the faults, 1 to 3600 (30)\n"
    "  --gateways N    1 to 16 (3)\n"
    "  --agents N      1 to 64 (11)\n"
    "  --faults LIST   names with commas in between (all)\n"
    "  --gap-ms N      mean time between the starts of two series, 100 to "
    "60000 (2500)\n"
    "  --held WHAT     bytes that a cut holds back: release, drop or either "
    "(either)\n"
    "  --wide-percent N  share of jobs of hundreds of tasks, 0 to 100 (0)\n"
    "  --schedules N   schedules of thousands of occurrences, 0 to 100 (0)\n"
    "  --logs FOLDER   new folder for settings and logs (a temporary one)\n"
    "  --keep-logs     keep the folder also when all rules held\n";

bool ReadNumber(std::string_view text,
                std::int64_t least,
                std::int64_t most,
                std::int64_t& value) {
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() && result.ptr == text.data() + text.size() &&
         value >= least && value <= most;
}

bool ReadFaults(const std::string& list, std::set<std::string>& faults) {
  std::istringstream names(list);
  std::string name;
  while (std::getline(names, name, ',')) {
    if (!FaultNames().contains(name)) {
      return false;
    }
    faults.insert(name);
  }
  return !faults.empty();
}

bool ReadHeld(std::string_view text, HeldBytes& held) {
  held = text == "release" ? HeldBytes::kRelease
         : text == "drop"  ? HeldBytes::kDrop
                           : HeldBytes::kEither;
  return text == "release" || text == "drop" || text == "either";
}

bool Apply(char name, const std::string& text, Options& options) {
  constexpr std::int64_t kMaxSeed = 1'000'000'000;
  std::int64_t number = 0;
  switch (name) {
    case 'p':
      options.program = text;
      return access(text.c_str(), X_OK) == 0;
    case 's':
      if (!ReadNumber(text, 0, kMaxSeed, number)) {
        return false;
      }
      options.seed = static_cast<std::uint64_t>(number);
      return true;
    case 't':
      return ReadNumber(text, 1, 3600, options.seconds);
    case 'g':
      if (!ReadNumber(text, 1, 16, number)) {
        return false;
      }
      options.gateways = static_cast<int>(number);
      return true;
    case 'a':
      if (!ReadNumber(text, 1, 64, number)) {
        return false;
      }
      options.agents = static_cast<int>(number);
      return true;
    case 'f':
      return ReadFaults(text, options.faults);
    case 'm':
      return ReadNumber(text, 100, 60'000, options.fault_gap_ms);
    case 'h':
      return ReadHeld(text, options.held);
    case 'w':
      if (!ReadNumber(text, 0, 100, number)) {
        return false;
      }
      options.wide_percent = static_cast<int>(number);
      return true;
    case 'c':
      if (!ReadNumber(text, 0, 100, number)) {
        return false;
      }
      options.schedules = static_cast<int>(number);
      return true;
    case 'l':
      options.folder = text;
      return !text.empty();
    case 'k':
      options.keep_logs = true;
      return true;
    default:
      return false;
  }
}

}  // namespace

std::optional<Options> ParseOptions(int argc, char** argv) {
  static constexpr option kOptions[] = {
      {"program", required_argument, nullptr, 'p'},
      {"seed", required_argument, nullptr, 's'},
      {"seconds", required_argument, nullptr, 't'},
      {"gateways", required_argument, nullptr, 'g'},
      {"agents", required_argument, nullptr, 'a'},
      {"faults", required_argument, nullptr, 'f'},
      {"gap-ms", required_argument, nullptr, 'm'},
      {"held", required_argument, nullptr, 'h'},
      {"wide-percent", required_argument, nullptr, 'w'},
      {"schedules", required_argument, nullptr, 'c'},
      {"logs", required_argument, nullptr, 'l'},
      {"keep-logs", no_argument, nullptr, 'k'},
      {nullptr, 0, nullptr, 0}};
  Options options;
  bool ok = true;
  int index = 0;
  int name = 0;
  while ((name = getopt_long(argc, argv, "", kOptions, &index)) != -1) {
    const std::string text = optarg == nullptr ? "" : optarg;
    if (!Apply(static_cast<char>(name), text, options)) {
      if (name != '?') {
        std::fprintf(stderr, "--%s: invalid value \"%s\"\n",
                     kOptions[index].name, text.c_str());
      }
      ok = false;
    }
  }
  if (optind < argc) {
    std::fprintf(stderr, "unexpected argument \"%s\"\n", argv[optind]);
    ok = false;
  }
  if (ok && options.program.empty()) {
    std::fprintf(stderr, "--program is missing\n");
    ok = false;
  }
  if (!ok) {
    std::fputs(kUsage, stderr);
    for (const std::string& fault : FaultNames()) {
      std::fprintf(stderr, "  fault %s\n", fault.c_str());
    }
    return std::nullopt;
  }
  if (options.faults.empty()) {
    options.faults = FaultNames();
  }
  return options;
}

}  // namespace carobrill::soak
