#ifndef PACKAGES_TESTING_LOAD_PLAN_H_
#define PACKAGES_TESTING_LOAD_PLAN_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobrill::testing {

/// Classes of requests, in the order of all arrays below.
inline constexpr std::array<std::string_view, 3> kLoadClasses = {
    "urgent", "normal", "batch"};

/// What load is sent.
struct LoadSettings {
  std::vector<std::string> urls;
  std::string service = "checks";
  std::string account = "acme";
  std::uint32_t count = 1'000;
  double rate_per_second = 100;
  /// Weights of the classes.
  std::array<std::uint32_t, 3> class_weights = {1, 1, 1};
  std::uint32_t non_idempotent_percent = 0;
  /// Requests that run for `long_run_ms` instead of `run_ms`.
  std::uint32_t long_percent = 0;
  std::int64_t run_ms = 20;
  std::int64_t long_run_ms = 1'000;
  std::int64_t deadline_ms = 30'000;
  std::uint64_t seed = 7;
};

/// Why settings of a load are refused; empty when they are valid. Loads are
/// bounded and stay on the loopback address.
std::string CheckLoad(const LoadSettings& settings);

/// One request of a load.
struct PlannedRequest {
  /// Time after the start, in microseconds.
  std::int64_t due_us = 0;
  std::size_t class_index = 0;
  bool idempotent = true;
  bool is_long = false;
  std::size_t url_index = 0;
  /// Unique in the load; the payload, and a part of the Idempotency-Key.
  std::string name;
};

/// The requests of a load, in order of time. Arrivals are a Poisson process.
/// The same settings give the same plan.
std::vector<PlannedRequest> PlanLoad(const LoadSettings& settings);

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_LOAD_PLAN_H_
