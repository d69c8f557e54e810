#ifndef PACKAGES_GATEWAY_PLANNER_LEASE_H_
#define PACKAGES_GATEWAY_PLANNER_LEASE_H_

#include <cstdint>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"

namespace carobrill::gateway {

/// Times of the planner's duty, in ms.
struct PlannerLeaseSettings {
  /// Silence of the planner after which another instance takes over. A slow
  /// store delays a heartbeat by up to 700 ms (two answers of 350 ms).
  std::int64_t takeover_ms = 1'200;
  /// Further wait per rank, so that instances do not claim at the same time.
  std::int64_t rank_delay_ms = 150;
};

/// The planner as the log shows it.
struct PlannerClaim {
  InstanceId instance;
  std::uint64_t epoch = 0;
  std::uint64_t beat = 0;
  bool resigned = false;
};

/// Decides when this instance claims the planner's duty. Instances do not
/// compare clocks: each measures the silence since it read the last heartbeat.
class PlannerLease {
 public:
  /// `rank` spreads the claims of several instances over time. A claim of
  /// `own` that this process has not made is that of an earlier process, which
  /// is gone, so it is taken over at once.
  PlannerLease(PlannerLeaseSettings settings,
               std::uint32_t rank,
               InstanceId own);

  /// Notes that this process claims `epoch`.
  void ObserveOwnClaim(std::uint64_t epoch) { this->claimed_epoch = epoch; }

  /// Notes a claim or heartbeat read from the log at `now` (boot clock).
  void Observe(const PlannerClaim& claim, Instant now);

  /// Notes that the log could not be read up to `now`, so that silence until
  /// then says nothing.
  void ObserveGap(Instant now);

  /// True when the duty is to be claimed.
  bool ShouldClaim(Instant now) const;

  /// Epoch of a new claim: higher than any that was read.
  std::uint64_t NextEpoch() const { return this->newest.epoch + 1; }

  const PlannerClaim& Newest() const { return this->newest; }

 private:
  PlannerLeaseSettings settings;
  std::uint32_t rank;
  InstanceId own;
  /// Highest epoch that this process has claimed; 0 before the first.
  std::uint64_t claimed_epoch = 0;
  PlannerClaim newest;
  bool seen = false;
  Instant heard_at;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_PLANNER_LEASE_H_
