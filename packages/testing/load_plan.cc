#include "packages/testing/load_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace carobrill::testing {
namespace {

constexpr std::uint32_t kMaxCount = 1'000'000;
constexpr double kMaxRate = 20'000;
constexpr std::uint32_t kPercent = 100;
constexpr double kMicrosPerSecond = 1e6;

/// SplitMix64. The standard library distributions differ between
/// implementations, so a seed would not determine the load.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state(seed) {}

  std::uint64_t Next() {
    this->state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = this->state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  /// Returns a number below `bound`.
  std::uint64_t Below(std::uint64_t bound) { return this->Next() % bound; }

  /// Returns a number in (0, 1].
  double Fraction() {
    return static_cast<double>((this->Next() >> 11) + 1) * 0x1.0p-53;
  }

 private:
  std::uint64_t state;
};

std::size_t PickClass(const LoadSettings& settings, Random& random) {
  const auto& weights = settings.class_weights;
  const auto total =
      std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
  auto left = random.Below(total);
  for (std::size_t i = 0; i < weights.size(); ++i) {
    if (left < weights[i]) {
      return i;
    }
    left -= weights[i];
  }
  return weights.size() - 1;
}

bool IsLoopbackUrl(const std::string& url) {
  return url.starts_with("http://127.0.0.1:") ||
         url.starts_with("http://[::1]:");
}

}  // namespace

std::string CheckLoad(const LoadSettings& settings) {
  if (settings.urls.empty()) {
    return "at least one --entry is required";
  }
  if (!std::all_of(settings.urls.begin(), settings.urls.end(), IsLoopbackUrl)) {
    return "entries must be on the loopback address";
  }
  if (settings.count == 0 || settings.count > kMaxCount) {
    return "--count must be from 1 to 1000000";
  }
  if (!(settings.rate_per_second > 0 && settings.rate_per_second <= kMaxRate)) {
    return "--rate must be above 0 and at most 20000";
  }
  if (settings.non_idempotent_percent > kPercent ||
      settings.long_percent > kPercent) {
    return "percentages must be at most 100";
  }
  const auto& weights = settings.class_weights;
  if (std::all_of(weights.begin(), weights.end(),
                  [](auto weight) { return weight == 0; })) {
    return "--mix must have at least one weight above 0";
  }
  return "";
}

std::vector<PlannedRequest> PlanLoad(const LoadSettings& settings) {
  Random random(settings.seed);
  std::vector<PlannedRequest> plan;
  plan.reserve(settings.count);
  double due_seconds = 0;
  for (std::uint32_t i = 0; i < settings.count; ++i) {
    PlannedRequest request;
    due_seconds -= std::log(random.Fraction()) / settings.rate_per_second;
    request.due_us = std::llround(due_seconds * kMicrosPerSecond);
    request.class_index = PickClass(settings, random);
    request.idempotent =
        random.Below(kPercent) >= settings.non_idempotent_percent;
    request.is_long = random.Below(kPercent) < settings.long_percent;
    request.url_index = random.Below(settings.urls.size());
    request.name =
        "load-" + std::to_string(settings.seed) + "-" + std::to_string(i);
    plan.push_back(std::move(request));
  }
  return plan;
}

}  // namespace carobrill::testing
