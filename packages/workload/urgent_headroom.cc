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

/// With less of the capacity in use, other jobs may use all of it: preemption
/// is unlikely, and idle workers serve no one.
constexpr double kMinUsedShare = 0.6;

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

double UrgentHeadroom::ShareFor(const ServiceId& service,
                                double used_share) const {
  const auto demand = this->demands.find(service);
  if (demand == this->demands.end() || used_share < kMinUsedShare) {
    return 0;
  }
  return std::min(kMaxShare, kMargin * demand->second.peak);
}

}  // namespace carobrill::workload
