#ifndef TESTS_SOAK_OPTIONS_H_
#define TESTS_SOAK_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace carobrill::soak {

/// What happens to bytes that a cut holds back.
enum class HeldBytes { kRelease, kDrop, kEither };

struct Options {
  std::string program;
  std::uint64_t seed = 1;
  std::int64_t seconds = 30;
  int gateways = 3;
  int agents = 11;
  HeldBytes held = HeldBytes::kEither;
  /// Names of the fault series to play; see FaultNames().
  std::set<std::string> faults;
  /// Mean time between the starts of two fault series.
  std::int64_t fault_gap_ms = 2'500;
  /// Share of the jobs that have hundreds of tasks, in percent.
  int wide_percent = 0;
  /// Number of schedules of thousands of occurrences that are not due yet.
  int schedules = 0;
  /// Folder of settings and logs; a temporary one if empty.
  std::string folder;
  bool keep_logs = false;
};

/// Parses the command line. On errors, prints them with the usage and returns
/// nothing.
std::optional<Options> ParseOptions(int argc, char** argv);

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_OPTIONS_H_
