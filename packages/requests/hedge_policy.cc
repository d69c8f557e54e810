#include "packages/requests/hedge_policy.h"

#include <algorithm>

namespace carobrill::requests {
namespace {

constexpr std::uint32_t kStragglerPercentile = 95;

// With fewer than 20 samples the 95th percentile is the maximum.
constexpr std::uint32_t kMinSamples = 20;

// The latency of very short requests varies by more than their run time.
constexpr std::int64_t kMinDelayMs = 10;

// Hedging at the percentile itself spends the budget on requests about to be
// answered when run times are nearly equal, and leaves none for stragglers: p99
// was 1002 ms with and without hedging.
constexpr std::int64_t kMarginDivisor = 4;

constexpr std::uint32_t kReservedHedges = 2;

}  // namespace

HedgePolicy::HedgePolicy(bool enabled, std::uint32_t percent)
    : enabled(enabled), budget(percent, kReservedHedges) {}

std::optional<std::int64_t> HedgePolicy::DelayMs(
    const RunTimeModel& model,
    const ServiceId& service,
    const std::string& kind) const {
  if (!this->enabled) {
    return std::nullopt;
  }
  const auto quantile =
      model.Quantile(service, kind, kStragglerPercentile, kMinSamples);
  if (!quantile) {
    return std::nullopt;
  }
  return std::max(kMinDelayMs, *quantile + *quantile / kMarginDivisor);
}

}  // namespace carobrill::requests
