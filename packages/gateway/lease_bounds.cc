#include "packages/gateway/lease_bounds.h"

#include <algorithm>

namespace carobrill::gateway {
namespace {

/// Clock rates may differ by 2 %. The rest covers rounding and the delay of a
/// lease from the agent to its worker.
constexpr std::int64_t kClockDriftPercent = 3;
constexpr std::int64_t kLeaseMarginMs = 150;

constexpr std::int64_t kPercent = 100;

}  // namespace

std::int64_t MaxLeaseDurationMs(std::int64_t granted_ms) {
  return granted_ms * (kPercent + kClockDriftPercent) / kPercent +
         kLeaseMarginMs;
}

Instant LatestProcessStart(Instant answered_at, std::int64_t age_ms) {
  return answered_at.After(-age_ms * (kPercent - kClockDriftPercent) /
                           kPercent);
}

// A planner that resigns, or whose process is known to have ended, grants no
// lease that ends later than one that starts now. Any other one may not know
// of the claim, and goes on until it has been without the store for too long.
std::int64_t EarlierLeasesMs(const PlannerClaim& previous,
                             const InstanceId& own,
                             const LeaseLimits& limits) {
  const std::int64_t longest_ms =
      MaxLeaseDurationMs(limits.max_store_outage_ms);
  const bool grants_no_more =
      previous.resigned || (!own.empty() && previous.instance == own);
  if (!grants_no_more || !previous.earlier_leases_left_ms.has_value()) {
    return longest_ms;
  }
  // The record may be one of another writer.
  const std::int64_t before_previous_ms =
      std::clamp<std::int64_t>(*previous.earlier_leases_left_ms, 0, longest_ms);
  return std::max(MaxLeaseDurationMs(limits.lease_ms), before_previous_ms);
}

}  // namespace carobrill::gateway
