#ifndef PACKAGES_GATEWAY_LEASE_BOUNDS_H_
#define PACKAGES_GATEWAY_LEASE_BOUNDS_H_

#include <cstdint>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/gateway/planner_lease.h"

namespace carobrill::gateway {

/// Returns how long a lease of `granted_ms` may last on a worker, in ms.
std::int64_t MaxLeaseDurationMs(std::int64_t granted_ms);

/// Returns the latest time (boot clock) at which a process may have started
/// that gave its age, in ms, in an answer received at `answered_at`.
Instant LatestProcessStart(Instant answered_at, std::int64_t age_ms);

/// Times that limit the leases of a planner, in ms.
struct LeaseLimits {
  /// As WorkerLinkSettings::lease_ms.
  std::int64_t lease_ms = 0;
  /// As PlannerSessionSettings::max_store_outage_ms.
  std::int64_t max_store_outage_ms = 0;
};

/// Returns how long leases of earlier planners may last after a claim by `own`
/// that takes over from the planner with the record `previous`, in ms.
std::int64_t EarlierLeasesMs(const PlannerClaim& previous,
                             const InstanceId& own,
                             const LeaseLimits& limits);

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_LEASE_BOUNDS_H_
