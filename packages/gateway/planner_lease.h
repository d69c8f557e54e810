#ifndef PACKAGES_GATEWAY_PLANNER_LEASE_H_
#define PACKAGES_GATEWAY_PLANNER_LEASE_H_

#include <cstdint>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"

namespace carobrill::gateway {

/// Planner election timing, in ms.
struct PlannerLeaseSettings {
  /// Time without a planner heartbeat after which another instance takes over.
  /// A slow store delays a heartbeat by up to 700 ms (two answers of 350 ms).
  std::int64_t takeover_ms = 1'200;
  /// Additional delay per rank, so that instances do not claim at the same
  /// time.
  std::int64_t rank_delay_ms = 150;
};

/// Planner claim or heartbeat as stored in the log.
struct PlannerClaim {
  InstanceId instance;
  std::uint64_t epoch = 0;
  std::uint64_t heartbeat = 0;
  bool resigned = false;
};

/// Decides when this instance claims the planner role. Instances do not compare
/// clocks: each measures the time since it read the last heartbeat.
class PlannerLease {
 public:
  /// `rank` spreads the claims of several instances over time. A claim by `own`
  /// that this process did not make was made by an earlier process of the
  /// instance that no longer runs, so it is taken over immediately.
  PlannerLease(PlannerLeaseSettings settings,
               std::uint32_t rank,
               InstanceId own);

  /// Records that this process claims `epoch`.
  void ObserveOwnClaim(std::uint64_t epoch) { this->claimed_epoch = epoch; }

  /// Records a claim or heartbeat that was read from the log at `now` (boot
  /// clock).
  void Observe(const PlannerClaim& claim, Instant now);

  /// Restarts the silence timeout at `now`. Used for example while the log
  /// cannot be read, since missing heartbeats are then no evidence that the
  /// planner has failed.
  void RestartSilence(Instant now);

  /// True if this instance should claim the planner role.
  bool ShouldClaim(Instant now) const;

  /// Epoch for a new claim: higher than any epoch read so far.
  std::uint64_t NextEpoch() const { return this->newest.epoch + 1; }

  const PlannerClaim& Newest() const { return this->newest; }

 private:
  PlannerLeaseSettings settings;
  std::uint32_t rank;
  InstanceId own;
  /// Highest epoch claimed by this process; 0 before the first claim.
  std::uint64_t claimed_epoch = 0;
  PlannerClaim newest;
  bool has_claim = false;
  Instant last_heard_at;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_PLANNER_LEASE_H_
