#include "packages/requests/hedge_policy.h"

#include <algorithm>

namespace carobrill::requests {
namespace {

constexpr std::uint32_t kStragglerPercentile = 95;

// Below 20 samples the 95th percentile is the maximum seen.
constexpr std::uint32_t kMinSamples = 20;

// Replies of very short work vary by more than their length.
constexpr std::int64_t kMinDelayMs = 10;

// When nearly all requests take the same time, a hedge at the percentile itself
// races with their replies: it spent the whole budget on them and left none for
// stragglers (p99 1002 ms with and without hedging).
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
