#ifndef PACKAGES_TESTING_LOAD_PLAN_H_
#define PACKAGES_TESTING_LOAD_PLAN_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobrill::testing {

/// Request classes, in the order used by all arrays below.
inline constexpr std::array<std::string_view, 3> kLoadClasses = {
    "urgent", "normal", "batch"};

/// Settings of a generated load.
struct LoadSettings {
  std::vector<std::string> urls;
  std::string service = "checks";
  std::string account = "acme";
  std::uint32_t count = 1'000;
  double rate_per_second = 100;
  /// Relative weights of the classes.
  std::array<std::uint32_t, 3> class_weights = {1, 1, 1};
  std::uint32_t non_idempotent_percent = 0;
  /// Share of requests that run for `long_run_ms` instead of `run_ms`.
  std::uint32_t long_percent = 0;
  std::int64_t run_ms = 20;
  std::int64_t long_run_ms = 1'000;
  std::int64_t deadline_ms = 30'000;
  std::uint64_t seed = 7;
};

/// Validates load settings. Returns an error message, or an empty string if
/// they are valid. Loads are limited in size and rate and target only loopback.
std::string CheckLoad(const LoadSettings& settings);

/// One request of a load plan.
struct PlannedRequest {
  /// Send time relative to the start, in microseconds.
  std::int64_t due_us = 0;
  std::size_t class_index = 0;
  bool idempotent = true;
  bool is_long = false;
  std::size_t url_index = 0;
  /// Unique within the plan; used as the payload and in the Idempotency-Key.
  std::string name;
};

/// Generates the requests of a load, ordered by time. Arrivals form a Poisson
/// process. The same settings always give the same plan.
std::vector<PlannedRequest> PlanLoad(const LoadSettings& settings);

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_LOAD_PLAN_H_
