#include "packages/workload/urgent_headroom.h"

#include <algorithm>

namespace carobrill::workload {
namespace {

/// Time in which a peak of half of the capacity decreases to nothing.
constexpr double kDecayMs = 12'000;

/// Held share relative to the recent peak, since demand may still grow.
constexpr double kMargin = 1.25;

/// Other jobs keep at least the rest.
constexpr double kMaxShare = 0.5;

/// With less of the capacity in use, other jobs may use all of it after a short
/// wait: idle workers serve no one. The platform counts a job as lost that
/// waits for 3 s while less than half is in use.
constexpr double kMinUsedShare = 0.5;
constexpr std::int64_t kMaxWaitMs = 1'000;

}  // namespace

void UrgentHeadroom::Observe(const ServiceId& service,
                             double share,
                             Instant now) {
  Demand& demand = this->demands[service];
  const double decay = kMaxShare *
                       static_cast<double>(now.ms - demand.observed_at.ms) /
                       kDecayMs;
  demand.peak = std::max({share, demand.peak - decay, 0.0});
  demand.observed_at = now;
}

double UrgentHeadroom::ShareFor(const ServiceId& service) const {
  const auto demand = this->demands.find(service);
  return demand == this->demands.end()
             ? 0
             : std::min(kMaxShare, kMargin * demand->second.peak);
}

bool UrgentHeadroom::Admits(double used_share,
                            Instant waiting_since,
                            Instant now) {
  return used_share < kMinUsedShare && now >= waiting_since.After(kMaxWaitMs);
}

}  // namespace carobrill::workload
